"""Connects the budget of memory of a node to the components that hold bytes and take them in."""

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.link import Links
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.hold_time import HoldTime
from thorntray.internal.process.memory_budget import MemoryBudget
from thorntray.internal.request.memory_admission import MemoryAdmission, MemoryRefusal
from thorntray.internal.request.origin import Origin
from thorntray.internal.request.owner import Owner
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.telemetry.node_metrics import NodeMetrics


class MemoryBounds:
    """The budget of a node, its sources and its refusals."""

    def __init__(self, memory: MemoryBudget, metrics: NodeMetrics, clock: Clock) -> None:
        self._memory = memory
        self._metrics = metrics
        self._clock = clock
        self._hold_time = HoldTime(clock.monotonic())

    def connect(
        self, callers: HttpServer, origin: Origin, owner: Owner, pool: InstancePool
    ) -> None:
        """Read the bytes that the components hold, and have callers refused by them."""
        self._held, self._pool = callers.held, pool
        held = callers.held
        memory = self._memory
        memory.add_source("requests", lambda: held.requests, leaving=False)
        memory.add_source("answers", lambda: held.answers, leaving=False)
        memory.add_source("calls", lambda: owner.held_bytes, leaving=False)
        memory.add_source("instance_answers", lambda: pool.held.total, leaving=False)
        memory.add_source("unsent", held.unsent)
        if memory.limit is not None:
            held.gate = MemoryAdmission(memory, origin, self._hold_time, self._caller_refused)

    def connect_links(self, links: Links, listener: LinkListener) -> None:
        """Read the bytes that the links in both directions hold."""
        self._memory.add_source("links_out", lambda: links.unsent_bytes + listener.unsent_bytes)
        self._memory.add_source("links_in", lambda: links.received_bytes + listener.received_bytes)

    def review(self) -> None:
        """Update what changes with time; to be called several times a second."""
        self._memory.review()
        self._pool.held.resume()
        # Answers to slow callers take the same memory, and are released later than requests.
        now = self._clock.monotonic()
        self._hold_time.observe(self._memory.held, self._held.released, now)

    def call_refused(self, call: CallFrame, retry_after: float) -> None:
        """Record that the owner has refused a call of a peer."""
        self._record(
            "owner", call.request_id, call.route, bytes=len(call.body), retry_after=retry_after
        )

    def answer_dropped(self, request_id: bytes, route: str, count: int) -> None:
        """Record that the answer to an accepted request was not kept for its caller."""
        self._record("answer", request_id, route, bytes=count)

    def _caller_refused(self, refusal: MemoryRefusal) -> None:
        self._record(
            "origin",
            refusal.request_id,
            refusal.route,
            bytes=refusal.count,
            share=refusal.share.name,
            retry_after=refusal.retry_after,
        )

    def _record(self, side: str, request_id: bytes, route: str, **fields: object) -> None:
        self._metrics.refused_for_memory(side)
        log_event(
            Event.MEMORY_FULL,
            side=side,
            id=request_id.decode("latin-1"),
            route=route,
            held=self._memory.held_by_kind(),
            limit=self._memory.limit,
            **fields,
        )

"""The graceful stop of a `MeshNode`: serve, answer what is owed, leave, close, in this order.

Every listening socket stays open until the last step, so that callers are refused with an answer
and a time to return. Then it is closed, and what had been accepted by then is answered.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from absl import logging

from thorntray.internal.connection.http_request import ClosedBy
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.drain import Drain
from thorntray.internal.process.registration import Registration
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.origin import Origin
from thorntray.internal.request.owner import Owner
from thorntray.internal.store.seeds import Seeds
from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.platform_store import PlatformStore
from thorntray_node.request_drain import RequestDrain, time_for_links

LEAVE_TIME = 0.05  # seconds for the datagrams that announce the leave
# Seconds for requests on their way when the last listening socket is closed: the first one of a
# new connection, and those that arrive in several parts. A shorter rest of the stop's limit is
# shared between these requests and the delivery of the last answers.
MAX_REQUEST_TIME = 0.3
MAX_DELIVERY_TIME = 0.2  # seconds


class StopDependencies(NamedTuple):
    """The components that a stop uses."""

    drain: Drain
    clock: Clock
    callers: HttpServer
    other_servers: tuple[HttpServer, ...]
    listener: LinkListener
    origin: Origin
    owner: Owner
    registration: Registration
    membership: Membership
    seeds: Seeds
    store: PlatformStore
    tasks: BackgroundTasks


class NodeStop:
    """The graceful stop of one node."""

    def __init__(self, deps: StopDependencies) -> None:
        self._deps = deps
        self._started = deps.clock.monotonic()

    async def run(self) -> None:
        """Stop gracefully: serve until callers can have noticed, answer everything, leave."""
        deps, callers = self._deps, self._deps.callers
        deps.drain.begin()
        log_event(Event.DRAIN_BEGUN, active=callers.active, held=len(deps.owner.requests))
        callers.closing = True
        seed_removal = deps.tasks.spawn(deps.seeds.stop())
        read = self._count_read()
        # Callers send requests until two readiness checks have failed, so this delay is always
        # waited out. The instance serves peers meanwhile, since other nodes may be stopping too.
        await asyncio.sleep(deps.drain.accepting_for)
        callers.refusing = True
        deps.registration.drain_node()
        requests = RequestDrain(deps.drain, deps.origin, deps.owner, callers, deps.listener)
        ended = await requests.run()
        if any(ended):
            log_event(Event.DRAIN_CUT, **ended._asdict())
        log_event(
            Event.DRAIN_ENDED,
            seconds=self._seconds,
            active=callers.active,
            read=read(),
            unsent=callers.unsent_bytes,
        )
        read = self._count_read()
        await self._leave(seed_removal)
        await self._close_servers()
        log_event(
            Event.STOPPED,
            seconds=self._seconds,
            unanswered=callers.report_unanswered(ClosedBy.EXIT),
            read=read(),
            unsent=callers.unsent_bytes,
        )

    async def _leave(self, seed_removal: "asyncio.Task[None]") -> None:
        """Leave the fleet and end the links."""
        deps = self._deps
        deps.membership.leave()
        await asyncio.sleep(LEAVE_TIME)
        await deps.listener.finish(time_for_links(deps.drain, deps.clock.monotonic()))
        if not seed_removal.done():
            logging.info("the store did not respond; the seed entry expires with its lease")
            seed_removal.cancel()
        await deps.store.close()

    async def _close_servers(self) -> None:
        """Stop listening, and answer every connection that was accepted by then."""
        half = self._deps.drain.closing_for / 2
        times = min(MAX_REQUEST_TIME, half), min(MAX_DELIVERY_TIME, half)
        servers = (self._deps.callers, *self._deps.other_servers)
        await asyncio.gather(*(server.finish(*times) for server in servers))

    @property
    def _seconds(self) -> float:
        """Return the seconds since the stop began, for the log."""
        return round(self._deps.clock.monotonic() - self._started, 3)

    def _count_read(self) -> Callable[[], int]:
        """Return a function that counts the requests that callers have sent since this call."""
        before = self._deps.callers.requests_read
        return lambda: self._deps.callers.requests_read - before

"""The owner's side of a request: the node in front of the instance that is to run it.

Only this node speaks to its instance, so what it has not sent has not run. A refusal here is a
true "not run", costs the instance nothing, and may be tried elsewhere. From the first byte that
was sent, only the instance's own word can make it one again.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.connection.header_names import FieldKind, FieldKinds, HeaderNames
from thorntray.internal.connection.instance_pool import (
    Answer,
    AnswerFault,
    InstancePool,
    Sending,
)
from thorntray.internal.overload.call_parents import Run, RunningCalls
from thorntray.internal.overload.failing_share import FailingShare
from thorntray.internal.overload.slot_price import MIN_PRICE, SlotPrice
from thorntray.internal.overload.slot_queue import SlotQueue, Ticket
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.registration import Registration
from thorntray.internal.request.result import (
    Cause,
    End,
    LoadReport,
    Result,
    not_run,
    unknown,
)

MISDIRECTED = 421
MAX_DEADLINE_STEPS = 15
TIME_WEIGHT = 0.1  # of the newest service time in the moving average
EXPIRY_GRACE = 0.15  # seconds past its time in which the instance may still answer
DETACHED_TIME = 0.25  # seconds that a cancelled call may still run at the instance
MIN_BUDGET = 0.002  # seconds below which a request is not begun
UNREACHABLE_PAUSE = 0.3  # seconds without new work after a failed connect
_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})

ResultSink = Callable[[Result], None]


class OwnerParts(NamedTuple):
    """What the owner's side is made of; all of it lives as long as the process."""

    service: str
    names: HeaderNames
    pool: InstancePool
    registration: Registration
    queue: SlotQueue
    price: SlotPrice
    running: RunningCalls
    clock: Clock
    on_end: Callable[[CallFrame, Result, float], None]  # with the seconds it was here
    on_wait: Callable[[float], None]  # with the seconds that a request waited for its slot


class Held:
    """One request at this node, until its result is given."""

    __slots__ = ("owner", "call", "sink", "expiry", "ticket", "run", "sending", "timer")
    __slots__ += ("arrived_at", "started_at", "ended", "detached")

    def __init__(self, owner: "Owner", call: CallFrame, sink: ResultSink) -> None:
        self.owner = owner
        self.call = call
        self.sink = sink
        self.arrived_at = owner.parts.clock.monotonic()
        self.expiry = self.arrived_at + call.budget
        self.ticket = Ticket(call.worth, call.nested, self._start)
        self.run: Run | None = None
        self.sending: Sending | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.started_at = 0.0
        self.ended = False
        self.detached = False  # whether nobody waits for the result any more

    def cancel(self) -> None:
        """Withdraw the request; one that runs and must run once goes on."""
        if self.ended:
            return
        if self.sending is None:
            self.end(not_run(Cause.CANCELLED))
        elif self.call.idempotent and not self.detached:
            self._detach()

    def _detach(self) -> None:
        """Let the instance finish a short call of another request; abort what takes longer.

        When a request fails, the calls that it has under way are cancelled by the dozen. Aborting
        them means as many new connections, which cost more than the rest of these calls.
        """
        self.detached = True
        if self.timer is not None:
            self.timer.cancel()
        left = DETACHED_TIME if self.call.nested else 0.0
        self.timer = asyncio.get_running_loop().call_later(left, self._abort)

    def _abort(self) -> None:
        if self.sending is not None:
            self.sending.cancel()
        self.end(unknown(Cause.CANCELLED))

    def wait(self) -> None:
        """Bound the wait for a slot."""
        longest = min(self.call.max_wait, self.call.budget - MIN_BUDGET)
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(0.0, longest), self._give_up)

    def end(self, result: Result) -> None:
        """Give the result, once, and the slot back."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.owner.ended(self, result)
        self.ticket.start = _nothing  # ends the cycle, so that no collector is needed

    def _give_up(self) -> None:
        expired = self.owner.parts.clock.monotonic() >= self.expiry - 2 * MIN_BUDGET
        self.end(not_run(Cause.EXPIRED if expired else Cause.FULL))

    def _start(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.owner.start(self)


def _nothing() -> None:
    """Start nothing."""


class Owner:
    """Runs requests at the instance beside this node."""

    def __init__(self, parts: OwnerParts) -> None:
        self.parts = parts
        self.held: set[Held] = set()
        self._answer_fields = FieldKinds({parts.names.not_run: FieldKind.NOT_RUN})
        self._service_time = 0.0  # seconds, moving average
        self._queue_wait = 0.0  # seconds, moving average
        self._failing = FailingShare()
        self._unreachable_until = float("-inf")

    @property
    def running(self) -> int:
        """Return how many requests the instance works on for this node."""
        return sum(1 for held in self.held if held.sending is not None)

    def submit(self, call: CallFrame, sink: ResultSink) -> Held:
        """Take a request; `sink` gets its result, possibly before this returns."""
        held = Held(self, call, sink)
        self.held.add(held)
        refusal = self._refusal(held)
        if refusal is not None:
            held.end(not_run(refusal))
            return held
        if not self.parts.queue.enter(held.ticket) and not held.ended:
            if self._expected_wait(held.ticket) > call.max_wait:
                held.end(not_run(Cause.FULL))
            else:
                held.wait()
        return held

    def start(self, held: Held) -> None:
        """Send a request that has a slot to the instance."""
        parts, call = self.parts, held.call
        now = parts.clock.monotonic()
        refusal = self._refusal(held)
        if refusal is None and held.expiry - now < MIN_BUDGET:
            refusal = Cause.EXPIRED
        if refusal is not None:
            held.end(not_run(refusal))
            return
        held.started_at = now
        waited = now - held.arrived_at
        self._queue_wait += TIME_WEIGHT * (waited - self._queue_wait)
        parts.on_wait(waited)
        budget_ms = self._distinct_budget(held.expiry, now)
        held.run = parts.running.begin(now + budget_ms / 1000, call.worth, call.request_id)
        data = self._request_bytes(call, budget_ms)
        held.timer = asyncio.get_running_loop().call_later(
            budget_ms / 1000 + EXPIRY_GRACE, self._overdue, held
        )
        held.sending = parts.pool.send(
            data, call.request_id, call.method, not call.idempotent, self._on_answer(held)
        )

    @property
    def failing_share(self) -> float:
        """Return the share of its requests that the instance fails."""
        return self._failing.share

    def refuse_waiting(self, cause: Cause) -> None:
        """Turn away what waits for a slot; it may be tried elsewhere."""
        for held in [h for h in self.held if h.sending is None and not h.ended]:
            held.end(not_run(cause))

    def ended(self, held: Held, result: Result) -> None:
        """Free what a request holds and pass its result on."""
        parts = self.parts
        now = parts.clock.monotonic()
        self.held.discard(held)
        parts.queue.withdraw(held.ticket)
        if held.run is not None:
            parts.running.end(held.run)
            self._failing.note(result, held.run.made_calls)
        if held.ticket.holds_slot:
            parts.queue.release(held.ticket)
        result = self._with_report(held, result, now)
        parts.on_end(held.call, result, now - held.arrived_at)
        held.sink(result)

    def tick(self, now: float) -> None:
        """Move the price by the present load; call several times a second."""
        queue = self.parts.queue
        self.parts.price.update(queue.in_flight + queue.waiting, queue.limit, now)
        if not queue.waiting:
            self._queue_wait *= 0.8

    def _refusal(self, held: Held) -> Cause | None:
        parts = self.parts
        if held.call.service != parts.service or parts.registration.current is None:
            return Cause.NO_INSTANCE
        if not parts.registration.open:
            return Cause.DRAINING
        if parts.clock.monotonic() < self._unreachable_until:
            return Cause.NO_INSTANCE
        return None

    def _expected_wait(self, ticket: Ticket) -> float:
        queue = self.parts.queue
        ahead = queue.ahead_of(ticket.worth, ticket.nested)
        return self._service_time * ahead / max(1, queue.limit)

    def _distinct_budget(self, expiry: float, now: float) -> int:
        """Return whole milliseconds whose end no other running request has."""
        wanted = self.parts.running.distinct_expiry(expiry, MAX_DEADLINE_STEPS)
        return max(1, int((wanted - now) * 1000))

    def _request_bytes(self, call: CallFrame, budget_ms: int) -> bytes:
        names = self.parts.names
        current = self.parts.registration.current
        instance_id = current.instance_id.encode() if current is not None else b""
        parts = [
            b"%b %b HTTP/1.1\r\n" % (call.method, call.target),
            call.header_lines,
            b"%b: %d\r\n" % (names.deadline_ms, budget_ms),
            b"%b: %b\r\n" % (names.expected_instance, instance_id),
            b"%b: %b\r\n" % (names.caller_service, call.caller_service.encode()),
        ]
        if call.body or call.method in _BODY_METHODS:
            parts.append(b"Content-Length: %d\r\n" % len(call.body))
        parts.append(b"\r\n")
        parts.append(call.body)
        return b"".join(parts)

    def _on_answer(self, held: Held) -> Callable[[Answer | AnswerFault], None]:
        def take(answer: Answer | AnswerFault) -> None:
            held.end(self._result_of(answer))

        return take

    def _result_of(self, answer: Answer | AnswerFault) -> Result:
        match answer:
            case AnswerFault.UNREACHABLE:
                self._unreachable_until = self.parts.clock.monotonic() + UNREACHABLE_PAUSE
                return not_run(Cause.NO_INSTANCE)
            case AnswerFault.LOST:
                return unknown(Cause.LOST)
            case AnswerFault.GARBLED:
                return unknown(Cause.GARBLED)
            case Answer(status, headers, body):
                return self._result_of_answer(status, headers, body)
        raise AssertionError(answer)

    def _result_of_answer(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> Result:
        lines: list[bytes] = []
        kinds = self._answer_fields
        for name, value in headers:
            kind = kinds.kind(name)
            if kind is FieldKind.PASSED:
                lines.append(b"%b: %b\r\n" % (name, value))
            elif kind is FieldKind.NOT_RUN:
                return not_run(Cause.REJECTED)
        if status == MISDIRECTED:
            return not_run(Cause.NO_INSTANCE)
        return Result(End.ANSWERED, status=status, header_lines=b"".join(lines), body=body)

    def _overdue(self, held: Held) -> None:
        """End a request whose time is over though the instance is silent."""
        if held.sending is not None:
            held.sending.cancel()
        held.end(unknown(Cause.EXPIRED))

    def _with_report(self, held: Held, result: Result, now: float) -> Result:
        parts, run = self.parts, held.run
        costs: dict[str, tuple[float, float]] = {}
        # An idle service says nothing of its price: the usual case stays cheap.
        price = parts.price.price
        prices = {parts.service: price} if price > MIN_PRICE else {}
        service_time = 0.0
        if run is not None:
            held_for = now - held.started_at
            if result.end is End.ANSWERED and result.status < 500:
                service_time = held_for
                self._service_time += TIME_WEIGHT * (held_for - self._service_time)
            run.add({parts.service: (held_for, 1.0)}, {})
            costs = run.costs
            if run.prices:
                prices = {**run.prices, **prices}
        queue = parts.queue
        report = LoadReport(
            self._queue_wait,
            service_time,
            queue.in_flight + queue.waiting,
            queue.limit,
            self._failing.share,
        )
        return result._replace(costs=costs, prices=prices, report=report)

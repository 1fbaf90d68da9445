"""Execution of requests at their owner: the node in front of the instance that runs them.

Only this node sends requests to its instance, so a request that it has not sent has not run. A
refusal here is therefore a proven "not run", costs the instance nothing, and may be retried at
another instance. Once the first byte is sent, the result is "not run" only if the instance reports
that it did not run the request.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from thorntray.internal.connection.exchange import COPIED_BODY_BYTES
from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.instance_response import InstanceResponse, ResponseFault
from thorntray.internal.overload.call_parents import RunningRequests
from thorntray.internal.overload.crash_isolation import CrashIsolation
from thorntray.internal.overload.failing_share import FailingShare
from thorntray.internal.overload.rate_limit import InstanceState, RateLimit
from thorntray.internal.overload.slot_price import MIN_PRICE, SlotPrice
from thorntray.internal.overload.slot_queue import SlotQueue
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.memory_budget import SMALL_REQUEST_BYTES, MemoryBudget, Share
from thorntray.internal.process.pauses import Pauses
from thorntray.internal.process.registration import Registration
from thorntray.internal.request.crash_watch import CrashWatch
from thorntray.internal.request.instance_answers import AnswerReader
from thorntray.internal.request.instance_tracker import InstanceTracker
from thorntray.internal.request.owner_request import (
    LOCAL_CALL_NUMBER,
    MIN_BUDGET,
    OwnerRequest,
    ResultCallback,
)
from thorntray.internal.request.result import (
    Cause,
    LoadReport,
    Result,
    ResultKind,
    not_run,
    unknown,
)
from thorntray.internal.request.waiting_requests import WaitingRequests
from thorntray.internal.telemetry.events import log_handler_failure

MAX_EXPIRY_STEPS = 15  # earlier expiries to try for one that no other running request has
MOVING_AVERAGE_WEIGHT = 0.1  # weight of the newest queue wait
EXPIRY_GRACE = 0.15  # seconds after the expiry during which the instance may still respond
UNREACHABLE_BACKOFF = 0.3  # seconds without new requests after a failed connection attempt
_BODY_METHODS = frozenset({b"POST", b"PUT", b"PATCH"})


class OwnerDependencies(NamedTuple):
    """Process-wide components that an `Owner` uses."""

    service: str
    names: HeaderNames
    pool: InstancePool
    registration: Registration
    queue: SlotQueue
    price: SlotPrice
    rate_limit: RateLimit
    tracker: InstanceTracker
    running: RunningRequests
    pauses: Pauses
    isolation: CrashIsolation
    crash_watch: CrashWatch
    clock: Clock
    on_finish: Callable[[CallFrame, Result, float], None]  # with the seconds at this node
    on_slot_wait: Callable[[float], None]  # with the seconds waited
    memory: MemoryBudget
    on_memory_refused: Callable[[CallFrame, float], None]  # with the seconds to return after


class Owner:
    """Runs requests at this node's own instance."""

    def __init__(self, deps: OwnerDependencies) -> None:
        self.deps = deps
        self.requests: set[OwnerRequest] = set()
        self._answers = AnswerReader(deps.names)
        self.sends = {"root": 0, "nested": 0}  # requests sent to the instance
        self.held_bytes = 0  # of the bodies of its requests, unless an origin here counts them
        self._queue_wait = 0.0  # seconds, moving average
        self.waiting = WaitingRequests(deps.queue, deps.rate_limit, deps.clock)
        self._failing_share = FailingShare()
        self._unreachable_until = float("-inf")

    @property
    def running(self) -> int:
        """Return the number of requests that were sent to the instance and have not finished."""
        return sum(1 for request in self.requests if request.instance_call is not None)

    def submit(self, call: CallFrame, on_result: ResultCallback) -> OwnerRequest:
        """Accept a request; `on_result` is called once, possibly before this method returns."""
        request = OwnerRequest(self, call, on_result)
        self.requests.add(request)
        try:
            self._start_or_queue(request)
        except Exception:
            request.finish_failed()
        return request

    def _start_or_queue(self, request: OwnerRequest) -> None:
        refusal = self._refusal_cause(request)
        if refusal is None and self.deps.pauses.has_backlog(request.arrived_at):
            refusal = Cause.FULL
        if refusal is not None:
            request.finish(not_run(refusal))
        elif not self._take_in(request):
            retry_after = self.waiting.memory_retry_after
            self.deps.on_memory_refused(request.call, retry_after)
            request.finish(not_run(Cause.FULL, retry_after))
        elif not self.deps.queue.submit(request.ticket) and not request.finished:
            if self.waiting.admit(request, self.requests):
                request.start_queue_timer()
            else:
                request.finish(self.waiting.full(request))

    def _take_in(self, request: OwnerRequest) -> bool:
        """Count the body of a peer's call, unless it exceeds the memory; return whether it fits.

        The connection of its caller counts that of a call from this node.
        """
        call, memory = request.call, self.deps.memory
        if call.number == LOCAL_CALL_NUMBER:
            return True
        if len(call.body) > SMALL_REQUEST_BYTES or memory.pressed:
            repeatable = call.idempotent and not call.nested
            share = Share.of_request(repeatable, len(call.body))
            if not memory.has_room(len(call.body), share):
                return False
        request.hold_body()
        return True

    def start(self, request: OwnerRequest) -> None:
        """Send a request that holds a slot to the instance, or refuse it if it cannot run now."""
        deps, call = self.deps, request.call
        now = deps.clock.monotonic()
        refusal = self._refusal_cause(request)
        if refusal is None and request.expiry - now < MIN_BUDGET:
            refusal = Cause.EXPIRED
        if refusal is not None:
            request.finish(not_run(refusal))
            return
        if deps.isolation.active:
            # Its origin may not know yet, and it may have waited here since before the crash.
            refused_for = deps.isolation.refused_for(request.fingerprint)
            if refused_for > 0:
                request.finish(not_run(Cause.BLOCKED, refused_for))
                return
            request.group_limit = deps.isolation.begin(request.fingerprint)
        request.started_at = now
        request.boot = deps.tracker.boot
        waited = now - request.arrived_at
        self._queue_wait += MOVING_AVERAGE_WEIGHT * (waited - self._queue_wait)
        deps.on_slot_wait(waited)
        budget_ms = self._distinct_budget(request.expiry, now)
        request.run = deps.running.begin(
            now + budget_ms / 1000, call.worth, call.request_id, call.workspace
        )
        data = self._request_head(call, budget_ms)
        large_body = call.body if len(call.body) > COPIED_BODY_BYTES else b""
        request.timer = asyncio.get_running_loop().call_later(
            budget_ms / 1000 + EXPIRY_GRACE, self._on_expiry, request
        )
        self.sends["nested" if call.nested else "root"] += 1
        deps.rate_limit.record_send(now)
        request.instance_call = deps.pool.send(
            data if large_body else data + call.body,
            call.request_id,
            call.method,
            not call.idempotent,
            self._response_handler(request),
            large_body,
        )

    @property
    def failure_rate(self) -> float:
        """Return the share of requests that the instance itself fails, from 0 to 1."""
        return self._failing_share.share

    def reject_queued(self, cause: Cause) -> None:
        """Refuse all requests that wait for a slot; their origins may try another instance."""
        for request in [r for r in self.requests if r.instance_call is None and not r.finished]:
            request.finish(not_run(cause))

    def end_all(self) -> int:
        """End all requests now, as their node stops; returns their number."""
        # Waiting ones first: the end of a running one would free its slot for them.
        requests = sorted(self.requests, key=lambda request: request.instance_call is not None)
        for request in requests:
            if request.instance_call is None:
                request.finish(not_run(Cause.DRAINING))
            else:
                request.instance_call.cancel()
                request.finish(unknown(Cause.DRAINING))
        return len(requests)

    def complete(self, request: OwnerRequest, result: Result) -> None:
        """Release what a request holds and pass its result, with a load report, to its callback."""
        deps = self.deps
        now = deps.clock.monotonic()
        self.requests.discard(request)
        self.held_bytes -= request.held_bytes
        deps.queue.withdraw(request.ticket)
        if request.run is not None:
            deps.running.end(request.run)
            self._failing_share.record(result, request.run.made_nested_calls)
        if request.group_limit:
            deps.isolation.end(request.group_limit)
        if request.ticket.holds_slot:
            deps.queue.release(request.ticket)
        result = self._with_load_report(request, result, now)
        try:
            deps.on_finish(request.call, result, now - request.arrived_at)
        except Exception:  # the result is passed on even if it cannot be logged or counted
            log_handler_failure(id=request.call.request_id.decode("latin-1"))
        request.on_result(result)

    def update_price(self, now: float) -> None:
        """Update the slot price from the current load; to be called several times a second.

        `now` is in monotonic seconds.
        """
        queue = self.deps.queue
        present = queue.in_flight + queue.waiting + self.waiting.take_refused()
        self.deps.price.update(present, self.waiting.capacity, now)
        queue.start_waiting()
        if not queue.waiting:
            self._queue_wait *= 0.8

    def _refusal_cause(self, request: OwnerRequest) -> Cause | None:
        deps = self.deps
        if request.call.service != deps.service or deps.registration.current is None:
            return Cause.NO_INSTANCE
        if not deps.registration.available:
            return Cause.DRAINING
        if deps.clock.monotonic() < self._unreachable_until:
            return Cause.NO_INSTANCE
        return None

    def _distinct_budget(self, expiry: float, now: float) -> int:
        """Return a budget in milliseconds; if possible, no other running request has its expiry.

        Nested calls are matched with their parent request by their expiry (see `RunningRequests`).
        """
        distinct = self.deps.running.distinct_expiry(expiry, MAX_EXPIRY_STEPS)
        return max(1, int((distinct - now) * 1000))

    def _request_head(self, call: CallFrame, budget_ms: int) -> bytes:
        names = self.deps.names
        current = self.deps.registration.current
        instance_id = current.instance_id.encode() if current is not None else b""
        chunks = [
            b"%b %b HTTP/1.1\r\n" % (call.method, call.target),
            call.header_lines,
            b"%b: %d\r\n" % (names.deadline_ms, budget_ms),
            b"%b: %b\r\n" % (names.expected_instance, instance_id),
            b"%b: %b\r\n" % (names.caller_service, call.caller_service.encode()),
        ]
        if call.body or call.method in _BODY_METHODS:
            chunks.append(b"Content-Length: %d\r\n" % len(call.body))
        chunks.append(b"\r\n")
        return b"".join(chunks)

    def _response_handler(
        self, request: OwnerRequest
    ) -> Callable[[InstanceResponse | ResponseFault], None]:
        def on_response(response: InstanceResponse | ResponseFault) -> None:
            lost = response is ResponseFault.LOST and not request.finished
            if lost and self.deps.crash_watch.hold_lost(request):
                return
            request.finish(self._result_of(request, response))

        return on_response

    def _result_of(
        self, request: OwnerRequest, response: InstanceResponse | ResponseFault
    ) -> Result:
        match response:
            case ResponseFault.UNREACHABLE:
                self._unreachable_until = self.deps.clock.monotonic() + UNREACHABLE_BACKOFF
                return not_run(Cause.NO_INSTANCE)
            case ResponseFault.NO_DESCRIPTOR:  # says nothing of the instance
                return not_run(Cause.FULL)
            case ResponseFault.LOST:
                return unknown(Cause.LOST)
            case ResponseFault.GARBLED:
                return unknown(Cause.GARBLED)
            case InstanceResponse():
                self.deps.crash_watch.record_success(request.started_at)
                answer = self._answers.read(response)
                if answer.state is None:
                    self.deps.tracker.record_mismatch(request.boot)
                else:
                    self._learn(request, answer.state)
                return answer.result
        raise AssertionError(response)

    def _learn(self, request: OwnerRequest, state: InstanceState) -> None:
        """Learn what the instance says of itself in its answer to a request."""
        rate_before = self.deps.rate_limit.rate
        self.deps.tracker.record_answer(request.boot, state, request.started_at)
        if self.deps.rate_limit.rate != rate_before:
            self.waiting.refuse_displaced(self.requests)

    def _on_expiry(self, request: OwnerRequest) -> None:
        """Finish a request as unknown after its expiry and the grace period."""
        if request.instance_call is not None:
            request.instance_call.cancel()
            self.deps.crash_watch.record_abandoned(request)
        request.finish(unknown(Cause.EXPIRED))

    def _with_load_report(self, request: OwnerRequest, result: Result, now: float) -> Result:
        deps, run = self.deps, request.run
        costs: dict[str, tuple[float, float]] = {}
        # The minimum price is not reported, which keeps results small in the usual case.
        price = deps.price.price
        prices = {deps.service: price} if price > MIN_PRICE else {}
        service_time = 0.0
        if run is not None:
            slot_seconds = now - request.started_at
            if result.kind is ResultKind.ANSWERED and result.status < 500:
                service_time = slot_seconds
                self.waiting.record_service_time(slot_seconds)
            run.add_costs({deps.service: (slot_seconds, 1.0)}, {})
            costs = run.costs
            if run.prices:
                prices = {**run.prices, **prices}
        queue = deps.queue
        report = LoadReport(
            self._queue_wait,
            service_time,
            queue.in_flight + queue.waiting,
            queue.limit,
            self._failing_share.share,
        )
        notice = deps.tracker.notice(queue.waiting)
        return result._replace(costs=costs, prices=prices, report=report, notice=notice)

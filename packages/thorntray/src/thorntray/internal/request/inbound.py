"""Owner side of a request: the steps on the node before the request reaches its instance.

The order of the steps is part of the guarantees:

1. Check the session, so that a request sent to an earlier process of this node does not run.
2. Verify the grant. A copy of a request that has begun joins the running one, so a
   non-idempotent request runs at most once.
3. Register the attempt, unless it has been revoked.
4. Wait for a slot from admission control, or refuse the request.
5. Check the deadline and the state of the instance AGAIN, since the process may have been frozen
   while the request was queued.
6. Mark the attempt as dispatched, and only then write the first byte to the instance.

Before step 6 every refusal is a proven `NotRun`. After it, the outcome is `NotRun` only if the
instance's response has the shed header, and the request made no nested call.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from expression import Result

from thorntray.errors import GrantRejected, GrantsFull, RequestRefused
from thorntray.internal.connection.message import Call, GrantReply, GrantRequest, Revoke, Revoked
from thorntray.internal.overload.admission import Admission
from thorntray.internal.overload.dependencies import DependencyWaits
from thorntray.internal.overload.service_times import ServiceTimes
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.attempts import AttemptTable
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.execution import Execution, ExecutionTable
from thorntray.internal.request.grant import GrantRecord, GrantTable
from thorntray.internal.request.order import shed_key
from thorntray.internal.request.outcome import (
    AttemptResult,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from thorntray.internal.version.settings import RouteSettings, ServiceSettings, Settings

MAX_CALL_DEPTH = 32  # deeper call chains are refused, since they are taken for loops


class Upstream(Protocol):
    """The upstream instance that this node sends requests to."""

    def delay(self, idempotent: bool) -> float:
        """Return the seconds until the instance's rate limit allows a request, 0 if it does now."""
        ...

    async def send(self, call: Call, token: str, timeout: float, shed_header: str) -> Outcome:
        """Send the request and return its outcome; raises nothing except on cancellation.

        `timeout` is in seconds. `shed_header` is the response header by which the instance marks
        a request that it shed.
        """
        ...


class Acceptance(Protocol):
    """Reports whether the instance accepts new requests."""

    def refusal(self) -> Reason | None:
        """Return the reason why new requests are refused, or None if they are accepted."""
        ...


# Retries a refused call at another instance, see `Outbound.retry_elsewhere`.
RetryElsewhere = Callable[[Call, Escrow, Deadline], Awaitable[Outcome]]


@dataclass(slots=True)
class InboundParts:
    """Components that `Inbound` uses; all of them live as long as the process.

    `needs_level` returns the highest admission level of the services that a route depends on.
    """

    service: str
    session: bytes
    upstream: Upstream
    acceptance: Acceptance
    admission: Admission
    grants: GrantTable
    attempts: AttemptTable
    executions: ExecutionTable
    dependencies: DependencyWaits
    service_times: ServiceTimes
    settings: Callable[[], Settings]
    needs_level: Callable[[RouteSettings], float]
    retry_elsewhere: RetryElsewhere
    clock: Clock


class Inbound:
    """Runs requests at the upstream instance of this node."""

    def __init__(self, parts: InboundParts) -> None:
        self._parts = parts
        # Non-idempotent requests: not cancelled when the caller disconnects.
        self._detached_tasks: set[asyncio.Task[Any]] = set()
        # Idempotent requests by attempt ID.
        self._cancellable_tasks: dict[bytes, asyncio.Task[Outcome]] = {}
        self._active_calls = 0

    @property
    def active(self) -> int:
        """Return the number of unanswered calls plus the non-idempotent requests that run."""
        return self._active_calls + len(self._detached_tasks)

    async def run(self, call: Call) -> AttemptResult:
        """Run a call from another node or from this one and return its outcome."""
        self._active_calls += 1
        try:
            return await self._run(call)
        finally:
            self._active_calls -= 1

    async def _run(self, call: Call) -> AttemptResult:
        escrow = Escrow(call.allowance)
        deadline = Deadline.from_wire(call.budget, call.wall_deadline, self._parts.clock)
        route = self._find_route(call)
        if call.session != self._parts.session:
            outcome = self._wrong_incarnation_outcome(call)
        elif route is None:
            outcome = self._not_run(Reason.UNKNOWN_ROUTE)
        elif call.grant:
            outcome = await self._run_granted(call, route, escrow, deadline)
        else:
            outcome = await self._run_without_grant(call, route, escrow, deadline)
        return self._build_attempt_result(outcome, escrow, route)

    def grant(self, req: GrantRequest) -> GrantReply:
        """Issue a grant, or a refusal if the request itself would be refused now."""
        parts = self._parts
        service = parts.settings().services.get(req.service)
        route = service.get_route(req.route) if service else None
        if req.session != parts.session:
            return self._grant_refusal(Reason.WRONG_INCARNATION, 0.0)
        if route is None or req.service != parts.service:
            return self._grant_refusal(Reason.UNKNOWN_ROUTE, 0.0)
        level = self._route_level(route)
        refusal = parts.acceptance.refusal()
        if refusal is not None:
            return self._grant_refusal(refusal, level)
        if req.shed_key < level:
            return self._grant_refusal(Reason.SHED, level)
        try:
            token = parts.grants.issue(req.service, req.route, req.idempotency_key)
        except GrantsFull:
            return self._grant_refusal(Reason.GRANTS_FULL, level)
        begun = parts.grants.begun(req.service, req.route, req.idempotency_key)
        return GrantReply(token, "", 0.0, level, parts.admission.load, begun)

    def revoke(self, req: Revoke) -> Revoked:
        """Revoke an attempt, and cancel it if it is running and idempotent."""
        if req.session != self._parts.session:
            # An earlier process of this node may have run the attempt.
            return Revoked(req.attempt_id, False)
        until = self._parts.clock.monotonic() + req.budget
        not_run = self._parts.attempts.revoke(req.attempt_id, until)
        task = self._cancellable_tasks.get(req.attempt_id)
        if task is not None:
            task.cancel()
        return Revoked(req.attempt_id, not_run)

    async def wait_drained(self) -> None:
        """Wait until no non-idempotent request is running."""
        while self._detached_tasks:
            await asyncio.wait(self._detached_tasks)

    def _find_route(self, call: Call) -> RouteSettings | None:
        if call.service != self._parts.service or call.depth > MAX_CALL_DEPTH:
            return None
        service = self._parts.settings().services.get(call.service)
        return service.get_route(call.route) if service else None

    def _wrong_incarnation_outcome(self, call: Call) -> Outcome:
        if call.grant:
            return Unknown("the grant's owner has restarted; check before asking for a new one")
        return self._not_run(Reason.WRONG_INCARNATION)

    async def _run_granted(
        self, call: Call, route: RouteSettings, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        grants = self._parts.grants
        opened: Result[GrantRecord | None, GrantRejected]
        opened = grants.open(call.grant, call.service, call.route, call.body)
        match opened:
            case Result(tag="error", error=exc):
                return self._not_run(Reason.GRANT_REJECTED, str(exc))
            case Result(tag="ok", ok=record):
                pass
        if record is None:
            return Unknown("the grant is forgotten; the request may have run, check first")
        if not record.begun:
            grants.begin(record)
            task = asyncio.create_task(self._finish(record, call, route, escrow, deadline))
            self._track_detached(task)
        return await self._join(record, deadline)

    def _track_detached(self, task: asyncio.Task[Any]) -> None:
        self._detached_tasks.add(task)
        task.add_done_callback(self._detached_tasks.discard)

    async def _join(self, record: GrantRecord, deadline: Deadline) -> Outcome:
        remaining = max(0.0, deadline.remaining(self._parts.clock))
        try:
            async with asyncio.timeout(remaining):
                return await self._parts.grants.join(record)
        except TimeoutError:
            return Unknown("the request still runs; repeat it with the same grant", 0.5)

    async def _finish(
        self,
        record: GrantRecord,
        call: Call,
        route: RouteSettings,
        escrow: Escrow,
        deadline: Deadline,
    ) -> None:
        """Run the request of a grant, retry it elsewhere if refused, and store its outcome."""
        outcome: Outcome = Unknown("the node failed while the request ran")
        try:
            outcome = await self._execute(call, route, escrow, deadline)
            if isinstance(outcome, NotRun):
                outcome = await self._retry_elsewhere(call, outcome, escrow, deadline)
        finally:
            self._parts.grants.finish(record, outcome)

    async def _retry_elsewhere(
        self, call: Call, refusal: NotRun, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        """Retry a refused call at another instance; this node stays the owner of the grant."""
        if escrow.balance == 0 or deadline.passed(self._parts.clock):
            return refusal
        # A revocation must fail from here on, since the request may run at another instance.
        if not self._parts.attempts.block_revocation(call.attempt_id):
            return refusal
        outcome = await self._parts.retry_elsewhere(call, escrow, deadline)
        return refusal if isinstance(outcome, NotRun) else outcome

    async def _run_without_grant(
        self, call: Call, route: RouteSettings, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        # A separate task, so that a revocation cancels the request but not the handler of the
        # peer connection.
        task = asyncio.create_task(self._execute(call, route, escrow, deadline))
        if not route.idempotent:
            # A running payout must not be cancelled because its caller disconnects.
            self._track_detached(task)
            return await asyncio.shield(task)
        self._cancellable_tasks[call.attempt_id] = task
        try:
            return await task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                task.cancel()
                raise
            return Unknown("cancelled by the caller's node")
        finally:
            self._cancellable_tasks.pop(call.attempt_id, None)

    async def _execute(
        self, call: Call, route: RouteSettings, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        parts = self._parts
        if deadline.passed(parts.clock):
            return self._not_run(Reason.DEADLINE_PASSED)
        if not parts.attempts.register(call.attempt_id, deadline.at):
            return self._duplicate_outcome(call)
        service = parts.settings().services[call.service]
        key = shed_key(call.priority, call.root_id, call.depth)
        refusal = self._refusal_for(service, route, key)
        if refusal is not None:
            return self._not_run(refusal)
        try:
            expected = parts.service_times.expected(call.route)
            await parts.admission.acquire(key, deadline, expected)
        except RequestRefused as exc:
            return NotRun(Reason(exc.reason), exc.retry_after)
        try:
            return await self._dispatch(call, service, route, escrow, deadline)
        finally:
            parts.admission.release()

    def _duplicate_outcome(self, call: Call) -> Outcome:
        if self._parts.attempts.revoke(call.attempt_id, 0.0):
            return self._not_run(Reason.REVOKED)
        return Unknown("the attempt has arrived twice; its first copy runs or ran")

    def _refusal_for(
        self, service: ServiceSettings, route: RouteSettings, key: float
    ) -> Reason | None:
        refusal = self._parts.acceptance.refusal()
        if refusal is not None:
            return refusal
        limit = self._parts.admission.limiter.limit
        for need in route.needs:
            if self._parts.dependencies.share_used_up(need, service.dependency_share, limit):
                return Reason.DEPENDENCY_SHARE
        if route.needs and key < self._parts.needs_level(route):
            # The needed service would refuse the nested call at this priority, so the work of
            # the parent would be wasted.
            return Reason.DEPENDENCY_CLOSED
        return None

    async def _dispatch(
        self,
        call: Call,
        service: ServiceSettings,
        route: RouteSettings,
        escrow: Escrow,
        deadline: Deadline,
    ) -> Outcome:
        parts = self._parts
        refusal = parts.acceptance.refusal()
        if refusal is not None:
            return self._not_run(refusal)
        remaining = deadline.remaining(parts.clock)
        if remaining <= 0:
            return self._not_run(Reason.DEADLINE_PASSED)
        delay = parts.upstream.delay(route.idempotent)
        if delay > 0:
            return NotRun(Reason.UPSTREAM_SHED, delay, "the instance names a rate limit")
        if not parts.attempts.mark_dispatched(call.attempt_id):
            return self._not_run(Reason.REVOKED)
        execution = parts.executions.open(
            call.root_id,
            call.priority,
            call.depth,
            route.idempotent,
            deadline,
            escrow,
            f"{call.service}/{call.route}",
        )
        try:
            return await self._send(call, service, execution, remaining)
        finally:
            parts.executions.close(execution)

    async def _send(
        self, call: Call, service: ServiceSettings, execution: Execution, remaining: float
    ) -> Outcome:
        parts = self._parts
        started = parts.clock.monotonic()
        outcome = await parts.upstream.send(call, execution.token, remaining, service.shed_header)
        elapsed = parts.clock.monotonic() - started
        if isinstance(outcome, NotRun):
            parts.admission.limiter.record_refusal()
            if execution.nested_calls:
                return Failed("the instance shed the request after it had made nested calls")
            return outcome
        parts.service_times.record(call.route, elapsed)
        if not isinstance(outcome, Unknown):
            own_time = elapsed - execution.nested_time
            parts.admission.limiter.record_completion(max(0.0, own_time))
        return outcome

    def _route_level(self, route: RouteSettings) -> float:
        return max(self._parts.admission.level(), self._parts.needs_level(route))

    def _not_run(self, reason: Reason, detail: str = "") -> NotRun:
        return NotRun(reason, self._parts.admission.retry_after(), detail)

    def _grant_refusal(self, reason: Reason, level: float) -> GrantReply:
        admission = self._parts.admission
        return GrantReply("", reason.value, admission.retry_after(), level, admission.load)

    def _build_attempt_result(
        self, outcome: Outcome, escrow: Escrow, route: RouteSettings | None
    ) -> AttemptResult:
        admission = self._parts.admission
        level = self._route_level(route) if route else 0.0
        match outcome:
            case Done() | NotRun() | Failed():
                unspent = escrow.balance
            case Unknown():
                unspent = 0  # the request may still be running and spending its allowance
        expected = self._parts.service_times.expected(route.name) if route else 0.0
        return AttemptResult(outcome, unspent, level, admission.load, expected)

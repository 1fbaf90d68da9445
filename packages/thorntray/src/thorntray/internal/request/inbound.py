"""The owner's side of a request: what a node does before its instance.

Order matters here, and each step guards one promise:

1. the session is checked, so that nothing meant for a dead process runs here;
2. a grant is opened; a copy of a begun request joins it instead of running (at most once);
3. the attempt is registered, unless it was revoked;
4. admission gives a slot, or refuses at once;
5. deadline and acceptance are read AGAIN: the process may have been frozen in the queue;
6. the attempt is marked as dispatched, and only then the first byte is written.

Up to step 6 a refusal is `NotRun` and true. After it, only the instance's own declared shed
answer can still be `NotRun`, and only if the request made no nested call.
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
from thorntray.internal.request.grant import GrantBook, GrantRecord
from thorntray.internal.request.order import shed_key
from thorntray.internal.request.outcome import (
    Attempt,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from thorntray.internal.version.settings import RouteSettings, ServiceSettings, Settings

MAX_CALL_DEPTH = 32  # deeper chains are refused: they are loops


class Upstream(Protocol):
    """The upstream instance beside this node."""

    async def send(self, call: Call, token: str, timeout: float, shed_header: str) -> Outcome:
        """Send the request and return its outcome; never raises but for cancellation."""
        ...


class Acceptance(Protocol):
    """Whether the instance takes new work now."""

    def refusal(self) -> Reason | None:
        """Return why new work is refused, or None."""
        ...


Elsewhere = Callable[[Call, Escrow, Deadline], Awaitable[Outcome]]


@dataclass(slots=True)
class InboundParts:
    """What the owner's side is made of; all of it lives as long as the process."""

    service: str
    session: bytes
    upstream: Upstream
    acceptance: Acceptance
    admission: Admission
    grants: GrantBook
    attempts: AttemptTable
    executions: ExecutionTable
    dependencies: DependencyWaits
    service_times: ServiceTimes
    settings: Callable[[], Settings]
    needs_level: Callable[[RouteSettings], float]
    elsewhere: Elsewhere
    clock: Clock


class Inbound:
    """Runs requests at the upstream instance beside this node."""

    def __init__(self, parts: InboundParts) -> None:
        self._parts = parts
        self._kept: set[asyncio.Task[Any]] = set()
        self._running: dict[bytes, asyncio.Task[Outcome]] = {}
        self._active = 0

    @property
    def active(self) -> int:
        """Return how many requests are here and not yet answered."""
        return self._active + len(self._kept)

    async def run(self, call: Call) -> Attempt:
        """Return the outcome of a call that another node, or this one, sent."""
        self._active += 1
        try:
            return await self._run(call)
        finally:
            self._active -= 1

    async def _run(self, call: Call) -> Attempt:
        escrow = Escrow(call.allowance)
        deadline = Deadline.from_wire(call.budget, call.wall_deadline, self._parts.clock)
        route = self._find_route(call)
        if call.session != self._parts.session:
            outcome = self._wrong_incarnation(call)
        elif route is None:
            outcome = self._not_run(Reason.UNKNOWN_ROUTE)
        elif call.grant:
            outcome = await self._run_granted(call, route, escrow, deadline)
        else:
            outcome = await self._run_tracked(call, route, escrow, deadline)
        return self._attempt(outcome, escrow, route)

    def grant(self, req: GrantRequest) -> GrantReply:
        """Issue a grant, unless the request would be refused anyway."""
        parts = self._parts
        service = parts.settings().services.get(req.service)
        route = service.route_named(req.route) if service else None
        if req.session != parts.session:
            return self._no_grant(Reason.WRONG_INCARNATION, 0.0)
        if route is None or req.service != parts.service:
            return self._no_grant(Reason.UNKNOWN_ROUTE, 0.0)
        level = self._route_level(route)
        refusal = parts.acceptance.refusal()
        if refusal is not None:
            return self._no_grant(refusal, level)
        if req.shed_key < level:
            return self._no_grant(Reason.SHED, level)
        try:
            token = parts.grants.issue(req.service, req.route, req.idempotency_key)
        except GrantsFull:
            return self._no_grant(Reason.GRANTS_FULL, level)
        begun = parts.grants.begun(req.service, req.route, req.idempotency_key)
        return GrantReply(token, "", 0.0, level, parts.admission.load, begun)

    def revoke(self, req: Revoke) -> Revoked:
        """Give up an attempt; cancels a running one only where it is idempotent."""
        if req.session != self._parts.session:
            # The process that it was meant for may have run it before it died.
            return Revoked(req.attempt_id, False)
        until = self._parts.clock.monotonic() + req.budget
        not_run = self._parts.attempts.revoke(req.attempt_id, until)
        task = self._running.get(req.attempt_id)
        if task is not None:
            task.cancel()
        return Revoked(req.attempt_id, not_run)

    async def drained(self) -> None:
        """Return when no non-idempotent request runs any more."""
        while self._kept:
            await asyncio.wait(self._kept)

    def _find_route(self, call: Call) -> RouteSettings | None:
        if call.service != self._parts.service or call.depth > MAX_CALL_DEPTH:
            return None
        service = self._parts.settings().services.get(call.service)
        return service.route_named(call.route) if service else None

    def _wrong_incarnation(self, call: Call) -> Outcome:
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
            self._keep(task)
        return await self._join(record, deadline)

    def _keep(self, task: asyncio.Task[Any]) -> None:
        self._kept.add(task)
        task.add_done_callback(self._kept.discard)

    async def _join(self, record: GrantRecord, deadline: Deadline) -> Outcome:
        left = max(0.0, deadline.remaining(self._parts.clock))
        try:
            async with asyncio.timeout(left):
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
        outcome: Outcome = Unknown("the node failed while the request ran")
        try:
            outcome = await self._execute(call, route, escrow, deadline)
            if isinstance(outcome, NotRun):
                outcome = await self._move_on(call, outcome, escrow, deadline)
        finally:
            self._parts.grants.finish(record, outcome)

    async def _move_on(
        self, call: Call, refusal: NotRun, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        """Try another instance under the same grant, which stays here."""
        if escrow.balance == 0 or deadline.passed(self._parts.clock):
            return refusal
        # From here a revocation must fail: the request may run elsewhere.
        if not self._parts.attempts.block_revocation(call.attempt_id):
            return refusal
        outcome = await self._parts.elsewhere(call, escrow, deadline)
        return refusal if isinstance(outcome, NotRun) else outcome

    async def _run_tracked(
        self, call: Call, route: RouteSettings, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        # A task of its own, so that a revocation cancels the request and not its connection.
        task = asyncio.create_task(self._execute(call, route, escrow, deadline))
        if not route.idempotent:
            # It outlives its caller: a payout that runs is not cut off by a hang-up.
            self._keep(task)
            return await asyncio.shield(task)
        self._running[call.attempt_id] = task
        try:
            return await task
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if current is not None and current.cancelling():
                task.cancel()
                raise
            return Unknown("cancelled by the caller's node")
        finally:
            self._running.pop(call.attempt_id, None)

    async def _execute(
        self, call: Call, route: RouteSettings, escrow: Escrow, deadline: Deadline
    ) -> Outcome:
        parts = self._parts
        if deadline.passed(parts.clock):
            return self._not_run(Reason.DEADLINE)
        if not parts.attempts.register(call.attempt_id, deadline.at):
            return self._already_seen(call)
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

    def _already_seen(self, call: Call) -> Outcome:
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
            # Running the parent would be wasted: its child is refused for this class.
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
        left = deadline.remaining(parts.clock)
        if left <= 0:
            return self._not_run(Reason.DEADLINE)
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
            return await self._send(call, service, execution, left)
        finally:
            parts.executions.close(execution)

    async def _send(
        self, call: Call, service: ServiceSettings, execution: Execution, left: float
    ) -> Outcome:
        parts = self._parts
        started = parts.clock.monotonic()
        outcome = await parts.upstream.send(call, execution.token, left, service.shed_header)
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

    def _no_grant(self, reason: Reason, level: float) -> GrantReply:
        admission = self._parts.admission
        return GrantReply("", reason.value, admission.retry_after(), level, admission.load)

    def _attempt(self, outcome: Outcome, escrow: Escrow, route: RouteSettings | None) -> Attempt:
        admission = self._parts.admission
        level = self._route_level(route) if route else 0.0
        match outcome:
            case Done() | NotRun() | Failed():
                unspent = escrow.balance
            case Unknown():
                unspent = 0  # what runs on unseen may still spend it
        expected = self._parts.service_times.expected(route.name) if route else 0.0
        return Attempt(outcome, unspent, level, admission.load, expected)

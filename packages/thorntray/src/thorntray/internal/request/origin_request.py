"""One request at its origin: admission, attempts and retries, deadline, and response.

If any attempt may have run the request, the request is never reported as not run, whatever the
results of later attempts are. A non-idempotent request is retried only if it is proven that no
attempt ran it.

A failure that an instance has answered is kept while the request is retried, and passed on if the
retry ends without an answer: an answer that was received is owed to the caller.
"""

import asyncio
from math import inf

from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.frame import ResultFrame
from thorntray.internal.connection.link import Link
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.call_parents import RunningRequest
from thorntray.internal.overload.crash_isolation import choose_instance
from thorntray.internal.overload.root_admission import CLOSED_PRICE
from thorntray.internal.overload.worth import Priority
from thorntray.internal.request.attempt_frame import call_frame
from thorntray.internal.request.attempt_outcome import (
    record_outcome,
    should_retry_answer,
    within_memory,
)
from thorntray.internal.request.fingerprint import fingerprint
from thorntray.internal.request.origin_context import OriginContext, RequestHead
from thorntray.internal.request.owner_request import LOCAL_CALL_NUMBER, OwnerRequest
from thorntray.internal.request.request_holder import Holder, holder_of_request
from thorntray.internal.request.result import (
    NO_REPORT,
    Cause,
    LoadReport,
    Result,
    ResultKind,
    not_run,
    unknown,
)
from thorntray.internal.request.result_frames import result_from_frame
from thorntray.internal.request.stop_time import has_time_to_retry, is_admitted_in_stop
from thorntray.internal.telemetry.events import log_handler_failure
from thorntray.internal.version.policy import Route
from thorntray.internal.version.workspaces import Workspace

DEFAULT_DEADLINE = 10.0  # seconds, for requests without a deadline field
OWNER_RESULT_GRACE = 0.03  # seconds past the deadline to wait for the owner's own result
MAX_REFUSALS = 4  # refusals after which the request is not sent to further members
NO_INSTANCE_RETRY_AFTER = 0.5  # seconds, before jitter
STOPPING_RETRY_AFTER = 1.0  # seconds, before jitter; about the time of a restart

# Refusals by a working instance: the service is overloaded, not unavailable.
_OVERLOAD_CAUSES = frozenset({Cause.FULL, Cause.EXPIRED, Cause.REJECTED})
UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504


class OriginRequest:
    """One request at its origin, from its arrival to its response."""

    __slots__ = ("context", "exchange", "head", "route", "service", "route_key", "parent", "worth")
    __slots__ += ("workspace",)
    __slots__ += (
        "arrived_at",
        "expiry",
        "timer",
        "tried",
        "full",
        "refusals",
        "arrivals",
        "maybe_ran",
    )
    __slots__ += (
        "member",
        "owner_request",
        "link",
        "call_number",
        "finished",
        "attempt",
        "sent_at",
        "nested",
        "saw_overload",
        "return_after",
        "fingerprint",
        "suspected",
        "kept_answer",
        "held_by",
    )

    def __init__(
        self,
        context: OriginContext,
        exchange: Exchange,
        head: RequestHead,
        route: Route,
        workspace: Workspace | None = None,
        arrived_at: float | None = None,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.head = head
        self.route = route
        self.workspace = workspace  # that the caller belongs to, None if there is none
        self.service = context.choose_service(route)
        self.route_key = f"{route.name}>{self.service}"
        # Earlier than now if the request has waited for a token of its quota.
        self.arrived_at = context.deps.clock.monotonic() if arrived_at is None else arrived_at
        deadline = DEFAULT_DEADLINE if head.deadline is None else head.deadline
        self.expiry = self.arrived_at + min(deadline, route.timeout)
        self.parent: RunningRequest | None = None
        self.nested = False  # whether the own instance sent it for a request that it is running
        steps = 0 if workspace is None else workspace.steps_above_usual
        self.worth = Priority(route.priority, steps).worth
        self.timer: asyncio.TimerHandle | None = None
        self.tried: set[str] = set()  # members not to send it to again
        self.full: set[str] = set()  # members that had no free slot in time
        self.refusals = 0  # attempts that did not reach an instance
        self.arrivals = 0  # attempts that reached an instance, or may have
        self.attempt = 0  # number of the current attempt; results of earlier ones are ignored
        self.maybe_ran = False  # whether an attempt may have run at an instance
        self.return_after: float | None = None  # seconds, least of the refusing instances
        self.saw_overload = False  # whether an instance refused it because of overload
        self.member: Member | None = None
        self.owner_request: OwnerRequest | None = None
        self.link: Link | None = None
        self.call_number = 0
        self.sent_at = 0.0
        self.finished = False
        self.fingerprint: int | None = None  # only while there are suspects
        self.suspected = False  # whether an instance had crashed with it before the last send
        self.kept_answer: Result | None = None  # newest failure answered, while it is retried
        self.held_by: Holder | None = None  # who held it when the stop of this node ended it

    def start(self) -> None:
        """Decide on admission and start the first attempt."""
        deps = self.context.deps
        self.context.active.add(self)
        self._find_parent()
        if not is_admitted_in_stop(self):
            self.finish(not_run(Cause.DRAINING, STOPPING_RETRY_AFTER))
            return
        if not self.nested:
            deps.budget.deposit(self.service)
            if not deps.admission.admit(
                self.route_key, self.worth, self.arrived_at, self.workspace
            ):
                self.finish(not_run(Cause.PRICED_OUT, self.route.target_latency / 2))
                return
        self.exchange.on_cancel = self.cancel
        left = self.expiry - deps.clock.monotonic() + OWNER_RESULT_GRACE
        self.timer = asyncio.get_running_loop().call_later(left, self._on_timeout)
        self._try_next()

    @property
    def refused_here(self) -> bool:
        """Return whether the request has ended without having been sent to any instance."""
        return self.finished and not self.maybe_ran and not self.arrivals

    def _find_parent(self) -> None:
        """Detect whether this is a nested call of a request that the own instance is running."""
        running, nested_routes = self.context.deps.running, self.context.nested_routes
        if self.workspace is not None:  # instances have no key
            nested_routes.record_key(self.route.name)
            return
        deadline = self.head.deadline
        if deadline is None:
            return
        expiry = self.arrived_at + deadline
        self.parent = self.context.find_parent(self.head)
        policy = self.context.deps.policy()
        if policy is None or not policy.workspaces:
            nested_routes.record(self.route.name, self.parent is not None)
            self.nested = self.parent is not None or nested_routes.is_nested(self.route.name)
        else:
            self.context.record_call(self.head, self.route)
            # Where a key is needed, only the instance's calls are accepted without one.
            needs_key = not self.route.anonymous
            by_route = nested_routes.is_nested(self.route.name)
            self.nested = self.parent is not None or needs_key or by_route
        if self.nested and self.parent is None:
            self.parent = running.nearest_of_unmatched(expiry)
        if self.parent is not None:
            self.parent.made_nested_calls = True
            self.worth = self.parent.worth

    def cancel(self) -> None:
        """Cancel the request because the caller disconnected."""
        if not self.finished:
            self._cancel_attempt()
            self._mark_finished(unknown(Cause.CANCELLED))

    def end_for_stop(self) -> None:
        """End the request because this node stops, as not run only if that is certain."""
        self.held_by = holder_of_request(self)
        sent = self._cancel_attempt()
        if sent or self.maybe_ran:
            self._finish_unknown(Cause.DRAINING)
        else:
            self.finish(not_run(Cause.DRAINING, STOPPING_RETRY_AFTER))

    def finish(self, result: Result) -> None:
        """Send the response to the caller; only the first call has an effect."""
        if self.finished:
            return
        self._mark_finished(result)
        self.exchange.respond(*self._http_answer(result))

    def _finish_unknown(self, cause: Cause) -> None:
        """End the request without a further answer."""
        self.finish(self.kept_answer or unknown(cause))

    def _mark_finished(self, result: Result) -> None:
        self.finished = True
        self.context.active.discard(self)
        if self.sent_at and result.kind is not ResultKind.NOT_RUN:
            now = self.context.deps.clock.monotonic()
            self.context.durations.record(self.route_key, now - self.arrived_at)
        self.exchange.on_cancel = None
        if self.timer is not None:
            self.timer.cancel()
        try:
            self.context.deps.on_finish(self, result)
        except Exception:  # the caller is answered even if the result cannot be logged or counted
            log_handler_failure(id=self.head.request_id.decode("latin-1"))

    def _http_answer(self, result: Result) -> tuple[int, bytes, bytes]:
        match result.kind:
            case ResultKind.ANSWERED:
                return result.status, result.header_lines, result.body
            case ResultKind.NOT_RUN:
                seconds = result.retry_after or NO_INSTANCE_RETRY_AFTER
                return UNAVAILABLE, self.context.retry_after_line(seconds), b""
            case ResultKind.UNKNOWN:
                status = GATEWAY_TIMEOUT if result.cause is Cause.EXPIRED else BAD_GATEWAY
                return status, b"", b""

    def _try_next(self) -> None:
        deps = self.context.deps
        now = deps.clock.monotonic()
        if deps.isolation.active and self._refuse_if_blocked():
            return
        members = deps.directory.members_of(self.service)
        if self.suspected and self._try_isolated(members, now):
            return
        time_left = inf if self.route.idempotent else self.expiry - now
        unfit = self.tried | self.full
        member = deps.placement.pick(members, self.route_key, unfit, now, time_left)
        if member is None and self.full:
            self.full.clear()
            member = deps.placement.pick(members, self.route_key, self.tried, now)
        if member is None:
            if not self.saw_overload:
                self._mark_service_unavailable(now)
            cause = Cause.FULL if self.saw_overload else Cause.NO_INSTANCE
            self._give_up(not_run(cause, NO_INSTANCE_RETRY_AFTER))
            return
        self._send_to(member, now)

    def _try_isolated(self, members: list[Member], now: float) -> bool:
        """Send a suspect of a crash to the instance that all nodes choose for it.

        If that one has refused it, a suspect of one crash goes to the next, any other is given up.
        Returns False if the request is to be sent like any other.
        """
        isolation, fingerprint = self.context.deps.isolation, self.get_fingerprint()
        if not isolation.group_limit(fingerprint):
            return False
        refusing = self.tried | self.full
        alone = isolation.runs_alone(fingerprint)
        if not alone:
            members = [member for member in members if member.name not in refusing]
        chosen = choose_instance(members, fingerprint)
        if chosen is not None and chosen.name not in refusing:
            self._send_to(chosen, now)
        elif alone:
            self._give_up(not_run(Cause.BLOCKED, NO_INSTANCE_RETRY_AFTER))
        else:
            return False
        return True

    def _refuse_if_blocked(self) -> bool:
        """Refuse the request if instances crash of it; return whether it was refused."""
        deps, fingerprint = self.context.deps, self.get_fingerprint()
        refused_for = deps.isolation.refused_for(fingerprint)
        if refused_for > 0:
            self._give_up(not_run(Cause.BLOCKED, refused_for))
            return True
        self.suspected = deps.suspects.is_suspected(fingerprint)
        return False

    def get_fingerprint(self) -> int:
        """Return what identifies the request when instances crash of it."""
        if self.fingerprint is None:
            request = self.exchange.request
            self.fingerprint = fingerprint(
                self.route.name,
                request.method,
                request.target,
                self.workspace_name,
                request.body,
            )
        return self.fingerprint

    def _mark_service_unavailable(self, now: float) -> None:
        """Set the service's price to `CLOSED_PRICE`, here and in the results sent to the parent.

        Admission then rejects root requests whose call tree needs the service and would fail.
        """
        closed = {self.service: CLOSED_PRICE}
        self.context.deps.admission.prices.update(self.service, closed, now)
        if self.parent is not None:
            self.parent.add_costs({}, closed)

    def _send_to(self, member: Member, now: float) -> None:
        deps = self.context.deps
        self.member = member
        self.tried.add(member.name)
        self.attempt += 1
        attempt = self.attempt
        self.sent_at = now
        deps.placement.record_dispatch(member.name)

        def on_result(outcome: ResultFrame | Cause) -> None:
            self._on_frame(attempt, member, outcome)

        if member.name == deps.own_name:
            self.link = None
            call = call_frame(self, LOCAL_CALL_NUMBER, now)
            self.owner_request = deps.owner.submit(
                call, lambda r: self._on_result(attempt, member, r)
            )
            if self.attempt != attempt or self.finished:
                self.owner_request = None
        else:
            self.owner_request = None
            self.link = deps.links.link_to(member)
            self.call_number = self.link.call(
                lambda number: call_frame(self, number, now), on_result
            )

    @property
    def workspace_name(self) -> str:
        """Return the name of the call tree's workspace, empty if there is none."""
        if self.workspace is not None:
            return self.workspace.name
        return self.parent.workspace if self.parent is not None else ""

    def _on_frame(self, attempt: int, member: Member, outcome: ResultFrame | Cause) -> None:
        match outcome:
            case ResultFrame():
                result = result_from_frame(outcome)
            case Cause.NO_INSTANCE | Cause.FULL:  # never sent
                result = not_run(outcome)
            case _:
                result = unknown(outcome)
        self._on_result(attempt, member, result)

    def _on_result(self, attempt: int, member: Member, result: Result) -> None:
        deps = self.context.deps
        now = deps.clock.monotonic()
        deps.placement.record_result(member.name, self.route_key, result.report, now)
        if result.report.limit:
            deps.placement.record_notice(member.name, result.notice, now)
            deps.notices.record(member.name, result.notice, now)
        if self.finished or attempt != self.attempt:
            return
        self.owner_request = self.link = None
        record_outcome(self, member, result, now)
        if result.kind is ResultKind.ANSWERED and not should_retry_answer(self.route, result):
            self.finish(within_memory(self, member, result))
            return
        if result.kind is ResultKind.ANSWERED:
            self.kept_answer = within_memory(self, member, result)
        self._handle_failed_attempt(result, now)

    def _handle_failed_attempt(self, result: Result, now: float) -> None:
        arrived = result.kind is not ResultKind.NOT_RUN or result.cause is Cause.REJECTED
        self.maybe_ran = self.maybe_ran or result.kind is not ResultKind.NOT_RUN
        if arrived:
            self.arrivals += 1
        else:
            self.refusals += 1
        if result.cause is Cause.FULL and self.member is not None:
            self.tried.discard(self.member.name)
            self.full.add(self.member.name)
            self._record_return_time(result.retry_after)
            result = result._replace(retry_after=0.0)
        self.saw_overload = self.saw_overload or result.cause in _OVERLOAD_CAUSES
        if now >= self.expiry or result.cause is Cause.EXPIRED or not has_time_to_retry(self):
            self._give_up(result)
        elif self._crashes_instances(result):
            self._give_up(result)
        elif arrived and not self._may_retry(result):
            self._give_up(result)
        elif self.refusals >= MAX_REFUSALS:
            self._give_up(result)
        else:
            self._try_next()

    def _crashes_instances(self, result: Result) -> bool:
        """Return whether a further send would probably crash the next instance."""
        if result.cause in (Cause.CRASHED, Cause.BLOCKED):
            return True
        return result.cause is Cause.LOST and self.suspected

    def _may_retry(self, result: Result) -> bool:
        """Return whether to retry; if so, the retry has been charged to the budget."""
        deps = self.context.deps
        if self.maybe_ran and not self.route.idempotent:
            return False
        if self.arrivals >= self.route.max_attempts:
            return False
        costs = result.costs or deps.admission.costs.get(self.route_key)
        paid = deps.budget.try_spend(self.service, costs)
        deps.on_retry(self, result, paid)
        return paid

    def _give_up(self, result: Result) -> None:
        if result.kind is not ResultKind.ANSWERED and self.maybe_ran:
            self._finish_unknown(result.cause)
            return
        if result.kind is ResultKind.NOT_RUN:
            usual = result.retry_after or self.route.target_latency / 4
            result = result._replace(retry_after=max(usual, self.return_after or 0.0))
        self.finish(result)

    def _record_return_time(self, seconds: float) -> None:
        """Keep the least time after which a full instance takes a further request; 0: any time."""
        known = self.return_after
        self.return_after = seconds if known is None else min(known, seconds)

    def _on_timeout(self) -> None:
        self.timer = None
        sent = self._cancel_attempt()
        if sent or self.maybe_ran:
            self._finish_unknown(Cause.EXPIRED)
        else:
            self.finish(not_run(Cause.EXPIRED, self.route.target_latency / 4))

    def _cancel_attempt(self) -> bool:
        """Cancel the current attempt; returns False if it is certain that it never ran."""
        deps = self.context.deps
        member, owner_request, link = self.member, self.owner_request, self.link
        self.attempt += 1
        self.owner_request = self.link = None
        if owner_request is not None:
            sent = owner_request.instance_call is not None
            owner_request.cancel()
            return sent
        if link is not None and member is not None:
            deps.placement.record_result(
                member.name, self.route_key, self._report_without_result(), deps.clock.monotonic()
            )
            return link.cancel(self.call_number)
        return False

    def _report_without_result(self) -> LoadReport:
        """Return a load report with the time since the attempt was sent as its service time."""
        waited = self.context.deps.clock.monotonic() - self.sent_at
        return NO_REPORT._replace(service_time=waited)

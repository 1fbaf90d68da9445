"""One request at its origin: admission, attempts, time, and its answer.

A request that an attempt may have run is never reported as not run, whatever the later attempts
say; and one that may run only once is sent again only after a proven "not run".
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from thorntray.internal.connection.frame import CallFrame, ResultFrame
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.connection.http_server import Exchange
from thorntray.internal.connection.link import Link, Links
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.call_parents import InnerRoutes, Run, RunningCalls
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.placement import Placement
from thorntray.internal.overload.retry_budget import RetryBudget
from thorntray.internal.overload.root_admission import CLOSED_PRICE, RootAdmission, worth_of
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.owner import Held, Owner
from thorntray.internal.request.result import (
    NO_REPORT,
    Cause,
    End,
    LoadReport,
    Result,
    not_run,
    unknown,
)
from thorntray.internal.request.result_frames import result_from
from thorntray.internal.version.policy import Policy, Route

DEFAULT_DEADLINE = 10.0  # seconds, for a caller that gives none
ANSWER_GRACE = 0.03  # seconds past the deadline in which the owner's own word may arrive
MAX_REFUSALS = 4  # members that may refuse a request before it is given up
ROOT_WAIT_SHARE = 0.125  # of the target latency that a fresh request may wait for a slot
NESTED_WAIT = 0.5  # seconds that a call of a running request may wait for a slot
NO_INSTANCE_RETRY = 0.5  # seconds
RETRY_SPREAD = 0.5  # of a time to come back, at random, so that callers do not return together
MAX_LEAF_CALLS = 1.5  # calls of a tree up to which a failed answer is asked for again

# Refusals that show an instance at work: the service is short of slots, not closed.
_BUSY_CAUSES = frozenset({Cause.FULL, Cause.EXPIRED, Cause.REJECTED})
UNAVAILABLE, BAD_GATEWAY, GATEWAY_TIMEOUT = 503, 502, 504


class Directory(Protocol):
    """Who is there."""

    def members_of(self, service: str) -> list[Member]:
        """Return the members whose instance serves a service."""
        ...


class OriginParts(NamedTuple):
    """What the origin's side is made of; all of it lives as long as the process."""

    own_name: str
    own_service: str
    names: HeaderNames
    policy: Callable[[], Policy | None]
    directory: Directory
    owner: Owner
    links: Links
    running: RunningCalls
    admission: RootAdmission
    placement: Placement
    ejection: Ejection
    budget: RetryBudget
    clock: Clock
    rng: Random
    on_end: Callable[["OriginRequest", Result], None]
    on_repeat: Callable[["OriginRequest", Result, bool], None]  # with whether the budget pays


class OriginContext:
    """What the requests of one origin share."""

    def __init__(self, parts: OriginParts) -> None:
        self.parts = parts
        self.inner_routes = InnerRoutes()
        self._split_credit: dict[tuple[str, str], float] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for one request; shares are kept by counting, not by chance."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        best, best_credit = route.targets[0].service, float("-inf")
        for service, weight in route.targets:
            key = (route.name, service)
            credit = self._split_credit.get(key, self.parts.rng.random()) + weight / total
            self._split_credit[key] = credit
            if credit > best_credit:
                best, best_credit = service, credit
        self._split_credit[(route.name, best)] -= 1.0
        return best

    def retry_line(self, seconds: float) -> bytes:
        """Return the header line that tells a caller when to come back."""
        return b"%b: %.3f\r\n" % (self.parts.names.retry_after, _spread(seconds, self.parts.rng))


def _spread(seconds: float, rng: Random) -> float:
    """Return a time to come back that differs from caller to caller."""
    return seconds * (1.0 + RETRY_SPREAD * rng.random())


class RequestHead(NamedTuple):
    """What is needed of a request's header fields."""

    host: str
    request_id: bytes
    deadline: float | None  # seconds
    lines: bytes  # the fields that are passed on


class OriginRequest:
    """One request from its arrival to its answer."""

    __slots__ = ("context", "exchange", "head", "route", "service", "route_key", "parent", "worth")
    __slots__ += ("arrived_at", "expiry", "timer", "tried", "refusals", "arrivals", "maybe_ran")
    __slots__ += (
        "member",
        "held",
        "link",
        "number",
        "ended",
        "attempt",
        "sent_at",
        "nested",
        "found_full",
    )

    def __init__(
        self, context: OriginContext, exchange: Exchange, head: RequestHead, route: Route
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.head = head
        self.route = route
        self.service = context.choose_service(route)
        self.route_key = f"{route.name}>{self.service}"
        self.arrived_at = context.parts.clock.monotonic()
        deadline = DEFAULT_DEADLINE if head.deadline is None else head.deadline
        self.expiry = self.arrived_at + min(deadline, route.timeout)
        self.parent: Run | None = None
        self.nested = False  # whether the own instance asks, for a request that it runs
        self.worth = worth_of(route.priority)
        self.timer: asyncio.TimerHandle | None = None
        self.tried: set[str] = set()
        self.refusals = 0
        self.arrivals = 0
        self.attempt = 0
        self.maybe_ran = False
        self.found_full = False  # whether an instance refused because of its load
        self.member: Member | None = None
        self.held: Held | None = None
        self.link: Link | None = None
        self.number = 0
        self.sent_at = 0.0
        self.ended = False

    def begin(self) -> None:
        """Decide on admission and make the first attempt."""
        parts = self.context.parts
        self._find_parent()
        if not self.nested:
            parts.budget.earn(self.service)
            if not parts.admission.admit(self.route_key, self.route.priority, self.arrived_at):
                self.finish(not_run(Cause.PRICED_OUT, self.route.target_latency / 2))
                return
        self.exchange.on_cancel = self.cancel
        left = self.expiry - self.arrived_at + ANSWER_GRACE
        self.timer = asyncio.get_running_loop().call_later(left, self._time_out)
        self._try_next()

    def _find_parent(self) -> None:
        """Find out whether a running request of the own instance makes this call."""
        deadline = self.head.deadline
        if deadline is None:
            return
        running, inner = self.context.parts.running, self.context.inner_routes
        expiry = self.arrived_at + deadline
        self.parent = running.parent_of(expiry)
        inner.note(self.route.name, self.parent is not None)
        self.nested = self.parent is not None or inner.is_inner(self.route.name)
        if self.nested and self.parent is None:
            self.parent = running.outliving(expiry)
        if self.parent is not None:
            self.parent.made_calls = True
            self.worth = self.parent.worth

    def cancel(self) -> None:
        """Withdraw the request: the caller has gone."""
        if not self.ended:
            self._withdraw()
            self._end(unknown(Cause.CANCELLED))

    def finish(self, result: Result) -> None:
        """Answer the caller."""
        if self.ended:
            return
        self._end(result)
        self.exchange.answer(*self._answer_of(result))

    def _end(self, result: Result) -> None:
        self.ended = True
        self.exchange.on_cancel = None
        if self.timer is not None:
            self.timer.cancel()
        self.context.parts.on_end(self, result)

    def _answer_of(self, result: Result) -> tuple[int, bytes, bytes]:
        match result.end:
            case End.ANSWERED:
                return result.status, result.header_lines, result.body
            case End.NOT_RUN:
                seconds = result.retry_after or NO_INSTANCE_RETRY
                return UNAVAILABLE, self.context.retry_line(seconds), b""
            case End.UNKNOWN:
                status = GATEWAY_TIMEOUT if result.cause is Cause.EXPIRED else BAD_GATEWAY
                return status, b"", b""

    def _try_next(self) -> None:
        parts = self.context.parts
        now = parts.clock.monotonic()
        members = parts.directory.members_of(self.service)
        member = parts.placement.pick(members, self.route_key, self.tried, now)
        if member is None:
            if not self.found_full:
                self._tell_closed(now)
            cause = Cause.FULL if self.found_full else Cause.NO_INSTANCE
            self._give_up(not_run(cause, NO_INSTANCE_RETRY))
            return
        self._send_to(member, now)

    def _tell_closed(self, now: float) -> None:
        """Let the entries know that a service takes nothing: trees that need it are wasted."""
        closed = {self.service: CLOSED_PRICE}
        self.context.parts.admission.prices.hear(self.service, closed, now)
        if self.parent is not None:
            self.parent.add({}, closed)

    def _send_to(self, member: Member, now: float) -> None:
        parts = self.context.parts
        self.member = member
        self.tried.add(member.name)
        self.attempt += 1
        attempt = self.attempt
        self.sent_at = now
        parts.placement.sent(member.name)

        def on_result(end: ResultFrame | Cause) -> None:
            self._on_frame(attempt, member, end)

        if member.name == parts.own_name:
            self.link = None
            call = self._call_frame(0, now)
            self.held = parts.owner.submit(call, lambda r: self._on_result(attempt, member, r))
            if self.attempt != attempt or self.ended:
                self.held = None
        else:
            self.held = None
            self.link = parts.links.to(member)
            self.number = self.link.call(lambda number: self._call_frame(number, now), on_result)

    def _call_frame(self, number: int, now: float) -> CallFrame:
        request = self.exchange.request
        wait = NESTED_WAIT if self.nested else self.route.target_latency * ROOT_WAIT_SHARE
        return CallFrame(
            number=number,
            service=self.service,
            route=self.route_key,
            request_id=self.head.request_id,
            method=request.method,
            target=request.target,
            header_lines=self.head.lines,
            body=request.body,
            caller_service=self.context.parts.own_service,
            idempotent=self.route.idempotent,
            nested=self.nested,
            budget=self.expiry - now,
            max_wait=wait,
            worth=self.worth,
        )

    def _on_frame(self, attempt: int, member: Member, end: ResultFrame | Cause) -> None:
        match end:
            case ResultFrame():
                result = result_from(end)
            case Cause.NO_INSTANCE:
                result = not_run(Cause.NO_INSTANCE)
            case _:
                result = unknown(end)
        self._on_result(attempt, member, result)

    def _on_result(self, attempt: int, member: Member, result: Result) -> None:
        parts = self.context.parts
        now = parts.clock.monotonic()
        parts.placement.ended(member.name, self.route_key, result.report, now)
        if self.ended or attempt != self.attempt:
            return
        self.held = self.link = None
        self._learn(member, result, now)
        if result.end is End.ANSWERED and not self._ask_again(result):
            self.finish(result)
        else:
            self._next_after(result, now)

    def _learn(self, member: Member, result: Result, now: float) -> None:
        parts = self.context.parts
        parts.admission.prices.hear(self.service, result.prices, now)
        if self.parent is not None:
            self.parent.add(result.costs, result.prices)
        if not self.nested and result.costs:
            if result.end is End.ANSWERED and result.status < 500:
                parts.admission.costs.note(self.route_key, result.costs)
            else:
                parts.admission.costs.note_failed(self.route_key, result.costs)
        match result.cause:
            case Cause.LOST | Cause.GARBLED | Cause.REJECTED:
                parts.ejection.note(member.name, failed=True)
            case Cause.NO_INSTANCE | Cause.DRAINING:
                parts.placement.rest(member.name, now)
            case Cause.NONE:
                parts.ejection.note(member.name, failed=False)

    def _ask_again(self, result: Result) -> bool:
        """Return whether a failure of the instance is worth another attempt."""
        return self.route.idempotent and self._failed_by_itself(result)

    def _failed_by_itself(self, result: Result) -> bool:
        """Return whether an instance failed that had made no calls which may be the cause."""
        if result.status < 500:
            return False
        return sum(use[1] for use in result.costs.values()) <= MAX_LEAF_CALLS

    def _next_after(self, result: Result, now: float) -> None:
        arrived = result.end is not End.NOT_RUN or result.cause is Cause.REJECTED
        self.maybe_ran = self.maybe_ran or result.end is not End.NOT_RUN
        if arrived:
            self.arrivals += 1
        else:
            self.refusals += 1
        self.found_full = self.found_full or result.cause in _BUSY_CAUSES
        if now >= self.expiry or result.cause is Cause.EXPIRED:
            self._give_up(result)
        elif arrived and not self._may_repeat(result):
            self._give_up(result)
        elif self.refusals >= MAX_REFUSALS:
            self._give_up(result)
        else:
            self._try_next()

    def _may_repeat(self, result: Result) -> bool:
        parts = self.context.parts
        if self.maybe_ran and not self.route.idempotent:
            return False
        if self.arrivals >= self.route.max_attempts:
            return False
        costs = result.costs or parts.admission.costs.of(self.route_key)
        paid = parts.budget.spend(self.service, costs)
        parts.on_repeat(self, result, paid)
        return paid

    def _give_up(self, result: Result) -> None:
        if result.end is End.NOT_RUN and self.maybe_ran:
            result = unknown(result.cause)
        elif result.end is End.NOT_RUN and not result.retry_after:
            result = result._replace(retry_after=self.route.target_latency / 4)
        self.finish(result)

    def _time_out(self) -> None:
        self.timer = None
        sent = self._withdraw()
        if sent or self.maybe_ran:
            self.finish(unknown(Cause.EXPIRED))
        else:
            self.finish(not_run(Cause.EXPIRED, self.route.target_latency / 4))

    def _withdraw(self) -> bool:
        """Cancel the attempt under way; False if it is certain that it never ran."""
        parts = self.context.parts
        member, held, link = self.member, self.held, self.link
        self.attempt += 1
        self.held = self.link = None
        if held is not None:
            sent = held.sending is not None
            held.cancel()
            return sent
        if link is not None and member is not None:
            parts.placement.ended(
                member.name, self.route_key, self._silence(), parts.clock.monotonic()
            )
            return link.cancel(self.number)
        return False

    def _silence(self) -> LoadReport:
        """Return a report that counts the time without a result as service time."""
        waited = self.context.parts.clock.monotonic() - self.sent_at
        return NO_REPORT._replace(service_time=waited)

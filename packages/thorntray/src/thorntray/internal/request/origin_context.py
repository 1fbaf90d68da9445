"""What all requests of one origin share: the node's components, and the state between requests."""

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.connection.link import Links
from thorntray.internal.membership.instance_notices import InstanceNotices
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.call_durations import CallDurations
from thorntray.internal.overload.call_parents import (
    CallSender,
    NestedRoutes,
    RunningRequest,
    RunningRequests,
)
from thorntray.internal.overload.crash_isolation import CrashIsolation
from thorntray.internal.overload.crash_suspects import CrashSuspects
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.placement import Placement
from thorntray.internal.overload.retry_budget import RetryBudget
from thorntray.internal.overload.root_admission import RootAdmission
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.drain import Drain
from thorntray.internal.process.memory_budget import MemoryBudget
from thorntray.internal.process.pauses import Pauses
from thorntray.internal.request.caller_identity import CallerIdentity
from thorntray.internal.request.owner import Owner
from thorntray.internal.request.quotas import Quotas
from thorntray.internal.request.result import Result
from thorntray.internal.version.policy import Policy, Route

if TYPE_CHECKING:
    from thorntray.internal.request.origin_request import OriginRequest

RETRY_AFTER_JITTER = 0.5  # largest relative addition; keeps callers from retrying simultaneously


class RequestHead(NamedTuple):
    """The parsed header fields of a request."""

    host: str
    request_id: bytes
    deadline: float | None  # seconds after arrival
    lines: bytes  # header lines to forward, each with its CRLF
    authorization: bytes = b""  # value of the Authorization field, if it is not forwarded


class Directory(Protocol):
    """Looks up members by service."""

    def members_of(self, service: str) -> list[Member]:
        """Return the members whose instance provides `service`."""
        ...


class OriginDependencies(NamedTuple):
    """Process-wide components that an `Origin` and its requests use."""

    own_name: str
    own_hosts: frozenset[str]  # IP addresses from which the own instance may call
    own_service: str
    names: HeaderNames
    policy: Callable[[], Policy | None]
    directory: Directory
    owner: Owner
    links: Links
    notices: InstanceNotices
    running: RunningRequests
    admission: RootAdmission
    placement: Placement
    ejection: Ejection
    budget: RetryBudget
    drain: Drain
    clock: Clock
    pauses: Pauses
    rng: Random
    identity: CallerIdentity
    suspects: CrashSuspects
    isolation: CrashIsolation
    on_success: Callable[[int], None]  # with the fingerprint; called while there are suspects
    quotas: Quotas
    memory: MemoryBudget
    on_answer_dropped: Callable[[bytes, str, int], None]  # with its ID, route and bytes
    # Called with the route, None if none matches, and the name of the reason.
    on_refused: Callable[[RequestHead, Route | None, str], None]
    on_finish: Callable[["OriginRequest", Result], None]
    on_retry: Callable[
        ["OriginRequest", Result, bool], None
    ]  # bool: whether the retry budget allows it


class OriginContext:
    """State shared by all requests of one origin."""

    def __init__(self, deps: OriginDependencies) -> None:
        self.deps = deps
        self.nested_routes = NestedRoutes()
        self.active: set[OriginRequest] = set()  # requests without a result
        self.durations = CallDurations(deps.clock)
        self._split_credit: dict[tuple[str, str], float] = {}

    def likely_longest(self, request: "OriginRequest") -> float:
        """Return the seconds within which the attempts of a request most likely end."""
        now, key = self.deps.clock.monotonic(), request.route_key
        running = [each for each in self.active if each.route_key == key and each.sent_at]
        ages = (now - each.arrived_at for each in running)
        target = request.route.target_latency
        return self.durations.likely_longest(key, target, request.expiry - now, ages)

    def find_parent(self, head: RequestHead) -> RunningRequest | None:
        """Return the request, running at the own instance, that a call belongs to."""
        running = self.deps.running
        parent = running.parent_by_id(head.request_id)
        if parent is None and head.deadline is not None:
            parent = running.parent_of(self.deps.clock.monotonic() + head.deadline)
        return parent

    def sender_of_call(self, head: RequestHead, route: Route) -> CallSender:
        """Return who has sent a request without a key from this machine.

        A match of the ID decides at once. On a route that has been judged, an equal expiry may be
        chance, and the judgement decides; before that, the match of this request does.
        """
        running, now = self.deps.running, self.deps.clock.monotonic()
        if running.parent_by_id(head.request_id) is not None:
            return CallSender.INSTANCE
        expiry = None if head.deadline is None else now + head.deadline
        matched = expiry is not None and running.parent_of(expiry) is not None
        can_judge = self._can_judge(now)
        if self.nested_routes.is_judged(route.name):
            accepted = self.nested_routes.is_nested(route.name)
            uncertain = matched or not can_judge
        else:
            read_late = expiry is not None and running.matches_late(expiry)
            accepted = matched or (read_late and self.deps.pauses.ran_late(now))
            uncertain = read_late or not can_judge
        if accepted:
            return CallSender.INSTANCE
        return CallSender.UNCERTAIN if uncertain else CallSender.OTHER

    def record_call(self, head: RequestHead, route: Route) -> None:
        """Record a request without a key, accepted or refused, as evidence on its route.

        A node that runs late records no expiry: its calls match too rarely, and those of others as
        often as ever.
        """
        running, now = self.deps.running, self.deps.clock.monotonic()
        if running.parent_by_id(head.request_id) is not None:
            self.nested_routes.record(route.name, True)
            return
        if head.deadline is None or self.deps.pauses.ran_late(now):
            return
        matched = running.matches(now + head.deadline)
        if matched or (matched is False and not self.deps.identity.is_starting):
            self.nested_routes.record(route.name, matched)

    def _can_judge(self, now: float) -> bool:
        """Return whether a request without a match belongs to no request of the instance."""
        return not self.deps.pauses.ran_late(now) and not self.deps.identity.is_starting

    def choose_service(self, route: Route) -> str:
        """Choose the target service of one request by smooth weighted round-robin."""
        if len(route.targets) == 1:
            return route.targets[0].service
        total = sum(target.weight for target in route.targets)
        best, best_credit = route.targets[0].service, float("-inf")
        for service, weight in route.targets:
            key = (route.name, service)
            credit = self._split_credit.get(key, self.deps.rng.random()) + weight / total
            self._split_credit[key] = credit
            if credit > best_credit:
                best, best_credit = service, credit
        self._split_credit[(route.name, best)] -= 1.0
        return best

    def retry_after_line(self, seconds: float) -> bytes:
        """Return the Retry-After header line for `seconds` plus jitter."""
        return b"%b: %.3f\r\n" % (self.deps.names.retry_after, _jittered(seconds, self.deps.rng))


def _jittered(seconds: float, rng: Random) -> float:
    """Return `seconds` plus a random addition of up to `RETRY_AFTER_JITTER` of it."""
    return seconds * (1.0 + RETRY_AFTER_JITTER * rng.random())

"""Finds the running request that a nested call belongs to.

An instance does not name the parent request when it makes a nested call. Many instances extend the
ID of the request they serve by one segment, which is then unambiguous. Otherwise the call expires
together with the request it serves, and this node assigned that deadline itself, so a call whose
expiry matches that of a running request is attributed to that request. The link gives
all requests of a call tree the same worth and workspace, and sums up their costs at the root, so
that a retry of the root is charged for all calls that it repeats.

A call may expire before its parent if the called route has a shorter time limit of its own.
Then no expiry matches. If other calls on that route were matched, the route is a nested one
(`NestedRoutes`), and the call is attributed to a running request that expires after it.

An equal expiry may be chance, the more often the more requests run. `RunningRequests.matches` thus
looks at a shifted expiry as well, which no call has: if that matches too, the match says nothing.
"""

import re
from enum import Enum

from sortedcontainers import SortedKeyList

_LAST_ID_SEGMENT = re.compile(rb"[^0-9A-Za-z][0-9A-Za-z]+$")
MATCH_TOLERANCE = 0.006  # seconds
MAX_LATENESS = 0.1  # seconds; period in which a processor's allotment is given
CONTROL_SHIFT = 0.02  # seconds; more than twice the tolerance, less than most requests run
MATCH_WEIGHT = 0.05  # least weight of the newest request in a route's average of matches
MIN_JUDGED = 5  # requests from which a route is judged by its average
NESTED_ROUTE_THRESHOLD = 0.3  # share of matched requests above which a route counts as nested
EXPIRY_STEP = 0.004  # seconds; width of the steps in which expiries count as equal


class RunningRequest:
    """A request running at the instance, with the costs of its call tree so far."""

    __slots__ = ("expiry", "worth", "request_id", "workspace")
    __slots__ += ("costs", "prices", "made_nested_calls")

    def __init__(self, expiry: float, worth: float, request_id: bytes, workspace: str = "") -> None:
        self.expiry = expiry  # monotonic seconds
        self.worth = worth
        self.request_id = request_id
        self.workspace = workspace  # name, empty if there is none
        self.costs: dict[str, tuple[float, float]] = {}
        self.prices: dict[str, float] = {}
        self.made_nested_calls = False  # whether a nested call was attributed to it

    def add_costs(self, costs: dict[str, tuple[float, float]], prices: dict[str, float]) -> None:
        """Add costs as (slot-seconds, calls) by service, and keep the prices reported with them."""
        totals = self.costs
        for service, (seconds, calls) in costs.items():
            known = totals.get(service)
            totals[service] = (
                (seconds, calls) if known is None else (known[0] + seconds, known[1] + calls)
            )
        self.prices.update(prices)


def _step_index(expiry: float) -> int:
    return int(expiry / EXPIRY_STEP)


def _expiry(request: RunningRequest) -> float:
    return request.expiry


class RunningRequests:
    """The requests running at the instance, ordered by expiry."""

    def __init__(self) -> None:
        self._requests: SortedKeyList = SortedKeyList(key=_expiry)
        self._by_id: dict[bytes, RunningRequest] = {}
        self._count_by_step: dict[int, int] = {}  # number of requests in each expiry step

    def __len__(self) -> int:
        return len(self._requests)

    def begin(
        self, expiry: float, worth: float, request_id: bytes = b"", workspace: str = ""
    ) -> RunningRequest:
        """Add a request that starts; `expiry` is in monotonic seconds."""
        request = RunningRequest(expiry, worth, request_id, workspace)
        self._requests.add(request)
        self._by_id[request_id] = request
        step = _step_index(expiry)
        self._count_by_step[step] = self._count_by_step.get(step, 0) + 1
        return request

    def end(self, request: RunningRequest) -> None:
        """Remove a request that has ended."""
        self._requests.discard(request)
        if self._by_id.get(request.request_id) is request:
            del self._by_id[request.request_id]
        step = _step_index(request.expiry)
        left = self._count_by_step.get(step, 0) - 1
        if left > 0:
            self._count_by_step[step] = left
        else:
            self._count_by_step.pop(step, None)

    def distinct_expiry(self, expiry: float, max_steps: int) -> float:
        """Return the latest free expiry at or before `expiry`, at most `max_steps` - 1 steps back.

        An expiry is free if no running request expires in the same step. If there is none,
        `expiry` itself is returned.
        """
        step = _step_index(expiry)
        for steps_back in range(max_steps):
            if step - steps_back not in self._count_by_step:
                return expiry - steps_back * EXPIRY_STEP
        return expiry

    def parent_by_id(self, call_id: bytes) -> RunningRequest | None:
        """Return the running request whose ID a nested call's ID extends by a segment, or None."""
        parent_id = _LAST_ID_SEGMENT.sub(b"", call_id)
        return self._by_id.get(parent_id) if parent_id != call_id else None

    def parent_of(self, expiry: float) -> RunningRequest | None:
        """Return the running request that expires together with a nested call, or None."""
        requests = self._requests
        index = requests.bisect_key_left(expiry - MATCH_TOLERANCE)
        closest: RunningRequest | None = None
        closest_gap = MATCH_TOLERANCE
        while index < len(requests):
            request = requests[index]
            if request.expiry > expiry + MATCH_TOLERANCE:
                break
            gap = abs(request.expiry - expiry)
            if gap <= closest_gap:
                closest, closest_gap = request, gap
            index += 1
        return closest

    def matches(self, expiry: float) -> bool | None:
        """Return whether a request expires as a running one does, None if that may be chance."""
        if self.parent_of(expiry) is None:
            return False
        return True if self.parent_of(expiry - CONTROL_SHIFT) is None else None

    def matches_late(self, expiry: float) -> bool:
        """Return whether a call that was read late may expire with a running request."""
        index = self._requests.bisect_key_left(expiry - MAX_LATENESS)
        return index < len(self._requests) and self._requests[index].expiry < expiry

    def nearest_of_unmatched(self, expiry: float) -> RunningRequest | None:
        """Return a running request for a nested call that matches none, None if nothing runs.

        It is the first one that expires after the call, which may have a shorter time limit. If
        there is none, the call was read late, and it is the last one that expires before.
        """
        if not self._requests:
            return None
        index = self._requests.bisect_key_left(expiry)
        return self._requests[min(index, len(self._requests) - 1)]


class CallSender(Enum):
    """Who has sent a request without an API key, as far as its node can tell."""

    INSTANCE = "the instance, for a request that it runs"
    UNCERTAIN = "the instance or another program"
    OTHER = "another program"


class _Judgement:
    """The requests of one route that were judged: their number and the share that matched."""

    __slots__ = ("count", "share")

    def __init__(self) -> None:
        self.count = 0
        self.share = 0.0

    def add(self, matched: bool) -> None:
        """Add a request; the first ones have equal weights."""
        self.count += 1
        self.share += max(1 / self.count, MATCH_WEIGHT) * (matched - self.share)


class NestedRoutes:
    """Which routes this node's instance calls on behalf of the requests it runs.

    The fault: a node that runs late, was paused or has just started matches few calls. If it
    refuses them and does not look at refused calls, it never learns that they match again. So every
    request without a key is evidence, whether it is refused or not, unless the node cannot judge
    it at that time (`OriginContext.record_call`).

    Requests with a key say nothing of those without one. They only are the first `MIN_JUDGED`
    records of a route, so that a route that callers use is open to no other program by chance.
    """

    def __init__(self) -> None:
        self._judgements: dict[str, _Judgement] = {}

    def record(self, route: str, matched: bool) -> None:
        """Record whether a request without a key was matched to a running request."""
        self._judgements.setdefault(route, _Judgement()).add(matched)

    def record_key(self, route: str) -> None:
        """Record a request with a key, which no instance sends."""
        judgement = self._judgements.setdefault(route, _Judgement())
        if judgement.count < MIN_JUDGED:
            judgement.add(False)

    def is_judged(self, route: str) -> bool:
        """Return whether enough requests on a route have been recorded."""
        judgement = self._judgements.get(route)
        return judgement is not None and judgement.count >= MIN_JUDGED

    def is_nested(self, route: str) -> bool:
        """Return whether requests on a route are taken for nested calls, by the matched share."""
        return self.is_judged(route) and self._judgements[route].share > NESTED_ROUTE_THRESHOLD

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
"""

import re

from sortedcontainers import SortedKeyList

_LAST_ID_SEGMENT = re.compile(rb"[^0-9A-Za-z][0-9A-Za-z]+$")
MATCH_TOLERANCE = 0.006  # seconds
MATCH_WEIGHT = 0.05  # weight of the newest request in a route's moving average of matches
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

    def first_expiring_after(self, expiry: float) -> RunningRequest | None:
        """Return the running request with the first expiry at or after `expiry`, or None."""
        index = self._requests.bisect_key_left(expiry)
        return self._requests[index] if index < len(self._requests) else None


class NestedRoutes:
    """Which routes this node's instance calls on behalf of the requests it runs."""

    def __init__(self) -> None:
        self._matched_shares: dict[str, float] = {}

    def record(self, route: str, matched: bool) -> None:
        """Record whether a request on a route was matched to a running request."""
        share = self._matched_shares.get(route, float(matched))
        self._matched_shares[route] = share + MATCH_WEIGHT * (matched - share)

    def is_known(self, route: str) -> bool:
        """Return whether a request on a route has been recorded."""
        return route in self._matched_shares

    def is_nested(self, route: str) -> bool:
        """Return whether requests on a route are taken for nested calls, by the matched share."""
        return self._matched_shares.get(route, 0.0) > NESTED_ROUTE_THRESHOLD

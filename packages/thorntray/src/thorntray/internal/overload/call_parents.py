"""Which running request a nested call belongs to.

An instance names no parent when it calls, but its calls expire with the request that they serve,
and this node handed that time out itself. So a call that expires when a running request does is
that request's. The link gives a tree one worth, counts its costs at its root, and marks the
calls of a repeated run as repeats.

A call may expire sooner than its parent, where the called route has a shorter time of its own.
Then no expiry fits; but a route whose other calls were matched is an inner one (`InnerRoutes`),
and the call is counted to a run that outlives it.
"""

from sortedcontainers import SortedKeyList

MATCH_TOLERANCE = 0.006  # seconds
MATCH_WEIGHT = 0.05  # of the newest request in the matched share of a route
INNER_ABOVE = 0.3  # matched share from which a route is an inner one


EXPIRY_STEP = 0.004  # seconds between expiries that count as distinct


class Run:
    """A request that runs at the instance, and what its calls have cost so far."""

    __slots__ = ("expiry", "worth", "request_id", "costs", "prices", "made_calls")

    def __init__(self, expiry: float, worth: float, request_id: bytes) -> None:
        self.expiry = expiry  # monotonic seconds
        self.worth = worth
        self.request_id = request_id
        self.costs: dict[str, tuple[float, float]] = {}
        self.prices: dict[str, float] = {}
        self.made_calls = False  # whether a nested call was counted to it

    def add(self, costs: dict[str, tuple[float, float]], prices: dict[str, float]) -> None:
        """Count what one nested call took, and keep the prices that it told."""
        own = self.costs
        for service, (seconds, calls) in costs.items():
            known = own.get(service)
            own[service] = (
                (seconds, calls) if known is None else (known[0] + seconds, known[1] + calls)
            )
        self.prices.update(prices)


def _step(expiry: float) -> int:
    return int(expiry / EXPIRY_STEP)


def _expiry(run: Run) -> float:
    return run.expiry


class RunningCalls:
    """The requests that run at the instance, by their expiry."""

    def __init__(self) -> None:
        self._runs: SortedKeyList = SortedKeyList(key=_expiry)
        self._steps: dict[int, int] = {}  # runs by expiry in whole steps

    def __len__(self) -> int:
        return len(self._runs)

    def begin(self, expiry: float, worth: float, request_id: bytes = b"") -> Run:
        """Note a request that begins."""
        run = Run(expiry, worth, request_id)
        self._runs.add(run)
        step = _step(expiry)
        self._steps[step] = self._steps.get(step, 0) + 1
        return run

    def end(self, run: Run) -> None:
        """Note its end."""
        self._runs.discard(run)
        step = _step(run.expiry)
        left = self._steps.get(step, 0) - 1
        if left > 0:
            self._steps[step] = left
        else:
            self._steps.pop(step, None)

    def distinct_expiry(self, expiry: float, most_steps: int) -> float:
        """Return the latest expiry, a few steps earlier at most, that no run has."""
        step = _step(expiry)
        for earlier in range(most_steps):
            if step - earlier not in self._steps:
                return expiry - earlier * EXPIRY_STEP
        return expiry

    def parent_of(self, expiry: float) -> Run | None:
        """Return the run that expires when a nested call does, None if no run fits."""
        runs = self._runs
        index = runs.bisect_key_left(expiry - MATCH_TOLERANCE)
        best: Run | None = None
        best_gap = MATCH_TOLERANCE
        while index < len(runs):
            run = runs[index]
            if run.expiry > expiry + MATCH_TOLERANCE:
                break
            gap = abs(run.expiry - expiry)
            if gap <= best_gap:
                best, best_gap = run, gap
            index += 1
        return best

    def outliving(self, expiry: float) -> Run | None:
        """Return the run that ends next after a moment, None if there is none."""
        index = self._runs.bisect_key_left(expiry)
        return self._runs[index] if index < len(self._runs) else None


class InnerRoutes:
    """Which routes the own instance calls for the requests that it runs."""

    def __init__(self) -> None:
        self._matched: dict[str, float] = {}

    def note(self, route: str, matched: bool) -> None:
        """Take whether one request on a route belongs to a run."""
        share = self._matched.get(route, float(matched))
        self._matched[route] = share + MATCH_WEIGHT * (matched - share)

    def is_inner(self, route: str) -> bool:
        """Return whether requests on a route are calls of running requests."""
        return self._matched.get(route, 0.0) > INNER_ABOVE

"""How long requests of each route may take, to judge whether one can still be answered in a stop.

Load pattern: the instance of a stopping node goes on with the requests that it runs, and makes
calls for them. A call that is accepted and cannot be answered before the end of the stop is broken
off at work, so its caller does not know whether it ran. One that is refused at once leaves its
caller time, but fails its parent for nothing if it would have been answered.

The target latency of a route does not tell: a service may be slower than its target for long. The
time limit of a request does, but calls usually take a small part of it. So the longest recent
duration decides, with a margin, and the time limit as long as too little is known of a route.
Requests that are still running count with their age, so that a service that has just become slow
is noticed before the first answer.
"""

from collections.abc import Iterable

from thorntray.internal.process.clock import Clock

WINDOW = 30.0  # seconds; durations are forgotten after one to two windows
MIN_SAMPLES = 8  # durations from which on the longest one is trusted
MARGIN = 1.25  # factor by which a request may take longer than all recent ones


class _RouteDurations:
    """The longest duration of the current and of the previous window, and their numbers."""

    __slots__ = ("began_at", "longest", "count", "previous_longest", "previous_count")

    def __init__(self, now: float) -> None:
        self._begin(now)
        self.previous_longest, self.previous_count = 0.0, 0

    def _begin(self, now: float) -> None:
        self.began_at, self.longest, self.count = now, 0.0, 0

    def advance(self, now: float) -> None:
        """Begin a new window if the current one has ended."""
        if now - self.began_at < WINDOW:
            return
        is_recent = now - self.began_at < 2 * WINDOW
        self.previous_longest = self.longest if is_recent else 0.0
        self.previous_count = self.count if is_recent else 0
        self._begin(now)


class CallDurations:
    """The longest recent duration of the requests of each route, from arrival to result."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._routes: dict[str, _RouteDurations] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record the duration of a request that an instance has begun to run."""
        durations = self._advanced(route)
        durations.longest = max(durations.longest, seconds)
        durations.count += 1

    def likely_longest(
        self, route: str, target: float, limit: float, ages: Iterable[float] = ()
    ) -> float:
        """Return the seconds within which a new request will most likely be answered.

        `target` is the route's target latency, `limit` what the request may take at most, `ages`
        are those of its running requests; all are in seconds.
        """
        durations = self._advanced(route)
        if durations.count + durations.previous_count < MIN_SAMPLES:
            return limit
        longest = max(durations.longest, durations.previous_longest, *ages)
        return min(limit, max(target, MARGIN * longest))

    def _advanced(self, route: str) -> _RouteDurations:
        now = self._clock.monotonic()
        durations = self._routes.get(route)
        if durations is None:
            durations = self._routes[route] = _RouteDurations(now)
        durations.advance(now)
        return durations

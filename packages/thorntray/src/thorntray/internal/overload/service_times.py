"""Time that requests of each route take at this instance, nested calls included.

The estimate decides whether a request still has enough time, so it must not perpetuate itself: a
route whose requests are all refused for lack of time yields no new samples and would stay refused
after the cause has ended. An estimate therefore expires; without one, a request is admitted and
provides the next sample. Requests that time out are recorded with the time they had, since
leaving them out would count only the fast ones.
"""

from dataclasses import dataclass

from thorntray.internal.process.clock import Clock

SAMPLE_WEIGHT = 0.2  # weight of the newest sample in the moving average
ESTIMATE_LIFETIME = 1.0  # seconds after the newest sample
MIN_SAMPLES = 3  # one request that timed out must not get the next ones refused


@dataclass(slots=True)
class _Estimate:
    seconds: float
    updated_at: float
    samples: int = 1


class ServiceTimes:
    """Moving average of the time that requests take, for each route."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._estimates: dict[str, _Estimate] = {}

    def record(self, route: str, seconds: float) -> None:
        """Record how many seconds a request on a route took."""
        now = self._clock.monotonic()
        estimate = self._estimates.get(route)
        if estimate is None or now - estimate.updated_at > ESTIMATE_LIFETIME:
            self._estimates[route] = _Estimate(seconds, now)
            return
        estimate.seconds += SAMPLE_WEIGHT * (seconds - estimate.seconds)
        estimate.updated_at = now
        estimate.samples += 1

    def expected(self, route: str) -> float:
        """Return the seconds that a request is expected to take, 0 if unknown."""
        estimate = self._estimates.get(route)
        if estimate is None or estimate.samples < MIN_SAMPLES:
            return 0.0
        if self._clock.monotonic() - estimate.updated_at > ESTIMATE_LIFETIME:
            return 0.0
        return estimate.seconds

"""How long requests of each route take here, nested calls included.

The estimate decides whether a request is hopeless, so it must not become a trap: a route whose
requests are all refused as hopeless yields no new samples, and would stay refused after its
cause has ended. An estimate therefore counts only while it is fresh; without one a request is
let through and gives the next sample. Requests that ran out of time count with the time they
had, since leaving them out would show only the fast ones.
"""

from dataclasses import dataclass

from thorntray.internal.process.clock import Clock

SAMPLE_WEIGHT = 0.2
FRESH_FOR = 1.0  # seconds
MIN_SAMPLES = 3  # one request that ran out of time must not condemn the next ones


@dataclass(slots=True)
class _Estimate:
    seconds: float
    at: float
    samples: int = 1


class ServiceTimes:
    """Moving average for each route."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._estimates: dict[str, _Estimate] = {}

    def note(self, route: str, seconds: float) -> None:
        """Take the time that one request took."""
        now = self._clock.monotonic()
        estimate = self._estimates.get(route)
        if estimate is None or now - estimate.at > FRESH_FOR:
            self._estimates[route] = _Estimate(seconds, now)
            return
        estimate.seconds += SAMPLE_WEIGHT * (seconds - estimate.seconds)
        estimate.at = now
        estimate.samples += 1

    def expected(self, route: str) -> float:
        """Return the seconds that a request is expected to take, 0 when unknown."""
        estimate = self._estimates.get(route)
        if estimate is None or estimate.samples < MIN_SAMPLES:
            return 0.0
        if self._clock.monotonic() - estimate.at > FRESH_FOR:
            return 0.0
        return estimate.seconds

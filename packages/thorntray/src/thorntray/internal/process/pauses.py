"""Notices that this process has not run for a while: frozen, suspended, or without processor time.

What a paused process reads first when it goes on was sent during the pause. Calls among it may have
been given up by their callers, and the answers that would tell of a rate limit or of a leaving
instance may still be unread behind them. Until that backlog is read, the process must not act
on what it believed before the pause.

The monotonic clock stands still while a machine is suspended, and the time of day may be set, so
both are compared. A time that is set forward looks like a pause, which does no harm.

A process that gets too little processor time runs late without a long pause: its allotment may be
used up early in each tenth of a second. What it reads is then older than it seems. Observations
show this only if they are not made at the period of the allotment (`varied_factors`).
"""

from collections.abc import Iterator

from thorntray.internal.process.clock import Clock

MIN_PAUSE = 1.0  # seconds between two observations
BACKLOG_TIME = 0.1  # seconds in which the backlog is read
MIN_LATENESS = 0.006  # seconds; less does not spoil the match of a nested call by its expiry
LATENESS_MEMORY = 1.0  # seconds; several observations, of which one may be in time by chance
_GOLDEN_RATIO = 0.618034  # its multiples, without the integer part, fill [0, 1) evenly


def varied_factors() -> Iterator[float]:
    """Yield factors from 0.5 to 1.5, with a mean of 1, to vary the pauses between observations."""
    fraction = 0.5
    while True:
        yield 0.5 + fraction
        fraction = (fraction + _GOLDEN_RATIO) % 1.0


class Pauses:
    """Detects pauses from the gaps between observations, which must be frequent."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_at = clock.monotonic()
        self._seen_time = clock.time()
        self._backlog_until = float("-inf")  # monotonic seconds
        self._next_at = float("inf")  # monotonic seconds at which the next observation is due
        self._late_until = float("-inf")  # monotonic seconds

    def expect(self, seconds: float) -> None:
        """Record that the next observation is due in `seconds`."""
        self._next_at = self._clock.monotonic() + seconds

    def ran_late(self, now: float) -> bool:
        """Return whether the process runs late at `now`, in monotonic seconds, or has lately."""
        if now - self._next_at > MIN_LATENESS:
            self._late_until = now + LATENESS_MEMORY
        return now < self._late_until

    def observe(self) -> None:
        """Record that the process runs; to be called several times a second."""
        now, time_of_day = self._clock.monotonic(), self._clock.time()
        self.ran_late(now)
        self._next_at = float("inf")
        gap = max(now - self._seen_at, time_of_day - self._seen_time)
        if gap > MIN_PAUSE:
            self._backlog_until = now + BACKLOG_TIME
        self._seen_at, self._seen_time = now, time_of_day

    def has_backlog(self, now: float) -> bool:
        """Return whether the process may still be reading what came during a pause.

        `now` is in monotonic seconds. Only the time of day is read, since this is called for each
        request; it goes on during any pause.
        """
        if self._clock.time() - self._seen_time > MIN_PAUSE:
            self.observe()
        return now < self._backlog_until

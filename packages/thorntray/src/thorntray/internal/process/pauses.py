"""Notices that this process has not run for a while: frozen, suspended, or without processor time.

What a paused process reads first when it goes on was sent during the pause. Calls among it may have
been given up by their callers, and the answers that would tell of a rate limit or of a leaving
instance may still be unread behind them. Until that backlog is read, the process must not act
on what it believed before the pause.

The monotonic clock stands still while a machine is suspended, and the time of day may be set, so
both are compared. A time that is set forward looks like a pause, which does no harm.
"""

from thorntray.internal.process.clock import Clock

MIN_PAUSE = 1.0  # seconds between two observations
BACKLOG_TIME = 0.1  # seconds in which the backlog is read


class Pauses:
    """Detects pauses from the gaps between observations, which must be frequent."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen_at = clock.monotonic()
        self._seen_time = clock.time()
        self._backlog_until = float("-inf")  # monotonic seconds

    def observe(self) -> None:
        """Record that the process runs; to be called several times a second."""
        now, time_of_day = self._clock.monotonic(), self._clock.time()
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

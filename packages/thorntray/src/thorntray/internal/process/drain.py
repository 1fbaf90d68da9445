"""Phases of a node's graceful stop: what it still accepts, and when its answers are due.

A node that accepts requests for as long as callers send them never becomes idle, and whatever it
accepted last is cut when its process ends. Callers go on sending when they have nowhere else to
go. Therefore the time for accepting is limited, and what remains of the stop is left for answers.
"""

from thorntray.internal.process.clock import Clock

# Seconds in which two readiness checks fail, so that callers have noticed the stop.
READINESS_PROPAGATION_DELAY = 2.2
# Seconds of the stop limit reserved for final answers and for closing the connections.
CLOSE_TIME_RESERVE = 0.6
# Largest share of the time until answers are due in which requests are accepted, so that with a
# short limit those that come last have time to be answered too.
ACCEPTING_SHARE = 2 / 3
# Seconds before answers are due at which an instance has to give up a call, so that its own answer
# still comes.
INSTANCE_ANSWER_TIME = 0.1
EXIT_TIME = 0.1  # seconds from the close of the last connection to the end of the process
NO_END = float("inf")


class Drain:
    """The graceful stop of one node; `limit` is its longest duration in seconds."""

    def __init__(self, limit: float, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._refuse_at = NO_END
        self.answers_due = NO_END  # monotonic seconds
        self.begun = False
        self._ended = False

    def set_limit(self, limit: float) -> None:
        """Set the longest duration in seconds; a stop that has begun keeps its own."""
        self._limit = limit

    def begin(self) -> None:
        """Begin the stop now."""
        now = self._clock.monotonic()
        self.begun = True
        self.answers_due = now + self._limit - CLOSE_TIME_RESERVE
        longest = max(0.0, ACCEPTING_SHARE * (self.answers_due - now))
        self._refuse_at = now + min(READINESS_PROPAGATION_DELAY, longest)

    def end(self) -> None:
        """End the drain: nothing is owed, and nothing may be accepted from now on."""
        self._ended = True

    @property
    def accepting_for(self) -> float:
        """Return the seconds for which callers' requests are still accepted, once begun."""
        return max(0.0, self._refuse_at - self._clock.monotonic())

    def admits(self, has_parent: bool, expected_seconds: float) -> bool:
        """Return whether to accept a new request, which takes at most `expected_seconds`.

        A call of a running request is accepted for longer, as long as it can be answered in time,
        since refusing it fails its parent.
        """
        if not self.begun:
            return True
        if self._ended:
            return False
        now = self._clock.monotonic()
        if now < self._refuse_at:
            return True
        return has_parent and now + expected_seconds < self.answers_due

    def can_finish(self, expected_seconds: float) -> bool:
        """Return whether an attempt that takes at most `expected_seconds` ends before the stop."""
        return self._clock.monotonic() + expected_seconds < self.answers_due

    @property
    def latest_expiry(self) -> float:
        """Return the monotonic time until which an instance may work on a call that begins now.

        While callers are accepted, it may be one of theirs that looks like a call. Its answer is
        passed on also if this process was paused until answers are due.
        """
        if self._clock.monotonic() < self._refuse_at:
            return NO_END
        return self.answers_due - INSTANCE_ANSWER_TIME

    @property
    def closing_for(self) -> float:
        """Return the seconds that are left for closing connections, within the limit."""
        closed_at = self.answers_due + CLOSE_TIME_RESERVE - EXIT_TIME
        return max(0.0, closed_at - self._clock.monotonic())

    @property
    def overdue(self) -> bool:
        """Return whether answers are due now."""
        return self._clock.monotonic() >= self.answers_due

    @property
    def overdue_by(self) -> float:
        """Return the seconds since answers were due; negative before."""
        return self._clock.monotonic() - self.answers_due

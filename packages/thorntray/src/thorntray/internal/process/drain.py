"""Phases of a node's graceful stop: what it still accepts, and when its answers are due.

A node that accepts requests for as long as callers send them never becomes idle, and whatever it
accepted last is cut when its process ends. Callers go on sending when they have nowhere else to
go. Therefore the time for accepting is limited, and what remains of the stop is left for answers.
"""

from thorntray.internal.process.clock import Clock

# Seconds after the first "not ready" answer during which callers still send requests.
READINESS_PROPAGATION_DELAY = 2.2
# Seconds of the stop limit reserved for final answers and for closing the connections.
CLOSE_TIME_RESERVE = 0.4
# Seconds before answers are due in which no nested call is accepted: it could not finish.
NESTED_CALL_RESERVE = 1.0
NO_END = float("inf")


class Drain:
    """The graceful stop of one node; `limit` is its longest duration in seconds."""

    def __init__(self, limit: float, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._refuse_at = NO_END
        self.answers_due = NO_END  # monotonic seconds
        self.begun = False

    def begin(self) -> None:
        """Begin the stop now."""
        now = self._clock.monotonic()
        self.begun = True
        self.answers_due = now + self._limit - CLOSE_TIME_RESERVE
        self._refuse_at = min(now + READINESS_PROPAGATION_DELAY, self.answers_due)

    @property
    def accepting_for(self) -> float:
        """Return the seconds for which callers' requests are still accepted, once begun."""
        return max(0.0, self._refuse_at - self._clock.monotonic())

    @property
    def refusing(self) -> bool:
        """Return whether callers' requests are refused."""
        return self.begun and self._clock.monotonic() >= self._refuse_at

    def admits(self, nested: bool) -> bool:
        """Return whether to accept a new request.

        A nested call is accepted for longer, since refusing it fails a request that was accepted.
        """
        if not self.refusing:
            return True
        return nested and self._clock.monotonic() < self.answers_due - NESTED_CALL_RESERVE

    @property
    def overdue(self) -> bool:
        """Return whether answers are due now."""
        return self._clock.monotonic() >= self.answers_due

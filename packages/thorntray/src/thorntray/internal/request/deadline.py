"""Deadline of a request on this process's monotonic clock.

Messages carry a deadline in two forms. The budget (time left when sent) needs no synchronized
clocks, but it hides the time that a message spent in a buffer while the receiver was suspended.
The wall clock time covers that case, with an allowance for clock skew. The earlier of the two
applies.
"""

from typing import NamedTuple

from thorntray.internal.process.clock import Clock

MAX_CLOCK_SKEW = 0.25  # seconds; largest difference assumed between the clocks of two nodes


class Deadline(NamedTuple):
    """A point in time on the monotonic clock, in seconds."""

    at: float

    @classmethod
    def after(cls, seconds: float, clock: Clock) -> "Deadline":
        """Return the deadline `seconds` from now."""
        return cls(clock.monotonic() + seconds)

    @classmethod
    def from_wire(cls, budget: float, wall_time: float, clock: Clock) -> "Deadline":
        """Return the earlier of two deadlines: `budget` from now and wall clock time `wall_time`.

        `budget` is in seconds, `wall_time` in seconds since the epoch on the sender's clock.
        """
        wall_clock_remaining = wall_time + MAX_CLOCK_SKEW - clock.time()
        return cls.after(min(budget, wall_clock_remaining), clock)

    def remaining(self, clock: Clock) -> float:
        """Return the seconds left; negative if the deadline has passed."""
        return self.at - clock.monotonic()

    def passed(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return self.remaining(clock) <= 0

    def wall_time(self, clock: Clock) -> float:
        """Return the deadline in seconds since the epoch, as sent in messages."""
        return clock.time() + self.remaining(clock)

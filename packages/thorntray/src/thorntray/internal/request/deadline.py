"""Deadline of a request on this process's clock.

On the wire a deadline travels twice. The budget (time left when sent) needs no common clock,
but a message that lay in a buffer while the receiver was frozen would look fresh. The wall
clock time catches that, with an allowance for clocks that differ. The earlier one counts.
"""

from typing import NamedTuple

from thorntray.internal.process.clock import Clock

MAX_CLOCK_SKEW = 0.25  # seconds by which the clocks of two nodes may differ


class Deadline(NamedTuple):
    """A moment on the monotonic clock, in seconds."""

    at: float

    @classmethod
    def after(cls, seconds: float, clock: Clock) -> "Deadline":
        """Return the deadline that lies `seconds` ahead."""
        return cls(clock.monotonic() + seconds)

    @classmethod
    def from_wire(cls, budget: float, wall: float, clock: Clock) -> "Deadline":
        """Return the earlier of the budget and the sender's wall clock time, both in seconds."""
        by_wall = wall + MAX_CLOCK_SKEW - clock.time()
        return cls.after(min(budget, by_wall), clock)

    def remaining(self, clock: Clock) -> float:
        """Return the seconds left; negative when it has passed."""
        return self.at - clock.monotonic()

    def passed(self, clock: Clock) -> bool:
        """Return whether the deadline has passed."""
        return self.remaining(clock) <= 0

    def wall(self, clock: Clock) -> float:
        """Return the deadline as wall clock time in seconds, for the wire."""
        return clock.time() + self.remaining(clock)

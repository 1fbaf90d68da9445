"""How long bytes are held, from which callers are told when to return: a decision without I/O.

By Little's law the mean time is the number of bytes held divided by the rate of their release.
After that time about all that is held now has been released.
"""

DEFAULT_HOLD_TIME = 1.0  # seconds, before anything was released
MIN_HOLD_TIME, MAX_HOLD_TIME = 0.25, 3.0  # seconds; callers have seconds in all for their request
MOVING_AVERAGE_WEIGHT = 0.1  # weight of the newest period


class HoldTime:
    """The mean time for which bytes are held; `now` is in monotonic seconds."""

    def __init__(self, now: float) -> None:
        self._held = 0.0  # bytes, moving average
        self._rate = 0.0  # bytes a second, moving average
        self._released = 0
        self._at = now

    def observe(self, held: int, released: int, now: float) -> None:
        """Record the bytes held and those released since the start; several times a second."""
        elapsed = now - self._at
        if elapsed <= 0:
            return
        rate = (released - self._released) / elapsed
        self._rate += MOVING_AVERAGE_WEIGHT * (rate - self._rate)
        self._held += MOVING_AVERAGE_WEIGHT * (held - self._held)
        self._released, self._at = released, now

    @property
    def seconds(self) -> float:
        """Return the mean time within sensible bounds."""
        if self._rate <= 0:
            return DEFAULT_HOLD_TIME
        return min(max(self._held / self._rate, MIN_HOLD_TIME), MAX_HOLD_TIME)

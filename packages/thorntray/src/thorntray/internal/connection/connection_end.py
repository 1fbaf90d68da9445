"""When a server closes a connection whose caller does not: two decisions, without I/O.

Closing a connection with unread input resets it, which discards output that the caller has not
read yet. So the output is ended first, and input is discarded for a while (`Linger`). A caller that
takes no output at all would hold its connection and memory forever (`OutputProgress`).
"""

LINGER_TIME = 1.0  # seconds without input after which closing is safe
MAX_LINGER_TIME = 30.0  # seconds; limits callers that never stop sending


class Linger:
    """The time between the end of a connection's output and its close; in monotonic seconds."""

    def __init__(self, now: float) -> None:
        self._last_input_at = now
        self._latest_end = now + MAX_LINGER_TIME

    def record_input(self, now: float) -> None:
        """Record that input was received and discarded."""
        self._last_input_at = now

    def is_over(self, now: float) -> bool:
        """Return whether to close the connection now."""
        return now > min(self._last_input_at + LINGER_TIME, self._latest_end)


class OutputProgress:
    """Watches whether a caller takes the output of its connection; in monotonic seconds."""

    def __init__(self, now: float) -> None:
        self._unsent_bytes = 0
        self._changed_at = now

    def stalled_for(self, unsent_bytes: int, now: float) -> float:
        """Return for how many seconds the same amount of output has been waiting."""
        if unsent_bytes == 0 or unsent_bytes != self._unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._changed_at = now
        return now - self._changed_at

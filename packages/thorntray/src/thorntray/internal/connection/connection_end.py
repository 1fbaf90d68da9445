"""When a server closes a connection whose caller does not.

Closing a connection with unread input resets it, and so does input that arrives after the close.
A reset discards output that the caller has not read yet, also what the kernel alone still holds
(`unacknowledged_bytes`). So the output is ended first, and input is discarded for a while
(`Linger`). A caller that takes no output at all would hold its connection and memory forever
(`OutputProgress`).
"""

import asyncio

from thorntray.internal.connection.kernel_output import kernel_output_bytes

LINGER_TIME = 1.0  # seconds without input after which closing is safe
MAX_LINGER_TIME = 30.0  # seconds; limits callers that never stop sending
# Seconds after the last answer for which it counts as not taken where the kernel does not tell.
ASSUMED_DELIVERY_TIME = 0.25


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


class UntakenOutput:
    """Counts the output of one connection that its caller has not acknowledged.

    `possible` is set with each write. The kernel is not asked again once all was taken, as the call
    takes 10 to 20 us and a server may have thousands of idle connections.
    """

    __slots__ = ("possible",)

    def __init__(self) -> None:
        self.possible = False

    def count(
        self, transport: asyncio.BaseTransport, unsent_bytes: int, answered_at: float, now: float
    ) -> int:
        """Return the bytes; times in monotonic seconds, as for `unacknowledged_bytes`."""
        if not self.possible:
            return 0
        held = unacknowledged_bytes(transport, answered_at, now)
        self.possible = bool(held or unsent_bytes)
        return held + unsent_bytes


def unacknowledged_bytes(transport: asyncio.BaseTransport, answered_at: float, now: float) -> int:
    """Return the bytes of output that the kernel holds, as the caller has not acknowledged them.

    Where the kernel does not tell, returns 1 for `ASSUMED_DELIVERY_TIME` after the last answer;
    `answered_at` and `now` are monotonic seconds.
    """
    if transport.is_closing():
        return 0
    count = kernel_output_bytes(transport)
    return int(now - answered_at < ASSUMED_DELIVERY_TIME) if count is None else count

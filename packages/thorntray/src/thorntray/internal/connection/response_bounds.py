"""Bounds on the bytes that a node takes for the responses of its instance.

A faulty instance may send a head, a body, or responses that nobody asked for, without end. The
parser completes nothing then, and whatever it keeps grows until the process runs out of memory.

Bodies are bounded together, since each of many connections may carry one. Everything else is
bounded for each awaited response. Framing of a chunked body grows with the body, so it may take
a multiple of it.
"""

from collections.abc import Callable

MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # bytes of one body, and of all bodies held at once
MAX_HEAD_BYTES = 256 * 1024  # bytes beside the body: heads, trailers, responses to others
MAX_FRAMING_FACTOR = 8  # bytes of chunk framing for each byte of the body


class ResponseBounds:
    """Counts the bytes received for one awaited response; `end` ends that response as faulty."""

    __slots__ = ("_held", "_end", "_received", "body")

    def __init__(self, held: "HeldBodies", end: Callable[[], None]) -> None:
        self._held = held
        self._end = end
        self._received = 0
        self.body = 0  # bytes

    def begin(self) -> None:
        """Start counting for the next awaited response."""
        self.release()
        self._received = 0

    def add_received(self, count: int) -> None:
        """Count received bytes; to be called before they are parsed."""
        self._received += count

    def add_body(self, count: int) -> None:
        """Count bytes of a body that is held; may end this response or a larger one."""
        self.body += count
        self._held.add(self, count)

    def release(self) -> None:
        """Record that the body is no longer held."""
        self._held.remove(self)
        self.body = 0

    def end(self) -> None:
        """End the response as faulty."""
        self._end()

    @property
    def exceeded(self) -> bool:
        """Return whether more was received beside the body than a sound response has."""
        overhead = self._received - self.body
        return overhead > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self.body


class HeldBodies:
    """The bodies that the connections of one pool hold."""

    def __init__(self) -> None:
        self.total = 0  # bytes
        self._bounds: set[ResponseBounds] = set()

    def add(self, bounds: ResponseBounds, count: int) -> None:
        """Count bytes of a body; beyond the bound the response with the largest body ends."""
        self._bounds.add(bounds)
        self.total += count
        if self.total > MAX_RESPONSE_BYTES:
            max(self._bounds, key=lambda other: other.body).end()

    def remove(self, bounds: ResponseBounds) -> None:
        """Forget a body."""
        if bounds in self._bounds:
            self._bounds.remove(bounds)
            self.total -= bounds.body

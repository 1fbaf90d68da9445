"""Bounds on the bytes that a node takes for the responses of its instance.

A faulty instance may send a head, a body, or responses that nobody asked for, without end. The
parser completes nothing then, and whatever it keeps grows until the process runs out of memory.

Bodies are bounded together, since each of many connections may carry one: by the budget of the
process if there is one (`HeldBodies`), else by ending the largest. Everything else is bounded for
each awaited response. Framing of a chunked body grows with the body, so it may take
a multiple of it.
"""

from typing import Protocol

from thorntray.internal.process.memory_budget import MemoryBudget, Share

MAX_RESPONSE_BYTES = 64 * 1024 * 1024  # bytes of one body, and of all bodies held at once
MAX_HEAD_BYTES = 256 * 1024  # bytes beside the body: heads, trailers, responses to others
MAX_FRAMING_FACTOR = 8  # bytes of chunk framing for each byte of the body
UNCHECKED_BYTES = 64 * 1024  # of a body that is read without a look at the budget
RESUME_BYTES = 256 * 1024  # room at which reading resumes; about one read from a socket


class BodyReader(Protocol):
    """The connection that receives a response."""

    def end_as_faulty(self) -> None:
        """End the awaited response as faulty, in a later iteration of the event loop."""
        ...

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading` is called."""
        ...

    def resume_reading(self) -> None:
        """Go on reading."""
        ...


class ResponseBounds:
    """Counts the bytes received for one awaited response."""

    __slots__ = ("_held", "reader", "_received", "body", "expected", "granted", "paused")

    def __init__(self, held: "HeldBodies", reader: BodyReader) -> None:
        self._held = held
        self.reader = reader
        self._received = 0
        self.body = 0  # bytes received
        self.expected = 0  # bytes of the body that have been announced
        self.granted = 0  # bytes that are counted before they are received
        self.paused = False

    @property
    def counted(self) -> int:
        """Return the bytes that count as held."""
        return max(self.body, self.granted)

    def begin(self) -> None:
        """Start counting for the next awaited response."""
        self.release()
        self._received = 0

    def add_received(self, count: int) -> None:
        """Count received bytes; to be called before they are parsed."""
        self._received += count

    def announce_body(self, count: int) -> None:
        """Record the length of a body that follows; may pause or end this response."""
        self.expected = self.body + count
        self._held.announce(self)

    def add_body(self, count: int) -> None:
        """Count bytes of a body that is held; may pause or end this response, or end another."""
        counted = self.counted
        self.body += count
        self._held.add(self, self.counted - counted)

    def release(self) -> None:
        """Record that the body is no longer held."""
        counted = self.counted
        self.body = self.expected = self.granted = 0
        self._held.remove(self, counted)

    @property
    def exceeded(self) -> bool:
        """Return whether more was received beside the body than a sound response has."""
        overhead = self._received - self.body
        return overhead > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * self.body


class HeldBodies:
    """The bodies that the connections of one pool hold.

    Without a limit of the budget, the response with the largest body ends when all of them exceed
    `MAX_RESPONSE_BYTES`. With one, a body for which there is no room is not read until there is, in
    the order in which the bodies began. One is always read unless bytes that are on their way out
    take its room: what else is held may wait for it.
    """

    def __init__(self, memory: MemoryBudget | None = None) -> None:
        self.total = 0  # bytes
        self._memory = memory
        self._limit = None if memory is None else memory.limit
        self._bounds: dict[ResponseBounds, None] = {}  # in the order in which the bodies began
        self.paused = 0  # responses that are not read

    def announce(self, bounds: ResponseBounds) -> None:
        """Count an announced body before it is received, if it is large."""
        if self._limit is None or bounds.expected <= UNCHECKED_BYTES:
            return
        self._bounds[bounds] = None
        if bounds.expected > self._most:
            bounds.reader.end_as_faulty()
        elif self._may_read(bounds):
            self._grant(bounds)
        else:
            self._pause(bounds)

    def add(self, bounds: ResponseBounds, count: int) -> None:
        """Count bytes of a body, beyond what was announced."""
        self._bounds[bounds] = None
        self.total += count
        if self._limit is None:
            if self.total > MAX_RESPONSE_BYTES:
                max(self._bounds, key=lambda other: other.body).reader.end_as_faulty()
        elif bounds.body > self._most:
            bounds.reader.end_as_faulty()
        elif count and bounds.body > UNCHECKED_BYTES and not self._may_read(bounds):
            self._pause(bounds)

    def remove(self, bounds: ResponseBounds, counted: int) -> None:
        """Forget a body of which `counted` bytes were counted."""
        if bounds in self._bounds:
            del self._bounds[bounds]
            self.total -= counted
        if bounds.paused:
            self._resume(bounds)

    def resume(self) -> None:
        """Resume reading of the bodies for which there is room.

        To be called regularly, and when a body that was removed is counted where it went.
        """
        if not self.paused:
            return
        for bounds in [bounds for bounds in self._bounds if bounds.paused]:
            if not self._may_read(bounds):
                return
            self._grant(bounds)
            self._resume(bounds)

    @property
    def _most(self) -> int:
        assert self._limit is not None
        return min(MAX_RESPONSE_BYTES, self._limit)

    def _may_read(self, bounds: ResponseBounds) -> bool:
        memory = self._memory
        count = max(bounds.expected - bounds.counted, RESUME_BYTES if bounds.paused else 0)
        if memory is None or memory.has_room(count, Share.ANSWER):
            return True
        return not self._reads_another(bounds) and memory.will_have_room(count)

    def _reads_another(self, bounds: ResponseBounds) -> bool:
        """Return whether another large body is being read."""
        others = (other for other in self._bounds if other is not bounds and not other.paused)
        return any(other.counted > UNCHECKED_BYTES for other in others)

    def _grant(self, bounds: ResponseBounds) -> None:
        """Count the whole of an announced body."""
        self.total += max(0, bounds.expected - bounds.counted)
        bounds.granted = bounds.expected

    def _pause(self, bounds: ResponseBounds) -> None:
        if not bounds.paused:
            bounds.paused = True
            self.paused += 1
            bounds.reader.pause_reading()

    def _resume(self, bounds: ResponseBounds) -> None:
        bounds.paused = False
        self.paused -= 1
        bounds.reader.resume_reading()

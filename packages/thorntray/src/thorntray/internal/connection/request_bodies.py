"""A request of a caller while it is received, and the bytes that requests and answers hold."""

import asyncio
from typing import Protocol

from thorntray.internal.connection.http_request import Header
from thorntray.internal.process.memory_budget import SMALL_REQUEST_BYTES

CONTENT_LENGTH = b"content-length"
FIELD_SEPARATOR_BYTES = 4  # colon, space and line end of a header field
# The parser reports a field, an extension of a chunk and a trailer only when they are complete.
# What was received for them is bounded instead; it includes the framing of a chunked body.
MAX_START_LINE_BYTES = 8 * 1024  # beside the header fields; URLs are shorter everywhere
MAX_FRAMING_FACTOR = 8  # bytes of chunk framing for each byte of the body


class IncomingRequest:
    """The parts of one request that have been received so far."""

    __slots__ = ("target", "headers", "header_bytes", "body_bytes", "content_length")
    __slots__ += ("head_complete",)
    __slots__ += ("held_bytes", "received", "_body_parts")

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[Header] = []
        self.header_bytes = 0
        self.body_bytes = 0
        self.content_length = 0  # 0 also for a body whose length is not announced
        self.head_complete = False  # whether the request was admitted by its head
        self.held_bytes = 0  # counted in `HeldBytes`
        self._body_parts: list[bytes] = []
        self.received = 0  # bytes, without the read in which the request began

    def has_excess(self, max_header_bytes: int) -> bool:
        """Return whether more was received beside the body than a sound request has."""
        overhead = self.received - self.body_bytes
        most = max_header_bytes + MAX_START_LINE_BYTES + MAX_FRAMING_FACTOR * self.body_bytes
        return overhead > most

    def set_length(self, value: bytes) -> None:
        """Record the value of a Content-Length field; the parser refuses malformed ones."""
        digits = value.strip()
        self.content_length = int(digits) if digits.isdigit() else 0

    @property
    def unannounced_bytes(self) -> int:
        """Return the bytes that were received and are not counted yet (a chunked body)."""
        return self.header_bytes + self.body_bytes - self.held_bytes

    def add_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.body_bytes += len(part)
        self._body_parts.append(part)

    def take_body(self) -> bytes:
        """Return the whole body, which is no longer held here."""
        parts, self._body_parts = self._body_parts, []
        return b"".join(parts)


class Holder(Protocol):
    """Something whose bytes are counted in `HeldBytes`."""

    held_bytes: int


class RequestGate(Protocol):
    """Decides whether there is memory for a request."""

    @property
    def pressed(self) -> bool:
        """Return whether it is to be asked for small requests, too."""
        ...

    def refusal(self, request: IncomingRequest, count: int) -> bytes | None:
        """Return the header lines of a refusal, None if `count` more bytes may be held."""
        ...


class HeldBytes:
    """Bytes that the requests of a server's callers hold, and their answers.

    A request counts with its head and the announced length of its body from the end of its head
    until its answer is known. An answer counts until the transport has taken it; what transports
    hold is counted for callers that are slower than their answers.
    """

    def __init__(self) -> None:
        self.requests = 0
        self.answers = 0  # that wait for those before them
        self.released = 0  # bytes of requests, since the start
        self.gate: RequestGate | None = None
        self.slow: set[asyncio.Transport] = set()  # transports above their high-water mark

    def admit(self, request: IncomingRequest, count: int) -> bytes | None:
        """Count bytes of a request, or return the header lines with which to refuse it."""
        gate = self.gate
        if gate is not None and (request.held_bytes + count > SMALL_REQUEST_BYTES or gate.pressed):
            refusal = gate.refusal(request, count)
            if refusal is not None:
                return refusal
        request.held_bytes += count
        self.requests += count
        return None

    def release(self, holder: Holder) -> None:
        """Record that the bytes of a request are no longer held."""
        self.requests -= holder.held_bytes
        self.released += holder.held_bytes
        holder.held_bytes = 0

    def unsent(self) -> int:
        """Return the bytes of answers that were written and that callers have not taken."""
        if not self.slow:
            return 0
        return sum(transport.get_write_buffer_size() for transport in self.slow)

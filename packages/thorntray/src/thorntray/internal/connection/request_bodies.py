"""A request of a caller while it is received, and the bytes that requests and answers hold."""

Header = tuple[bytes, bytes]

FIELD_SEPARATOR_BYTES = 4  # colon, space and line end of a header field
# The parser reports a field, an extension of a chunk and a trailer only when they are complete.
# What was received for them is bounded instead; it includes the framing of a chunked body.
MAX_START_LINE_BYTES = 8 * 1024  # beside the header fields; URLs are shorter everywhere
MAX_FRAMING_FACTOR = 8  # bytes of chunk framing for each byte of the body


class IncomingRequest:
    """The parts of one request that have been received so far."""

    __slots__ = ("target", "headers", "header_bytes", "body_bytes", "_body_parts", "_received")

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[Header] = []
        self.header_bytes = 0
        self.body_bytes = 0
        self._body_parts: list[bytes] = []
        self._received = 0  # bytes, without the read in which the request began

    def add_received(self, count: int) -> None:
        """Count bytes that follow the first read of this request, before they are parsed."""
        self._received += count

    def has_excess(self, max_header_bytes: int) -> bool:
        """Return whether more was received beside the body than a sound request has."""
        overhead = self._received - self.body_bytes
        most = max_header_bytes + MAX_START_LINE_BYTES + MAX_FRAMING_FACTOR * self.body_bytes
        return overhead > most

    def add_header(self, name: bytes, value: bytes) -> None:
        """Add one header field."""
        self.header_bytes += len(name) + len(value) + FIELD_SEPARATOR_BYTES
        self.headers.append((name, value))

    def add_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.body_bytes += len(part)
        self._body_parts.append(part)

    def take_body(self) -> bytes:
        """Return the whole body, which is no longer held here."""
        parts, self._body_parts = self._body_parts, []
        return b"".join(parts)

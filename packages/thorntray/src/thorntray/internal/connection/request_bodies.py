"""A request of a caller while it is received, and the bytes that requests and answers hold."""

Header = tuple[bytes, bytes]

FIELD_SEPARATOR_BYTES = 4  # colon, space and line end of a header field


class IncomingRequest:
    """The parts of one request that have been received so far."""

    __slots__ = ("target", "headers", "header_bytes", "body_bytes", "_body_parts")

    def __init__(self) -> None:
        self.target = b""
        self.headers: list[Header] = []
        self.header_bytes = 0
        self.body_bytes = 0
        self._body_parts: list[bytes] = []

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

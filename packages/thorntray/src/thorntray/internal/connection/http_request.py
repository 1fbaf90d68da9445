"""What an HTTP server knows of requests: their parts, their limits, and who ended a connection."""

from enum import Enum
from typing import NamedTuple

Header = tuple[bytes, bytes]

_METHODS_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})


class ClosedBy(Enum):
    """Who ended a connection on which a response was still owed."""

    CALLER = "caller"  # also one that was disconnected because it took no output
    NODE = "node"  # this node, while it continues running
    EXIT = "exit"  # the end of this process


class RequestLimits(NamedTuple):
    """Limits on the size (bytes) and arrival time (seconds) of requests, and on idle time."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class HttpRequest(NamedTuple):
    """A complete request as received. Header names keep the caller's case."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


def expects_continue(method: bytes, headers: list[Header]) -> bool:
    """Return whether the caller waits for `100 Continue` before it sends the body."""
    if method in _METHODS_WITHOUT_BODY:
        return False
    return any(n.lower() == b"expect" and v.lower() == b"100-continue" for n, v in headers)

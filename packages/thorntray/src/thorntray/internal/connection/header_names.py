"""Names of the header fields that a deployment uses between callers, nodes and instances."""

from typing import NamedTuple

HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


class HeaderNames(NamedTuple):
    """Field names as they go on the wire; look-ups compare in lower case."""

    request_id: bytes = b"Thorntray-Request-Id"
    deadline_ms: bytes = b"Thorntray-Deadline-Ms"
    expected_instance: bytes = b"Thorntray-Instance"
    not_run: bytes = b"Thorntray-Not-Run"
    caller_service: bytes = b"Thorntray-Caller"
    retry_after: bytes = b"Retry-After"

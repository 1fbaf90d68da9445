"""Names of the header fields that a deployment uses between callers, nodes and instances."""

from enum import Enum, auto
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


MAX_KNOWN_NAMES = 512  # field names as spelled by callers


class FieldKind(Enum):
    """What happens to a header field."""

    PASSED = auto()
    DROPPED = auto()
    CONNECTION = auto()
    HOST = auto()
    REQUEST_ID = auto()
    DEADLINE = auto()
    NOT_RUN = auto()
    FRAMING = auto()
    KEEP_ALIVE = auto()


class FieldKinds:
    """Looks the kind of a field up by its name as it was spelled.

    Callers spell the same few names again and again, so lower-casing each one would be most of
    the work; spellings are remembered up to a bound.
    """

    def __init__(self, special: dict[bytes, FieldKind]) -> None:
        self._special = {name.lower(): kind for name, kind in special.items()}
        self._known: dict[bytes, FieldKind] = {}

    def kind(self, name: bytes) -> FieldKind:
        """Return what happens to a field."""
        known = self._known.get(name)
        if known is not None:
            return known
        lower = name.lower()
        default = FieldKind.DROPPED if lower in HOP_HEADERS else FieldKind.PASSED
        kind = self._special.get(lower, default)
        if len(self._known) < MAX_KNOWN_NAMES:
            self._known[name] = kind
        return kind

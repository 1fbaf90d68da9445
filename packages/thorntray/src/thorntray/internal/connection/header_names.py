"""Names and handling of the HTTP header fields used between callers, nodes and instances."""

from enum import Enum, auto
from typing import NamedTuple

HOP_BY_HOP_HEADERS = frozenset(
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
    """Field names as sent on the wire; lookups are case-insensitive."""

    request_id: bytes = b"Thorntray-Request-Id"
    deadline_ms: bytes = b"Thorntray-Deadline-Ms"
    expected_instance: bytes = b"Thorntray-Instance"
    not_run: bytes = b"Thorntray-Not-Run"
    caller_service: bytes = b"Thorntray-Caller"
    retry_after: bytes = b"Retry-After"
    rate_limit: bytes = b"Thorntray-Rate-Limit"
    leaving: bytes = b"Thorntray-Leaving"
    workspace: bytes = b"Thorntray-Workspace"


MAX_CACHED_SPELLINGS = 512  # bounds the memory that arbitrary field names can take


class FieldKind(Enum):
    """How a header field is handled."""

    PASSED = auto()  # forwarded unchanged
    DROPPED = auto()  # not forwarded
    CONNECTION = auto()  # `Connection`, which lists further hop-by-hop fields
    HOST = auto()
    REQUEST_ID = auto()
    AUTHORIZATION = auto()  # holds the API key of the caller
    WORKSPACE = auto()  # set by the node that identifies the caller
    DEADLINE = auto()
    NOT_RUN = auto()  # the instance did not run the request
    RATE_LIMIT = auto()  # requests a second that the instance takes; passed on
    LEAVING = auto()  # the instance will stop; passed on
    FRAMING = auto()  # determines where the body ends
    KEEP_ALIVE = auto()  # announces the instance's idle timeout


class FieldClassifier:
    """Finds the kind of a header field by its name, in any case.

    Results are cached by exact spelling, up to a bound: callers send the same few spellings, and
    converting each name to lower case would be most of the work.
    """

    def __init__(self, special_kinds: dict[bytes, FieldKind]) -> None:
        self._special_kinds = {name.lower(): kind for name, kind in special_kinds.items()}
        self._cache: dict[bytes, FieldKind] = {}

    def classify(self, name: bytes) -> FieldKind:
        """Return the kind of the field with this name."""
        cached = self._cache.get(name)
        if cached is not None:
            return cached
        lower = name.lower()
        default = FieldKind.DROPPED if lower in HOP_BY_HOP_HEADERS else FieldKind.PASSED
        kind = self._special_kinds.get(lower, default)
        if len(self._cache) < MAX_CACHED_SPELLINGS:
            self._cache[name] = kind
        return kind

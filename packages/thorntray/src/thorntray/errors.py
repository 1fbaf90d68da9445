"""Errors that thorntray raises.

Every error derives from `ThorntrayError`, and its message ends with what the reader can do.
Outcomes of requests are not errors: see `thorntray.internal.request.outcome`.
"""

from typing import NamedTuple


class ThorntrayError(Exception):
    """Base class, never raised itself."""


class Fault(NamedTuple):
    """One fault of a settings file: where it stands, what stands there, what to write instead."""

    section: str
    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: {self.remedy}"


class InvalidSettings(ThorntrayError):
    """Raised when a settings file or document holds faults; carries all of them."""

    def __init__(self, source: str, faults: list[Fault]) -> None:
        self.source = source
        self.faults = faults
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(f"{source}: {len(faults)} fault(s), nothing was changed:\n{lines}")


class BadDocument(ThorntrayError):
    """Raised when a team's document cannot be decoded, has a wrong digest or a wrong signature."""


class BadMessage(ThorntrayError):
    """Raised when a message of another node is garbled or of an unknown version."""


class GrantRejected(ThorntrayError):
    """Raised when a grant is forged, expired, or bound to another request."""


class GrantsFull(ThorntrayError):
    """Raised when the node remembers as many grants as it may; ask again later."""


class RequestRefused(ThorntrayError):
    """Raised when admission refuses a request before it is dispatched."""

    def __init__(self, reason: str, retry_after: float) -> None:
        self.reason = reason
        self.retry_after = retry_after  # seconds
        super().__init__(f"{reason}; nothing ran, come back in {retry_after:.3f} s")


class PlatformUnavailable(ThorntrayError):
    """Raised when the platform's key-value service gave no answer and nothing was written."""


class WriteUndetermined(ThorntrayError):
    """Raised when a write may or may not have taken effect; names how to find out."""


class WriteConflict(ThorntrayError):
    """Raised when another change was accepted first; names what changed and by whom."""


class PeerUnreachable(ThorntrayError):
    """Raised when no connection to a peer was open, so that nothing was sent."""


class PeerLost(ThorntrayError):
    """Raised when a connection to a peer ended after the request was sent."""

"""Exceptions raised by thorntray.

All of them derive from `ThorntrayError`. Messages usually end with a remedy. Outcomes of
requests are not exceptions: see `thorntray.internal.request.outcome`.
"""

import errno
from typing import NamedTuple


class ThorntrayError(Exception):
    """Base class of all exceptions of thorntray; not raised itself."""


class Fault(NamedTuple):
    """A fault in settings: its section, key and value, and the remedy."""

    section: str
    key: str
    value: str
    remedy: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: {self.remedy}"


class InvalidSettings(ThorntrayError):
    """Raised when settings are invalid. `faults` lists all faults, `source` names the file."""

    def __init__(self, source: str, faults: list[Fault]) -> None:
        self.source = source
        self.faults = faults
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(f"{source}: {len(faults)} fault(s), nothing was changed:\n{lines}")


class PortTaken(ThorntrayError, OSError):
    """Raised when another socket still holds a port of the node after the wait for it."""

    def __init__(self, purpose: str, host: str, port: int, seconds: float) -> None:
        self.purpose = purpose
        super().__init__(
            errno.EADDRINUSE,
            f"the port for {purpose}, {host}:{port}, is taken and was not freed within"
            f" {seconds:.1f} s; end what holds it (`ss -anp | grep {port}`), or configure another",
        )


class AddressNotAvailable(ThorntrayError, OSError):
    """Raised when the machine still lacks the address of a port after the wait for it."""

    def __init__(self, purpose: str, host: str, port: int, seconds: float) -> None:
        self.purpose = purpose
        super().__init__(
            errno.EADDRNOTAVAIL,
            f"the address of the port for {purpose}, {host}:{port}, was not configured on this"
            f" machine within {seconds:.1f} s; bring its interface up (`ip address` shows which"
            " addresses there are), or configure another address",
        )


class BadDocument(ThorntrayError):
    """Raised when a document cannot be decoded, or its signature or contents are invalid."""


class BadMessage(ThorntrayError):
    """Raised when a message from another node is malformed or has an unknown version."""


class UnknownMessage(BadMessage):
    """Raised when a well-formed message is of a type that this version does not know."""


class GrantRejected(ThorntrayError):
    """Raised when a grant is forged, has expired, or belongs to another request."""


class GrantsFull(ThorntrayError):
    """Raised when the node's limit of stored grants is reached; retry later."""


class RequestRefused(ThorntrayError):
    """Raised when admission rejects a request before it is dispatched.

    `retry_after` is the suggested delay in seconds.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        self.reason = reason
        self.retry_after = retry_after
        super().__init__(f"{reason}; not executed, retry in {retry_after:.3f} s")


class NotConnected(ThorntrayError):
    """Raised when no connection for an HTTP call could be opened; nothing was sent."""


class NoReply(ThorntrayError):
    """Raised when an HTTP call was sent and got no valid reply; it may have been received."""


class PlatformUnavailable(ThorntrayError):
    """Raised when the platform's key-value service did not answer and nothing was written."""


class WriteUndetermined(ThorntrayError):
    """Raised when it is unknown whether a write took effect; the message says how to check."""


class WriteConflict(ThorntrayError):
    """Raised when another change was accepted first; the message says what changed and by whom."""


class PeerUnreachable(ThorntrayError):
    """Raised when there was no open connection to a peer; nothing was sent."""


class PeerLost(ThorntrayError):
    """Raised when a connection to a peer was lost, or timed out, after the request was sent."""

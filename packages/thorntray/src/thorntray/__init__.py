"""Thorntray: overload control for service call graphs.

This package exports the public API: errors, settings and request outcomes. Everything in
`thorntray.internal` may change without notice.
"""

from thorntray.errors import (
    BadDocument,
    BadMessage,
    Fault,
    GrantRejected,
    GrantsFull,
    InvalidSettings,
    PeerLost,
    PeerUnreachable,
    PlatformUnavailable,
    RequestRefused,
    ThorntrayError,
    WriteConflict,
    WriteUndetermined,
)
from thorntray.internal.request.outcome import (
    Answer,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from thorntray.internal.version.settings import Settings

__all__ = [
    "Answer",
    "BadDocument",
    "BadMessage",
    "Done",
    "Failed",
    "Fault",
    "GrantRejected",
    "GrantsFull",
    "InvalidSettings",
    "NotRun",
    "Outcome",
    "PeerLost",
    "PeerUnreachable",
    "PlatformUnavailable",
    "Reason",
    "RequestRefused",
    "Settings",
    "ThorntrayError",
    "Unknown",
    "WriteConflict",
    "WriteUndetermined",
]
__version__ = "0.1.0"

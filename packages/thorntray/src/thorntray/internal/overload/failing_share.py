"""How much of its work an instance fails, as the node in front of it sees.

Load pattern: one instance in seven loses or refuses two answers in five, while its health checks
pass. Each caller alone sees few of its answers; the node in front sees every one. It tells the
share with each result, for logs and metrics; no decision goes by it yet (docs/PLATFORM.md, "Open").

A failure that a nested call may have caused says nothing of the instance that passed it on.
"""

from thorntray.internal.request.result import Cause, Result, ResultKind

NEWEST_WEIGHT = 0.05  # of the newest request in the moving average
_FAULTS = frozenset({Cause.LOST, Cause.GARBLED, Cause.REJECTED})
_FIRST_ERROR_STATUS = 500


class FailingShare:
    """Moving average over the requests that were sent to one instance."""

    def __init__(self) -> None:
        self.share = 0.0

    def note(self, result: Result, made_calls: bool) -> None:
        """Take the end of a request that was sent; `made_calls` if it made nested calls."""
        failed = is_fault(result, made_calls)
        if failed is not None:
            self.share += NEWEST_WEIGHT * (failed - self.share)


def is_fault(result: Result, made_calls: bool) -> bool | None:
    """Return whether the instance itself failed, None when the result does not tell."""
    if result.cause in _FAULTS:
        return True
    if result.kind is not ResultKind.ANSWERED:
        return None
    if result.status < _FIRST_ERROR_STATUS:
        return False
    return None if made_calls else True

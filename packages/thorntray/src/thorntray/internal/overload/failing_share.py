"""Share of its requests that an instance fails, as observed by the node in front of it.

Load pattern: one instance in seven loses or refuses two requests in five while its health checks
pass. Each caller sees only a few of its answers; the node in front of it sees all of them. The
node reports the share with each result, for logs and metrics; no decision uses it yet
(docs/PLATFORM.md, "Open").

A failure that a nested call may have caused is not counted, since it is no evidence against the
instance that passed it on.
"""

from thorntray.internal.request.result import Cause, Result, ResultKind

SAMPLE_WEIGHT = 0.05  # weight of the newest request in the moving average
_FAILURE_CAUSES = frozenset({Cause.LOST, Cause.GARBLED, Cause.REJECTED})
_FIRST_ERROR_STATUS = 500


class FailingShare:
    """Moving average of failures over the requests sent to one instance."""

    def __init__(self) -> None:
        self.share = 0.0

    def record(self, result: Result, made_nested_calls: bool) -> None:
        """Record the result of a request that was sent to the instance."""
        failed = is_instance_failure(result, made_nested_calls)
        if failed is not None:
            self.share += SAMPLE_WEIGHT * (failed - self.share)


def is_instance_failure(result: Result, made_nested_calls: bool) -> bool | None:
    """Return whether the instance itself failed, None if the result does not show it."""
    if result.cause in _FAILURE_CAUSES:
        return True
    if result.kind is not ResultKind.ANSWERED:
        return None
    if result.status < _FIRST_ERROR_STATUS:
        return False
    return None if made_nested_calls else True

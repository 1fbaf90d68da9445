"""Conversion between `Result` and the frame that the owner's node sends to the origin's node."""

from thorntray.internal.connection.frame import ResultFrame
from thorntray.internal.connection.statuses import is_final
from thorntray.internal.request.result import Cause, LoadReport, Result, ResultKind

_KINDS = {kind.value: kind for kind in ResultKind}
_CAUSES = {cause.value: cause for cause in Cause}


def result_from_frame(frame: ResultFrame) -> Result:
    """Return the result in a frame, which may come from a node of a newer version.

    With a kind that this version does not know, the request may have run. A cause only explains,
    so the guarantee of a known kind holds with an unknown one too. An answer with an invalid
    status, which a release before passes on from its instance, is none.
    """
    report = LoadReport(
        frame.queue_wait, frame.service_time, frame.in_flight, frame.limit, frame.failing
    )
    result = Result(
        _KINDS.get(frame.end, ResultKind.UNKNOWN),
        _CAUSES.get(frame.reason, Cause.UNRECOGNIZED),
        frame.retry_after,
        frame.status,
        frame.header_lines,
        frame.body,
        frame.costs,
        frame.prices,
        report,
        frame.notice,
    )
    if result.kind is ResultKind.ANSWERED and not is_final(result.status):
        return result._replace(
            kind=ResultKind.UNKNOWN, cause=Cause.GARBLED, status=0, header_lines=b"", body=b""
        )
    return result


def frame_from_result(number: int, result: Result) -> ResultFrame:
    """Return the frame with the result of call `number`, the call's number on its link."""
    report = result.report
    return ResultFrame(
        number,
        result.kind,
        result.cause,
        result.retry_after,
        result.status,
        result.header_lines,
        result.body,
        result.costs,
        result.prices,
        report.queue_wait,
        report.service_time,
        report.in_flight,
        report.limit,
        report.failure_rate,
        result.notice,
    )

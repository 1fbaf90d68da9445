"""Conversion between `Result` and the frame that the owner's node sends to the origin's node."""

from thorntray.internal.connection.frame import ResultFrame
from thorntray.internal.request.result import Cause, LoadReport, Result, ResultKind


def result_from_frame(frame: ResultFrame) -> Result:
    """Return the result in a frame; raises `ValueError` for an unknown kind or cause."""
    report = LoadReport(
        frame.queue_wait, frame.service_time, frame.in_flight, frame.limit, frame.failing
    )
    return Result(
        ResultKind(frame.end),
        Cause(frame.reason),
        frame.retry_after,
        frame.status,
        frame.header_lines,
        frame.body,
        frame.costs,
        frame.prices,
        report,
        frame.notice,
    )


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

"""Results on the wire between the owner's node and the origin's."""

from thorntray.internal.connection.frame import ResultFrame
from thorntray.internal.request.result import Cause, End, LoadReport, Result


def result_from(frame: ResultFrame) -> Result:
    """Return the result that a frame carries."""
    report = LoadReport(
        frame.queue_wait, frame.service_time, frame.in_flight, frame.limit, frame.failing
    )
    return Result(
        End(frame.end),
        Cause(frame.reason),
        frame.retry_after,
        frame.status,
        frame.header_lines,
        frame.body,
        frame.costs,
        frame.prices,
        report,
    )


def result_frame(number: int, result: Result) -> ResultFrame:
    """Return the frame that carries a result to its origin."""
    report = result.report
    return ResultFrame(
        number,
        result.end,
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
        report.failing,
    )

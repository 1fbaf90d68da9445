"""One log line for each request that ended badly, and for a sample of the others.

The volume is bounded by the event log's own limit for each kind a second. The sample is drawn by
a hash of the request's id, so that all nodes on its way keep the same ones.
"""

from zlib import crc32

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.origin_request import OriginRequest
from thorntray.internal.request.result import End, Result
from thorntray.internal.telemetry.events import Event, log_event

SAMPLE_ONE_IN = 512


class RequestLog:
    """Writes the ends of requests, seen from either side."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def origin_ended(self, req: OriginRequest, result: Result) -> None:
        """Log a request at the node where it entered."""
        if not _worth_a_line(req.head.request_id, result):
            return
        now = self._clock.monotonic()
        log_event(
            Event.REQUEST_ENDED,
            id=req.head.request_id.decode("latin-1"),
            side="origin",
            route=req.route_key,
            end=result.end.name,
            cause=result.cause.name,
            status=result.status,
            seconds=round(now - req.arrived_at, 4),
            left=round(req.expiry - now, 4),
            nested=req.nested,
            parent_known=req.parent is not None,
            refusals=req.refusals,
            arrivals=req.arrivals,
            member=req.member.name if req.member is not None else "",
        )

    def owner_ended(self, call: CallFrame, result: Result, seconds: float) -> None:
        """Log a request at the node in front of its instance."""
        if not _worth_a_line(call.request_id, result):
            return
        log_event(
            Event.REQUEST_ENDED,
            id=call.request_id.decode("latin-1"),
            side="owner",
            route=call.route,
            end=result.end.name,
            cause=result.cause.name,
            status=result.status,
            seconds=round(seconds, 4),
            budget=round(call.budget, 4),
            in_flight=result.report.in_flight,
            limit=result.report.limit,
        )


def _worth_a_line(request_id: bytes, result: Result) -> bool:
    if result.end is not End.ANSWERED or result.status >= 500:
        return True
    return crc32(request_id) % SAMPLE_ONE_IN == 0

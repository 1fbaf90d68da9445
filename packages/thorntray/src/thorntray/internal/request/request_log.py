"""One log line for each request that ended badly, and for a sample of the others.

Of the ordinary requests a sample is written. Of the others all are, up to a bound for each second;
when half of it is used, the rest goes to the sample too. The sample is drawn by a hash of the
request's id, so that all nodes on its way keep the same ones.
"""

from zlib import crc32

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.origin_request import OriginRequest
from thorntray.internal.request.result import Cause, End, Result
from thorntray.internal.telemetry.events import (
    MAX_REQUESTS_PER_SECOND,
    Event,
    event_room,
    leave_event_out,
    log_event,
)

ORDINARY_ONE_IN = 512
PRESSED_ONE_IN = 16  # of those that ended badly, once half of a second's lines are written


class RequestLog:
    """Writes the ends of requests, seen from either side."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def origin_ended(self, req: OriginRequest, result: Result) -> None:
        """Log a request at the node where it entered, with what decided about it."""
        if not _worth_a_line(req.head.request_id, result):
            return
        parts = req.context.parts
        now = self._clock.monotonic()
        policy = parts.policy()
        fields: dict[str, object] = {}
        if result.cause is Cause.PRICED_OUT:
            fields["price"] = round(parts.admission.tree_price(req.route_key, now), 3)
            fields["worth"] = round(req.worth * parts.admission.costs.success(req.route_key), 3)
            fields["share"] = round(parts.admission.shares.get(req.route_key, 1.0), 3)
        if req.parent is not None:
            fields["parent"] = req.parent.request_id.decode("latin-1")
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
            refusals=req.refusals,
            arrivals=req.arrivals,
            member=req.member.name if req.member is not None else "",
            policy=policy.version if policy is not None else 0,
            **fields,
        )

    def repeated(self, req: OriginRequest, result: Result, paid: bool) -> None:
        """Log the wish to send a request again."""
        log_event(
            Event.REQUEST_REPEATED,
            id=req.head.request_id.decode("latin-1"),
            route=req.route_key,
            after=result.cause.name,
            status=result.status,
            member=req.member.name if req.member is not None else "",
            arrivals=req.arrivals,
            paid=paid,
            budget=round(req.context.parts.budget.left().get(req.service, 0.0), 2),
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
            max_wait=round(call.max_wait, 4),
            in_flight=result.report.in_flight,
            limit=result.report.limit,
            failing=round(result.report.failing, 3),
        )


def _worth_a_line(request_id: bytes, result: Result) -> bool:
    sample = crc32(request_id)
    if result.end is End.ANSWERED and result.status < 500:
        return sample % ORDINARY_ONE_IN == 0
    if event_room(Event.REQUEST_ENDED) > MAX_REQUESTS_PER_SECOND // 2:
        return True
    if sample % PRESSED_ONE_IN == 0:
        return True
    leave_event_out(Event.REQUEST_ENDED)
    return False

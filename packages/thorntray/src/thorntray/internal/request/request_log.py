"""Log lines for finished requests: all failures up to a rate limit, and a sample of successes.

Once half of a second's limit is used, failures are sampled as well. Sampling uses a hash of the
request ID, so every node on a request's path selects the same requests.
"""

from zlib import crc32

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.connection.http_request import ClosedBy
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.origin_context import RequestHead
from thorntray.internal.request.origin_request import OriginRequest
from thorntray.internal.request.request_holder import Holder
from thorntray.internal.request.result import Cause, Result, ResultKind
from thorntray.internal.telemetry.events import (
    MAX_REQUEST_LINES_PER_SECOND,
    Event,
    log_event,
    remaining_events,
    suppress_event,
)
from thorntray.internal.version.policy import Route

SUCCESS_SAMPLE_INTERVAL = 512  # one in this many successful requests is logged
# One in this many failed requests is logged once half of a second's limit is used.
FAILURE_SAMPLE_INTERVAL = 16


class RequestLog:
    """Logs finished requests and retries, on the origin's and on the owner's side."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def origin_finished(self, req: OriginRequest, result: Result) -> None:
        """Log a request finished at its origin, with the values that decided its admission."""
        if not _should_log(req.head.request_id, result):
            return
        deps = req.context.deps
        now = self._clock.monotonic()
        policy = deps.policy()
        fields: dict[str, object] = {}
        if result.cause is Cause.PRICED_OUT:
            fields["price"] = round(deps.admission.tree_price(req.route_key, now), 3)
            fields["worth"] = round(
                req.worth * deps.admission.costs.success_share(req.route_key), 3
            )
            fields["share"] = round(deps.admission.shares.get(req.route_key, 1.0), 3)
        if result.cause in (Cause.BLOCKED, Cause.CRASHED) and req.fingerprint is not None:
            fields["fingerprint"] = f"{req.fingerprint:016x}"
        if req.held_by is not None:
            fields["held_by"] = req.held_by.value
        if req.parent is not None:
            fields["parent"] = req.parent.request_id.decode("latin-1")
        log_event(
            Event.REQUEST_ENDED,
            id=req.head.request_id.decode("latin-1"),
            side="origin",
            route=req.route_key,
            end=result.kind.name,
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

    def refused(self, head: RequestHead, route: Route | None, reason: str, policy: int) -> None:
        """Log a request that its caller may not send; the key itself is never logged.

        `policy` is the version of the policy in force.
        """
        log_event(
            Event.CALLER_REFUSED,
            id=head.request_id.decode("latin-1"),
            route=route.name if route is not None else "",
            reason=reason,
            policy=policy,
        )

    def unanswered(self, request_id: bytes, closed_by: ClosedBy, held_by: Holder) -> None:
        """Log a request whose connection this node ended before the answer."""
        if closed_by is not ClosedBy.CALLER:
            log_event(
                Event.REQUEST_UNANSWERED,
                id=request_id.decode("latin-1"),
                closed_by=closed_by.value,
                held_by=held_by.value,
            )

    def retried(self, req: OriginRequest, result: Result, paid: bool) -> None:
        """Log an intended retry; `paid` is whether the retry budget allowed it."""
        log_event(
            Event.REQUEST_REPEATED,
            id=req.head.request_id.decode("latin-1"),
            route=req.route_key,
            after=result.cause.name,
            status=result.status,
            member=req.member.name if req.member is not None else "",
            arrivals=req.arrivals,
            paid=paid,
            budget=round(req.context.deps.budget.remaining().get(req.service, 0.0), 2),
        )

    def owner_finished(self, call: CallFrame, result: Result, seconds: float) -> None:
        """Log a request finished at its owner; `seconds` is its time at this node."""
        if not _should_log(call.request_id, result):
            return
        fields: dict[str, object] = {}
        if result.cause is Cause.DRAINING:
            sent = result.kind is ResultKind.UNKNOWN
            fields["held_by"] = (Holder.INSTANCE if sent else Holder.OWNER).value
        log_event(
            Event.REQUEST_ENDED,
            id=call.request_id.decode("latin-1"),
            side="owner",
            route=call.route,
            end=result.kind.name,
            cause=result.cause.name,
            status=result.status,
            seconds=round(seconds, 4),
            budget=round(call.budget, 4),
            max_wait=round(call.max_wait, 4),
            in_flight=result.report.in_flight,
            limit=result.report.limit,
            failing=round(result.report.failure_rate, 3),
            **fields,
        )


def _should_log(request_id: bytes, result: Result) -> bool:
    sample = crc32(request_id)
    if result.kind is ResultKind.ANSWERED and result.status < 500:
        return sample % SUCCESS_SAMPLE_INTERVAL == 0
    if remaining_events(Event.REQUEST_ENDED) > MAX_REQUEST_LINES_PER_SECOND // 2:
        return True
    if sample % FAILURE_SAMPLE_INTERVAL == 0:
        return True
    suppress_event(Event.REQUEST_ENDED)
    return False

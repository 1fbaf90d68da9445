"""What the end of one attempt tells a node: about the instance, its prices, and the answer.

Only the origin's decisions use it: placement, ejection, admission, and whether to retry.
"""

from typing import TYPE_CHECKING

from thorntray.internal.connection.exchange import COPIED_BODY_BYTES
from thorntray.internal.membership.member import Member
from thorntray.internal.request.result import Cause, Result, ResultKind, unknown
from thorntray.internal.version.policy import Route

if TYPE_CHECKING:
    from thorntray.internal.request.origin_request import OriginRequest

MAX_LEAF_CALLS = 1.5  # calls, own call included, up to which a failed call tree counts as a leaf


def record_outcome(req: "OriginRequest", member: Member, result: Result, now: float) -> None:
    """Record the result of the current attempt, which came from `member`."""
    deps = req.context.deps
    deps.admission.prices.update(req.service, result.prices, now)
    if req.parent is not None:
        req.parent.add_costs(result.costs, result.prices)
    answered = result.kind is ResultKind.ANSWERED and result.status < 500
    if answered and deps.suspects.active:
        deps.on_success(req.get_fingerprint())
    if not req.nested and result.costs:
        if answered:
            deps.admission.costs.record_success(req.route_key, result.costs)
        else:
            deps.admission.costs.record_failure(req.route_key, result.costs)
    match result.cause:
        case Cause.LOST | Cause.GARBLED | Cause.REJECTED:
            deps.ejection.record_attempt(member.name, failed=True)
        case Cause.NO_INSTANCE | Cause.DRAINING | Cause.CRASHED:
            deps.placement.pause(member.name, now)
        case Cause.NONE:
            deps.ejection.record_attempt(member.name, failed=False)


def within_memory(req: "OriginRequest", member: Member, result: Result) -> Result:
    """Return the result, or `TOO_LARGE` if the process would be killed for keeping its body.

    An answer of the own instance was only read when there was room for it.
    """
    deps, count = req.context.deps, len(result.body)
    if count <= COPIED_BODY_BYTES or member.name == deps.own_name:
        return result
    if deps.memory.can_keep(count):
        return result
    deps.on_answer_dropped(req.head.request_id, req.route_key, count)
    return unknown(Cause.TOO_LARGE)


def should_retry_answer(route: Route, result: Result) -> bool:
    """Return whether an error response is to be retried."""
    return route.idempotent and _is_leaf_failure(result)


def _is_leaf_failure(result: Result) -> bool:
    """Return whether an instance failed without a nested call that may be the cause."""
    if result.status < 500:
        return False
    return sum(use[1] for use in result.costs.values()) <= MAX_LEAF_CALLS

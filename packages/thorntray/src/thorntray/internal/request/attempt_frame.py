"""The frame in which an origin sends one attempt of a request to its owner.

It carries what is left of the request's time, and how long the attempt may wait for a slot.
"""

from typing import TYPE_CHECKING

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.overload.slot_wait import longest_wait

if TYPE_CHECKING:
    from thorntray.internal.request.origin_request import OriginRequest

ROOT_MAX_SLOT_WAIT_RATIO = 0.125  # longest slot wait of a root request / target latency
NESTED_MAX_SLOT_WAIT = 0.5  # seconds that a nested call may wait for a slot


def call_frame(req: "OriginRequest", number: int, now: float) -> CallFrame:
    """Return the frame of an attempt that is sent at `now`, in monotonic seconds."""
    request = req.exchange.request
    return CallFrame(
        number=number,
        service=req.service,
        route=req.route_key,
        request_id=req.head.request_id,
        method=request.method,
        target=request.target,
        header_lines=_header_lines(req),
        body=request.body,
        caller_service=req.context.deps.own_service,
        idempotent=req.route.idempotent,
        nested=req.nested,
        budget=_last_work_time(req) - now,
        max_wait=_max_slot_wait(req),
        worth=req.worth,
        workspace=req.workspace_name,
    )


def _last_work_time(req: "OriginRequest") -> float:
    """Return the monotonic time at which the instance has to end its work.

    A call of a running request may come late in a stop, and gets no more time than that leaves.
    """
    if req.parent is None:
        return req.expiry
    return min(req.expiry, req.context.deps.drain.latest_expiry)


def _header_lines(req: "OriginRequest") -> bytes:
    """Return the header lines for the instance, which is told the caller's workspace."""
    if req.workspace is None:
        return req.head.lines
    name = req.context.deps.names.workspace
    return b"%b%b: %b\r\n" % (req.head.lines, name, req.workspace.name.encode())


def _max_slot_wait(req: "OriginRequest") -> float:
    whole_wait = NESTED_MAX_SLOT_WAIT
    if not req.nested:
        whole_wait = req.route.target_latency * ROOT_MAX_SLOT_WAIT_RATIO
    members = req.context.deps.directory.members_of(req.service)
    excluded = req.tried | req.full
    others_left = any(member.routable and member.name not in excluded for member in members)
    return longest_wait(whole_wait, req.refusals, others_left)

"""Names the component that held a request last, as far as the log lines of the nodes tell.

Each component that takes a request has to answer it or to pass it on. Where a request ended without
its answer, the component that had taken it last is the place to look at.
"""

from enum import Enum
from typing import NamedTuple

from thorntrayctl.log_line import LogLine

# Numbers of log events, as in `thorntray.internal.telemetry.events`.
STOPPED, LINK_LOST, LINK_UNREACHABLE = 109, 410, 411
REQUEST_ENDED, REQUEST_REPEATED, REQUEST_UNANSWERED = 510, 511, 512


class Place(Enum):
    """Components that hold a request, in the order in which it passes them."""

    PARSER = "parser"
    ORIGIN = "origin"
    LINK = "link"
    OWNER = "owner"
    INSTANCE = "instance"
    OUTPUT = "output"


class Holder(NamedTuple):
    """The component that held a request last, its node, and why the request ended there."""

    place: str
    node: str
    reason: str

    def text(self) -> str:
        """Return the holder as one line of text."""
        return f"{self.place} of {self.node}: {self.reason}"


def find_holder(lines: list[LogLine], context: list[LogLine], request_id: str) -> Holder | None:
    """Return the last holder of a request that was not answered; None if it was, or was refused.

    `lines` are those of the request and its calls, `context` those of the nodes at that time.
    """
    own = [line for line in lines if line.fields.get("id") == request_id]
    unanswered = _newest(own, REQUEST_UNANSWERED)
    if unanswered is not None:
        return _holder_of_unanswered(unanswered, own, context)
    origin = _newest(own, REQUEST_ENDED, "origin")
    owner = _newest(own, REQUEST_ENDED, "owner")
    if origin is None:
        return _holder_without_origin(own, owner)
    if origin.fields["end"] == "ANSWERED":
        return _holder_of_answer(origin, context)
    if origin.fields["end"] == "UNKNOWN":
        return _holder_of_unknown(origin, owner, context)
    return None


def _newest(lines: list[LogLine], event: int, side: str | None = None) -> LogLine | None:
    matching = [
        line
        for line in lines
        if line.event == event and (side is None or line.fields.get("side") == side)
    ]
    return matching[-1] if matching else None


def _holder_of_unanswered(
    unanswered: LogLine, own: list[LogLine], context: list[LogLine]
) -> Holder:
    reason = f"its connection was closed by {unanswered.fields.get('closed_by')}"
    stopped = _newest([line for line in context if line.node == unanswered.node], STOPPED)
    if stopped is not None:
        reason += f", when the node stopped after {stopped.fields.get('seconds')} s"
    if "held_by" in unanswered.fields:
        return Holder(str(unanswered.fields["held_by"]), unanswered.node, reason)
    if _newest(own, REQUEST_ENDED, "origin") is not None:
        return Holder(Place.OUTPUT.value, unanswered.node, f"{reason}, with the answer at hand")
    owner, repeated = _newest(own, REQUEST_ENDED, "owner"), _newest(own, REQUEST_REPEATED)
    if owner is not None:
        return Holder(Place.LINK.value, owner.node, f"{reason}; the owner had ended it")
    if repeated is not None:
        reason += f"; it had been sent again, after {repeated.fields.get('after')}"
    return Holder(Place.ORIGIN.value, unanswered.node, reason)


def _holder_without_origin(own: list[LogLine], owner: LogLine | None) -> Holder | None:
    """Return the holder of a request of which only its owners, or its repeats, are logged."""
    repeated = _newest(own, REQUEST_REPEATED)
    if repeated is not None:
        return Holder(
            Place.ORIGIN.value,
            repeated.node,
            f"it was to be sent again, after {repeated.fields.get('after')}, and has no line since",
        )
    if owner is None:
        return None
    end = f"{owner.fields['end']} {owner.fields['cause']}"
    if owner.fields["end"] == "UNKNOWN":
        return Holder(Place.INSTANCE.value, owner.node, f"{end}; no line of its origin")
    return Holder(
        Place.LINK.value, owner.node, f"the owner ended it ({end}); no line of its origin"
    )


def _holder_of_answer(origin: LogLine, context: list[LogLine]) -> Holder | None:
    """Return the output, if its node stopped with bytes of answers that it had not sent."""
    stopped = _newest([line for line in context if line.node == origin.node], STOPPED)
    if stopped is None or not stopped.fields.get("unsent"):
        return None
    return Holder(
        Place.OUTPUT.value,
        origin.node,
        f"the node stopped with {stopped.fields['unsent']} bytes of answers unsent",
    )


def _holder_of_unknown(origin: LogLine, owner: LogLine | None, context: list[LogLine]) -> Holder:
    cause, member = origin.fields["cause"], str(origin.fields.get("member", ""))
    if owner is not None and owner.node == member:
        end, owner_cause = owner.fields["end"], owner.fields["cause"]
        if end == "UNKNOWN" and owner_cause != "DRAINING":
            return Holder(Place.INSTANCE.value, member, f"it ended there as {owner_cause}")
        if owner_cause == "DRAINING":
            return Holder(Place.OWNER.value, member, "it was cut off as the node stopped")
    lost = [
        line
        for line in context
        if line.event in (LINK_LOST, LINK_UNREACHABLE)
        and (line.node, line.fields.get("peer")) == (origin.node, member)
        and line.time <= origin.time + 0.5
    ]
    if cause == "LOST" and lost:
        return Holder(Place.LINK.value, origin.node, _link_reason(lost[-1]))
    if cause == "DRAINING":
        return Holder(Place.ORIGIN.value, origin.node, "it was cut off as the node stopped")
    if owner is None:
        return Holder(Place.OWNER.value, member, f"{cause}, and the owner has no line of it")
    return Holder(Place.ORIGIN.value, origin.node, f"{cause}; {owner.node} ended it otherwise")


def _link_reason(lost: LogLine) -> str:
    fields = lost.fields
    text = f"the link to {fields.get('peer')} was lost"
    if "reason" in fields:
        text += f" ({fields['reason']})"
    details = [f"{name} {fields[name]}" for name in ("waiting", "unsent") if name in fields]
    return text + (f", {', '.join(details)}" if details else "")

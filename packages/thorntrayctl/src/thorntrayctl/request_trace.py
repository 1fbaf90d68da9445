"""Assembles the trace of one request from the log lines of all nodes.

A request is logged by its origin and by each
owner that it was sent to; a call that it made has its own id and refers to it as `parent`. One that
is refused for its caller has a single line. The trace includes the state that the nodes logged at
that time (lost links, changes of instances, load), since this usually shows the cause.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from thorntrayctl.log_line import LogLine
from thorntrayctl.policy_trace import outdated_policies
from thorntrayctl.request_holder import Holder, find_holder

# Numbers of log events, as in `thorntray.internal.telemetry.events`.
REQUEST_ENDED, REQUEST_REPEATED, REQUEST_UNANSWERED = 510, 511, 512
CALLER_REFUSED = 513
STOP_EVENTS = frozenset({101, 102, 103, 109})
LINK_EVENTS = frozenset({410, 411})
INSTANCE_CRASHED, REQUEST_BLOCKED = 521, 522
INSTANCE_EVENTS = frozenset({111, 112, 113, INSTANCE_CRASHED})
LOAD = 520
STORE_DOWN, STORE_UP = 310, 311
KEYS_REFUSED, KEYS_SERVED = 313, 314
# The newest of each group before a refusal shows the state of its node, however long ago it began.
STATE_EVENTS = (frozenset({STORE_DOWN, STORE_UP}), frozenset({KEYS_REFUSED, KEYS_SERVED}))
CONTEXT_SECONDS = 1.5  # seconds before the start and after the end of the request
MAX_CALL_DEPTH = 8  # levels of nested calls that are followed


class RequestTrace(NamedTuple):
    """Log lines of a request and its calls, lines for context (both by time), and the causes.

    `holder` is what held the request last, None if it was answered or refused, or if no line tells.
    """

    lines: list[LogLine]
    context: list[LogLine]
    causes: list[str]
    holder: Holder | None = None


def trace_request(texts: Iterable[str], request_id: str) -> RequestTrace:
    """Return the trace of a request, empty if no node logged it."""
    events = [line for text in texts if (line := LogLine.from_text(text)) is not None]
    events.sort(key=lambda line: line.time)
    lines = _request_lines(events, request_id)
    if not lines:
        return RequestTrace([], [], [])
    context = _context_lines(events, lines)
    causes = _causes(lines, context, request_id) + outdated_policies(events, lines)
    return RequestTrace(lines, context, causes, find_holder(lines, context, request_id))


def _request_lines(events: list[LogLine], request_id: str) -> list[LogLine]:
    request_ids, new_ids = {request_id}, {request_id}
    for _ in range(MAX_CALL_DEPTH):
        calls = {str(e.fields["id"]) for e in events if e.fields.get("parent") in new_ids}
        new_ids = calls - request_ids
        if not new_ids:
            break
        request_ids |= new_ids
    return [event for event in events if event.fields.get("id") in request_ids]


def _context_lines(events: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    first = min(line.time - line.fields.get("seconds", 0.0) for line in lines) - CONTEXT_SECONDS
    last = max(line.time for line in lines) + CONTEXT_SECONDS
    fingerprints = {line.fields.get("fingerprint") for line in lines} - {None}
    nodes = {line.node for line in lines} | {str(line.fields.get("member", "")) for line in lines}
    context = []
    for event in events:
        if event.event == REQUEST_BLOCKED and event.fields.get("fingerprint") in fingerprints:
            context.append(event)  # usually long before the request
        if not first <= event.time <= last:
            continue
        if event.event in LINK_EVENTS and event.fields.get("peer") in nodes:
            context.append(event)
        elif event.event in INSTANCE_EVENTS | STOP_EVENTS and event.node in nodes:
            context.append(event)
        elif event.event == LOAD:
            context.append(event)
    return sorted([*_state_lines(events, lines), *context], key=lambda line: line.time)


def _state_lines(events: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return the newest lines about the store and about keys before refusals for stale policies."""
    found: dict[tuple[str, frozenset[int]], LogLine] = {}
    for line in lines:
        if line.event != CALLER_REFUSED or line.fields.get("reason") != "STALE_POLICY":
            continue
        for event in events:
            for group in STATE_EVENTS:
                if event.event in group and event.node == line.node and event.time <= line.time:
                    found[(event.node, group)] = event
    return list(found.values())


def _causes(lines: list[LogLine], context: list[LogLine], request_id: str) -> list[str]:
    """Return the causes of failure: the request's own first, then those of its failed calls."""
    ended = [line for line in lines if line.event == REQUEST_ENDED]
    origins = [line for line in ended if line.fields["side"] == "origin"]
    origins.sort(key=lambda line: line.fields["id"] != request_id)
    causes = [
        f"request: {line.node} ended its connection without an answer "
        f"(closed_by {line.fields.get('closed_by')})"
        for line in lines
        if line.event == REQUEST_UNANSWERED
    ]
    for line in lines:
        if line.event == CALLER_REFUSED:
            subject = _subject(line, request_id)
            causes.append(f"{subject}: {_caller_refused_cause(line, context)}")
    for line in origins:
        if line.fields["end"] == "ANSWERED" and line.fields["status"] < 500:
            continue
        owners = [
            e for e in ended if e.fields["side"] == "owner" and e.fields["id"] == line.fields["id"]
        ]
        causes.append(f"{_subject(line, request_id)}: {_cause(line, owners, context)}")
    return causes


def _subject(line: LogLine, request_id: str) -> str:
    return "request" if line.fields["id"] == request_id else f"call {line.fields['id']}"


def _caller_refused_cause(line: LogLine, context: list[LogLine]) -> str:
    reason = line.fields.get("reason")
    match reason:
        case "MISSING_KEY":
            return (
                f"refused by {line.node}: it carried no API key, and route "
                f"{line.fields.get('route')} needs one"
            )
        case "UNKNOWN_KEY":
            return (
                f"refused by {line.node}: its API key belongs to no workspace; it is wrong or has "
                f"been withdrawn"
            )
        case "STALE_POLICY":
            return _stale_policy_cause(line, context)
        case "NO_ROUTE":
            return f"refused by {line.node}: no route matched its host and path"
    return f"refused by {line.node} for its caller: {reason}"


def _stale_policy_cause(line: LogLine, context: list[LogLine]) -> str:
    text = f"refused by {line.node}, which could not know whether the API key has been withdrawn"
    states = {event.event: event for event in context if event.node == line.node}
    if KEYS_REFUSED in states:
        fields = states[KEYS_REFUSED].fields
        age = fields.get("evidence_age")
        claim = f"that version {fields.get('version')} of the desired state was the newest one"
        if age is None:
            text += f": it had no proof {claim}"
        else:
            text += f": its newest proof {claim} was {age} s old"
    else:
        text += ": it had just started, or has not logged when its proof ran out"
    if STORE_DOWN in states:
        text += (
            f"; its calls to the platform's store failed ({states[STORE_DOWN].fields['detail']})"
        )
    return text


def _cause(origin: LogLine, owners: list[LogLine], context: list[LogLine]) -> str:
    fields = origin.fields
    match (fields["end"], fields["cause"]):
        case ("NOT_RUN", "PRICED_OUT"):
            return _priced_out_cause(origin, context)
        case ("NOT_RUN", "NO_INSTANCE"):
            return (
                f"refused by {origin.node}: no instance of {_service_of_route(fields)} was "
                f"available"
            )
        case (_, "BLOCKED"):
            return _blocked_cause(origin, context)
        case ("UNKNOWN", "CRASHED"):
            return (
                f"the instance beside {fields['member']} crashed while it ran this request alone, "
                "so it was not sent to another one"
            )
        case ("NOT_RUN", "DRAINING") if not fields.get("refusals"):
            return f"refused by {origin.node}, which was stopping"
        case ("UNKNOWN", "DRAINING"):
            return f"{_stopped_node(origin, owners, context)} stopped before the answer came"
        case ("NOT_RUN", cause):
            return _refused_cause(fields, cause, owners)
        case ("UNKNOWN", "LOST" | "GARBLED"):
            return _lost_cause(origin, owners, context)
        case ("UNKNOWN", "EXPIRED"):
            return _expired_cause(fields, owners)
        case ("ANSWERED", _):
            return f"the instance beside {fields['member']} answered {fields['status']}"
    return f"{fields['end']} {fields['cause']}"


def _blocked_cause(origin: LogLine, context: list[LogLine]) -> str:
    fields = origin.fields
    blocks = [e for e in context if e.event == REQUEST_BLOCKED and e.time <= origin.time]
    text = "instances crash of this request" if blocks else "instances crashed while they ran it"
    if "fingerprint" in fields:
        text += f" (fingerprint {fields['fingerprint']})"
    text = f"refused by {fields['member'] or origin.node}: {text}"
    if blocks:
        newest = blocks[-1]
        text += f"; {newest.node} blocked it {origin.time - newest.time:.0f} s before"
        text += f" for {newest.fields['seconds']} s, knowing of {newest.fields['crashes']} crashes"
    else:
        text += "; it is not blocked, and runs again alone some seconds after its newest crash"
    return text


def _priced_out_cause(origin: LogLine, context: list[LogLine]) -> str:
    fields = origin.fields
    text = (
        f"refused at its entry {origin.node}: its tree costs {fields.get('price')} and is worth "
        f"{fields.get('worth')}, so a share of {fields.get('share')} is admitted"
    )
    loads = [line for line in context if line.event == LOAD]
    if not loads:
        return text + "; no node logged its load at that time"
    highest = max(loads, key=lambda line: line.fields["price"]).fields
    return text + (
        f"; the tightest was {highest['service']} at {highest['node']}: price "
        f"{highest['price']}, {highest['in_flight']} of {highest['limit']} slots in use, "
        f"{highest['waiting']} waiting"
    )


def _stopped_node(origin: LogLine, owners: list[LogLine], context: list[LogLine]) -> str:
    """Return the node that ended the request because it stopped: an owner, else the origin."""
    for line in owners:
        if line.fields["cause"] == "DRAINING":
            return line.node
    stopping = {line.node for line in context if line.event in STOP_EVENTS}
    member = str(origin.fields.get("member", ""))
    return member if member in stopping and origin.node not in stopping else origin.node


def _refused_cause(fields: dict[str, Any], cause: str, owners: list[LogLine]) -> str:
    text = f"refused with {cause} by {fields['member']}"
    for line in owners:
        owner = line.fields
        if owner["end"] == "NOT_RUN":
            text += (
                f"; at {line.node} {owner['in_flight']} requests were present for {owner['limit']} "
                f"slots, and it waited {owner['seconds']} s of at most {owner.get('max_wait')}"
            )
    return text


def _lost_cause(origin: LogLine, owners: list[LogLine], context: list[LogLine]) -> str:
    member = origin.fields["member"]
    for line in context:
        if line.event == INSTANCE_CRASHED and line.node == member:
            return (
                f"the instance beside {member} crashed while it ran "
                f"{line.fields['running']} requests"
            )
    for line in owners:
        if line.node == member and line.fields["cause"] in ("LOST", "GARBLED"):
            return f"the instance beside {member} broke its connection while the request ran"
    for line in context:
        if line.event in LINK_EVENTS and line.fields.get("peer") == member:
            reason = f" ({line.fields['reason']})" if "reason" in line.fields else ""
            return (
                f"{origin.node} lost its link to {member}{reason} while the request was in flight"
            )
    return f"no answer came from {member}, and no log line shows the cause"


def _expired_cause(fields: dict[str, Any], owners: list[LogLine]) -> str:
    for line in owners:
        if line.fields["end"] == "NOT_RUN":
            return f"it waited for a slot at {line.node} until its time expired"
    return (
        f"the instance beside {fields['member']} had it and gave no answer within the route's time "
        f"of {fields['seconds']} s"
    )


def _service_of_route(fields: dict[str, Any]) -> str:
    return str(fields["route"]).rpartition(">")[2]

"""The story of one request, put together from the log lines of all nodes.

A line is JSON, possibly behind other text. A request has lines at its origin and at the owners that
it was sent to; a call that it made has an id of its own and names it as `parent`. What the nodes
believed at that time (links lost, instances that left, load) is told with it, since that is where
the cause lies.
"""

import json
from collections.abc import Iterable
from typing import Any, NamedTuple

REQUEST_ENDED, REQUEST_REPEATED = 510, 511
LINK_EVENTS = frozenset({410, 411})
INSTANCE_EVENTS = frozenset({111, 112, 113})
LOAD = 520
CONTEXT_SECONDS = 1.5  # around the end of the request
MAX_DEPTH = 8  # of calls below a request
_HIDDEN = frozenset({"time", "event", "name", "level", "node", "text"})


class LogLine(NamedTuple):
    """One event of one node; `time` in seconds since 1970."""

    time: float
    node: str
    event: int
    name: str
    fields: dict[str, Any]

    @classmethod
    def from_text(cls, text: str) -> "LogLine | None":
        """Return the event of a line, None if there is none."""
        start = text.find("{")
        if start < 0:
            return None
        try:
            found = json.loads(text[start:])
            return cls(
                float(found["time"]), str(found["node"]), int(found["event"]), found["name"], found
            )
        except (ValueError, KeyError, TypeError):
            return None

    def text(self) -> str:
        """Return the line as an operator reads it."""
        shown = (f"{k}={v}" for k, v in self.fields.items() if k not in _HIDDEN and v != "")
        return f"{self.time:.3f} {self.node} {self.event} {self.name} {' '.join(shown)}"


class Story(NamedTuple):
    """Lines in order of time, and the cause in words."""

    lines: list[LogLine]
    context: list[LogLine]
    causes: list[str]


def tell_story(texts: Iterable[str], request_id: str) -> Story:
    """Return the story of a request; without lines if no node wrote of it."""
    events = [line for text in texts if (line := LogLine.from_text(text)) is not None]
    events.sort(key=lambda line: line.time)
    own = _lines_of(events, request_id)
    if not own:
        return Story([], [], [])
    context = _context(events, own)
    return Story(own, context, _causes(own, context, request_id))


def _lines_of(events: list[LogLine], request_id: str) -> list[LogLine]:
    wanted, newest = {request_id}, {request_id}
    for _ in range(MAX_DEPTH):
        calls = {str(e.fields["id"]) for e in events if e.fields.get("parent") in newest}
        newest = calls - wanted
        if not newest:
            break
        wanted |= newest
    return [event for event in events if event.fields.get("id") in wanted]


def _context(events: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    first = min(line.time - line.fields.get("seconds", 0.0) for line in own) - CONTEXT_SECONDS
    last = max(line.time for line in own) + CONTEXT_SECONDS
    nodes = {line.node for line in own} | {str(line.fields.get("member", "")) for line in own}
    context = []
    for event in events:
        if not first <= event.time <= last:
            continue
        if event.event in LINK_EVENTS and event.fields.get("peer") in nodes:
            context.append(event)
        elif event.event == LOAD or (event.event in INSTANCE_EVENTS and event.node in nodes):
            context.append(event)
    return context


def _causes(own: list[LogLine], context: list[LogLine], request_id: str) -> list[str]:
    """Return the causes, the request's own first, then those of the calls that failed."""
    ended = [line for line in own if line.event == REQUEST_ENDED]
    origins = [line for line in ended if line.fields["side"] == "origin"]
    origins.sort(key=lambda line: line.fields["id"] != request_id)
    causes = []
    for line in origins:
        if line.fields["end"] == "ANSWERED" and line.fields["status"] < 500:
            continue
        owners = [
            e for e in ended if e.fields["side"] == "owner" and e.fields["id"] == line.fields["id"]
        ]
        who = "request" if line.fields["id"] == request_id else f"call {line.fields['id']}"
        causes.append(f"{who}: {_cause(line, owners, context)}")
    return causes


def _cause(origin: LogLine, owners: list[LogLine], context: list[LogLine]) -> str:
    said = origin.fields
    match (said["end"], said["cause"]):
        case ("NOT_RUN", "PRICED_OUT"):
            return _priced_out(origin, context)
        case ("NOT_RUN", "NO_INSTANCE"):
            return f"refused by {origin.node}: no instance of {_service(said)} was open"
        case ("NOT_RUN", cause):
            return _turned_away(said, cause, owners)
        case ("UNKNOWN", "LOST" | "GARBLED"):
            return _lost(origin, owners, context)
        case ("UNKNOWN", "EXPIRED"):
            return _expired(said, owners)
        case ("ANSWERED", _):
            return f"the instance beside {said['member']} answered {said['status']}"
    return f"{said['end']} {said['cause']}"


def _priced_out(origin: LogLine, context: list[LogLine]) -> str:
    said = origin.fields
    text = (
        f"refused at its entry {origin.node}: its tree costs {said.get('price')} and is worth "
        f"{said.get('worth')}, so a share of {said.get('share')} is admitted"
    )
    loads = [line for line in context if line.event == LOAD]
    if not loads:
        return text + "; no node told of its load at that time"
    tightest = max(loads, key=lambda line: line.fields["price"]).fields
    return text + (
        f"; the tightest was {tightest['service']} at {tightest['node']}: price "
        f"{tightest['price']}, {tightest['in_flight']} of {tightest['limit']} slots in use, "
        f"{tightest['waiting']} waiting"
    )


def _turned_away(said: dict[str, Any], cause: str, owners: list[LogLine]) -> str:
    text = f"refused with {cause} by {said['member']}"
    for line in owners:
        found = line.fields
        if found["end"] == "NOT_RUN":
            text += (
                f"; at {line.node} {found['in_flight']} requests were present for {found['limit']} "
                f"slots, and it waited {found['seconds']} s of at most {found.get('max_wait')}"
            )
    return text


def _lost(origin: LogLine, owners: list[LogLine], context: list[LogLine]) -> str:
    member = origin.fields["member"]
    for line in owners:
        if line.node == member and line.fields["cause"] in ("LOST", "GARBLED"):
            return f"the instance beside {member} broke its connection while the request ran"
    for line in context:
        if line.event in LINK_EVENTS and line.fields.get("peer") == member:
            return f"{origin.node} lost its link to {member} while the request was there"
    return f"no answer came from {member}, and no line tells why"


def _expired(said: dict[str, Any], owners: list[LogLine]) -> str:
    for line in owners:
        if line.fields["end"] == "NOT_RUN":
            return f"it waited for a slot at {line.node} until its time was over"
    return (
        f"the instance beside {said['member']} had it and gave no answer within the route's time "
        f"of {said['seconds']} s"
    )


def _service(said: dict[str, Any]) -> str:
    return str(said["route"]).rpartition(">")[2]

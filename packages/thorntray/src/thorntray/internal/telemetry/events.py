"""Numbered log events, written as JSON lines or plain text with `absl.logging`.

docs/EVENTS.md is the catalogue; a test checks that it matches this enumeration. Each kind of event
has a rate limit per second, and the number of suppressed events is logged, so that logging does
not add to an overload.
"""

import json
import time
import traceback
from enum import Enum
from typing import NamedTuple

from absl import logging

MAX_EVENTS_PER_SECOND = 5  # default limit for each kind of event
TRACEBACK_DEPTH = 4  # innermost calls in a HANDLER_FAILED line
MAX_REQUEST_LINES_PER_SECOND = 25  # limit for each kind of line about the end of one request


class Level(Enum):
    """Severity."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class EventKind(NamedTuple):
    """Number, severity, text and rate limit (events per second) of an event."""

    number: int
    level: Level
    text: str
    max_per_second: int = MAX_EVENTS_PER_SECOND


class Event(Enum):
    """All events; the names and numbers appear in the log."""

    STARTED = EventKind(100, Level.INFO, "node started")
    DRAIN_BEGUN = EventKind(101, Level.INFO, "graceful stop begun")
    DRAIN_ENDED = EventKind(102, Level.INFO, "graceful stop ended")
    DRAIN_CUT = EventKind(103, Level.ERROR, "graceful stop ran out of time")
    SETTINGS_CHANGED = EventKind(105, Level.INFO, "settings file changed")
    SETTINGS_REFUSED = EventKind(117, Level.ERROR, "settings file refused, those in force are kept")
    METRICS_NOT_SERVED = EventKind(106, Level.WARNING, "metrics not served")
    LOG_LINES_DROPPED = EventKind(107, Level.WARNING, "log lines dropped")
    LIBRARY = EventKind(108, Level.WARNING, "library log message")
    STOPPED = EventKind(109, Level.INFO, "node stopped")
    DUMP_WRITTEN = EventKind(104, Level.INFO, "state dump")
    INSTANCE_REGISTERED = EventKind(110, Level.INFO, "upstream instance registered")
    INSTANCE_LEFT = EventKind(111, Level.INFO, "upstream instance left")
    INSTANCE_LAPSED = EventKind(112, Level.WARNING, "upstream instance stopped sending heartbeats")
    INSTANCE_ANNOUNCED = EventKind(113, Level.INFO, "upstream instance announced itself")
    ANNOUNCEMENT_REFUSED = EventKind(114, Level.WARNING, "announcement refused")
    DEPARTURE_NOT_RECORDED = EventKind(
        120, Level.WARNING, "leaving of the instance not confirmed, as nobody else knows of it"
    )
    INSTANCE_LIMIT = EventKind(116, Level.WARNING, "rate limit of the upstream instance changed")
    ANNOUNCEMENT_OUTDATED = EventKind(118, Level.INFO, "announcement of another boot ignored")
    INSTANCE_MISMATCH = EventKind(
        119, Level.WARNING, "upstream instance is another one than announced"
    )
    NODE_FAILED = EventKind(115, Level.ERROR, "node failed at its start or stop")
    CONNECTIONS_BOUNDED = EventKind(
        121, Level.WARNING, "connections of callers have reached their bound", 1
    )
    DESCRIPTORS_EXHAUSTED = EventKind(
        122, Level.ERROR, "no descriptor left for an outgoing connection", 1
    )
    PORT_TAKEN = EventKind(123, Level.WARNING, "port cannot be opened yet, waited for")
    PORTS_BOUND = EventKind(124, Level.INFO, "port bound", 10)
    PORT_FREE = EventKind(130, Level.INFO, "port opened after a wait")
    CONNECTIONS_NOT_ACCEPTED = EventKind(
        125, Level.WARNING, "waiting connections reset at the stop"
    )
    PROCESS_ENDED = EventKind(127, Level.ERROR, "process ended")  # written by `process_end`
    RESTART_SEEN = EventKind(128, Level.WARNING, "process of a node replaces an earlier one")
    SETTINGS_AWAITED = EventKind(129, Level.WARNING, "settings file not valid yet, read again")
    INSTANCE_UNPROVEN = EventKind(
        133, Level.WARNING, "upstream instance not used until it has announced itself again"
    )
    SETTINGS_DEFAULT = EventKind(132, Level.WARNING, "settings field without a value, default used")
    MEMBER_JOINED = EventKind(200, Level.INFO, "member joined")
    MEMBER_SUSPECT = EventKind(201, Level.WARNING, "member suspected")
    MEMBER_DEAD = EventKind(202, Level.WARNING, "member dead")
    MEMBER_LEFT = EventKind(203, Level.INFO, "member left")
    SELF_REFUTED = EventKind(204, Level.WARNING, "refuted a false report of this node")
    SEED_LEASE_TAKEN = EventKind(210, Level.INFO, "seed entry taken")
    SEED_LEASE_LOST = EventKind(211, Level.WARNING, "seed entry lost")
    SETTINGS_IN_FORCE = EventKind(300, Level.INFO, "settings in force")
    DOCUMENT_REFUSED = EventKind(301, Level.ERROR, "document refused, last valid one kept")
    POLICY_IN_FORCE = EventKind(302, Level.INFO, "policy in force")
    POLICY_REFUSED = EventKind(303, Level.ERROR, "policy refused, last valid one kept")
    POLICY_HEARD = EventKind(304, Level.INFO, "newer policy heard of")
    WATCH_OVERDUE = EventKind(305, Level.WARNING, "watch of the policy taken for lost")
    PLATFORM_DOWN = EventKind(310, Level.WARNING, "platform service unavailable")
    PLATFORM_BACK = EventKind(311, Level.INFO, "platform service available again")
    PLATFORM_RESTORED = EventKind(
        312, Level.WARNING, "platform service restored from an older copy"
    )
    KEPT_ENTRY_LOST = EventKind(315, Level.WARNING, "platform service lost an entry, written again")
    KEYS_REFUSED = EventKind(
        313, Level.WARNING, "API keys refused, no recent proof of the newest policy"
    )
    KEYS_SERVED = EventKind(314, Level.INFO, "API keys served again")
    BAD_MESSAGE = EventKind(400, Level.WARNING, "message refused")
    HANDLER_FAILED = EventKind(401, Level.ERROR, "message handler failed")
    LINK_LOST = EventKind(410, Level.WARNING, "link to a peer lost")
    LINK_UNREACHABLE = EventKind(411, Level.WARNING, "no link to a peer")
    LINK_FULL = EventKind(412, Level.WARNING, "call not put into a full link to a peer")
    TASK_FAILED = EventKind(402, Level.ERROR, "background task failed")
    LEVEL_RAISED = EventKind(500, Level.WARNING, "instance sheds requests")
    REQUEST_ENDED = EventKind(510, Level.INFO, "request ended", MAX_REQUEST_LINES_PER_SECOND)
    REQUEST_REPEATED = EventKind(511, Level.INFO, "request sent again")
    REQUEST_UNANSWERED = EventKind(
        512,
        Level.WARNING,
        "connection ended by this node before the answer",
        MAX_REQUEST_LINES_PER_SECOND,
    )
    CALLER_REFUSED = EventKind(
        513, Level.INFO, "request refused for its caller", MAX_REQUEST_LINES_PER_SECOND
    )
    LOAD = EventKind(520, Level.INFO, "load of the instance and prices received")
    INSTANCE_CRASHED = EventKind(521, Level.WARNING, "upstream instance crashed with requests")
    REQUEST_BLOCKED = EventKind(522, Level.WARNING, "requests that crash instances are refused")
    MEMORY_FULL = EventKind(523, Level.WARNING, "request refused for lack of memory")
    LIMIT_LOWERED = EventKind(501, Level.WARNING, "concurrency limit lowered")


class EventLog:
    """Writes events with a rate limit; `as_json` selects JSON lines instead of text."""

    def __init__(self, as_json: bool, node: str) -> None:
        self._as_json = as_json
        self._node = node
        self._second = 0
        self._written: dict[Event, int] = {}
        self._suppressed: dict[Event, int] = {}

    def write(self, event: Event, fields: dict[str, object]) -> None:
        """Write an event, or count it as suppressed if its limit for this second is reached."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
        count = self._written.get(event, 0) + 1
        if count > event.value.max_per_second:
            self.suppress(event)
            return
        self._written[event] = count
        suppressed = self._suppressed.pop(event, 0)
        if suppressed:
            fields = {**fields, "left_out": suppressed}
        logging.log(event.value.level.value, "%s", self._line(event, fields, now))

    def remaining(self, event: Event) -> int:
        """Return how many more events of a kind may be written in this second."""
        if int(time.time()) != self._second:
            return event.value.max_per_second
        return event.value.max_per_second - self._written.get(event, 0)

    def suppress(self, event: Event) -> None:
        """Count an event that is not written; the next one written reports the count."""
        self._suppressed[event] = self._suppressed.get(event, 0) + 1

    def _line(self, event: Event, fields: dict[str, object], now: float) -> str:
        number, level, text, _ = event.value
        if self._as_json:
            record = {
                "time": round(now, 3),
                "event": number,
                "name": event.name,
                "level": level.name,
                "node": self._node,
                "text": text,
                **fields,
            }
            return json.dumps(record, default=str)
        field_text = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"E{number} {self._node}: {text} {field_text}".rstrip()


_log = EventLog(as_json=False, node="-")


def configure_events(as_json: bool, node: str) -> None:
    """Set the log format and the node name that appears in the log."""
    global _log
    _log = EventLog(as_json, node)


def log_event(event: Event, **fields: object) -> None:
    """Write an event with its fields, subject to the rate limit of its kind."""
    _log.write(event, fields)


def log_handler_failure(**fields: object) -> None:
    """Write the exception that is being handled as `HANDLER_FAILED`, with its innermost calls."""
    detail = traceback.format_exc(limit=-TRACEBACK_DEPTH)
    log_event(Event.HANDLER_FAILED, detail=detail, **fields)


def remaining_events(event: Event) -> int:
    """Return how many more events of a kind may be written in this second."""
    return _log.remaining(event)


def suppress_event(event: Event) -> None:
    """Count an event that the caller has decided not to write."""
    _log.suppress(event)

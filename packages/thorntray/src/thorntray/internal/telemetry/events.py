"""Numbered events, as JSON lines or readable text, by `absl.logging`.

docs/EVENTS.md is the catalogue; a test holds it and this enumeration to each other. Events
that a load can cause in numbers are limited to a few a second, with a count of what was left
out, so that logging never adds to an overload.
"""

import json
import time
from enum import Enum
from typing import NamedTuple

from absl import logging

MAX_EVENTS_PER_SECOND = 5  # of one kind, unless it has a bound of its own
MAX_REQUESTS_PER_SECOND = 25  # lines on the ends of requests


class Level(Enum):
    """Severity."""

    INFO = logging.INFO
    WARNING = logging.WARNING
    ERROR = logging.ERROR


class EventKind(NamedTuple):
    """Number, severity and text of an event."""

    number: int
    level: Level
    text: str
    per_second: int = MAX_EVENTS_PER_SECOND


class Event(Enum):
    """All events."""

    STARTED = EventKind(100, Level.INFO, "node started")
    DRAIN_BEGUN = EventKind(101, Level.INFO, "graceful stop begun")
    DRAIN_ENDED = EventKind(102, Level.INFO, "graceful stop ended")
    DRAIN_CUT = EventKind(103, Level.ERROR, "graceful stop ran out of time")
    SETTINGS_CHANGED = EventKind(105, Level.INFO, "settings file changed")
    METRICS_NOT_SERVED = EventKind(106, Level.WARNING, "metrics not served")
    LOG_LINES_DROPPED = EventKind(107, Level.WARNING, "log lines dropped")
    LIBRARY = EventKind(108, Level.WARNING, "said by a library")
    DUMP_WRITTEN = EventKind(104, Level.INFO, "state dump")
    INSTANCE_REGISTERED = EventKind(110, Level.INFO, "upstream instance registered")
    INSTANCE_LEFT = EventKind(111, Level.INFO, "upstream instance left")
    INSTANCE_LAPSED = EventKind(112, Level.WARNING, "upstream instance stopped renewing")
    INSTANCE_ANNOUNCED = EventKind(113, Level.INFO, "upstream instance announced itself")
    ANNOUNCEMENT_REFUSED = EventKind(114, Level.WARNING, "announcement refused")
    MEMBER_JOINED = EventKind(200, Level.INFO, "member joined")
    MEMBER_SUSPECT = EventKind(201, Level.WARNING, "member suspected")
    MEMBER_DEAD = EventKind(202, Level.WARNING, "member dead")
    MEMBER_LEFT = EventKind(203, Level.INFO, "member left")
    SELF_REFUTED = EventKind(204, Level.WARNING, "refuted a false report of this node")
    SEED_LEASE_TAKEN = EventKind(210, Level.INFO, "seed entry taken")
    SEED_LEASE_LOST = EventKind(211, Level.WARNING, "seed entry lost")
    SETTINGS_IN_FORCE = EventKind(300, Level.INFO, "settings in force")
    DOCUMENT_REFUSED = EventKind(301, Level.ERROR, "document refused, the last good one stays")
    POLICY_IN_FORCE = EventKind(302, Level.INFO, "policy in force")
    POLICY_REFUSED = EventKind(303, Level.ERROR, "policy refused, the last good one stays")
    PLATFORM_DOWN = EventKind(310, Level.WARNING, "platform service unavailable")
    PLATFORM_BACK = EventKind(311, Level.INFO, "platform service available again")
    BAD_MESSAGE = EventKind(400, Level.WARNING, "message refused")
    HANDLER_FAILED = EventKind(401, Level.ERROR, "message handler failed")
    LINK_LOST = EventKind(410, Level.WARNING, "link to a peer lost")
    LINK_UNREACHABLE = EventKind(411, Level.WARNING, "no link to a peer")
    TASK_FAILED = EventKind(402, Level.ERROR, "background task failed")
    LEVEL_RAISED = EventKind(500, Level.WARNING, "instance sheds requests")
    REQUEST_ENDED = EventKind(510, Level.INFO, "request ended", MAX_REQUESTS_PER_SECOND)
    REQUEST_REPEATED = EventKind(511, Level.INFO, "request sent again")
    LOAD = EventKind(520, Level.INFO, "load of the instance and prices heard")
    LIMIT_LOWERED = EventKind(501, Level.WARNING, "concurrency limit lowered")


class EventLog:
    """Writes events; `as_json` chooses between JSON lines and text."""

    def __init__(self, as_json: bool, node: str) -> None:
        self._as_json = as_json
        self._node = node
        self._second = 0
        self._written: dict[Event, int] = {}
        self._left_out: dict[Event, int] = {}

    def write(self, event: Event, fields: dict[str, object]) -> None:
        """Write an event unless its kind has been written often in this second."""
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
        count = self._written.get(event, 0) + 1
        if count > event.value.per_second:
            self.leave_out(event)
            return
        self._written[event] = count
        left_out = self._left_out.pop(event, 0)
        if left_out:
            fields = {**fields, "left_out": left_out}
        logging.log(event.value.level.value, "%s", self._line(event, fields, now))

    def room(self, event: Event) -> int:
        """Return how many more events of a kind may be written in this second."""
        if int(time.time()) != self._second:
            return event.value.per_second
        return event.value.per_second - self._written.get(event, 0)

    def leave_out(self, event: Event) -> None:
        """Count an event that is not written."""
        self._left_out[event] = self._left_out.get(event, 0) + 1

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
        tail = " ".join(f"{key}={value}" for key, value in fields.items())
        return f"E{number} {self._node}: {text} {tail}".rstrip()


_log = EventLog(as_json=False, node="-")


def set_up_events(as_json: bool, node: str) -> None:
    """Choose the form of the log and the name of this node in it."""
    global _log
    _log = EventLog(as_json, node)


def log_event(event: Event, **fields: object) -> None:
    """Write an event."""
    _log.write(event, fields)


def event_room(event: Event) -> int:
    """Return how many more events of a kind may be written in this second."""
    return _log.room(event)


def leave_event_out(event: Event) -> None:
    """Count an event that the caller has chosen not to write."""
    _log.leave_out(event)

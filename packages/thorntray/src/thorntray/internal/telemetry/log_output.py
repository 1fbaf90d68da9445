"""Log lines to standard output that never hold the event loop up.

A reader that has stopped would block a plain write, and with it every request. So lines wait in a
bounded buffer and leave in portions that the pipe is known to take: where `poll` reports room, a
pipe takes `select.PIPE_BUF` bytes at once. What finds no room in the buffer is counted, and the
count is said once a second when lines leave again.
"""

import asyncio
import json
import logging
import os
import select
import time
from collections import deque

from absl import logging as absl_logging

from thorntray.internal.telemetry.events import Event, log_event

MAX_LINES = 2000  # that wait for the reader
FLUSH_PERIOD = 0.05  # seconds
DROPPED_REPORT_PERIOD = 1.0  # seconds
MAX_PORTIONS = 50  # written in one turn of the event loop
MAX_LINE_BYTES = select.PIPE_BUF


class LogOutput(logging.Handler):
    """Handler of all loggers of the process; writes to one file descriptor."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line, or count it as dropped."""
        if len(self._lines) >= MAX_LINES:
            self.dropped += 1
            return
        self._lines.append(_line(record)[: MAX_LINE_BYTES - 1] + b"\n")

    async def run(self) -> None:
        """Write what waits until cancelled."""
        reported_at = time.monotonic()
        while True:
            await asyncio.sleep(FLUSH_PERIOD)
            self.write_ready()
            if self.dropped and time.monotonic() - reported_at > DROPPED_REPORT_PERIOD:
                reported_at = time.monotonic()
                self._report_dropped()

    def write_ready(self) -> None:
        """Write as much as the reader takes without waiting."""
        for _ in range(MAX_PORTIONS):
            if not self._lines or not self._poll.poll(0):
                return
            os.write(self._descriptor, self._portion())

    def _portion(self) -> bytes:
        portion = [self._lines.popleft()]
        size = len(portion[0])
        while self._lines and size + len(self._lines[0]) <= select.PIPE_BUF:
            size += len(self._lines[0])
            portion.append(self._lines.popleft())
        return b"".join(portion)

    def _report_dropped(self) -> None:
        if len(self._lines) < MAX_LINES:
            dropped, self.dropped = self.dropped, 0
            log_event(Event.LOG_LINES_DROPPED, count=dropped)


def set_up_output(descriptor: int) -> LogOutput:
    """Send the lines of all loggers to a file descriptor; returns the handler to run."""
    output = LogOutput(descriptor)
    absl_logging.set_verbosity(absl_logging.INFO)
    events = absl_logging.get_absl_logger()
    root = logging.getLogger()
    events.propagate = False
    events.handlers = [output]
    root.handlers = [output]
    root.setLevel(logging.WARNING)
    return output


def _line(record: logging.LogRecord) -> bytes:
    """Return an event as it is, and what a library says as a line of JSON."""
    if record.name == absl_logging.get_absl_logger().name:
        return record.getMessage().encode()
    said = {
        "time": round(record.created, 3),
        "event": Event.LIBRARY.value.number,
        "name": Event.LIBRARY.name,
        "level": record.levelname,
        "logger": record.name,
        "text": record.getMessage(),
        "error": repr(record.exc_info[1]) if record.exc_info else "",
    }
    return json.dumps(said, default=str).encode()

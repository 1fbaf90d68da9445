"""Log output to a file descriptor that does not block the event loop.

A plain write blocks when the reader of the pipe has stopped, and with it every request. Therefore
lines are kept in a bounded buffer and written in chunks that cannot block: if `poll` reports a pipe
as writable, it accepts `select.PIPE_BUF` bytes. Lines that do not fit into the buffer are counted,
and the count is logged at most once a second, after the buffer has space again.
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

MAX_BUFFERED_LINES = 2000  # further lines are dropped
FLUSH_PERIOD = 0.05  # seconds
DROPPED_REPORT_PERIOD = 1.0  # seconds between reports of dropped lines
MAX_WRITES_PER_FLUSH = 50  # bounds the time of one event loop iteration
MAX_LINE_BYTES = select.PIPE_BUF


class LogOutput(logging.Handler):
    """Handler for all loggers of the process; writes to one file descriptor.

    With `as_json`, records of libraries become JSON lines, else each line begins with its time.
    """

    def __init__(self, descriptor: int, as_json: bool = True) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._format_line = _line if as_json else _text_line
        self._lines: deque[bytes] = deque()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            return
        try:
            line = self._format_line(record)
        except Exception:  # faulty arguments of the log call, which must not fail in the caller
            self.dropped += 1
            return
        self._lines.append(line[: MAX_LINE_BYTES - 1] + b"\n")

    async def run(self) -> None:
        """Write buffered lines periodically until cancelled."""
        reported_at = time.monotonic()
        while True:
            await asyncio.sleep(FLUSH_PERIOD)
            self.flush_ready()
            if self.dropped and time.monotonic() - reported_at > DROPPED_REPORT_PERIOD:
                reported_at = time.monotonic()
                self._report_dropped()

    def flush_ready(self) -> None:
        """Write as many buffered lines as possible without blocking.

        Lines that cannot be written are counted as dropped.
        """
        for _ in range(MAX_WRITES_PER_FLUSH):
            if not self._lines or not self._poll.poll(0):
                return
            chunk = self._next_chunk()
            try:
                os.write(self._descriptor, chunk)
            except OSError:  # the reader has gone, or the disk is full
                self.dropped += chunk.count(b"\n")
                return

    def _next_chunk(self) -> bytes:
        chunk = [self._lines.popleft()]
        size = len(chunk[0])
        while self._lines and size + len(self._lines[0]) <= select.PIPE_BUF:
            size += len(self._lines[0])
            chunk.append(self._lines.popleft())
        return b"".join(chunk)

    def _report_dropped(self) -> None:
        if len(self._lines) < MAX_BUFFERED_LINES:
            dropped, self.dropped = self.dropped, 0
            log_event(Event.LOG_LINES_DROPPED, count=dropped)


def configure_output(descriptor: int, as_json: bool = True) -> LogOutput:
    """Route all loggers to a file descriptor; the caller has to start `run` of the result."""
    output = LogOutput(descriptor, as_json)
    absl_logging.set_verbosity(absl_logging.INFO)
    events = absl_logging.get_absl_logger()
    root = logging.getLogger()
    events.setLevel(logging.INFO)  # absl sets that of the root logger if its handler is there
    events.propagate = False
    events.handlers = [output]
    root.handlers = [output]
    root.setLevel(logging.WARNING)
    return output


def _line(record: logging.LogRecord) -> bytes:
    """Return an event line unchanged, and a library's log record as a JSON line."""
    if record.name == absl_logging.get_absl_logger().name:
        return record.getMessage().encode()
    record_fields = {
        "time": round(record.created, 3),
        "event": Event.LIBRARY.value.number,
        "name": Event.LIBRARY.name,
        "level": record.levelname,
        "logger": record.name,
        "text": record.getMessage(),
        "error": repr(record.exc_info[1]) if record.exc_info else "",
    }
    return json.dumps(record_fields, default=str).encode()


def _text_line(record: logging.LogRecord) -> bytes:
    """Return a log record as a line of text with its level, time and source."""
    at = time.strftime("%m%d %H:%M:%S", time.localtime(record.created))
    source = f"{record.process} {record.filename}:{record.lineno}"
    error = f" {record.exc_info[1]!r}" if record.exc_info else ""
    text = f"{record.levelname[0]}{at}.{record.msecs:03.0f} {source}] {record.getMessage()}{error}"
    return text.encode()

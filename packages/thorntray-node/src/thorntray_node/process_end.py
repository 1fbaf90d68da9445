"""The last line of a node process, which tells why it ends and with which exit code.

It is written on every path that ends the interpreter, also before the log is configured and when
imports fail, so this module imports nothing but the standard library. Nothing here blocks or
raises: a line goes to the first output that takes it, or is lost if none does. A native crash
leaves the stacks of its threads on standard error.
"""

import faulthandler
import json
import os
import select
import sys
import time
import traceback
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, IntEnum
from typing import TextIO

EVENT_NUMBER, EVENT_NAME = 127, "PROCESS_ENDED"  # in the catalogue of events
UNKNOWN_NODE = "-"  # until the settings name the node
MAX_DETAIL_LENGTH = 500  # characters; the line fits into one write to a pipe


class ExitCode(IntEnum):
    """The exit codes of a node process; docs/OPERATIONS.md has what to do about each."""

    STOPPED = 0
    FAILED = 1
    BAD_SETTINGS = 2
    CANNOT_BIND = 3
    INTERRUPTED = 130  # as shells show an end by SIGINT


class Cause(Enum):
    """Why a process ends."""

    STOPPED = "graceful stop"
    INVALID_FLAGS = "invalid flags"
    INVALID_SETTINGS = "invalid settings"
    PORT_TAKEN = "a port cannot be opened"
    IMPORT_FAILED = "a module cannot be imported"
    INTERRUPTED = "interrupted before it could stop gracefully"
    FAILED = "unexpected exception"


CAUSES_BY_CODE = {
    ExitCode.STOPPED: Cause.STOPPED,
    ExitCode.BAD_SETTINGS: Cause.INVALID_SETTINGS,
    ExitCode.CANNOT_BIND: Cause.PORT_TAKEN,
}


class ProcessEnd:
    """What is known of the end of this process.

    `step` is the last step of its life that has begun: import, flags, settings, start (until the
    stop), stop.
    """

    def __init__(self) -> None:
        self.node = UNKNOWN_NODE
        self.step = "import"
        self.detail = ""
        self.cause: Cause | None = None  # None: the exit code tells it
        self.is_reported = True  # False: the command runs no node
        self._outputs: tuple[TextIO | None, ...] = ()

    def run(self, load: Callable[[], Callable[[], int]], outputs: tuple[TextIO | None, ...]) -> int:
        """Run what `load` returns, and write the last line; return the exit code.

        `load` imports the program. `outputs` are tried in turn for the line.
        """
        self._outputs = outputs
        with suppress(Exception):  # a system that refuses it, or an output without a descriptor
            faulthandler.enable(sys.stderr)
        code = self._run(load)
        if self.is_reported:
            with suppress(Exception):
                self._write_line(code)
        return code

    def _run(self, load: Callable[[], Callable[[], int]]) -> int:
        try:
            return load()()
        except SystemExit as exc:
            return self._code_of(exc)
        except KeyboardInterrupt:
            self.cause = Cause.INTERRUPTED
            return ExitCode.INTERRUPTED
        except BaseException as exc:
            self.cause = Cause.IMPORT_FAILED if self.step == "import" else Cause.FAILED
            self.detail = repr(exc)
            self._write_error(traceback.format_exc())
            return ExitCode.FAILED

    def _code_of(self, exc: SystemExit) -> int:
        if exc.code is None or isinstance(exc.code, int):
            return exc.code or 0
        self.explain(Cause.FAILED, str(exc.code))
        return ExitCode.FAILED

    def explain(self, cause: Cause, detail: str) -> None:
        """Set why the process ends, and write it to standard error for a human reader."""
        self.cause = cause
        self.detail = detail
        self._write_error(detail + "\n")

    def _write_error(self, text: str) -> None:
        with suppress(Exception):
            _write(sys.stderr, text.encode("utf-8", "replace"))

    def _write_line(self, code: int) -> None:
        cause = self.cause or CAUSES_BY_CODE.get(code, Cause.FAILED)
        record = {
            "time": round(time.time(), 3),
            "event": EVENT_NUMBER,
            "name": EVENT_NAME,
            "level": "INFO" if code == 0 else "ERROR",
            "node": self.node,
            "text": "process ended",
            "cause": cause.name,
            "code": code,
            "step": self.step,
            "detail": self.detail[:MAX_DETAIL_LENGTH],
        }
        line = json.dumps(record).encode() + b"\n"
        for output in self._outputs:
            if _write(output, line):
                return


def _write(output: TextIO | None, data: bytes) -> bool:
    """Write to an output as far as it takes it at once; return whether that was all."""
    try:
        descriptor = output.fileno()
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        while data and poll.poll(0):  # a pipe that is writable takes `PIPE_BUF` bytes
            data = data[os.write(descriptor, data[: select.PIPE_BUF]) :]
    except (AttributeError, OSError, ValueError):
        return False
    return not data


process_end = ProcessEnd()

"""Watches the node processes as the platform does: memory, and processes that end by themselves."""

import asyncio
import signal
import time
from pathlib import Path
from typing import NamedTuple

from standins.mesh_fleet import (
    STOP_TIMEOUT,
    MeshFleet,
    NodeProcess,
    ProcessLimits,
    SentSignal,
)

WATCH_PERIOD = 0.5  # seconds
RESTART_DELAY = 1.0  # seconds until a process that has ended is started again
EARLY_HANGUP_AGE = 0.5  # seconds after its start in which a SIGHUP may end a process
# Seconds after its start in which the default action may end a process that has not logged a
# port, the second one if it has no standard output.
EARLY_STOP_AGE, EARLY_SILENT_STOP_AGE = 5.0, 1.0
KILL_TOLERANCE = 0.5  # seconds before the limit of a stop
# Events in the log of a process that handles its signals; it may wait for a port meanwhile.
HANDLING_EVENTS = ("PORT_TAKEN", "PORTS_BOUND", "STARTED")
INTERRUPTED_CODE = 130  # of a process that SIGINT ends before it has a handler
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
LAST_LINES = 3  # of the log, reported for a process that ended by itself
KB_PER_MB = 1024


class MemoryKill(NamedTuple):
    """A process that was killed for its memory; `at` is in monotonic seconds."""

    node: str
    boot: int
    peak_mb: int
    limit_mb: int
    at: float


class OwnEnd(NamedTuple):
    """A process that ended by itself; `at` is in monotonic seconds.

    `overdue` is true if it was told to stop, and was killed because it did not end.
    """

    node: str
    boot: int
    returncode: int
    at: float
    last_lines: tuple[str, ...]
    overdue: bool = False


class ProcessWatcher:
    """Kills nodes above their memory limit, and restarts those that end without a plan."""

    def __init__(self, fleet: MeshFleet) -> None:
        self.memory_kills: list[MemoryKill] = []
        self.own_ends: list[OwnEnd] = []
        self.early_hangups = 0
        self.peaks_mb: dict[str, int] = {}
        self._fleet = fleet
        fleet.before_start = self.check
        self._seen: set[tuple[str, int]] = set()  # boots whose end has been judged
        self._restarts: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self.check_all()
            await asyncio.sleep(WATCH_PERIOD)

    def check_all(self) -> None:
        """Judge the ends of all processes so far."""
        for node in self._fleet.nodes.values():
            self.check(node)

    def check(self, node: NodeProcess) -> None:
        """Judge the current process of a node, if it has ended, and its memory, if not."""
        if node.process is None or (node.name, node.boot) in self._seen:
            return
        returncode = node.process.poll()
        if returncode is not None:
            self._seen.add((node.name, node.boot))
            self._judge_end(node, returncode)
            return
        peak_mb = read_peak_mb(node.process.pid)
        self.peaks_mb[node.name] = max(self.peaks_mb.get(node.name, 0), peak_mb)
        # The peak, since the platform also kills what is above its limit between two readings.
        limits = self._fleet.limits
        if limits is not None and peak_mb > limits.memory_mb:
            self._kill(node, peak_mb, limits)

    def _kill(self, node: NodeProcess, peak_mb: int, limits: ProcessLimits) -> None:
        self._seen.add((node.name, node.boot))
        now = time.monotonic()
        self.memory_kills.append(MemoryKill(node.name, node.boot, peak_mb, limits.memory_mb, now))
        node.signal(signal.SIGKILL)
        self._restart_later(node)

    def _judge_end(self, node: NodeProcess, returncode: int) -> None:
        lines = self._log_lines(node)
        has_handlers = any(event in line for event in HANDLING_EVENTS for line in lines)
        overdue = killed_at_limit(returncode, node.signals)
        if not overdue and ended_as_planned(returncode, node, has_handlers):
            return  # the fault restarts it
        if not has_handlers and ended_by_early_hangup(returncode, node.signals, node.started_at):
            self.early_hangups += 1
        else:
            now, last = time.monotonic(), tuple(lines[-LAST_LINES:])
            self.own_ends.append(OwnEnd(node.name, node.boot, returncode, now, last, overdue))
        self._restart_later(node)

    def _log_lines(self, node: NodeProcess) -> list[str]:
        """Return what the current process of a node has logged."""
        written = self._fleet.log_file(node).read_bytes()[node.log_start :]
        return written.decode("utf-8", "replace").splitlines()

    def _restart_later(self, node: NodeProcess) -> None:
        task = asyncio.create_task(self._restart(node))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, node: NodeProcess) -> None:
        await asyncio.sleep(RESTART_DELAY)
        if not node.running:
            self._fleet.start_node(node)


def ended_as_planned(returncode: int, node: NodeProcess, has_handlers: bool) -> bool:
    """Return whether the end of a process follows from a signal of the plan.

    A process that handles its signals has to end with 0 after SIGTERM and SIGINT. Their default
    action may end it only before, for SIGINT also with `INTERRUPTED_CODE`.
    """
    sent = {signum for signum, _ in node.signals}
    if returncode == 0:
        return bool(sent & STOP_SIGNALS)
    signum = signal.SIGINT if returncode == INTERRUPTED_CODE else -returncode
    if signum in STOP_SIGNALS:
        age = EARLY_STOP_AGE if node.writes_log else EARLY_SILENT_STOP_AGE
        latest = node.started_at + age
        early = any(s.signum == signum and s.sent_at < latest for s in node.signals)
        return early and not has_handlers
    return returncode == -signal.SIGKILL and signal.SIGKILL in sent


def killed_at_limit(returncode: int, signals: list[SentSignal]) -> bool:
    """Return whether a process that was told to stop was killed because it had not ended.

    One that was suspended meanwhile could not end in time.
    """
    sent = {signum for signum, _ in signals}
    if returncode != -signal.SIGKILL or signal.SIGSTOP in sent:
        return False
    told_at = min((s.sent_at for s in signals if s.signum in STOP_SIGNALS), default=None)
    limit = STOP_TIMEOUT - KILL_TOLERANCE
    return told_at is not None and any(
        s.signum == signal.SIGKILL and s.sent_at >= told_at + limit for s in signals
    )


def ended_by_early_hangup(returncode: int, signals: list[SentSignal], started_at: float) -> bool:
    """Return whether a SIGHUP ended a process that was just starting."""
    early = any(
        signum == signal.SIGHUP and sent_at < started_at + EARLY_HANGUP_AGE
        for signum, sent_at in signals
    )
    return early and returncode == -signal.SIGHUP


def read_peak_mb(pid: int) -> int:
    """Return the most resident memory that a process has had; 0 if it has just ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text("utf-8")
    except OSError:
        return 0
    values = dict(line.partition(":")[::2] for line in text.splitlines())
    return int(values.get("VmHWM", "0 kB").split()[0]) // KB_PER_MB

"""Seeded series of signals to a real node process, from its start to its exit, with callers."""

import asyncio
import signal
from pathlib import Path
from random import Random
from typing import NamedTuple

from standins.mesh_fleet import Endpoint
from tests.process_builders import START_TIMEOUT, STOP_TIMEOUT, PlatformProcess
from tests.stop_callers import NewConnections, Outcomes

STOPS = (signal.SIGTERM, signal.SIGINT)
MAX_STOP_DELAYS = (0.005, 0.05, 1.0)  # seconds after the start or the first connection
STOPS_AFTER_CONNECTION = 0.7  # share of the series whose first stop follows a connection
SERIES_GAPS = (0.0, 0.001, 0.05, 0.5)  # mean seconds between signals of a series
MAX_PAUSE = 0.4  # seconds
CALLERS = 3
POLL_PERIOD = 0.001  # seconds


class SeriesOutcome(NamedTuple):
    """What became of a process and its callers."""

    exit_code: int | None  # None: it did not end
    accepted: bool  # whether any connection was
    unanswered: list[str]
    log: str


async def run_series(folder: Path, seed: int, index: int) -> SeriesOutcome:
    """Start a process, stop it at a random moment, and send signals until it has ended."""
    folder.mkdir()
    rng = Random(seed)
    with PlatformProcess(folder, index=index) as node:
        listens = asyncio.Event()
        calling = asyncio.create_task(_call(node, listens))
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT + STOP_TIMEOUT
        if rng.random() < STOPS_AFTER_CONNECTION:
            await _pause_until(node, listens, rng)
        await asyncio.sleep(rng.choice(MAX_STOP_DELAYS) * rng.random())
        _send(node, rng.choice(STOPS))
        gap = rng.choice(SERIES_GAPS)
        while node.process.poll() is None and asyncio.get_running_loop().time() < deadline:
            signum = rng.choice((*STOPS, signal.SIGHUP, signal.SIGHUP, signal.SIGSTOP))
            _send(node, signum)
            if signum is signal.SIGSTOP:
                await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE))
                _send(node, signal.SIGCONT)
            await asyncio.sleep(max(POLL_PERIOD, rng.expovariate(1.0) * gap))
        exit_code = node.process.poll()
        if exit_code is None:
            node.process.kill()
        outcomes, accepted = await calling
        return SeriesOutcome(exit_code, accepted, outcomes.unanswered, node.log)


def _send(node: PlatformProcess, signum: signal.Signals) -> None:
    if node.process.poll() is None:
        node.process.send_signal(signum)


async def _pause_until(node: PlatformProcess, listens: asyncio.Event, rng: Random) -> None:
    """Freeze the process now and then until it listens."""
    while not listens.is_set() and node.process.poll() is None:
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE))
        _send(node, signal.SIGSTOP)
        await asyncio.sleep(rng.choice((0.0, 0.1)) * rng.random())
        _send(node, signal.SIGCONT)


async def _call(node: PlatformProcess, listens: asyncio.Event) -> tuple[Outcomes, bool]:
    """Connect from when the process listens until it has ended; return whether it listened."""
    callers = NewConnections(node.outbound, width=CALLERS)
    while node.process.poll() is None:
        if await _listens(node.outbound):
            listens.set()
            return await callers.run(), True
        await asyncio.sleep(POLL_PERIOD)
    return callers.outcomes, False


async def _listens(address: Endpoint) -> bool:
    try:
        _, writer = await asyncio.open_connection(*address)
    except ConnectionError:
        return False
    writer.close()
    return True

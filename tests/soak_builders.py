"""Test helper: nodes, fleets and observations for tests of the soak, without platform processes."""

import asyncio
import signal
import subprocess
import sys
import time
from contextlib import contextmanager, suppress
from random import Random

from soak.observation import Observation, RouteChange
from standins.mesh_fleet import MeshFleet, NodeProcess, SentSignal
from standins.worker import Endpoint, FleetRecord

# Ends with 0 by SIGTERM and SIGINT, once it has set that up and created its log file.
HANDLING_PROCESS = """
import signal, sys, time
for signum in (signal.SIGTERM, signal.SIGINT):
    signal.signal(signum, lambda *_: sys.exit(0))
print("STARTED", flush=True)
time.sleep(60)
"""


class SmallFleet(MeshFleet):
    """One node with a process of a few lines in place of that of the platform.

    `starts` has the settings file that each process found, None where there was none.
    """

    def __init__(self, source: str = HANDLING_PROCESS, host: str = "127.0.0.1") -> None:
        super().__init__([], {}, Random(1))
        self.node = NodeProcess("n1", "tariff", "a", 1)
        self.node.outbound = Endpoint(host, 0)
        self.nodes = {"n1": self.node}
        self.starts: list[str | None] = []
        self._source = source

    def start_node(self, node: NodeProcess, keep_settings: bool = False) -> None:
        """Start a process of the source."""
        self.before_start(node)
        if not keep_settings:
            self.write_settings(node)
        self.starts.append(self.settings_text())
        node.boot += 1
        node.started_at, node.signals = time.monotonic(), []
        with self.log_file(node).open("ab") as log:
            node.log_start = log.tell()
            node.process = subprocess.Popen(
                [sys.executable, "-c", self._source], stdout=log, preexec_fn=_ignore_hangups
            )

    def settings_text(self) -> str | None:
        """Return the text of the settings file, None if it is gone."""
        path = self.settings_file(self.node)
        return path.read_text("utf-8") if path.exists() else None

    async def wait_started(self) -> None:
        """Wait until the process handles its signals."""
        while "STARTED" not in self._written():
            await asyncio.sleep(0.01)

    def _written(self) -> str:
        return self.log_file(self.node).read_bytes()[self.node.log_start :].decode()


def _ignore_hangups() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


@contextmanager
def small_fleet(source: str = HANDLING_PROCESS):
    """Yield a fleet whose process is running, and kill that at the end."""
    fleet = SmallFleet(source)
    fleet.start_node(fleet.node)
    try:
        yield fleet
    finally:
        fleet.node.process.kill()
        fleet.node.process.wait()


def ended_node(*signals: tuple[int, float], started_at: float = 100.0) -> NodeProcess:
    """Return a node whose process got signals at ages in seconds."""
    node = NodeProcess("n1", "tariff", "a", 1)
    node.started_at = started_at
    node.signals = [SentSignal(signum, started_at + age) for signum, age in signals]
    return node


def make_observation(faults=(), **fields) -> Observation:
    """Return an observation without requests."""
    changes = [RouteChange(0.0, "tariff")]
    return Observation(0.0, [], FleetRecord(), list(faults), changes, [], **fields)


async def serve_node(fleet: SmallFleet, answer: bytes, delay: float = 0.0) -> asyncio.Server:
    """Serve the callers of the node: each connection gets the answer after a delay, and ends."""

    async def serve(reader, writer):
        with suppress(asyncio.IncompleteReadError, OSError):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(delay)
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    fleet.node.outbound = Endpoint(*server.sockets[0].getsockname())
    return server

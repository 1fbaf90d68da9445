"""Test helper: real nodes whose connections to the store go silent for good, and what is measured.

The connections stay open, nothing is answered on them, and new ones are served.
"""

import asyncio
import signal
import time
from contextlib import suppress
from random import Random
from typing import NamedTuple

from soak.routes import SERVICES, build_routes
from standins.mesh_fleet import HOST_NAME, STOP_TIMEOUT, MeshFleet, NodeProcess
from standins.worker import send_request

SEEDS_PREFIX = "thorntray/seeds/"
DOMAINS = ("a", "b")
NODES = 6  # each of them holds a seed entry, as there are three entries in a domain
POLL_PERIOD = 0.05  # seconds
MEASURE_TIMEOUT = 12.0  # seconds


class Measured(NamedTuple):
    """Seconds that each step took from its begin; infinity if it has not ended in time."""

    applied: dict[str, float]  # by node, from the confirmation of the change
    acknowledged: float  # from the first announcement of the leaving
    last_run: float  # from the confirmation of the leaving, negative if there was none after it
    exit_code: int | None
    stopped: float  # from SIGTERM
    started: float  # from the start of the process until it is ready
    lost_entries: set[str]  # names of running nodes whose seed entry was gone at any time


class SilentStoreFleet(MeshFleet):
    """Six nodes, and requests of one caller at each of them."""

    def __init__(self) -> None:
        super().__init__(build_routes(SERVICES[0]), {}, Random(1))
        self.lost_entries: set[str] = set()
        self._leaving: set[str] = set()  # nodes whose entry may be removed
        self._count = 0

    async def start_settled(self) -> None:
        """Start all nodes, and wait until each has its seed entry."""
        await self.start([(SERVICES[i % 3], DOMAINS[i % 2]) for i in range(NODES)])
        async with asyncio.timeout(MEASURE_TIMEOUT):
            while self._entries() != set(self.nodes):
                await asyncio.sleep(POLL_PERIOD)

    def silence(self) -> int:
        """Make every open connection to the store silent; return their number."""
        return self.store.silence_connections(1.0, Random(1))

    async def watch_entries(self) -> None:
        """Record the running nodes whose seed entry is missing, until cancelled."""
        while True:
            self.lost_entries |= set(self.nodes) - self._entries() - self._leaving
            await asyncio.sleep(POLL_PERIOD)

    async def measure(self, version_service: str) -> Measured:
        """Change a route, let a worker leave, stop a node and start it again, all at once."""
        node = self.nodes["tariff-1"]
        others = [n for n in self.nodes.values() if n is not node]
        await self.publish(build_routes(version_service))
        leaving = asyncio.create_task(self._leave("stock-3"))
        stop = asyncio.create_task(self._restart(node))
        applied = await asyncio.gather(*(self._seconds_until_applied(n) for n in others))
        acknowledged, last_run = await leaving
        exit_code, stopped, started = await stop
        return Measured(
            {n.name: s for n, s in zip(others, applied, strict=True)},
            acknowledged,
            last_run,
            exit_code,
            stopped,
            started,
            self.lost_entries,
        )

    async def send_views(self) -> None:
        """Send requests for the service of the worker that leaves, until cancelled."""
        while True:
            for node in list(self.nodes.values()):
                with suppress(OSError, asyncio.IncompleteReadError):
                    await self._send(node, "/views/1")

    async def _send(self, node: NodeProcess, path: str) -> str:
        """Send a request at a node; return its id."""
        self._count += 1
        request_id = f"silent-{self._count}"
        headers = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Request-Deadline": "1500"}
        await send_request(node.outbound, "GET", path, headers)
        return request_id

    def _entries(self) -> set[str]:
        keys = [key for key in self.store.items if key.startswith(SEEDS_PREFIX)]
        return {key.rpartition("/")[2] for key in keys}

    async def _seconds_until_applied(self, node: NodeProcess) -> float:
        """Return the seconds until a request of the changed route runs at its new service."""
        service = next(route.service for route in self.routes if route.name == "moving")
        began = time.monotonic()
        while time.monotonic() - began < MEASURE_TIMEOUT:
            sent_at = time.monotonic()
            request_id = await self._send(node, "/moving/1")
            runs = [a for a in self.record.arrivals if a.request_id == request_id and a.executed]
            if any(run.service == service for run in runs):
                return sent_at - began
            await asyncio.sleep(POLL_PERIOD)
        return float("inf")

    async def _leave(self, name: str) -> tuple[float, float]:
        """Let a worker leave; return when it was confirmed, and when the last request ran then."""
        worker = self.nodes[name].worker
        began, key = time.monotonic(), (name, worker.boot)
        await worker.drain_and_restart()
        confirmed_at = self.record.draining_acknowledged.get(key, float("inf"))
        runs = [a for a in self.record.arrivals if (a.node, a.boot) == key and a.executed]
        return confirmed_at - began, max(run.received_at for run in runs) - confirmed_at

    async def _restart(self, node: NodeProcess) -> tuple[int | None, float, float]:
        self._leaving.add(node.name)
        assert node.process is not None
        began = time.monotonic()
        node.signal(signal.SIGTERM)
        while node.running and time.monotonic() - began < 2 * STOP_TIMEOUT:
            await asyncio.sleep(POLL_PERIOD)
        exit_code, stopped = node.process.poll(), time.monotonic() - began
        began = time.monotonic()
        self.start_node(node)
        while not await self.is_ready(node) and time.monotonic() - began < MEASURE_TIMEOUT:
            await asyncio.sleep(POLL_PERIOD)
        return exit_code, stopped, time.monotonic() - began

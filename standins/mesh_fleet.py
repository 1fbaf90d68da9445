"""A fleet on the platform's interface: real nodes as processes, workers and store in this one.

Nodes are `platform/run.py`, each with an address of its own on the loopback network. Peers and the
node reach each other and the workers through proxies that can do harm.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import NamedTuple

from standins.fault_proxy import FaultProxy
from standins.kv_store import KvStoreStandIn
from standins.worker import Place, Record, WorkerPlaces, WorkerStandIn, exchange

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "calls.example"
APP_PORT, INBOUND_PORT, READY_PORT, OUTBOUND_PORT, CONTROL_PORT = 8301, 8300, 8302, 8304, 8306
FIRST_PORT, LAST_PORT, METRICS_PORT, STORE_PORT = 7620, 7635, 7634, 8309
STOP_LIMIT = 6  # seconds, of the platform
START_LIMIT = 20.0  # seconds
PACKAGES = ("packages/thorntray/src", "packages/thorntray-node/src")


class RouteTerms(NamedTuple):
    """A route of the operators; times in seconds."""

    name: str
    service: str
    kind: str = "idempotent"
    timeout: float = 1.5
    target_latency: float = 1.0
    priority: int = 2
    attempts: int = 2

    @property
    def path(self) -> str:
        """Return the path that leads to it."""
        return f"/{self.name}/1"


class NodeProcess:
    """One node with its worker and the proxies around it."""

    def __init__(self, name: str, service: str, domain: str, number: int) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.number = number
        self.process: subprocess.Popen[bytes] | None = None
        self.boot = 0
        self.link_proxy: FaultProxy
        self.app_proxy: FaultProxy
        self.worker: WorkerStandIn
        self.outbound: Place
        self.metrics: Place

    @property
    def running(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to its process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class MeshProcesses:
    """All that a run consists of; close it in any case."""

    def __init__(self, routes: list[RouteTerms], calls: dict[str, str], rng: Random) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="thorntray-mesh-"))
        self.routes = routes
        self.record = Record()
        self.store = KvStoreStandIn()
        self.nodes: dict[str, NodeProcess] = {}
        self.version = 0
        self._calls = calls
        self._rng = rng
        self._network = f"127.{os.getpid() % 240 + 10}"

    async def start(self, places: list[tuple[str, str]]) -> None:
        """Start the store and a node for each service and failure domain in `places`."""
        await self.store.start(self._address(0, 0), STORE_PORT)
        await self.publish(self.routes)
        for number, (service, domain) in enumerate(places, start=1):
            await self._add(f"{service}-{number}", service, domain, number)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until every running node takes callers; raises `TimeoutError`."""
        async with asyncio.timeout(START_LIMIT):
            for node in self.nodes.values():
                while node.running and not await self.is_ready(node):
                    await asyncio.sleep(0.1)

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a node says that callers may come."""
        place = Place(self._address(1, node.number), READY_PORT)
        try:
            async with asyncio.timeout(1.0):
                return (await exchange(place, "GET", "/readyz", {"Host": "x"})).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def publish(self, routes: list[RouteTerms]) -> int:
        """Write a new desired state as the operators do; returns its version."""
        self.version += 1
        self.routes = routes
        document = {"Version": f"r{self.version}", "Resources": _resources(routes)}
        await self.store.write("op/config", json.dumps(document).encode())
        return self.version

    def start_node(self, node: NodeProcess) -> None:
        """Start a node's process, or start it again."""
        settings = self.folder / f"{node.name}.toml"
        settings.write_text(self._settings(node), "utf-8")
        paths = os.pathsep.join(str(ROOT / path) for path in PACKAGES)
        env = {**os.environ, "THORNTRAY_BOOT": str(settings), "PYTHONPATH": paths}
        node.boot += 1
        with self.log_file(node).open("ab") as log:
            node.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/run.py"), f"--metrics_port={METRICS_PORT}"],
                stdout=log,
                stderr=log,
                env=env,
                cwd=ROOT,
            )

    def log_file(self, node: NodeProcess) -> Path:
        """Return where a node's lines go."""
        return self.folder / f"{node.name}.log"

    async def close(self) -> None:
        """End everything that was started here, by process id."""
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes.values():
            if node.process is not None:
                node.process.wait()
            await node.worker.crash()
            node.link_proxy.close()
            node.app_proxy.close()
        await self.store.close()

    async def _add(self, name: str, service: str, domain: str, number: int) -> None:
        node = NodeProcess(name, service, domain, number)
        bound, told = self._address(1, number), self._address(2, number)
        app, worker = Place(self._address(3, number), APP_PORT), self._address(4, number)
        node.link_proxy = FaultProxy(
            Place(told, FIRST_PORT), Place(bound, FIRST_PORT), self._fork_rng()
        )
        node.app_proxy = FaultProxy(app, Place(worker, APP_PORT), self._fork_rng())
        node.outbound, node.metrics = Place(bound, OUTBOUND_PORT), Place(bound, METRICS_PORT)
        places = WorkerPlaces(
            Place(worker, APP_PORT), app, Place(bound, CONTROL_PORT), node.outbound
        )
        node.worker = WorkerStandIn(
            name, service, places, self.record, self._fork_rng(), self._calls
        )
        self.nodes[name] = node
        await node.link_proxy.start(datagrams=True)
        await node.app_proxy.start()
        self.start_node(node)
        await node.worker.start()

    def _fork_rng(self) -> Random:
        return Random(self._rng.getrandbits(64))

    def _address(self, kind: int, number: int) -> str:
        return f"{self._network}.{kind}.{number + 1}"

    def _settings(self, node: NodeProcess) -> str:
        bound, told = self._address(1, node.number), self._address(2, node.number)
        app = self._address(3, node.number)
        return f"""
[Self]
NodeName = "{node.name}"
Ip = "{told}"
Zone = "{node.domain}"
Region = "r"
AppAddr = "{app}:{APP_PORT}"
Service = "{node.service}"
[Network]
PortRange = [{FIRST_PORT},{LAST_PORT}]
Seeds = []
[Network.Listen]
Inbound = "{bound}:{INBOUND_PORT}"
Outbound = "{bound}:{OUTBOUND_PORT}"
Ready = "{bound}:{READY_PORT}"
Control = "{bound}:{CONTROL_PORT}"
[Platform.Platform]
Address = "{self._address(0, 0)}:{STORE_PORT}"
[Terms.Bounds]
GraceS = {STOP_LIMIT}
RetryBudgetRatio = 0.2
BudgetSlack = 48
BudgetWindowS = 10
"""


def _resources(routes: list[RouteTerms]) -> list[dict[str, object]]:
    found: list[dict[str, object]] = []
    for route in routes:
        spec = {
            "Host": HOST_NAME,
            "PathPrefix": f"/{route.name}/",
            "Kind": route.kind,
            "TimeoutS": route.timeout,
            "TargetLatencyS": route.target_latency,
            "Priority": route.priority,
            "Service": route.service,
            "MaxAttempts": route.attempts,
        }
        found.append({"EntryKind": "Routes", "Metadata": {"Name": route.name}, "Spec": spec})
    for service in sorted({route.service for route in routes}):
        found.append({"EntryKind": "Services", "Metadata": {"Name": service}, "Spec": {}})
    return found

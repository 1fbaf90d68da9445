"""A fleet of node processes that use the platform's interface.

Each node is a `platform/run.py` process with loopback addresses of its own. The workers and the
key-value store run in the calling process. Connections from node to node and from a node to its
worker pass through fault-injecting proxies.
"""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from functools import cache
from pathlib import Path
from random import Random
from typing import NamedTuple

from standins.claims import claim
from standins.fault_proxy import FaultProxy
from standins.kv_store import KvStoreStandIn
from standins.worker import (
    Endpoint,
    FleetRecord,
    PathBehavior,
    WorkerEndpoints,
    WorkerStandIn,
    send_request,
)

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "calls.example"
APP_PORT, INBOUND_PORT, READY_PORT, OUTBOUND_PORT, CONTROL_PORT = 8301, 8300, 8302, 8304, 8306
FIRST_PEER_PORT, LAST_PEER_PORT, METRICS_PORT, STORE_PORT = 7620, 7635, 7634, 8309
SPARE_PEER_PORTS = 3  # that a node may use in place of the first one, and that proxies forward
STOP_TIMEOUT = 6  # seconds; GraceS in the settings of the nodes
REVOCATION_BOUND = 5  # seconds after which a withdrawn API key must be refused everywhere
DESCRIPTORS_FOR_FILES = 200  # of the descriptors of a process
FILES_IN_USE = 16  # that a node process opens at most, beside sockets and pipes
START_TIMEOUT = 20.0  # seconds until all nodes are ready
PACKAGES = ("packages/thorntray/src", "packages/thorntray-node/src")


NETWORKS = [f"127.{n}" for n in range(10, 250)]
GUARD_PORT = 7619  # used by no process of a fleet


@cache
def _claimed_network() -> str:
    """Return the network of this process: fleets of two processes must not share addresses."""
    return NETWORKS[claim([(f"{network}.0.1", GUARD_PORT) for network in NETWORKS])]


class RouteConfig(NamedTuple):
    """A route in the operators' configuration; times in seconds."""

    name: str
    service: str
    kind: str = "idempotent"
    timeout: float = 1.5
    target_latency: float = 1.0
    priority: int = 2
    attempts: int = 2

    @property
    def path(self) -> str:
        """Return a request path that matches this route."""
        return f"/{self.name}/1"


class WorkspaceConfig(NamedTuple):
    """A workspace in the operators' configuration; `rate` in requests a second, 0: no limit."""

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0


class ProcessLimits(NamedTuple):
    """What a node process may use, as in its settings file: megabytes and descriptors."""

    memory_mb: int
    descriptors: int

    @property
    def sockets(self) -> int:
        """Return the number of sockets and pipes; the platform keeps the others for files."""
        return self.descriptors - DESCRIPTORS_FOR_FILES


class SentSignal(NamedTuple):
    """A signal that was sent to a process, at monotonic seconds."""

    signum: int
    sent_at: float


class NodeProcess:
    """A node process, its worker, and the proxies in front of the two."""

    def __init__(self, name: str, service: str, domain: str, index: int) -> None:
        self.name = name
        self.service = service
        self.domain = domain
        self.index = index
        self.process: subprocess.Popen[bytes] | None = None
        self.boot = 0
        self.started_at = 0.0  # monotonic seconds
        self.signals: list[SentSignal] = []  # sent to the current process
        self.log_start = 0  # size of the log in bytes when the current process was started
        self.closed_streams: tuple[int, ...] = ()  # descriptors that the next process has not
        self.writes_log = True  # whether the current process has standard output
        self.listeners: list[Endpoint] = []  # peers, readiness, announcements, callers
        self.link_proxy: FaultProxy
        self.app_proxy: FaultProxy
        self.worker: WorkerStandIn
        self.outbound: Endpoint
        self.metrics: Endpoint

    @property
    def running(self) -> bool:
        """Return whether the node process is running."""
        return self.process is not None and self.process.poll() is None

    def signal(self, signum: int) -> None:
        """Send a signal to the node process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.signals.append(SentSignal(signum, time.monotonic()))
            self.process.send_signal(signum)


class MeshFleet:
    """The nodes, workers, proxies and store of one run.

    `behaviors` maps request paths to the way in which workers serve them. Callers must call
    `close()` even if `start()` fails, since node processes may be running.
    """

    def __init__(
        self, routes: list[RouteConfig], behaviors: dict[str, PathBehavior], rng: Random
    ) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="thorntray-mesh-"))
        self.routes = routes
        self.workspaces: list[WorkspaceConfig] = []
        self.record = FleetRecord()
        self.store = KvStoreStandIn()
        self.nodes: dict[str, NodeProcess] = {}
        self._proxies: dict[str, FaultProxy] = {}  # by the host that a node sends from
        # Whether the worker beside the node with an index names its start time.
        self.names_start: Callable[[int], bool] = lambda index: True
        self.limits: ProcessLimits | None = None  # of each node; None: no limit
        # Called before a process of a node is replaced by a new one.
        self.before_start: Callable[[NodeProcess], None] = lambda node: None
        self.version = 0
        self.behaviors = behaviors
        self._rng = rng
        self._network = _claimed_network()

    async def start(self, instances: list[tuple[str, str]]) -> None:
        """Start the store, and a node with a worker for each `(service, failure domain)` pair."""
        await self.store.start(self._address(0, 0), STORE_PORT)
        await self.publish(self.routes)
        for index, (service, domain) in enumerate(instances, start=1):
            await self._add_node(f"{service}-{index}", service, domain, index)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until every running node is ready; raises `TimeoutError` after `START_TIMEOUT`."""
        async with asyncio.timeout(START_TIMEOUT):
            for node in self.nodes.values():
                while node.running and not await self.is_ready(node):
                    await asyncio.sleep(0.1)

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether the readiness endpoint of a node returns status 200."""
        endpoint = Endpoint(self._address(1, node.index), READY_PORT)
        try:
            async with asyncio.timeout(1.0):
                return (await send_request(endpoint, "GET", "/readyz", {"Host": "x"})).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False

    async def publish(self, routes: list[RouteConfig]) -> int:
        """Write the routes to the store as a new version; returns its number."""
        self.version += 1
        self.routes = routes
        await self.publish_again()
        return self.version

    async def publish_again(self) -> None:
        """Write the newest version to the store again, after the store may have lost it."""
        resources = _resources(self.routes) + _tenants(self.workspaces)
        document = {"Version": f"r{self.version}", "Resources": resources}
        await self.store.write("op/config", json.dumps(document).encode())

    def start_node(self, node: NodeProcess, keep_settings: bool = False) -> None:
        """Start or restart the process of a node, with its settings file as it is or complete."""
        self.before_start(node)
        settings = self.settings_file(node)
        if not keep_settings:
            self.write_settings(node)
        paths = os.pathsep.join(str(ROOT / path) for path in PACKAGES)
        env = {**os.environ, "THORNTRAY_BOOT": str(settings), "PYTHONPATH": paths}
        node.boot += 1
        node.started_at, node.signals = time.monotonic(), []
        run = [sys.executable, str(ROOT / "platform/run.py"), f"--metrics_port={METRICS_PORT}"]
        node.writes_log = 1 not in node.closed_streams
        with self.log_file(node).open("ab") as log:
            node.log_start = log.tell()
            node.process = subprocess.Popen(
                without_streams(run, node.closed_streams),
                stdout=log,
                stderr=log,
                env=env,
                cwd=ROOT,
            )
        self.limit_process(node.process.pid)

    def settings_file(self, node: NodeProcess) -> Path:
        """Return the settings file of a node."""
        return self.folder / f"{node.name}.toml"

    def write_settings(self, node: NodeProcess, share: float = 1.0) -> None:
        """Write the settings file of a node, or only the first part of it."""
        text = self._settings(node)
        self.settings_file(node).write_text(text[: round(share * len(text))], "utf-8")

    def log_file(self, node: NodeProcess) -> Path:
        """Return the file for stdout and stderr of a node."""
        return self.folder / f"{node.name}.log"

    async def close(self) -> None:
        """Kill all node processes and stop the workers, proxies and store."""
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

    async def _add_node(self, name: str, service: str, domain: str, index: int) -> None:
        node = NodeProcess(name, service, domain, index)
        host, advertised_host = self._address(1, index), self._address(2, index)
        app, worker_host = Endpoint(self._address(3, index), APP_PORT), self._address(4, index)
        node.link_proxy = FaultProxy(
            Endpoint(advertised_host, FIRST_PEER_PORT),
            Endpoint(host, FIRST_PEER_PORT),
            self._fork_rng(),
            SPARE_PEER_PORTS,
        )
        node.app_proxy = FaultProxy(app, Endpoint(worker_host, APP_PORT), self._fork_rng())
        node.listeners = [
            Endpoint(host, port)
            for port in (FIRST_PEER_PORT, READY_PORT, CONTROL_PORT, OUTBOUND_PORT)
        ]
        node.outbound, node.metrics = Endpoint(host, OUTBOUND_PORT), Endpoint(host, METRICS_PORT)
        endpoints = WorkerEndpoints(
            Endpoint(worker_host, APP_PORT),
            app,
            Endpoint(host, CONTROL_PORT),
            node.outbound,
        )
        node.worker = WorkerStandIn(
            name, service, endpoints, self.record, self._fork_rng(), self.behaviors
        )
        node.worker.names_start = self.names_start(index)
        self.nodes[name] = node
        self._proxies[host] = node.link_proxy
        node.link_proxy.senders = self._proxies
        await node.link_proxy.start(datagrams=True)
        await node.app_proxy.start()
        self.start_node(node)
        await node.worker.start()

    def _fork_rng(self) -> Random:
        return Random(self._rng.getrandbits(64))

    # Subnets: 0 store, 1 node listeners, 2 peer proxies, 3 worker proxies, 4 workers.
    def _address(self, subnet: int, index: int) -> str:
        return f"{self._network}.{subnet}.{index + 1}"

    def limit_process(self, pid: int) -> None:
        """Set the limit of descriptors of a process, if nodes have limits."""
        if self.limits is not None:
            allowed = self.limits.sockets + FILES_IN_USE
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (allowed, allowed))

    def limit_settings(self) -> str:
        """Return the table `[Self.Limits]` of the settings, empty without limits."""
        if self.limits is None:
            return ""
        memory_mb, descriptors = self.limits
        return f"[Self.Limits]\nMemoryMb = {memory_mb}\nMaxFds = {descriptors}\n"

    def _settings(self, node: NodeProcess) -> str:
        host, advertised_host = self._address(1, node.index), self._address(2, node.index)
        app_host = self._address(3, node.index)
        return f"""
[Self]
NodeName = "{node.name}"
Ip = "{advertised_host}"
Zone = "{node.domain}"
Region = "r"
AppAddr = "{app_host}:{APP_PORT}"
Service = "{node.service}"
{self.limit_settings()}[Network]
PortRange = [{FIRST_PEER_PORT},{LAST_PEER_PORT}]
Seeds = []
[Network.Listen]
Inbound = "{host}:{INBOUND_PORT}"
Outbound = "{host}:{OUTBOUND_PORT}"
Ready = "{host}:{READY_PORT}"
Control = "{host}:{CONTROL_PORT}"
[Platform.Platform]
Address = "{self._address(0, 0)}:{STORE_PORT}"
[Terms.Bounds]
GraceS = {STOP_TIMEOUT}
RetryBudgetRatio = 0.2
BudgetSlack = 48
BudgetWindowS = 10
StrictRevocation = true
RevokeS = {REVOCATION_BOUND}
"""


def without_streams(command: list[str], closed: tuple[int, ...]) -> list[str]:
    """Return a command that runs another one with some of its standard streams closed."""
    if not closed:
        return command
    closings = " ".join(f"{number}>&-" for number in closed)
    return ["sh", "-c", f'exec "$@" {closings}', "sh", *command]


def _resources(routes: list[RouteConfig]) -> list[dict[str, object]]:
    resources: list[dict[str, object]] = []
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
        resources.append({"EntryKind": "Routes", "Metadata": {"Name": route.name}, "Spec": spec})
    for service in sorted({route.service for route in routes}):
        resources.append({"EntryKind": "Services", "Metadata": {"Name": service}, "Spec": {}})
    return resources


def _tenants(workspaces: list[WorkspaceConfig]) -> list[dict[str, object]]:
    return [
        {
            "EntryKind": "Tenants",
            "Metadata": {"Name": workspace.name},
            "Spec": {
                "ApiKeys": list(workspace.keys),
                "RatePerS": workspace.rate,
                "Burst": workspace.burst,
            },
        }
        for workspace in workspaces
    ]

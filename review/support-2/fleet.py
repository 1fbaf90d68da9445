"""A small deployment on loopback addresses, for the cases of this review.

Starts node processes with the command of the deploy file, and stand-ins for the platform's store
and for the workers, which follow the users' pages. Only the standard library is used. Each fleet
has loopback addresses of its own, and every process that it starts is ended by `Fleet.close`.
"""

import asyncio
import base64
import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "calls.example"
STORE_PORT, APP_PORT, INBOUND, READY, OUTBOUND, CONTROL = 8309, 8301, 8300, 8302, 8304, 8306
PEER_PORTS = (7620, 7634)
GUARD_PORT = 7619  # used by no process of a fleet
HEARTBEAT_PERIOD = 1.5  # seconds, as in the settings of the sheet
HEARTBEAT_TIMEOUT = 1.0  # seconds in which a confirmation has to arrive
DRAIN_S, GRACE_S, STABLE_S = 2, 6, 3  # bounds of the sheet, in seconds
START_TIMEOUT = 20.0  # seconds until all nodes are ready


class Message(NamedTuple):
    """An HTTP message: its start line, its header fields in lower case, and its body."""

    start: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader, until_close: bool = False) -> Message:
    """Read one message; raises `IncompleteReadError` if it ends early."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        body = await reader.read() if until_close else b""
    return Message(start, fields, body)


def encode(status: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(host: str, port: int, data: bytes, timeout: float) -> Message | None:
    """Send bytes over a new connection and return the response, None without a complete one."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Record:
    """What was sent, answered and run, with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:8.3f} s  {text}\n")
        self._file.flush()


async def serve(
    host: str,
    port: int,
    handle: Callable[[Message], Awaitable[bytes]],
    connections: set[asyncio.StreamWriter],
) -> asyncio.Server:
    """Serve HTTP/1.1; `connections` holds the open ones."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connections.add(writer)
        try:
            while True:
                writer.write(await handle(await read_message(reader)))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the other side has left
        finally:
            connections.discard(writer)
            writer.close()

    return await asyncio.start_server(on_connection, host, port)


class Store:
    """The platform's metadata store. While `up` is false it answers 503, and does nothing."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.up = True
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.log: list[dict] = []
        self.leases: dict[int, float] = {}  # monotonic seconds of their end
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begin to listen."""
        self._server = await serve(self.host, STORE_PORT, self._handle, set())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write an item, as the operator and the calls of the system do."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        text = base64.b64encode(value).decode()
        item = {"Key": key, "Value": text, "Revision": self.revision}
        item |= {"Created": created, "Lease": lease}
        self.items[key] = item
        self._append(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"Key": key, "Revision": self.revision, "Deleted": True})

    def lapse(self) -> None:
        """Let all leases run out, as they may while the store is down."""
        self.leases = dict.fromkeys(self.leases, 0.0)
        self._expire()

    def _append(self, event: dict) -> None:
        self.log.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, end in self.leases.items() if end <= now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
                self.remove(key)

    async def _handle(self, message: Message) -> bytes:
        method, target, _ = message.start.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(message.body) if message.body else {}
        status, reply = 503, {}
        if self.up:
            self._expire()
            status, reply = await self._call(method, parts.path, query, body)
        fields = {"Content-Type": "application/json"}
        return encode(status, fields, json.dumps(reply).encode())

    async def _call(self, method: str, path: str, query: dict, body: dict) -> tuple[int, dict]:
        name = path.strip("/").split("/")[0]
        match name:
            case "kv-key":
                item = self.items.get(query["Key"])
                return (200, item | {"StoreRevision": self.revision}) if item else (404, {})
            case "kv-range":
                found = sorted(k for k in self.items if k.startswith(query["PathPrefix"]))
                items = [self.items[k] for k in found if k > query.get("after", "")]
                reply = {"items": items, "MorePages": False, "StoreRevision": self.revision}
                return 200, reply
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._transact(body)
            case "kv-lease":
                lease = len(self.log) + 1000 + len(self.leases) + time.monotonic_ns() % 10**6
                self.leases[lease] = time.monotonic() + body["TtlS"]
                return 200, {"Lease": lease, "TtlS": body["TtlS"]}
            case "kv-keep":
                return (200, {}) if int(path.split("/")[-1]) in self.leases else (404, {})
            case "kv-lease-end":
                self.leases[int(path.split("/")[-1])] = 0.0
                self._expire()
                return 200, {}
        return 404, {}

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after, end = int(query["after"]), time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [e for e in self.log if e["Revision"] > after]
            events = [e for e in events if e["Key"].startswith(query["PathPrefix"])]
            left = end - time.monotonic()
            if events or left <= 0 or not self.up:
                return (200 if self.up else 503), {
                    "events": events,
                    "StoreRevision": self.revision,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.1))
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("ExpectedRev", []):
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                return 412, {"items": []}
        if any(w.get("Lease") and w["Lease"] not in self.leases for w in body.get("Writes", [])):
            return 404, {}
        for write in body.get("Writes", []):
            self.put(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in body.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}


class Run(NamedTuple):
    """A request that a worker has begun to run, at `at` seconds of the record."""

    at: float
    worker: str
    message: Message


@dataclass
class Worker:
    """A worker: it runs every request that names it, and sends heartbeats."""

    name: str
    service: str
    host: str
    control: str
    record: Record
    slots: int = 55
    work_s: float = 0.05
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    runs: list[Run] = field(default_factory=list)
    sequence: int = 0
    beating: bool = True
    _tasks: list = field(default_factory=list)
    _server: asyncio.Server | None = None
    _connections: set = field(default_factory=set)

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._server = await serve(self.host, APP_PORT, self._handle, self._connections)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def _handle(self, message: Message) -> bytes:
        fields = message.fields
        request_id = fields.get("x-request-id", "")
        if fields.get("x-target-instance", self.name) != self.name:
            return encode(421, {"X-Instance-Id": self.name}, b"")
        self.runs.append(Run(self.record.now, self.name, message))
        body = message.body[:60]
        self.record.write(f"{self.name} runs {request_id}: {message.start}, body {body!r}")
        return await self.answer(message)

    async def answer(self, message: Message) -> bytes:
        """Work on a request and return the bytes of its answer."""
        await asyncio.sleep(self.work_s)
        request_id = message.fields.get("x-request-id", "")
        fields = {"X-Request-Id": request_id, "X-Response-Signature": f"sig-{request_id}"}
        return encode(200, fields, f"answer to {request_id}".encode())

    def next_heartbeat(self, phase: str = "ready") -> bytes:
        """Return the bytes of the next heartbeat."""
        self.sequence += 1
        info = {"Service": self.service, "Version": "v1", "Zone": "z", "Slots": self.slots}
        status = {"Phase": phase, "Sequence": self.sequence, "ColdRemainingS": 0}
        address = f"{self.host}:{APP_PORT}"
        body = {"Address": address, "Info": info, "Status": status, "born": self.born}
        return self._call(f"/Instances.Heartbeat/{self.name}", body)

    def deregistration(self) -> bytes:
        """Return the bytes of the call by which the worker tells that it leaves."""
        return self._call(f"/Instances.Deregister/{self.name}", {"born": self.born})

    def _call(self, path: str, body: dict) -> bytes:
        data = json.dumps(body).encode()
        head = f"POST {path} HTTP/1.1\r\nHost: {self.control}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        return head.encode() + data

    async def tell(self, call: bytes) -> bool:
        """Send a call to the node; return whether it was confirmed in time."""
        reply = await exchange(self.control, CONTROL, call, HEARTBEAT_TIMEOUT)
        return reply is not None and 200 <= reply.status < 300

    async def _beat(self) -> None:
        while self.beating:
            await self.tell(self.next_heartbeat())
            await asyncio.sleep(HEARTBEAT_PERIOD)

    def stop(self) -> None:
        """End the worker, with the requests that it runs."""
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()


@dataclass
class Node:
    """A node process beside its worker."""

    name: str
    service: str
    zone: str
    host: str
    worker: Worker
    process: subprocess.Popen | None = None
    boots: int = 0


class Route(NamedTuple):
    """A route of the desired state; `kind` and times as on the sheet."""

    name: str
    service: str
    kind: str = "idempotent"
    timeout_s: float = 5.0
    target_s: float = 1.5
    priority: int = 2
    attempts: int = 2


class Fleet:
    """The nodes, workers and store of one run."""

    def __init__(self, record: Record, placements: list[tuple[str, str]], routes: list[Route]):
        self.record = record
        self._routes = routes
        self._placements = placements  # service and zone of each machine
        self._net, self._guard = _claim_net(len(placements))
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(f"{self._net}.0.1")
        self.nodes: list[Node] = []
        self.worker_types: dict[str, type[Worker]] = {}  # by service, for other than `Worker`
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self._command = shlex.split(deploy["roles"]["node"]["run"])

    async def start(self) -> None:
        """Start the store and all machines; raises `TimeoutError` if a node does not get ready."""
        task = asyncio.current_task()
        assert task is not None
        # So that the processes are also ended if this one gets SIGTERM.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await self.store.start()
        self.store.put("op/config", json.dumps(self._desired_state()).encode())
        for index, (service, zone) in enumerate(self._placements, start=1):
            host = f"{self._net}.1.{index}"
            kind = self.worker_types.get(service, Worker)
            worker = kind(f"i-{index}{os.getpid()}", service, host, host, self.record)
            node = Node(f"sidecar-{zone}-{index}", service, zone, host, worker)
            self.nodes.append(node)
            self.start_node(node)
            await worker.start()
        await self.wait_ready()

    def start_node(self, node: Node) -> None:
        """Start the process of a node."""
        settings = self.folder / f"{node.name}.toml"
        settings.write_text(self._settings(node), "utf-8")
        paths = os.environ | {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "THORNTRAY_BOOT": str(settings),
        }
        node.boots += 1
        with (self.folder / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                self._command, cwd=ROOT, env=paths, stdout=log, stderr=log
            )
        self.record.write(f"node {node.name} started, boot {node.boots}")

    async def wait_ready(self, timeout: float = START_TIMEOUT) -> None:
        """Wait until all nodes are ready."""
        async with asyncio.timeout(timeout):
            for node in self.nodes:
                while not await self.is_ready(node):
                    await asyncio.sleep(0.05)

    async def is_ready(self, node: Node) -> bool:
        """Return whether a node is ready."""
        call = f"GET /readyz HTTP/1.1\r\nHost: {node.host}\r\n\r\n".encode()
        reply = await exchange(node.host, READY, call, 1.0)
        return reply is not None and reply.status == 200

    async def wait_served(self, path: str, timeout: float = START_TIMEOUT) -> None:
        """Wait until a request on a path succeeds at each node."""
        async with asyncio.timeout(timeout):
            for number, node in enumerate(self.nodes):
                attempt = 0
                while True:
                    request_id = f"warm-{number}-{attempt}"
                    reply = await exchange(
                        node.host, OUTBOUND, request("GET", path, request_id), 5.0
                    )
                    if reply is not None and reply.status == 200:
                        break
                    attempt += 1
                    await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            node.worker.stop()
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        self._guard.close()
        await asyncio.sleep(0.05)  # in which the workers' tasks write their last lines
        shutil.rmtree(self.folder, ignore_errors=True)

    def _desired_state(self) -> dict:
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576}
        limits |= {"HeaderTimeoutS": 5, "IdleTimeoutS": 20}
        resources = [{"EntryKind": "Limits", "Metadata": {"Name": "limits"}, "Spec": limits}]
        for service in sorted({route.service for route in self._routes}):
            spec = {"HealthPath": "/healthz", "MaxConnections": 430}
            resources.append({"EntryKind": "Services", "Metadata": {"Name": service}, "Spec": spec})
        for route in self._routes:
            spec = {"Host": HOST, "PathPrefix": f"/{route.name}/", "Kind": route.kind}
            spec |= {"TimeoutS": route.timeout_s, "TargetLatencyS": route.target_s}
            spec |= {"Priority": route.priority, "MaxAttempts": route.attempts}
            spec |= {"Service": route.service}
            resources.append(
                {"EntryKind": "Routes", "Metadata": {"Name": route.name}, "Spec": spec}
            )
        return {"Version": "r1", "Resources": resources}

    def _settings(self, node: Node) -> str:
        zones = "\n".join(
            f'{zone} = "bagmati"' for zone in sorted({z for _, z in self._placements})
        )
        return f"""
[Self]
NodeName = "{node.name}"
Role = "node"
MachineClass = "sidecar"
Serves = ["sidecar"]
Ip = "{node.host}"
Zone = "{node.zone}"
Region = "bagmati"
InFaultBudget = false
Bootstrap = {"true" if node.boots == 0 else "false"}
AppAddr = "{node.host}:{APP_PORT}"
Service = "{node.service}"
[Self.Limits]
CpuShare = 0.86
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[Network]
PortRange = [{PEER_PORTS[0]},{PEER_PORTS[1]}]
Seeds = []
[Network.Listen]
Inbound = "{node.host}:{INBOUND}"
Outbound = "{node.host}:{OUTBOUND}"
Ready = "{node.host}:{READY}"
Control = "{node.host}:{CONTROL}"
[Network.Zones]
{zones}
[Platform]
Discovery = "static"
Entry = "static"
HeartbeatS = {HEARTBEAT_PERIOD}
[Platform.Platform]
Address = "{self.store.host}:{STORE_PORT}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlS = 1
[Terms]
Contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
[Terms.FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Terms.Bounds]
SeedLagS = 3
AddrReuseS = 2
StableS = {STABLE_S}
AckS = 4
CatchUpS = 4
DrainS = {DRAIN_S}
GraceS = {GRACE_S}
LossSlackS = 0.2
ConfigApplyS = 2
RollbackSlackS = 0.25
MaxSkewS = 5
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 48
RecoveryS = 15
"""


def run_case(main: Callable[[], Awaitable[int]]) -> int:
    """Run a case and return its exit code, 2 if it failed to run for any reason."""
    try:
        return asyncio.run(main())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        return 2


def request(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int = 5000,
    body: bytes = b"",
    more: tuple[str, ...] = (),
) -> bytes:
    """Return the bytes of a client's request; `more` are further header lines."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}"]
    lines += [f"X-Request-Deadline: {deadline_ms}", *more]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _claim_net(machines: int) -> tuple[str, socket.socket]:
    """Return a loopback network with free ports, and a socket that claims it for this fleet."""
    ports = (APP_PORT, INBOUND, READY, OUTBOUND, CONTROL, *PEER_PORTS)
    first = os.getpid() % 200
    for number in [20 + (first + step) % 200 for step in range(200)]:
        net = f"127.{number}"
        guard = socket.socket()
        try:
            guard.bind((f"{net}.0.1", GUARD_PORT))
            guard.listen()
        except OSError:
            guard.close()
            continue
        wanted = [(f"{net}.0.1", STORE_PORT)]
        wanted += [(f"{net}.1.{i + 1}", port) for i in range(machines) for port in ports]
        if all(_is_free(host, port) for host, port in wanted):
            return net, guard
        guard.close()
    raise OSError("no loopback network has free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True

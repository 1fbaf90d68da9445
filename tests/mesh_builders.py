"""Test helpers for the lean path: frames, policies, a fake instance, and nodes over loopback."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from standins.fleet import free_port
from tests.builders import make_member
from tests.instance_replies import answer_bytes
from thorntray.internal.connection.frame import CallFrame, Frame, ResultFrame
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.connection.link import Link, Links
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.retry_budget import RetryBudgetSettings
from thorntray.internal.process.clock import Clock, SystemClock
from thorntray.internal.process.registration import Announcement, Phase
from thorntray.internal.request.result import Cause, Result, ResultKind
from thorntray.internal.request.result_frames import frame_from_result
from thorntray.internal.store.policy_watch import WatchWait
from thorntray.internal.store.store_calls import StoreEntry, WatchBatch
from thorntray.internal.store.store_epoch import StoreEpoch
from thorntray.internal.version.policy import Policy, Route, ServicePolicy, Target
from thorntray.internal.version.workspaces import Workspace, Workspaces
from thorntray_node.mesh_config import Endpoint, MeshConfig
from thorntray_node.mesh_node import MeshNode
from thorntray_node.platform_store import PlatformStore, StoreKeys

HOST = "127.0.0.1"
HEADER_NAMES = HeaderNames()


def make_call(**changes) -> CallFrame:
    """Return a call frame with default fields, replaced by `changes`."""
    fields = {
        "number": 1,
        "service": "tariff",
        "route": "prices>tariff",
        "request_id": b"id-1",
        "method": b"GET",
        "target": b"/prices/1",
        "header_lines": b"Host: a.example\r\nThorntray-Request-Id: id-1\r\n",
        "body": b"",
        "caller_service": "haul",
        "idempotent": True,
        "nested": False,
        "budget": 1.0,
        "max_wait": 0.1,
        "worth": 1.0,
    }
    return CallFrame(**{**fields, **changes})


def make_route(**changes) -> Route:
    """Return an idempotent route with default fields, replaced by `changes`."""
    fields = {
        "name": "prices",
        "host": "a.example",
        "prefix": "/prices/",
        "targets": (Target("tariff", 1.0),),
        "idempotent": True,
        "timeout": 1.0,
        "target_latency": 0.8,
        "max_attempts": 2,
        "priority": 2,
    }
    return Route(**{**fields, **changes})


def make_policy(version: int = 1, routes: list[Route] | None = None) -> Policy:
    """Return a policy; by default with one idempotent and one non-idempotent route."""
    payouts = make_route(name="payouts", prefix="/payouts/", idempotent=False, priority=0)
    routes = routes if routes is not None else [make_route(), payouts]
    services = {t.service: ServicePolicy("/healthz", 100) for r in routes for t in r.targets}
    return Policy.from_parts(version, routes, services, RequestLimits(), b"document")


def make_key_policy(version: int = 1, routes: list[Route] | None = None) -> Policy:
    """Return a policy with the API keys `key-n` and `key-(n+1)`, where n is its version.

    So version n + 1 withdraws `key-n`. The document holds only the version.
    """
    keys = [f"key-{version}", f"key-{version + 1}"]
    workspaces = Workspaces.from_keys([(Workspace("himal"), keys)])
    document = str(version).encode()
    return make_policy(version, routes)._replace(workspaces=workspaces, document=document)


def make_announcement(**changes) -> Announcement:
    """Return an announcement with default fields, replaced by `changes`."""
    fields = {
        "instance_id": "i-1",
        "started_ms": 1000,
        "sequence": 1,
        "service": "tariff",
        "address": "10.0.0.1:80",
        "slots": 10,
        "phase": Phase.READY,
        "cold_remaining": 0.0,
    }
    return Announcement(**{**fields, **changes})


Reply = Callable[[bytes, asyncio.StreamWriter], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read a request with its body and return its head."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
    return head


def header_of(head: bytes, name: bytes) -> bytes:
    """Return the value of a header field, empty if the field is missing."""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name.lower() + b":"):
            return line.split(b":", 1)[1].strip()
    return b""


class FakeInstance:
    """An instance on loopback that answers through `reply` and records the requests it ran.

    `run_ids` and `heads` list the IDs and heads of these requests in order of arrival, `arrivals`
    their times in seconds of the event loop.
    `disconnects` counts the connections that ended from the other side.
    """

    def __init__(self, reply: Reply | None = None) -> None:
        self.port = free_port()
        self.run_ids: list[bytes] = []
        self.heads: list[bytes] = []
        self.arrivals: list[float] = []
        self.connections = 0
        self.disconnects = 0
        self._reply = reply or self._answer
        self._server: asyncio.Server | None = None

    async def start(self) -> "FakeInstance":
        """Start listening and return the instance."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        return self

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _answer(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        writer.write(answer_bytes(request_id))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = await read_head(reader)
                request_id = header_of(head, b"Thorntray-Request-Id")
                self.heads.append(head)
                self.arrivals.append(asyncio.get_running_loop().time())
                self.run_ids.append(request_id)
                await self._reply(request_id, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnects += 1
        finally:
            writer.close()


def make_result_frame(number: int = 1, **changes) -> ResultFrame:
    """Return the frame of a result with status 200, with the result's fields in `changes`."""
    return frame_from_result(number, Result(ResultKind.ANSWERED, status=200)._replace(**changes))


class LinkPeer:
    """The accepting end of links on loopback; it records what it receives.

    `calls` lists the received calls with their connections, `lost` the connections that ended.
    """

    def __init__(self) -> None:
        self.port = free_port()
        self.calls: list[tuple[LinkConnection, CallFrame]] = []
        self.lost: list[LinkConnection] = []
        self.listener = LinkListener(HOST, self.port, self, SystemClock())

    def member(self, session: bytes = b"session1") -> Member:
        """Return the peer's record, to open links to it."""
        return make_member("peer", domain="d1", address=HOST, peer_port=self.port, session=session)

    def on_frame(self, link: LinkConnection, frame: Frame) -> None:
        """Record a call; other frames are ignored."""
        if isinstance(frame, CallFrame):
            self.calls.append((link, frame))

    def on_lost(self, link: LinkConnection) -> None:
        """Record the end of a connection."""
        self.lost.append(link)

    def answer(self, index: int = 0, **changes) -> None:
        """Send the result of a received call."""
        link, call = self.calls[index]
        link.send(make_result_frame(call.number, **changes))


def make_links() -> Links:
    """Return the links of a node in the domain of `LinkPeer`."""
    return Links("origin", b"origin-1", "d1", SystemClock())


def send_call(link: Link, results: list[ResultFrame | Cause]) -> int:
    """Send a call whose result is appended to `results`; return its number."""
    return link.call(lambda number: make_call(number=number), results.append)


class MemoryStore:
    """In-memory stand-in for the platform's key-value service, shared by the nodes of a test."""

    def __init__(self) -> None:
        self.entries: dict[str, bytes] = {}
        self.up = True
        self.epoch = StoreEpoch()

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix, and the revision 1."""
        found = [k for k in self.entries if (k.startswith(key) if prefix else k == key)]
        return [StoreEntry(k, self.entries[k], 1) for k in found], 1

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Store a value; the lease is ignored."""
        self.entries[key] = value

    async def remove(self, key: str) -> None:
        """Remove a key."""
        self.entries.pop(key, None)

    async def lease_grant(self, ttl: int) -> int:
        """Return lease 1."""
        return 1

    async def lease_keepalive(self, lease: int) -> bool:
        """Return True; leases do not expire here."""
        return True

    async def lease_revoke(self, lease: int) -> None:
        """Do nothing; the entries stay."""

    async def watch(self, prefix: str, start_revision: int, wait: WatchWait):
        """Report no change for an hour."""
        await asyncio.sleep(3600)
        yield WatchBatch((), start_revision)

    async def close(self) -> None:
        """Do nothing; there are no connections."""


def make_mesh_config(name: str, service: str, instance_port: int, domain: str) -> MeshConfig:
    """Return the settings of a node on loopback, with free ports."""
    return MeshConfig(
        name=name,
        service=service,
        domain=domain,
        region="r",
        host=HOST,
        instance=Endpoint(HOST, instance_port),
        callers=Endpoint(HOST, free_port()),
        readiness=Endpoint(HOST, free_port()),
        announcements=Endpoint(HOST, free_port()),
        link_port=free_port(),
        gossip_port=free_port(),
        seeds=(),
        stop_limit=4.0,
        budget=RetryBudgetSettings(ratio=0.2, slack=50.0, window=10.0),
        header_names=HEADER_NAMES,
    ).validated(name)


class MeshFleet:
    """Nodes and their instances in one process, connected over loopback, with a shared store."""

    def __init__(self, policy: Policy | None = None, clock: Clock | None = None) -> None:
        self.store = MemoryStore()
        self.store.entries["policy"] = b"document"
        self._policy = policy or make_policy()
        self.clock = clock or SystemClock()
        self.nodes: dict[str, MeshNode] = {}
        self.instances: dict[str, FakeInstance] = {}
        self.stopped: list[str] = []  # names of the nodes that were restarted
        self.memory_limit: int | None = None  # bytes, of nodes that are added later
        self.recall = False  # whether nodes that start ask first which instances have left

    async def add(
        self, name: str, service: str, reply: Reply | None = None, domain: str = "a", **announced
    ) -> MeshNode:
        """Start an instance and its node, and announce the instance to the node."""
        instance = await FakeInstance(reply).start()
        self.instances[name] = instance
        cfg = make_mesh_config(name, service, instance.port, domain)
        node = await self._start_node(cfg._replace(memory_limit=self.memory_limit))
        self.announce(name, **announced)
        return node

    def decode_policy(self, document: bytes) -> Policy:
        """Return the policy of the fleet, whatever the document."""
        return self._policy

    def make_store(self, name: str) -> PlatformStore:
        """Return the store's client of a node."""
        return self.store

    async def _start_node(self, cfg: MeshConfig) -> MeshNode:
        rng = Random(f"{cfg.name} {len(self.stopped)}")
        node = MeshNode(
            cfg,
            self.make_store(cfg.name),
            StoreKeys("seeds/", "policy"),
            self.decode_policy,
            self.clock,
            rng,
        )
        await node.start(lambda exchange: exchange.respond(200, b"", b""))
        if not self.recall:
            node.registration.release()
        self.nodes[cfg.name] = node
        return node

    def announce(self, name: str, **changes) -> None:
        """Announce the instance to its node, with the announcement's fields in `changes`."""
        node = self.nodes[name]
        address = str(Endpoint(HOST, self.instances[name].port))
        node.registration.apply(
            make_announcement(service=node.cfg.service, address=address, **changes)
        )

    async def restart_node(self, name: str) -> MeshNode:
        """Replace a node by a new process at the same addresses; its instance stays."""
        node = self.nodes.pop(name)
        self.stopped.append(name)
        await _close_node(node)
        return await self._start_node(node.cfg)

    async def restart_all(self, seconds: float = 0.5) -> None:
        """End all nodes at the same moment, and start new processes `seconds` later."""
        nodes, self.nodes = self.nodes, {}
        self.stopped.extend(nodes)
        for node in nodes.values():
            await _close_node(node)
        await asyncio.sleep(seconds)
        for node in nodes.values():
            await self._start_node(node.cfg)

    async def share_membership(self) -> None:
        """Give every node the current members directly, without waiting for gossip."""
        await asyncio.sleep(0.1)
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.membership._apply(other.membership.own)

    async def get(self, name: str, path: str, request_id: str, **options) -> bytes:
        """Send a GET request to a node and return the whole answer."""
        return await self.send(name, b"GET", path, request_id, **options)

    async def send(
        self, name: str, method: bytes, path: str, request_id: str, deadline_ms: int = 3000
    ) -> bytes:
        """Send a request to a node over a new connection and return the whole answer."""
        reader, writer = await asyncio.open_connection(*self.nodes[name].cfg.callers)
        writer.write(request_bytes(method, path, request_id, deadline_ms))
        answer = await reader.read(1 << 20)
        writer.close()
        return answer

    async def close(self) -> None:
        """Stop all nodes and instances."""
        for node in self.nodes.values():
            await _close_node(node)
        for instance in self.instances.values():
            instance.close()


async def _close_node(node: MeshNode) -> None:
    """End a node at once, as a kill of its process would."""
    node.links.close()
    servers = (node.callers, node.readiness, node.announcements, node.metrics_server)
    for server in servers:
        server.close()
    node.listener.close()
    for link in list(node.listener._connections):
        link.abort()
    node.pool.close()
    node.udp.close()
    await node.membership.stop()
    await node.seeds.stop()
    await node._tasks.stop()


def request_bytes(method: bytes, path: str, request_id: str, deadline_ms: int = 3000) -> bytes:
    """Return the bytes of a request with `Connection: close`."""
    return (
        b"%b %b HTTP/1.1\r\nHost: a.example\r\nThorntray-Request-Id: %b\r\n"
        b"Thorntray-Deadline-Ms: %d\r\nConnection: close\r\n\r\n"
    ) % (method, path.encode(), request_id.encode(), deadline_ms)


def run_scenario(scenario, policy=None):
    """Run a scenario with a new fleet and return its result.

    Raises `TimeoutError` after 20 seconds.
    """

    async def work():
        fleet = MeshFleet(policy)
        try:
            return await asyncio.wait_for(scenario(fleet), 20)
        finally:
            await fleet.close()

    return asyncio.run(work())


PAYOUT_ROUTE_5S_TIMEOUT = make_route(
    name="payouts", prefix="/payouts/", idempotent=False, priority=0, timeout=5.0
)


__all__ = ["make_member"]

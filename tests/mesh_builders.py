"""Builders of the lean path's tests: frames, policies, an instance over loopback, whole nodes."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from standins.fleet import free_port
from tests.builders import make_member
from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.connection.http_server import RequestLimits
from thorntray.internal.overload.retry_budget import RetryBudgetSettings
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.registration import Announcement, Phase
from thorntray.internal.store.store_calls import StoreEntry, WatchBatch
from thorntray.internal.version.policy import Policy, Route, ServicePolicy, Target
from thorntray_node.mesh_config import Endpoint, MeshConfig
from thorntray_node.mesh_node import MeshNode, StoreKeys

HOST = "127.0.0.1"
NAMES = HeaderNames()


def make_call(**changes) -> CallFrame:
    """Return a call with the usual fields."""
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
    """Return a route with the usual fields."""
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
    """Return a policy; without routes, one idempotent and one that runs once."""
    payouts = make_route(name="payouts", prefix="/payouts/", idempotent=False, priority=0)
    routes = routes if routes is not None else [make_route(), payouts]
    services = {t.service: ServicePolicy("/healthz", 100) for r in routes for t in r.targets}
    return Policy.from_parts(version, routes, services, RequestLimits(), b"document")


def make_announcement(**changes) -> Announcement:
    """Return an announcement with the usual fields."""
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
    """Return the head of a request, and read its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            await reader.readexactly(int(line.split(b":")[1]))
    return head


def header_of(head: bytes, name: bytes) -> bytes:
    """Return the value of a header field, empty if there is none."""
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name.lower() + b":"):
            return line.split(b":", 1)[1].strip()
    return b""


def answer_bytes(request_id: bytes, body: bytes = b"ok", status: int = 200) -> bytes:
    """Return a whole answer of an instance."""
    return b"HTTP/1.1 %d X\r\nThorntray-Request-Id: %b\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        request_id,
        len(body),
        body,
    )


class FakeInstance:
    """An instance on loopback that answers as its `reply` says, and notes the ids that it ran."""

    def __init__(self, reply: Reply | None = None) -> None:
        self.port = free_port()
        self.ran: list[bytes] = []
        self.heads: list[bytes] = []
        self.connections = 0
        self.closed_early = 0
        self._reply = reply or self._answer
        self._server: asyncio.Server | None = None

    async def start(self) -> "FakeInstance":
        """Listen."""
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
                self.ran.append(request_id)
                await self._reply(request_id, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_early += 1
        finally:
            writer.close()


class MemoryStore:
    """The platform's service in memory, shared by the nodes of a test."""

    def __init__(self) -> None:
        self.entries: dict[str, bytes] = {}
        self.up = True

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix."""
        found = [k for k in self.entries if (k.startswith(key) if prefix else k == key)]
        return [StoreEntry(k, self.entries[k], 1) for k in found], 1

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write."""
        self.entries[key] = value

    async def lease_grant(self, ttl: int) -> int:
        """Return a lease."""
        return 1

    async def lease_keepalive(self, lease: int) -> bool:
        """Renew a lease."""
        return True

    async def lease_revoke(self, lease: int) -> None:
        """End a lease."""

    async def watch(self, prefix: str, start_revision: int):
        """Yield nothing for long."""
        await asyncio.sleep(3600)
        yield WatchBatch((), start_revision)

    async def close(self) -> None:
        """Close nothing."""


def make_mesh_config(name: str, service: str, instance_port: int, domain: str) -> MeshConfig:
    """Return the settings of a node on loopback."""
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
        header_names=NAMES,
    ).validated(name)


class MeshFleet:
    """Nodes with their instances in this process, over loopback, with one store in memory."""

    def __init__(self, policy: Policy | None = None) -> None:
        self.store = MemoryStore()
        self.store.entries["policy"] = b"document"
        self._policy = policy or make_policy()
        self.nodes: dict[str, MeshNode] = {}
        self.instances: dict[str, FakeInstance] = {}

    async def add(
        self, name: str, service: str, reply: Reply | None = None, domain: str = "a"
    ) -> MeshNode:
        """Start a node with an instance that announces itself."""
        instance = await FakeInstance(reply).start()
        cfg = make_mesh_config(name, service, instance.port, domain)
        store_keys = StoreKeys("seeds/", "policy")
        node = MeshNode(
            cfg, self.store, store_keys, lambda _: self._policy, SystemClock(), Random(name)
        )
        await node.start(lambda exchange: exchange.respond(200, b"", b""))
        node.registration.apply(
            make_announcement(service=service, address=f"{HOST}:{instance.port}")
        )
        self.nodes[name] = node
        self.instances[name] = instance
        return node

    async def settle(self) -> None:
        """Make every node known to every other, without waiting for gossip."""
        await asyncio.sleep(0.1)
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.membership.view.apply(other.membership.own)

    async def get(self, name: str, path: str, request_id: str, **options) -> bytes:
        """Return the whole answer to a request at a node."""
        return await self.send(name, b"GET", path, request_id, **options)

    async def send(
        self, name: str, method: bytes, path: str, request_id: str, deadline_ms: int = 3000
    ) -> bytes:
        """Return the whole answer to a request at a node, over a connection of its own."""
        reader, writer = await asyncio.open_connection(*self.nodes[name].cfg.callers)
        writer.write(request_bytes(method, path, request_id, deadline_ms))
        answer = await reader.read(1 << 20)
        writer.close()
        return answer

    async def close(self) -> None:
        """Stop everything."""
        for node in self.nodes.values():
            node.links.close()
            node.callers.close()
            node.listener.close()
            await node.membership.stop()
            await node.seeds.stop()
            await node._tasks.stop()
        for instance in self.instances.values():
            instance.close()


def request_bytes(method: bytes, path: str, request_id: str, deadline_ms: int = 3000) -> bytes:
    """Return a request that asks for its connection to be closed."""
    return (
        b"%b %b HTTP/1.1\r\nHost: a.example\r\nThorntray-Request-Id: %b\r\n"
        b"Thorntray-Deadline-Ms: %d\r\nConnection: close\r\n\r\n"
    ) % (method, path.encode(), request_id.encode(), deadline_ms)


def play(scenario, policy=None):
    """Return what a scenario returns that is given a fleet of its own."""

    async def work():
        fleet = MeshFleet(policy)
        try:
            return await asyncio.wait_for(scenario(fleet), 20)
        finally:
            await fleet.close()

    return asyncio.run(work())


PAYOUTS_OF_FIVE_SECONDS = make_route(
    name="payouts", prefix="/payouts/", idempotent=False, priority=0, timeout=5.0
)


async def drops(request_id, writer):
    """Run the request and lose its answer."""
    writer.close()


async def silent(request_id, writer):
    """Run the request for long."""


async def slow(request_id, writer):
    """Run the request for a third of a second."""
    await asyncio.sleep(0.3)
    writer.write(answer_bytes(request_id, b"slow"))


__all__ = ["make_member"]

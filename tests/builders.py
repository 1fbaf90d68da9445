"""Test fixtures: clocks, settings, members, and nodes connected by an in-memory network."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import async_solipsism

from thorntray.errors import PeerLost, PeerUnreachable
from thorntray.internal.connection.message import Call, Message, decode, encode
from thorntray.internal.membership.member import Member
from thorntray.internal.process.instance import Instance
from thorntray.internal.process.traffic import NodeContext, Traffic
from thorntray.internal.request.http_answer import HttpAnswer
from thorntray.internal.request.ingress import IncomingRequest
from thorntray.internal.request.outcome import Answer, Done, Outcome, Unknown
from thorntray.internal.telemetry.metrics import Metrics
from thorntray.internal.version.settings import Settings

EPOCH = 1_800_000_000.0  # wall clock at the start of virtual time, seconds


class LoopClock:
    """Clock that reads the virtual time of the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_event_loop().time()

    def time(self) -> float:
        return EPOCH + self.monotonic()

    def boottime(self) -> float:
        return self.monotonic()


class ManualClock:
    """Clock that a test advances through `now` (seconds)."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def time(self) -> float:
        return EPOCH + self.now

    def boottime(self) -> float:
        return self.now


def run_virtual(coroutine: Awaitable[Any]) -> Any:
    """Run a coroutine on an event loop with virtual time, in which sleeping takes no real time."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.run_until_complete(_cancel_pending_tasks())
        loop.close()


async def _cancel_pending_tasks() -> None:
    pending = asyncio.all_tasks() - {asyncio.current_task()}
    for task in pending:
        task.cancel()
    await asyncio.gather(*pending, return_exceptions=True)


def settings_paths(services: dict[str, dict[str, Any]], retry_allowance: int = 3) -> dict[str, str]:
    """Return a team's settings paths: classes high and low, routes look and pay per service."""
    paths = {
        "classes/high/priority": "8",
        "classes/high/retry_allowance": str(retry_allowance),
        "classes/low/priority": "3",
        "classes/low/retry_allowance": str(retry_allowance),
    }
    for name, values in services.items():
        values = {"retry_ratio": "0.5", **values}
        needs = values.pop("needs", "")
        for key, value in values.items():
            paths[f"services/{name}/{key}"] = str(value)
        for route, method, class_, idempotent in (
            ("look", "GET", "low", "yes"),
            ("pay", "POST", "high", "no"),
        ):
            section = f"routes/{name}/{route}"
            paths |= {
                f"{section}/method": method,
                f"{section}/path": "/",
                f"{section}/class": class_,
                f"{section}/idempotent": idempotent,
                f"{section}/needs": needs,
            }
    return paths


def make_settings(services: dict[str, dict[str, Any]], retry_allowance: int = 3) -> Settings:
    """Return the validated settings of one team."""
    return Settings.from_documents({"team": (1, settings_paths(services, retry_allowance))})


def make_member(name: str, service: str = "pay", domain: str = "east", **values: Any) -> Member:
    """Return a member in state ready."""
    member = Member(
        name, name.encode().ljust(8, b"\0")[:8], 1, name, 1, 2, 3, 4, service, domain, "here", True
    )
    return member._replace(**values)


class FakeUpstream:
    """Upstream instance that counts executions by the `x-request` header.

    `handler` produces the outcome of a call. `make_refusal` is called first; an outcome that it
    returns ends the call without an execution.
    """

    def __init__(self, service_time: float = 0.01) -> None:
        self.service_time = service_time
        self.executions: Counter[str] = Counter()
        self.handler: Callable[[Call, str], Awaitable[Outcome]] = self._echo_request_id
        self.make_refusal: Callable[[], Outcome | None] = lambda: None

    def delay(self, idempotent: bool) -> float:
        return 0.0

    async def send(self, call: Call, token: str, timeout: float, shed_header: str) -> Outcome:
        refusal = self.make_refusal()
        if refusal is not None:
            return refusal
        self.executions[dict(call.headers).get("x-request", "-")] += 1
        try:
            async with asyncio.timeout(timeout):
                return await self.handler(call, token)
        except TimeoutError:
            return Unknown("deadline")

    async def _echo_request_id(self, call: Call, token: str) -> Outcome:
        await asyncio.sleep(self.service_time)
        return Done(Answer(200, (), dict(call.headers).get("x-request", "-").encode()))


class MemoryNetwork:
    """In-memory network of all nodes of a test, with injected faults.

    `request_loss` and `reply_loss` are shares of messages from 0 to 1, `delay` is in seconds, and
    `unreachable` holds (sender, target) pairs of node names.
    """

    def __init__(self, rng: Random, settings: Settings) -> None:
        self.rng = rng
        self.settings = settings
        self.nodes: dict[str, MemoryNode] = {}
        self.delay = 0.001
        self.request_loss = 0.0
        self.reply_loss = 0.0
        self.unreachable: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def add(self, name: str, service: str, domain: str = "east", slots: int = 50) -> "MemoryNode":
        node = MemoryNode(self, name, service, domain, slots)
        self.nodes[name] = node
        return node

    def kill(self, name: str) -> None:
        """End a node as by kill -9: requests at its instance continue, but no reply is sent."""
        self.nodes[name].dead = True

    def restart(self, name: str) -> "MemoryNode":
        """Replace a node by a new process that serves the same instance."""
        old = self.nodes[name]
        old.dead = True
        new = MemoryNode(self, name, old.member.service, old.member.domain, old.slots)
        new.upstream.executions = old.upstream.executions
        new.upstream.handler = old.upstream.handler
        self.nodes[name] = new
        return new

    def execution_count(self, request: str) -> int:
        """Return how often a request was executed, over all instances."""
        counters = {
            id(node.upstream.executions): node.upstream.executions for node in self.nodes.values()
        }
        return sum(counter[request] for counter in counters.values())

    async def exchange(self, sender: "MemoryNode", target: Member, data: bytes) -> bytes:
        node = self.nodes.get(target.name)
        if node is None or node.dead or (sender.member.name, target.name) in self.unreachable:
            raise PeerUnreachable("no connection")
        await asyncio.sleep(self.delay * self.rng.uniform(0.5, 3))
        if node.dead:
            raise PeerLost("reset")
        if self.rng.random() < self.request_loss:
            await asyncio.sleep(3600)
        task = asyncio.ensure_future(node.handle(decode(data)))
        self._tasks.add(task)  # keeps running when the sender gives up
        task.add_done_callback(self._tasks.discard)
        reply = await asyncio.shield(task)
        if node.dead:
            raise PeerLost("reset")
        if self.rng.random() < self.reply_loss:
            await asyncio.sleep(3600)
        return encode(reply)


class MemoryPeers:
    """Peer connections of one node over the in-memory network; messages use the real codec."""

    def __init__(self, network: MemoryNetwork, node: "MemoryNode") -> None:
        self._network = network
        self._node = node

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        try:
            async with asyncio.timeout(timeout):
                return decode(await self._network.exchange(self._node, member, encode(message)))
        except TimeoutError:
            raise PeerLost("no reply before the timeout") from None


class MemoryNode:
    """The request path of one node, assembled as in `thorntray_node.node`."""

    def __init__(
        self, network: MemoryNetwork, name: str, service: str, domain: str, slots: int
    ) -> None:
        clock, rng = LoopClock(), network.rng
        self.network, self.slots, self.dead = network, slots, False
        self.member = make_member(name, service, domain, session=rng.randbytes(8))
        self.upstream = FakeUpstream()
        self.instance = Instance(clock, lambda: None)
        self.instance.register()
        context = NodeContext(
            name=name,
            session=self.member.session,
            service=service,
            domain=domain,
            upstream=self.upstream,
            acceptance=self.instance,
            peers=MemoryPeers(network, self),
            directory=self,
            settings=lambda: network.settings,
            clock=clock,
            rng=rng,
        )
        self.traffic = Traffic(context, Metrics(), slots)
        self.admission = self.traffic.admission
        self.admission.queue_bound = 10
        self.grants = self.traffic.grants
        self.levels = self.traffic.levels
        self.inbound = self.traffic.inbound
        self.outbound = self.traffic.outbound
        self.ingress = self.traffic.ingress
        self.handle = self.traffic.handle

    def members_of(self, service: str) -> list[Member]:
        nodes = self.network.nodes.values()
        return [node.member for node in nodes if node.member.service == service]

    def find(self, name: str) -> Member | None:
        node = self.network.nodes.get(name)
        return node.member if node else None

    async def call(self, service: str, method: str = "GET", **headers: str) -> HttpAnswer:
        """Send a caller's request to this node; `_` in header names becomes `-`."""
        request_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        body = b"{}" if method == "POST" else b""
        return await self.ingress.handle(
            IncomingRequest(service, method, "/", request_headers, body)
        )


def header(answer: HttpAnswer, name: str) -> str:
    """Return a header of an answer, or an empty string when it is missing."""
    return dict(answer.headers).get(name, "")

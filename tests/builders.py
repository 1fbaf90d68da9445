"""Builders of test data: settings, members, and nodes over an in-memory network."""

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
    """The virtual time of the running loop."""

    def monotonic(self) -> float:
        return asyncio.get_event_loop().time()

    def time(self) -> float:
        return EPOCH + self.monotonic()


class ManualClock:
    """Time that a test moves by hand."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def time(self) -> float:
        return EPOCH + self.now


def run_virtual(work: Awaitable[Any]) -> Any:
    """Run a coroutine in virtual time; an hour passes in a moment."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.run_until_complete(_cancel_rest())
        loop.close()


async def _cancel_rest() -> None:
    rest = asyncio.all_tasks() - {asyncio.current_task()}
    for task in rest:
        task.cancel()
    await asyncio.gather(*rest, return_exceptions=True)


def settings_paths(services: dict[str, dict[str, Any]], retry_allowance: int = 3) -> dict[str, str]:
    """Return the paths of a team with classes high and low and two routes for each service."""
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
    """Return settings in force."""
    return Settings.from_documents({"team": (1, settings_paths(services, retry_allowance))})


def make_member(name: str, service: str = "pay", domain: str = "east", **values: Any) -> Member:
    """Return a member that is ready."""
    member = Member(
        name, name.encode().ljust(8, b"\0")[:8], 1, name, 1, 2, 3, 4, service, domain, "here", True
    )
    return member._replace(**values)


class FakeUpstream:
    """An upstream instance that records what ran, by the `x-request` header."""

    def __init__(self, service_time: float = 0.01) -> None:
        self.service_time = service_time
        self.ran: Counter[str] = Counter()
        self.work: Callable[[Call, str], Awaitable[Outcome]] = self._plain
        self.refuse: Callable[[], Outcome | None] = lambda: None

    async def send(self, call: Call, token: str, timeout: float, shed_header: str) -> Outcome:
        refusal = self.refuse()
        if refusal is not None:
            return refusal
        self.ran[dict(call.headers).get("x-request", "-")] += 1
        try:
            async with asyncio.timeout(timeout):
                return await self.work(call, token)
        except TimeoutError:
            return Unknown("deadline")

    async def _plain(self, call: Call, token: str) -> Outcome:
        await asyncio.sleep(self.service_time)
        return Done(Answer(200, (), dict(call.headers).get("x-request", "-").encode()))


class MemoryNetwork:
    """All nodes of a test and the faults between them."""

    def __init__(self, rng: Random, settings: Settings) -> None:
        self.rng = rng
        self.settings = settings
        self.nodes: dict[str, MemoryNode] = {}
        self.delay = 0.001
        self.lose_request = 0.0  # share of messages
        self.lose_reply = 0.0
        self.unreachable: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def add(self, name: str, service: str, domain: str = "east", slots: int = 50) -> "MemoryNode":
        node = MemoryNode(self, name, service, domain, slots)
        self.nodes[name] = node
        return node

    def kill(self, name: str) -> None:
        """End a node as by kill -9: what ran at its instance runs on, nothing is answered."""
        self.nodes[name].dead = True

    def restart(self, name: str) -> "MemoryNode":
        """Start the successor of a node beside the same instance."""
        old = self.nodes[name]
        old.dead = True
        new = MemoryNode(self, name, old.member.service, old.member.domain, old.slots)
        new.upstream.ran = old.upstream.ran
        new.upstream.work = old.upstream.work
        self.nodes[name] = new
        return new

    def ran(self, request: str) -> int:
        """Return how often a request ran, over all instances."""
        counters = {id(node.upstream.ran): node.upstream.ran for node in self.nodes.values()}
        return sum(counter[request] for counter in counters.values())

    async def exchange(self, sender: "MemoryNode", target: Member, data: bytes) -> bytes:
        node = self.nodes.get(target.name)
        if node is None or node.dead or (sender.member.name, target.name) in self.unreachable:
            raise PeerUnreachable("no connection")
        await asyncio.sleep(self.delay * self.rng.uniform(0.5, 3))
        if node.dead:
            raise PeerLost("reset")
        if self.rng.random() < self.lose_request:
            await asyncio.sleep(3600)
        task = asyncio.ensure_future(node.handle(decode(data)))
        self._tasks.add(task)  # it goes on when the asker gives up
        task.add_done_callback(self._tasks.discard)
        reply = await asyncio.shield(task)
        if node.dead:
            raise PeerLost("reset")
        if self.rng.random() < self.lose_reply:
            await asyncio.sleep(3600)
        return encode(reply)


class MemoryPeers:
    """Peers of one node over the in-memory network; the real codec is used."""

    def __init__(self, network: MemoryNetwork, node: "MemoryNode") -> None:
        self._network = network
        self._node = node

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        try:
            async with asyncio.timeout(timeout):
                return decode(await self._network.exchange(self._node, member, encode(message)))
        except TimeoutError:
            raise PeerLost("no answer in time") from None


class MemoryNode:
    """The request-carrying parts of one node, as `thorntray_node.node` puts them together."""

    def __init__(
        self, network: MemoryNetwork, name: str, service: str, domain: str, slots: int
    ) -> None:
        clock, rng = LoopClock(), network.rng
        self.network, self.slots, self.dead = network, slots, False
        self.member = make_member(name, service, domain, session=rng.randbytes(8))
        self.upstream = FakeUpstream()
        self.instance = Instance(clock, lambda: None)
        self.instance.register()
        around = NodeContext(
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
        self.traffic = Traffic(around, Metrics(), slots)
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
        """Send a caller's request into this node."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        body = b"{}" if method == "POST" else b""
        return await self.ingress.handle(IncomingRequest(service, method, "/", named, body))


def header(answer: HttpAnswer, name: str) -> str:
    """Return a header of an answer, empty when it has none."""
    return dict(answer.headers).get(name, "")

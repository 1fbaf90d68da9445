"""Test helper: many nodes' membership, seeds and policy watches, in memory and in virtual time."""

import asyncio
from collections import Counter
from random import Random

from tests.builders import LoopClock, make_member
from tests.fleet_builders import MemoryFleet, MemoryPlatform
from tests.mesh_builders import make_policy
from thorntray.errors import PlatformUnavailable
from thorntray.internal.connection.frame import FetchPolicy, Frame, PolicyFrame
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.store.policy_watch import PolicyWatch, WatchWait
from thorntray.internal.store.seeds import PlatformState, Seeds, SeedTiming
from thorntray.internal.store.watch_check import WatchCheck
from thorntray.internal.store.watch_duty import WatchDuty
from thorntray.internal.version.policy import Policy, PolicyHolder

KEY = "policy"
FRAME_DELAY = 0.003  # seconds


class CountingStore(MemoryPlatform):
    """The shared store; `refused` names the nodes that it turns away."""

    def __init__(self) -> None:
        super().__init__()
        self.calls_of: Counter[str] = Counter()
        self.refused: set[str] = set()

    def of_node(self, name: str) -> "NodeStore":
        """Return the store as one node sees it."""
        return NodeStore(self, name)


class NodeStore:
    """The store as one node sees it, with the node's calls counted."""

    def __init__(self, store: CountingStore, name: str) -> None:
        self._store = store
        self._name = name
        self.epoch = store.epoch

    def _count(self) -> None:
        self._store.calls_of[self._name] += 1
        self._check_refused()

    def _check_refused(self) -> None:
        if self._name in self._store.refused:
            raise PlatformUnavailable("refused")

    async def read(self, key: str, *, prefix: bool = False):
        self._count()
        return await self._store.read(key, prefix=prefix)

    async def put(self, key: str, value: bytes, lease: int) -> None:
        self._count()
        await self._store.put(key, value, lease)

    async def lease_grant(self, ttl: int) -> int:
        self._count()
        return await self._store.lease_grant(ttl)

    async def lease_keepalive(self, lease: int) -> bool:
        self._count()
        return await self._store.lease_keepalive(lease)

    async def lease_revoke(self, lease: int) -> None:
        await self._store.lease_revoke(lease)

    async def watch(self, prefix: str, start_revision: int, wait: WatchWait):
        self._count()
        async for batch in self._store.watch(prefix, start_revision, wait):
            self._check_refused()  # a watch that was open before is not answered either
            yield batch
            self._count()


class _MemoryLink:
    """Delivers frames between two nodes unless they are cut off from each other."""

    def __init__(self, owner: "PolicyNode", member: Member) -> None:
        self._owner = owner
        self._member = member

    def send(self, frame: Frame) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(FRAME_DELAY, self._deliver, frame)

    def _deliver(self, frame: Frame) -> None:
        fleet, owner = self._owner.fleet, self._owner
        peer = fleet.nodes.get(self._member.name)
        if peer is None or not peer.running or not fleet.can_reach(owner.name, peer.name):
            return
        if isinstance(frame, FetchPolicy):
            reply = peer.watch.reply_to_fetch(frame)
            if reply is not None:
                _MemoryLink(peer, owner.membership.own).send(reply)
        elif isinstance(frame, PolicyFrame):
            peer.watch.on_peer_frame(self._owner.membership.own, frame)


class PolicyNode:
    """Membership, seeds and policy watch of one node."""

    make_clock = LoopClock

    def __init__(self, fleet: MemoryFleet, store: CountingStore, name: str, domain: str) -> None:
        self.fleet, self.name, self.running = fleet, name, True
        self.clock, self.rng = self.make_clock(), Random(name)
        rng = self.rng
        fleet.next_port += 1
        self.address = Address("127.0.0.1", fleet.next_port)
        self.applied_at: dict[int, float] = {}  # event loop time by version
        self.holder = PolicyHolder(self._on_change)
        view = store.of_node(name)
        state = PlatformState()
        self.watch = PolicyWatch(view, KEY, self.decode, self.holder, self, state, rng)
        own = make_member(
            name,
            domain=domain,
            session=rng.randbytes(8),
            address="127.0.0.1",
            gossip_port=self.address.port,
        )
        self.membership = Membership(
            own,
            self,
            self.clock,
            rng,
            self.watch.revisions,
            self.watch.on_revisions,
            lambda name: None,
        )
        timing = SeedTiming(10, 3.0, 0.5, 0.2, 1.0, 0.5)
        self.seeds = Seeds(self.membership, view, state, "seeds/", [], timing, rng)
        self.watch.duty = WatchDuty(self.membership, self.seeds, self.clock, rng)
        self.watch.check = WatchCheck(self.membership, self.watch.duty, self.clock, rng)

    def start(self) -> None:
        """Start all background tasks."""
        self.membership.start()
        self.seeds.start()
        self._task = asyncio.ensure_future(self.watch.run())

    def link_to(self, member: Member) -> _MemoryLink:
        """Return a link to another node."""
        return _MemoryLink(self, member)

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram."""
        if self.running:
            self.fleet.send(self, data, address)

    def receive(self, data: bytes, address: Address) -> None:
        """Receive a datagram."""
        if self.running:
            self.membership.on_datagram(data, address)

    def decode(self, document: bytes) -> Policy:
        """Return the policy of a document, which holds only the version."""
        return make_policy(int(document))._replace(document=document)

    def _on_change(self, policy: Policy) -> None:
        self.applied_at[policy.version] = asyncio.get_running_loop().time()
        self.membership.spread_revisions()


class PolicyFleet:
    """`count` nodes in several domains that share one store with policy version 1."""

    node_type = PolicyNode
    store_type = CountingStore

    def __init__(self, count: int, domains: int = 5, seed: int = 1) -> None:
        self.store = self.store_type()
        self.network = MemoryFleet(Random(seed))
        self.store.write(KEY, b"1")
        for index in range(count):
            self.add(f"n{index:04}", f"d{index % domains}")

    def add(self, name: str, domain: str) -> PolicyNode:
        """Add a node, which is to be started."""
        node = self.node_type(self.network, self.store, name, domain)
        self.network.nodes[name] = node
        self.network.nodes_by_address[node.address] = node
        return node

    @property
    def nodes(self) -> dict[str, PolicyNode]:
        """Return the nodes by name."""
        return self.network.nodes

    async def start(self) -> None:
        """Start all nodes and wait until all know each other."""
        for node in self.nodes.values():
            node.start()
        async with asyncio.timeout(120):
            while any(len(n.membership.alive()) < len(self.nodes) for n in self.nodes.values()):
                await asyncio.sleep(0.5)
        await asyncio.sleep(6.0)  # the holds of nodes that were alone for a moment end

    async def change(self, version: int, wait: float = 6.0) -> dict[str, float]:
        """Write a policy version; return the seconds until each node had it, by name."""
        written_at = asyncio.get_running_loop().time()
        self.store.calls_of.clear()
        self.store.write(KEY, str(version).encode())
        await asyncio.sleep(wait)
        return {
            name: node.applied_at.get(version, float("inf")) - written_at
            for name, node in self.nodes.items()
        }

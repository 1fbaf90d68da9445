"""Test fixtures for membership and settings: many nodes' control planes on an in-memory network."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from nacl.signing import SigningKey

from tests.builders import LoopClock, settings_paths
from thorntray.errors import PeerLost, PlatformUnavailable, WriteUndetermined
from thorntray.internal.connection.message import Message, decode, encode
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.store.policy_watch import WatchWait
from thorntray.internal.store.roles import Roles
from thorntray.internal.store.settings_sync import SettingsSync
from thorntray.internal.store.store_calls import StoreEntry, WatchBatch
from thorntray.internal.store.store_epoch import StoreEpoch
from thorntray.internal.version.document import Change, Document, encode_document
from thorntray.internal.version.holder import SettingsHolder

TEAM = "himal"
KEY = SigningKey(bytes(32))
KEYS = {TEAM: (KEY.verify_key,)}


def make_paths(slots: int) -> dict[str, str]:
    """Return valid settings of the service tariff with the given number of slots."""
    return settings_paths({"tariff": {"slots": str(slots)}})


def make_document(revision: int, slots: int | None = None, key: SigningKey = KEY) -> Document:
    """Return a signed settings document; `slots` defaults to the revision."""
    change = Change(revision, f"w{revision}", "asha", 0.0, "test", ("services/tariff/slots",))
    paths = make_paths(slots if slots is not None else revision)
    return Document.empty(TEAM).with_change(paths, change, key)


class MemoryPlatform:
    """In-memory stand-in for the platform client, with injected faults.

    `replies_to_lose` counts coming writes that take effect but whose reply is lost;
    `requests_to_lose` counts coming writes that are lost before they take effect.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.revision = 1
        self.down = False
        self.replies_to_lose = 0
        self.requests_to_lose = 0
        self.calls_by_second: Counter[int] = Counter()
        self.leases: set[int] = set()
        self.epoch = StoreEpoch()
        self._change_event = asyncio.Event()

    def _count(self) -> None:
        self.calls_by_second[int(asyncio.get_running_loop().time())] += 1
        if self.down:
            raise PlatformUnavailable("down")

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        self._count()
        await asyncio.sleep(0.002)
        names = [k for k in self.values if (k.startswith(key) if prefix else k == key)]
        return [StoreEntry(k, *self.values[k]) for k in names], self.revision

    async def put_if(self, key: str, value: bytes, expected: int, lease: int = 0) -> bool:
        self._count()
        await asyncio.sleep(0.002)
        if self.requests_to_lose:
            self.requests_to_lose -= 1
            raise WriteUndetermined("no answer")
        written = self.values.get(key, (b"", 0))[1] == expected
        if written:
            self.write(key, value)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise WriteUndetermined("no answer")
        return written

    def write(self, key: str, value: bytes) -> None:
        """Write a value as another client would, without a counted call."""
        self.revision += 1
        self.values[key] = (value, self.revision)
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def put(self, key: str, value: bytes, lease: int) -> None:
        self._count()
        self.write(key, value)

    async def lease_grant(self, ttl: int) -> int:
        self._count()
        self.leases.add(len(self.leases) + 1)
        return len(self.leases)

    async def lease_keepalive(self, lease: int) -> bool:
        self._count()
        return lease in self.leases

    async def lease_revoke(self, lease: int) -> None:
        self._count()

    async def watch(self, prefix: str, start_revision: int, wait: WatchWait = lambda: None):
        self._count()
        after, loop = start_revision - 1, asyncio.get_running_loop()
        while not self.down:
            sent_at, seconds = loop.time(), wait()
            deadline = None if seconds is None else sent_at + seconds
            matching = await self._next_changes(prefix, after, deadline)
            if self.down:
                break
            after = self.revision
            yield WatchBatch(matching, after, sent_at=sent_at)
        raise PlatformUnavailable("down")

    async def _next_changes(
        self, prefix: str, after: int, deadline: float | None
    ) -> tuple[StoreEntry, ...]:
        """Return the changes after a revision, none at the deadline (event loop time)."""
        while not self.down:
            changed = [StoreEntry(k, v, r) for k, (v, r) in self.values.items() if r > after]
            after = self.revision
            matching = tuple(entry for entry in changed if entry.key.startswith(prefix))
            if matching:
                return matching
            try:
                async with asyncio.timeout_at(deadline):
                    await self._change_event.wait()
            except TimeoutError:
                break
        return ()


class MemoryFleet:
    """Control planes of many nodes; datagrams may be lost, delayed, duplicated, or cut off.

    `loss` and `duplication` are shares of datagrams from 0 to 1, `delay` is in seconds. Nodes with
    different values in `partition_of` cannot reach each other. `drops` tells, for the names of
    sender and target and the data, whether a datagram is lost.
    """

    def __init__(self, rng: Random, platform: MemoryPlatform | None = None) -> None:
        self.rng = rng
        self.platform = platform
        self.nodes: dict[str, ControlNode] = {}
        self.nodes_by_address: dict[Address, ControlNode] = {}
        self.loss = 0.0
        self.duplication = 0.0
        self.delay = 0.002
        self.partition_of: dict[str, int] = {}
        self.drops: Callable[[str, str, bytes], bool] = lambda sender, target, data: False
        self.next_port = 1

    def add(
        self, name: str, domain: str = "d0", service: str = "s", **values: Any
    ) -> "ControlNode":
        node = ControlNode(self, name, domain, service, **values)
        self.nodes[name] = node
        self.nodes_by_address[node.address] = node
        return node

    def can_reach(self, one: str, other: str) -> bool:
        return self.partition_of.get(one, 0) == self.partition_of.get(other, 0)

    def send(self, sender: "ControlNode", data: bytes, address: Address) -> None:
        target = self.nodes_by_address.get(address)
        if target is None or not self.can_reach(sender.name, target.name):
            return
        if self.drops(sender.name, target.name, data):
            return
        copies = (self.rng.random() >= self.loss) + (self.rng.random() < self.duplication)
        for _ in range(copies):
            delay = self.delay * self.rng.uniform(0.5, 3)
            asyncio.get_running_loop().call_later(delay, target.receive, data, sender.address)


class ControlNode:
    """Control plane of one node: membership, settings and platform roles."""

    def __init__(
        self,
        fleet: MemoryFleet,
        name: str,
        domain: str,
        service: str,
        version: int | None = None,
        port: int | None = None,
    ) -> None:
        self.fleet, self.name, self.running = fleet, name, True
        self.clock = LoopClock()
        fleet.next_port += 1
        self.address = Address("127.0.0.1", fleet.next_port if port is None else port)
        self.paused = False
        self.revisions: list[int] = []
        self.holder = SettingsHolder(KEYS, self._on_settings_changed)
        self.sync = SettingsSync(self.holder, self)
        start = int(self.clock.time() * 1000) if version is None else version
        own = Member(
            name,
            fleet.rng.randbytes(8),
            start,
            "127.0.0.1",
            1,
            2,
            3,
            self.address.port,
            service,
            domain,
            "r",
            True,
        )
        self.membership = Membership(
            own,
            self,
            self.clock,
            fleet.rng,
            self.holder.revisions,
            self._on_heads,
            lambda name: None,
        )
        self.roles: Roles | None = None

    def start(self, seeds: list[Address] | None = None) -> None:
        self.membership.start()
        if self.fleet.platform is not None:
            self.roles = Roles(
                self.membership, self.fleet.platform, self.holder, seeds or [], self.fleet.rng
            )
            self.roles.start()
        elif seeds:
            self.membership.join(seeds)

    async def kill(self) -> None:
        """Stop without notice to other nodes, as by kill -9."""
        self.running = False
        await self.membership.stop()
        if self.roles is not None:
            await self.roles._tasks.stop()

    def send(self, data: bytes, address: Address) -> None:
        if self.running:
            self.fleet.send(self, data, address)

    def receive(self, data: bytes, address: Address) -> None:
        if self.running:
            self.membership.on_datagram(data, address)

    def _on_heads(self, sender: Member, heads: dict[str, int]) -> None:
        self.sync.on_revisions(sender, heads)

    def _on_settings_changed(self) -> None:
        self.revisions.append(self.holder.revision(TEAM))
        self.membership.spread_revisions()

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Fetch a document from another node."""
        target = self.fleet.nodes.get(member.name)
        await asyncio.sleep(0.004)
        if target is None or not target.running or not self.fleet.can_reach(self.name, member.name):
            raise PeerLost("no reply")
        return decode(encode(target.holder.create_reply(decode(encode(message)))))

    def offer(self, document: Document) -> bool:
        """Offer a document to this node, as its watch on the store does."""
        return self.holder.apply_stored(TEAM, encode_document(document))

    def member_names(self, health: Health = Health.ALIVE) -> set[str]:
        """Return the names of the members that this node lists with the given health."""
        return {m.name for m in self.membership.view.all() if m.health is health}

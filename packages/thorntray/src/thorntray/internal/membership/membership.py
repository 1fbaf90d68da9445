"""Membership without a list: who is there, by probing and gossip (after SWIM).

Every second a node pings two members: its successor on a ring, so that everybody is watched by
somebody in every round, and a random one, so that a cut along the ring is seen as well. No
`Ack` in time: others are asked to ping it too. Still none: it is suspected, which ends new work
to it, and told so by gossip; if it does not refute in time it is dead.

Only a node itself may raise its version. An `ALIVE` of a higher version beats everything of a
lower one, so a slow node clears itself, and a restarted one, whose version begins at its start
time, is never shadowed by what is still said of its predecessor.

Updates travel on pings and, while there are any, on extra datagrams to a few random members,
within a byte budget: when two regions find each other again, 800 refutations at once must not
eat the bandwidth. A digest exchange with one random member repairs what loss has left out.
Dead members are pinged now and then for hours, so that halves of a cut find each other without
the platform. Members that went a moment ago, planned or not, are pinged more often: a process that
starts again at the same address while the platform is down knows nobody, and joins whoever pings.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Protocol

from thorntray.errors import BadMessage
from thorntray.internal.membership.gossip import (
    MAX_DATAGRAM_BYTES,
    Ack,
    Address,
    Datagram,
    Digest,
    Heads,
    Join,
    Ping,
    PingRequest,
    Spread,
    decode_datagram,
    encode_datagram,
    encoded_size,
)
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.membership.member_view import SPREAD_FACTOR, MemberView
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.telemetry.events import Event, log_event

PROBE_PERIOD = 1.0  # seconds
PROBE_TIMEOUT = 0.3  # seconds until others are asked
INDIRECT_TIMEOUT = 0.5  # seconds more until a member is suspected
INDIRECT_PROBES = 3
SUSPECT_TIME = 3.0  # seconds in which a suspect may refute
SPREAD_PERIOD = 0.2  # seconds
SPREAD_FANOUT = 3
SPREAD_BYTES_PER_SECOND = 2500.0
SPREAD_BURST_BYTES = 5000.0
SYNC_PERIOD = 5.0  # seconds between digest exchanges
REVIVE_PERIOD = 5.0  # seconds between pings to a dead member
RECENT_PERIOD = 0.5  # seconds between pings to a member that went a moment ago
RECENTLY_GONE = 15.0  # seconds
MAX_REPAIR_ENTRIES = 200  # members in one repair
DEAD_KEPT = 2 * 3600.0  # seconds for which a dead member is remembered
LEAVE_DATAGRAMS = 12
JOIN_PAUSE = 0.02  # seconds between datagrams to a newcomer, which waits for them
REPAIR_PAUSE = 0.4  # seconds between datagrams of a repair, which must not eat the bandwidth
_PIGGYBACK_BYTES = 500
_HEADER_BYTES = 250


class Transport(Protocol):
    """Sends datagrams; loss, delay and duplication are expected."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram."""
        ...


class Membership:
    """The membership of one node."""

    def __init__(
        self,
        own: Member,
        transport: Transport,
        clock: Clock,
        rng: Random,
        heads: Callable[[], Heads],
        on_heads: Callable[[Member, Heads], None],
        on_gone: Callable[[str], None],
    ) -> None:
        self.view = MemberView(own)
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._heads = heads
        self._on_heads = on_heads
        self._on_gone = on_gone
        self._sequence = 0
        self._acks: dict[int, asyncio.Future[None]] = {}
        self._suspected_at: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        self._spread_tokens = SPREAD_BURST_BYTES
        self._heads_told = 0
        self._repairing = False
        self._tasks = BackgroundTasks()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.bad_datagrams = 0

    # What the node itself says.

    @property
    def own(self) -> Member:
        """Return this node as the others should see it."""
        return self.view.own

    def announce(self, *, ready: bool) -> None:
        """Tell the others whether new work may be sent here."""
        if self.own.ready != ready:
            self._say(self.own._replace(ready=ready, version=self.own.version + 1))

    def tell_heads(self) -> None:
        """Tell the others soon that the settings here have a new revision."""
        self._heads_told = 0

    def leave(self) -> None:
        """Tell the others that this node stops."""
        self._say(self.own._replace(ready=False, version=self.own.version + 1, health=Health.LEFT))
        for member in self.view.sample(self._rng, LEAVE_DATAGRAMS):
            self._send(Spread(self.own, self._heads(), (self.own,)), member)

    # Who is there.

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that are not dead."""
        return self.view.of_service(service)

    def find(self, name: str) -> Member | None:
        """Return a member that is not dead."""
        member = self.view.get(name)
        if member is None or member.health in (Health.DEAD, Health.LEFT):
            return None
        return member

    def alive(self) -> list[Member]:
        """Return the members, this node included, that are neither dead nor gone."""
        return [m for m in self.view.all() if m.health in (Health.ALIVE, Health.SUSPECT)]

    def doubt(self, name: str) -> None:
        """Probe a member now, because an attempt through it failed."""
        member = self.find(name)
        if member is not None and name != self.own.name:
            self._tasks.spawn(self._probe(member))

    # Tasks.

    def start(self) -> None:
        """Start probing and gossip."""
        loops = (
            self._probe_loop,
            self._spread_loop,
            self._sync_loop,
            self._revive_loop,
            self._recent_loop,
        )
        for work in loops:
            self._tasks.spawn(work())

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()

    def join(self, seeds: list[Address]) -> None:
        """Ask some seeds for all members."""
        for seed in seeds:
            if seed != Address(self.own.address, self.own.gossip_port):
                self._send_to(Join(self.own), seed)

    async def _probe_loop(self) -> None:
        await asyncio.sleep(self._rng.random() * PROBE_PERIOD)
        while True:
            successor = self.view.ring_successor()
            others = [m for m in self.view.sample(self._rng, 1) if m != successor]
            for member in [successor, *others] if successor else others:
                self._tasks.spawn(self._probe(member))
            self._bury_suspects()
            await asyncio.sleep(PROBE_PERIOD)

    async def _probe(self, member: Member) -> None:
        sequence, acked = self._expect_ack()
        try:
            self._ping(member, sequence)
            if await self._in_time(acked, PROBE_TIMEOUT):
                return
            for helper in self.view.sample(self._rng, INDIRECT_PROBES, without=member.name):
                self._send(PingRequest(sequence, self.own, member.name), helper)
            if not await self._in_time(acked, INDIRECT_TIMEOUT):
                self._suspect(member)
        finally:
            del self._acks[sequence]

    async def _in_time(self, acked: "asyncio.Future[None]", seconds: float) -> bool:
        await asyncio.wait({acked}, timeout=seconds)
        return acked.done()

    async def _spread_loop(self) -> None:
        while True:
            await asyncio.sleep(SPREAD_PERIOD * (0.9 + 0.2 * self._rng.random()))
            refill = SPREAD_BYTES_PER_SECOND * SPREAD_PERIOD
            self._spread_tokens = min(SPREAD_BURST_BYTES, self._spread_tokens + refill)
            self._spread()

    def _spread(self) -> None:
        if not self._has_news:
            return
        for member in self.view.sample(self._rng, SPREAD_FANOUT):
            if self._spread_tokens <= 0 or not self._has_news:
                return
            updates = self.view.take_updates(_PIGGYBACK_BYTES)
            self._spread_tokens -= self._send(Spread(self.own, self._heads(), updates), member)
            self._heads_told += 1

    @property
    def _has_news(self) -> bool:
        heads_pending = self._heads_told < SPREAD_FACTOR * len(self.view).bit_length()
        return self.view.has_news or heads_pending

    async def _sync_loop(self) -> None:
        while True:
            await asyncio.sleep(SYNC_PERIOD * (0.5 + self._rng.random()))
            for member in self.view.sample(self._rng, 1):
                self._send(Digest(self.own, self._heads(), self.view.buckets()), member)

    async def _revive_loop(self) -> None:
        while True:
            await asyncio.sleep(REVIVE_PERIOD * (0.5 + self._rng.random()))
            self._forget_long_gone()
            dead = [m for m in self.view.all() if m.health is Health.DEAD]
            if dead:
                self._ping_gone(self._rng.choice(dead))

    async def _recent_loop(self) -> None:
        while True:
            await asyncio.sleep(RECENT_PERIOD * (0.5 + self._rng.random()))
            horizon = self._clock.monotonic() - RECENTLY_GONE
            recent = [name for name, since in self._gone_at.items() if since > horizon]
            member = self.view.get(self._rng.choice(recent)) if recent else None
            if member is not None:
                self._ping_gone(member)

    def _ping_gone(self, member: Member) -> None:
        # It sees its own record among the updates and refutes.
        self._send(Ping(0, self.own, self._heads(), (member,)), member)

    # Datagrams.

    def on_datagram(self, data: bytes, address: Address) -> None:
        """Take one datagram; a garbled one is counted and dropped."""
        self.bytes_received += len(data)
        try:
            datagram = decode_datagram(data)
        except BadMessage as exc:
            self.bad_datagrams += 1
            log_event(Event.BAD_MESSAGE, detail=str(exc), peer=f"{address.host}:{address.port}")
            return
        alone = len(self.view) == 1
        self._take(datagram.sender)
        if alone and not isinstance(datagram, Join):
            self._send(Join(self.own), datagram.sender)
        match datagram:
            case Ping(sequence, sender, heads, updates):
                self._take_all(sender, heads, updates)
                self._ack(sequence, sender)
            case Ack(sequence, sender, heads, updates):
                self._take_all(sender, heads, updates)
                self._acked(sequence)
            case PingRequest(sequence, sender, target):
                self._tasks.spawn(self._ping_for(sequence, sender, target))
            case Spread(sender, heads, updates):
                self._take_all(sender, heads, updates)
            case Join(sender):
                self._tasks.spawn(self._send_entries(sender, list(self.view.all()), JOIN_PAUSE))
            case Digest(sender, heads, buckets):
                self._on_heads(sender, heads)
                self._answer_digest(sender, buckets)

    def _take_all(self, sender: Member, heads: Heads, updates: tuple[Member, ...]) -> None:
        for update in updates:
            self._take(update)
        if sender.name != self.own.name:
            self._on_heads(sender, heads)

    def _take(self, update: Member) -> None:
        if update.name == self.own.name:
            self._refute(update)
            return
        before = self.view.apply(update)
        if before is None:
            return
        self._note_change(before, update)

    def _refute(self, update: Member) -> None:
        same = update.session == self.own.session and update.health is self.own.health
        if self.own.health is Health.LEFT or update.version < self.own.version:
            return
        if same and update.version == self.own.version:
            return
        log_event(Event.SELF_REFUTED, said=update.health.name, version=update.version)
        self._say(self.own._replace(version=update.version + 1))

    def _note_change(self, before: Member, now: Member) -> None:
        name = now.name
        self._suspected_at.pop(name, None)
        self._gone_at.pop(name, None)
        match now.health:
            case Health.SUSPECT:
                self._suspected_at[name] = self._clock.monotonic()
            case Health.DEAD | Health.LEFT:
                self._gone_at[name] = self._clock.monotonic()
                self._on_gone(name)
            case Health.ALIVE if before.session != now.session:
                self._on_gone(name)  # what was learned of its predecessor is void
        if before.health is not now.health or before is now:
            self._log_change(now)

    def _log_change(self, member: Member) -> None:
        events = {
            Health.ALIVE: Event.MEMBER_JOINED,
            Health.SUSPECT: Event.MEMBER_SUSPECT,
            Health.DEAD: Event.MEMBER_DEAD,
            Health.LEFT: Event.MEMBER_LEFT,
        }
        log_event(events[member.health], member=member.name, domain=member.domain)

    def _ack(self, sequence: int, sender: Member) -> None:
        updates = self.view.take_updates(_PIGGYBACK_BYTES)
        self._send(Ack(sequence, self.own, self._heads(), updates), sender)

    def _acked(self, sequence: int) -> None:
        waiting = self._acks.get(sequence)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    async def _ping_for(self, sequence: int, asker: Member, target: str) -> None:
        member = self.view.get(target)
        if member is None:
            return
        own_sequence, acked = self._expect_ack()
        try:
            self._ping(member, own_sequence)
            if await self._in_time(acked, PROBE_TIMEOUT):
                self._ack(sequence, asker)
        finally:
            del self._acks[own_sequence]

    async def _send_entries(self, receiver: Member, entries: list[Member], pause: float) -> None:
        self._rng.shuffle(entries)  # several answers together cover all sooner
        while entries:
            room = MAX_DATAGRAM_BYTES - _HEADER_BYTES
            batch: list[Member] = []
            while entries and (room := room - encoded_size(entries[-1])) >= 0:
                batch.append(entries.pop())
            self._send(Spread(self.own, self._heads(), tuple(batch)), receiver)
            await asyncio.sleep(pause)

    def _answer_digest(self, sender: Member, buckets: tuple[int, ...]) -> None:
        own = self.view.buckets()
        if len(buckets) != len(own):
            return
        differing = {
            i for i, (mine, theirs) in enumerate(zip(own, buckets, strict=True)) if mine != theirs
        }
        if differing and not self._repairing:
            self._tasks.spawn(self._repair(sender, differing))

    async def _repair(self, receiver: Member, buckets: set[int]) -> None:
        self._repairing = True  # one at a time
        try:
            entries = self.view.in_buckets(buckets)
            chosen = self._rng.sample(entries, min(MAX_REPAIR_ENTRIES, len(entries)))
            await self._send_entries(receiver, chosen, REPAIR_PAUSE)
        finally:
            self._repairing = False

    # Parts.

    def _say(self, own: Member) -> None:
        self.view.apply(own)

    def _suspect(self, member: Member) -> None:
        now = self.view.get(member.name)
        if now is None or now.version != member.version or now.health is not Health.ALIVE:
            return
        self._take(now._replace(health=Health.SUSPECT))

    def _bury_suspects(self) -> None:
        horizon = self._clock.monotonic() - SUSPECT_TIME
        for name in [n for n, since in self._suspected_at.items() if since <= horizon]:
            member = self.view.get(name)
            if member is not None and member.health is Health.SUSPECT:
                self._take(member._replace(health=Health.DEAD))

    def _forget_long_gone(self) -> None:
        horizon = self._clock.monotonic() - DEAD_KEPT
        for name in [n for n, since in self._gone_at.items() if since <= horizon]:
            del self._gone_at[name]
            self.view.forget(name)

    def _expect_ack(self) -> tuple[int, "asyncio.Future[None]"]:
        self._sequence += 1
        acked = asyncio.get_running_loop().create_future()
        self._acks[self._sequence] = acked
        return self._sequence, acked

    def _ping(self, member: Member, sequence: int) -> None:
        updates = self.view.take_updates(_PIGGYBACK_BYTES)
        if member.health is not Health.ALIVE:
            updates = (member, *updates)  # so that it can refute
        self._send(Ping(sequence, self.own, self._heads(), updates), member)

    def _send(self, datagram: Datagram, member: Member) -> int:
        return self._send_to(datagram, Address(member.address, member.gossip_port))

    def _send_to(self, datagram: Datagram, address: Address) -> int:
        data = encode_datagram(datagram)
        self.bytes_sent += len(data)
        self._transport.send(data, address)
        return len(data)

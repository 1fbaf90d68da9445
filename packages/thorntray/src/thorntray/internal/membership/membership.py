"""Group membership by probing and gossip, after the SWIM protocol, without a central list.

Every second a node pings two members: its successor on a hash ring, so that every member is
probed in every round, and a random one, so that a partition along the ring is detected too. If no
`Ack` arrives in time, other members are asked to ping it. If they get none either, the member is
marked `SUSPECT`, which stops new work to it, and the suspicion is gossiped. A suspect that does
not refute it in time is marked `DEAD`.

Only a node itself raises its version, and a record with a higher version replaces all with a lower
one. So a slow node can refute a suspicion, and the record of a restarted node, whose version starts
at its start time, is not overridden by late gossip about the previous process.

Updates are piggybacked on pings and acks and, while any are pending, sent in extra datagrams to a
few random members. These have a byte budget: when a partition between two regions heals, 800
refutations at once must not use up the bandwidth. A periodic digest exchange with one random
member repairs what was lost. Dead members are pinged occasionally for hours, so that the sides of a
partition find each other without the platform. Members that died or left recently are pinged more
often: a process that restarts at the same address while the platform is down knows no other
node, and joins through the first one that pings it.
"""

import asyncio
from collections.abc import Callable
from random import Random

from thorntray.errors import BadMessage
from thorntray.internal.membership.gossip import (
    Ack,
    Address,
    Datagram,
    Digest,
    Join,
    MembershipDatagram,
    Ping,
    PingRequest,
    Revisions,
    ServiceDatagram,
    Spread,
    decode_datagram,
)
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.membership.member_view import RETRANSMIT_FACTOR, MemberView
from thorntray.internal.membership.prober import PROBE_PERIOD, Prober
from thorntray.internal.membership.repair import Repair
from thorntray.internal.membership.restarts import Restarts
from thorntray.internal.membership.sender import PIGGYBACK_BYTES, DatagramSender, Transport
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.telemetry.events import Event, log_event, log_handler_failure

SUSPECT_TIMEOUT = 3.0  # seconds until a suspect that has not refuted is dead
SPREAD_PERIOD = 0.2  # seconds
SPREAD_FANOUT = 3  # random members in each spread period
SPREAD_BYTES_PER_SECOND = 2500.0
SPREAD_BURST_BYTES = 5000.0
SYNC_PERIOD = 5.0  # seconds between digest exchanges
REVIVE_PERIOD = 5.0  # seconds between pings to a random dead member
RECENT_PERIOD = 0.5  # seconds between pings to a random member that has recently died or left
RECENT_WINDOW = 15.0  # seconds in which a death or leave counts as recent
GONE_RETENTION = 2 * 3600.0  # seconds for which a member that died or left is kept
PARTITION_MEMORY = 600.0  # seconds after its death for which a member may only be cut off
LEAVE_DATAGRAMS = 12  # members to which a stopping node sends its record


class Membership:
    """One node's part in the membership protocol.

    `revisions` returns the settings revisions to send. `on_revisions` is called with those of a
    peer, `on_member_gone` with the name of a member that has died, left or restarted.
    """

    def __init__(
        self,
        own: Member,
        transport: Transport,
        clock: Clock,
        rng: Random,
        revisions: Callable[[], Revisions],
        on_revisions: Callable[[Member, Revisions], None],
        on_member_gone: Callable[[str], None],
    ) -> None:
        self.view = MemberView(own)
        self._sender = DatagramSender(self.view, transport, revisions)
        self._prober = Prober(self.view, self._sender, rng, self._suspect)
        self._repair = Repair(self.view, self._sender, rng)
        self._clock = clock
        self._rng = rng
        self._on_revisions = on_revisions
        self._on_member_gone = on_member_gone
        self.restarts = Restarts(clock)
        self._suspected_at: dict[str, float] = {}
        self._gone_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}  # boot time of the newest datagram of each member
        self._spread_tokens = SPREAD_BURST_BYTES
        self._revisions_sent = 0
        self._tasks = BackgroundTasks()
        # Handlers of the datagrams that do not belong to the membership protocol, by type.
        self.handlers: dict[type, Callable[[Datagram, Address], None]] = {}
        self.bytes_received = 0
        self.bad_datagrams = 0
        self.refutations = 0  # times that others took this node for suspect, dead or another one

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes sent in datagrams."""
        return self._sender.bytes_sent

    # This node's own record.

    @property
    def own(self) -> Member:
        """Return the current record of this node."""
        return self.view.own

    def announce(self, *, ready: bool) -> None:
        """Publish whether new work may be sent to this node."""
        if self.own.ready != ready:
            self._publish(self.own._replace(ready=ready, version=self.own.version + 1))

    def spread_revisions(self) -> None:
        """Gossip the settings revisions to other members, after one has changed."""
        self._revisions_sent = 0

    def tell_revisions(self, members: list[Member]) -> None:
        """Send the settings revisions to members at once, outside the budget of gossip."""
        for member in members:
            self._sender.spread((), member)

    def leave(self) -> None:
        """Publish that this node stops, and send it at once to a few members."""
        self._publish(
            self.own._replace(ready=False, version=self.own.version + 1, health=Health.LEFT)
        )
        for member in self.view.sample(self._rng, LEAVE_DATAGRAMS):
            self._sender.spread((self.own,), member)

    # The members.

    def members_of(self, service: str) -> list[Member]:
        """Return the members of a service that are not dead and have not left."""
        return self.view.service_members(service)

    def find(self, name: str) -> Member | None:
        """Return a member, None if it is unknown, dead or has left."""
        member = self.view.get(name)
        if member is None or member.health in (Health.DEAD, Health.LEFT):
            return None
        return member

    def alive(self) -> list[Member]:
        """Return the alive and suspect members, including this node."""
        return [m for m in self.view.all() if m.health in (Health.ALIVE, Health.SUSPECT)]

    def count_possible(self) -> int:
        """Return the number of members that may be running, including this node.

        A member that died without notice may be cut off only, and act on its own side.
        """
        cutoff = self._clock.monotonic() - PARTITION_MEMORY
        recently_dead = sum(
            member.health is Health.DEAD and self._gone_at.get(member.name, cutoff) > cutoff
            for member in self.view.all()
        )
        return len(self.alive()) + recently_dead

    @property
    def connected(self) -> bool:
        """Return whether other members are known and any of the newest probes was answered."""
        if len(self.alive()) == 1:
            return False
        return self._prober.answered

    def heard_at(self, name: str) -> float:
        """Return the boot time at which a member's newest datagram came, -inf if there is none."""
        return self._heard_at.get(name, float("-inf"))

    def probe_now(self, name: str) -> None:
        """Probe a member at once, because an attempt through it has failed."""
        member = self.find(name)
        if member is not None and name != self.own.name:
            self._prober.probe(member)

    def send_datagram(self, datagram: Datagram, address: Address) -> None:
        """Send a datagram for a handler of `handlers` at a peer; it may be lost."""
        self._sender.send_to(datagram, address)

    # Background tasks.

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
            self._tasks.supervise(work)

    async def stop(self) -> None:
        """End all tasks."""
        await self._tasks.stop()
        await self._prober.stop()
        await self._repair.stop()

    def join(self, seeds: list[Address]) -> None:
        """Ask each of the seeds for all members."""
        for seed in seeds:
            if seed != Address(self.own.address, self.own.gossip_port):
                self._sender.send_to(Join(self.own), seed)

    async def _probe_loop(self) -> None:
        await asyncio.sleep(self._rng.random() * PROBE_PERIOD)
        while True:
            self._prober.probe_period()
            self._declare_suspects_dead()
            await asyncio.sleep(PROBE_PERIOD)

    async def _spread_loop(self) -> None:
        while True:
            await asyncio.sleep(SPREAD_PERIOD * (0.9 + 0.2 * self._rng.random()))
            refill = SPREAD_BYTES_PER_SECOND * SPREAD_PERIOD
            self._spread_tokens = min(SPREAD_BURST_BYTES, self._spread_tokens + refill)
            self._spread()

    def _spread(self) -> None:
        if not self._has_pending_gossip:
            return
        for member in self.view.sample(self._rng, SPREAD_FANOUT):
            if self._spread_tokens <= 0 or not self._has_pending_gossip:
                return
            updates = self.view.take_updates(PIGGYBACK_BYTES)
            self._spread_tokens -= self._sender.spread(updates, member)
            self._revisions_sent += 1

    @property
    def _has_pending_gossip(self) -> bool:
        revisions_pending = self._revisions_sent < RETRANSMIT_FACTOR * len(self.view).bit_length()
        return self.view.has_pending_updates or revisions_pending

    async def _sync_loop(self) -> None:
        while True:
            await asyncio.sleep(SYNC_PERIOD * (0.5 + self._rng.random()))
            self._repair.send_digest()

    async def _revive_loop(self) -> None:
        while True:
            await asyncio.sleep(REVIVE_PERIOD * (0.5 + self._rng.random()))
            self._forget_expired()
            dead = [m for m in self.view.all() if m.health is Health.DEAD]
            if dead:
                self._sender.ping_gone(self._rng.choice(dead))

    async def _recent_loop(self) -> None:
        while True:
            await asyncio.sleep(RECENT_PERIOD * (0.5 + self._rng.random()))
            cutoff = self._clock.monotonic() - RECENT_WINDOW
            recent = [name for name, since in self._gone_at.items() if since > cutoff]
            member = self.view.get(self._rng.choice(recent)) if recent else None
            if member is not None:
                self._sender.ping_gone(member)

    # Incoming datagrams.

    def on_datagram(self, data: bytes, address: Address) -> None:
        """Process one datagram; a malformed one is counted, logged and dropped."""
        self.bytes_received += len(data)
        try:
            datagram = decode_datagram(data)
        except BadMessage as exc:
            self.bad_datagrams += 1
            log_event(Event.BAD_MESSAGE, detail=str(exc), peer=f"{address.host}:{address.port}")
            return
        handler = self.handlers.get(type(datagram))
        if handler is not None:
            self._handle(handler, datagram, address)
        elif not isinstance(datagram, ServiceDatagram):
            self._process(datagram)

    def _handle(
        self, handler: Callable[[Datagram, Address], None], datagram: Datagram, address: Address
    ) -> None:
        """Pass a datagram to its handler; a failure concerns this datagram only."""
        try:
            handler(datagram, address)
        except Exception:
            log_handler_failure(peer=f"{address.host}:{address.port}")

    def _process(self, datagram: MembershipDatagram) -> None:
        """Process a datagram of the membership protocol."""
        was_alone = len(self.view) == 1
        self._apply(datagram.sender)
        self._heard_at[datagram.sender.name] = self._clock.boottime()
        if was_alone and not isinstance(datagram, Join):
            self._sender.send(Join(self.own), datagram.sender)
        match datagram:
            case Ping(sequence, sender, revisions, updates):
                self._apply_all(sender, revisions, updates)
                self._sender.ack(sender, sequence)
            case Ack(sequence, sender, revisions, updates):
                self._apply_all(sender, revisions, updates)
                self._prober.on_ack(sequence)
            case PingRequest(sequence, sender, target):
                self._prober.ping_for(sequence, sender, target)
            case Spread(sender, revisions, updates):
                self._apply_all(sender, revisions, updates)
            case Join(sender):
                former = self.restarts.former_of(sender)
                if former is not None:
                    self._sender.spread((former,), sender)
                self._repair.send_all(sender)
            case Digest(sender, revisions, buckets):
                self._on_revisions(sender, revisions)
                self._repair.on_digest(sender, buckets)

    def _apply_all(self, sender: Member, revisions: Revisions, updates: tuple[Member, ...]) -> None:
        for update in updates:
            self._apply(update)
        if sender.name != self.own.name:
            self._on_revisions(sender, revisions)

    def _apply(self, update: Member) -> None:
        if update.name == self.own.name:
            if update.session != self.own.session and update.version < self.own.version:
                self.restarts.own_former_seen(self.own, update)
            self._refute(update)
            return
        previous = self.view.apply(update)
        if previous is None:
            return
        self._record_change(previous, update)

    def _refute(self, update: Member) -> None:
        same_state = update.session == self.own.session and update.health is self.own.health
        if self.own.health is Health.LEFT or update.version < self.own.version:
            return
        if same_state and update.version == self.own.version:
            return
        self.refutations += 1
        log_event(Event.SELF_REFUTED, said=update.health.name, version=update.version)
        self._publish(self.own._replace(version=update.version + 1))

    def _record_change(self, previous: Member, current: Member) -> None:
        name = current.name
        self._suspected_at.pop(name, None)
        self._gone_at.pop(name, None)
        if previous.session != current.session:
            self.restarts.member_restarted(previous, self.heard_at(name))
        match current.health:
            case Health.SUSPECT:
                self._suspected_at[name] = self._clock.monotonic()
            case Health.DEAD | Health.LEFT:
                self._gone_at[name] = self._clock.monotonic()
                self._on_member_gone(name)
            case Health.ALIVE if previous.session != current.session:
                self._on_member_gone(name)  # state about the previous process no longer applies
        if previous.health is not current.health or previous is current:
            self._log_change(current)

    def _log_change(self, member: Member) -> None:
        events = {
            Health.ALIVE: Event.MEMBER_JOINED,
            Health.SUSPECT: Event.MEMBER_SUSPECT,
            Health.DEAD: Event.MEMBER_DEAD,
            Health.LEFT: Event.MEMBER_LEFT,
        }
        log_event(events[member.health], member=member.name, domain=member.domain)

    # State changes.

    def _publish(self, own: Member) -> None:
        self.view.apply(own)

    def _suspect(self, member: Member) -> None:
        current = self.view.get(member.name)
        if (
            current is None
            or current.version != member.version
            or current.health is not Health.ALIVE
        ):
            return
        self._apply(current._replace(health=Health.SUSPECT))

    def _declare_suspects_dead(self) -> None:
        cutoff = self._clock.monotonic() - SUSPECT_TIMEOUT
        for name in [n for n, since in self._suspected_at.items() if since <= cutoff]:
            member = self.view.get(name)
            if member is not None and member.health is Health.SUSPECT:
                self._apply(member._replace(health=Health.DEAD))

    def _forget_expired(self) -> None:
        cutoff = self._clock.monotonic() - GONE_RETENTION
        for name in [n for n, since in self._gone_at.items() if since <= cutoff]:
            del self._gone_at[name]
            self._heard_at.pop(name, None)
            self.view.forget(name)

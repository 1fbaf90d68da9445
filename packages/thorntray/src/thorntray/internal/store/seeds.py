"""Seed entries, through which nodes find each other in the platform's service.

A few nodes of each failure domain keep an entry with their address under a lease. They are chosen
by rendezvous hashing over the members known to be alive, so the load on the service does not grow
with the fleet. A seed entry only gives an address to join through and grants no authority, so a
paused node that acts on an expired lease does no harm.
"""

import asyncio
from ipaddress import ip_address
from itertools import islice
from random import Random
from typing import NamedTuple, Protocol

from absl import logging

from thorntray.errors import PlatformUnavailable, WriteUndetermined
from thorntray.internal.bounded import MAX_PORT
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.store.start_read import StartRead
from thorntray.internal.store.store_calls import StoreEntry
from thorntray.internal.store.store_epoch import RESTORE_SPREAD, StoreEpoch
from thorntray.internal.telemetry.events import Event, log_event

SEEDS_PER_DOMAIN = 3
ROLE_CHECK_PERIOD = 2.0  # seconds between checks whether this node is chosen for a role
JOIN_REPLY_WAIT = 0.2  # seconds to wait for replies to a join
MAX_JOIN_SEEDS = 5  # seeds that one join is sent to
# Entries of one read in which addresses are looked for, drawn at random. Parsing 38,000 addresses
# takes 0.2 to 0.6 s, in which the event loop does nothing else.
MAX_EXAMINED_ENTRIES = 500
CATCH_UP_PERIOD = 0.3  # seconds between requests for all members after the start, jittered
CATCH_UP_REQUESTS = 12  # most such requests
REJOIN_PERIOD = 30.0  # seconds between the joins of a node that holds a seed entry


class SeedStore(Protocol):
    """The operations of the platform's service that seeds need."""

    @property
    def epoch(self) -> StoreEpoch:
        """Return the epoch of the service's data."""
        ...

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        ...

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that is removed when its lease ends."""
        ...

    async def lease_grant(self, ttl: int) -> int:
        """Create a lease and return its id; `ttl` is in seconds."""
        ...

    async def lease_keepalive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired or the service has lost it."""
        ...

    async def lease_revoke(self, lease: int) -> None:
        """Give up a lease and remove its keys."""
        ...


class SeedTiming(NamedTuple):
    """Timing of lookups and lease renewals; all times in seconds.

    The first lookups are delayed at random, so that a whole fleet that starts at once does not
    read the seeds at once.
    """

    ttl: int = 30  # lifetime of the lease unless it is renewed
    renew_period: float = 10.0  # between renewals of the lease, jittered
    settle_time: float = 3.0  # a view that has not grown for this time is complete; jittered
    first_lookup_delay: float = 2.0  # upper bound of a random delay
    second_lookup_delay: float = 4.0  # upper bound of a random delay
    retry_pause: float = 2.0  # between later lookups, jittered


class PlatformState:
    """Whether the platform's service answers. Each change is logged once."""

    def __init__(self) -> None:
        self.up = True

    def record(self, up: bool, detail: str = "") -> None:
        """Record whether a call was answered."""
        if up != self.up:
            log_event(Event.PLATFORM_BACK if up else Event.PLATFORM_DOWN, detail=detail)
        self.up = up


def role_rank(role: str, name: str) -> int:
    """Return the rank of a member for a role; the highest ones hold it."""
    return hash64(f"{role}\0{name}")


def role_holders(members: list[Member], domain: str | None, role: str, count: int) -> set[str]:
    """Return the names of the `count` members of a failure domain, or of all, that hold a role."""
    in_domain = [m.name for m in members if domain is None or m.domain == domain]
    in_domain.sort(key=lambda name: role_rank(role, name), reverse=True)
    return set(in_domain[:count])


class Seeds:
    """Finds peers, and keeps a seed entry while this node is chosen for one."""

    def __init__(
        self,
        membership: Membership,
        store: SeedStore,
        state: PlatformState,
        prefix: str,
        configured: list[Address],
        timing: SeedTiming,
        rng: Random,
        start_read: StartRead | None = None,
    ) -> None:
        self._membership = membership
        self._platform = store
        self._start_read = start_read or StartRead(store, prefix)
        self._state = state
        self._prefix = prefix
        self._configured_seeds = configured
        self._timing = timing
        self._rng = rng
        self._lease = 0
        self._first_lookup_done = asyncio.Event()
        self.settled = False  # whether the view has stopped growing after the start
        self._tasks = BackgroundTasks()

    @property
    def looked_up(self) -> bool:
        """Return whether this node has looked for peers after its start."""
        return self._first_lookup_done.is_set()

    @property
    def holds_entry(self) -> bool:
        """Return whether this node holds a seed entry."""
        return self._lease != 0

    @property
    def _own_key(self) -> str:
        own = self._membership.own
        return f"{self._prefix}{own.domain}/{own.name}"

    def start(self) -> None:
        """Start looking for peers, and take a seed entry once the view has settled."""
        for work in (self._find_peers, self._catch_up, self._seed_loop):
            self._tasks.supervise(work)

    async def stop(self) -> None:
        """Stop all tasks and remove the seed entry."""
        await self._tasks.stop()
        if self._lease:
            try:
                await self._platform.lease_revoke(self._lease)
            except (PlatformUnavailable, WriteUndetermined):
                logging.info("seed entry not removed; it expires with its lease")

    async def _find_peers(self) -> None:
        """Look up seeds until another member is known.

        A whole fleet may start at once while no seed is listed. The second lookup comes after a
        random delay, when the first nodes have listed themselves, so that only a few nodes treat
        themselves as the first one.
        """
        self._membership.join(self._configured_seeds)
        await asyncio.sleep(self._rng.random() * self._timing.first_lookup_delay)
        await self._look_up_seeds()
        if len(self._membership.alive()) == 1:
            await asyncio.sleep(self._rng.random() * self._timing.second_lookup_delay)
            await self._look_up_seeds()
        self._first_lookup_done.set()
        while len(self._membership.alive()) == 1:
            await asyncio.sleep(self._timing.retry_pause * (0.5 + self._rng.random()))
            await self._look_up_seeds()

    async def _catch_up(self) -> None:
        """Ask a member for all members again, as long as the view has grown since the last time.

        When a whole fleet starts at once, the first member asked knows only those that joined
        before, and the gossip of all the others takes long in its byte budget.
        """
        await self._first_lookup_done.wait()
        for _ in range(CATCH_UP_REQUESTS):
            known = len(self._membership.alive())
            await asyncio.sleep(CATCH_UP_PERIOD * (0.5 + self._rng.random()))
            members = self._membership.alive()
            if len(members) > known:
                self._ask_for_members(members)

    def _ask_for_members(self, members: list[Member]) -> None:
        own = self._membership.own
        others = [m for m in members if m.name != own.name]
        local = [m for m in others if m.domain == own.domain]
        member = self._rng.choice(local or others)
        self._membership.join([Address(member.address, member.gossip_port)])

    async def _look_up_seeds(self) -> None:
        await self._join_listed_seeds()
        await asyncio.sleep(JOIN_REPLY_WAIT)

    async def _join_listed_seeds(self) -> None:
        try:
            entries = await self._start_read.read(self._prefix)
        except PlatformUnavailable as exc:
            self._state.record(False, str(exc))
            self._membership.join(self._configured_seeds)
            return
        self._state.record(True)
        if not self.looked_up and any(entry.key == self._own_key for entry in entries):
            self._membership.restarts.own_entry_found(self._membership.own)
        self._membership.join(self._choose_seeds(entries))

    def _choose_seeds(self, entries: list[StoreEntry]) -> list[Address]:
        drawn = self._rng.sample(entries, min(MAX_EXAMINED_ENTRIES, len(entries)))
        addresses = filter(None, (_parse_address(entry.value) for entry in drawn))
        return list(islice(addresses, MAX_JOIN_SEEDS))

    async def wait_until_settled(self) -> None:
        """Wait until the view has stopped growing, since role holders depend on all members."""
        await self._first_lookup_done.wait()
        member_count = 1
        while len(self._membership.alive()) > member_count:
            member_count = len(self._membership.alive())
            await asyncio.sleep(self._timing.settle_time * (0.5 + self._rng.random()))

    async def _seed_loop(self) -> None:
        await self.wait_until_settled()
        self.settled = True
        last_lookup = asyncio.get_running_loop().time()
        while True:
            epoch = self._platform.epoch.current
            own = self._membership.own
            members = self._membership.alive()
            if own.name in role_holders(members, own.domain, "seed", SEEDS_PER_DOMAIN):
                await self._hold_entry()
                now = asyncio.get_running_loop().time()
                if now - last_lookup > REJOIN_PERIOD:
                    last_lookup = now
                    await self._join_listed_seeds()
                pause = self._timing.renew_period * (0.8 + 0.4 * self._rng.random())
                await self._sleep_unless_restored(epoch, pause)
            else:
                self._lease = 0  # the entry expires with its lease
                await asyncio.sleep(ROLE_CHECK_PERIOD * (0.5 + self._rng.random()))

    async def _sleep_unless_restored(self, epoch: int, seconds: float) -> None:
        """Sleep, but take a void lease anew soon after a restore of the platform's service."""
        await self._platform.epoch.sleep_within(epoch, seconds)
        if self._platform.epoch.current > epoch:
            await asyncio.sleep(RESTORE_SPREAD * self._rng.random())

    async def _hold_entry(self) -> None:
        own = self._membership.own
        try:
            if self._lease and await self._platform.lease_keepalive(self._lease):
                self._state.record(True)
                return
            if self._lease:
                self._lease = 0
                log_event(Event.SEED_LEASE_LOST)
            lease = await self._platform.lease_grant(self._timing.ttl)
            value = f"{own.address}:{own.gossip_port}".encode()
            await self._platform.put(self._own_key, value, lease)
            self._lease = lease
            self._state.record(True)
            log_event(Event.SEED_LEASE_TAKEN)
        except (PlatformUnavailable, WriteUndetermined) as exc:
            self._state.record(False, str(exc))


def _parse_address(value: bytes) -> Address | None:
    """Return the address in a seed entry, None if another writer left something else."""
    host, _, port = value.decode("ascii", "replace").rpartition(":")
    try:
        ip_address(host)
        return Address(host, int(port)) if 0 < int(port) <= MAX_PORT else None
    except ValueError:
        return None

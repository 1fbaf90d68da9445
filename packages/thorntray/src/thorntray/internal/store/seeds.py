"""Seed entries: how nodes find each other through the platform's service.

A few nodes of each failure domain, chosen by rendezvous hashing over the members known to be
alive, hold an entry with their address under a lease; so the service's load does not grow with
the fleet. A seed entry is an address to ask, no authority: a paused node that acts on a lapsed
lease does no harm.
"""

import asyncio
from random import Random
from typing import NamedTuple, Protocol

from absl import logging

from thorntray.errors import PlatformUnavailable, WriteUndetermined
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.store.store_calls import Entry
from thorntray.internal.telemetry.events import Event, log_event

SEEDS_PER_DOMAIN = 3
ROLE_CHECK_PERIOD = 2.0  # seconds
JOIN_ANSWER_WAIT = 0.2  # seconds
MAX_JOIN_SEEDS = 5
REJOIN_PERIOD = 30.0  # seconds between looks at the seeds by a seed holder


class SeedStore(Protocol):
    """The platform's service, as far as seeds need it."""

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[Entry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        ...

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that lives as long as a lease."""
        ...

    async def lease_grant(self, ttl: int) -> int:
        """Return a new lease; `ttl` in seconds."""
        ...

    async def lease_keep(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""
        ...

    async def lease_revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        ...


class SeedPace(NamedTuple):
    """How fast nodes look for each other; times in seconds.

    A whole fleet that starts at once must not look at once, so the first looks are spread.
    """

    ttl: int = 30
    renew_period: float = 10.0
    settle: float = 3.0  # in which a view that is still filling grows
    first_look_within: float = 2.0
    second_look_within: float = 4.0
    retry_pause: float = 2.0  # jittered


class PlatformState:
    """Whether the platform's service answers; told once for each change."""

    def __init__(self) -> None:
        self.up = True

    def note(self, up: bool, detail: str = "") -> None:
        """Take the result of a call."""
        if up != self.up:
            log_event(Event.PLATFORM_BACK if up else Event.PLATFORM_DOWN, detail=detail)
        self.up = up


def chosen(members: list[Member], domain: str, role: str, count: int) -> set[str]:
    """Return the names of the members that hold a role in a failure domain."""
    here = [m.name for m in members if m.domain == domain]
    here.sort(key=lambda name: hash64(f"{role}\0{name}"), reverse=True)
    return set(here[:count])


class Seeds:
    """Finds peers, and holds a seed entry while this node is chosen for one."""

    def __init__(
        self,
        membership: Membership,
        store: SeedStore,
        state: PlatformState,
        prefix: str,
        configured: list[Address],
        pace: SeedPace,
        rng: Random,
    ) -> None:
        self._membership = membership
        self._platform = store
        self._state = state
        self._prefix = prefix
        self._configured_seeds = configured
        self._pace = pace
        self._rng = rng
        self._lease = 0
        self._looked = asyncio.Event()
        self._tasks = BackgroundTasks()

    @property
    def held(self) -> bool:
        """Return whether this node holds a seed entry."""
        return self._lease != 0

    def start(self) -> None:
        """Begin: find peers, then hold an entry."""
        for work in (self._find_peers(), self._seed_loop()):
            self._tasks.spawn(work)

    async def stop(self) -> None:
        """End all tasks and give the entry up."""
        await self._tasks.stop()
        if self._lease:
            try:
                await self._platform.lease_revoke(self._lease)
            except (PlatformUnavailable, WriteUndetermined):
                logging.info("the seed entry was not given up; its lease lapses by itself")

    async def _find_peers(self) -> None:
        """Look for seeds until others are found.

        A whole fleet may start at once with no seed listed. The second look, at a random moment,
        keeps all but a few from taking themselves for the first: by then the first is listed.
        """
        self._membership.join(self._configured_seeds)
        await asyncio.sleep(self._rng.random() * self._pace.first_look_within)
        await self._look()
        if len(self._membership.alive()) == 1:
            await asyncio.sleep(self._rng.random() * self._pace.second_look_within)
            await self._look()
        self._looked.set()
        while len(self._membership.alive()) == 1:
            await asyncio.sleep(self._pace.retry_pause * (0.5 + self._rng.random()))
            await self._look()

    async def _look(self) -> None:
        await self._join_by_platform()
        await asyncio.sleep(JOIN_ANSWER_WAIT)

    async def _join_by_platform(self) -> None:
        try:
            entries, _ = await self._platform.read(self._prefix, prefix=True)
        except PlatformUnavailable as exc:
            self._state.note(False, str(exc))
            self._membership.join(self._configured_seeds)
            return
        self._state.note(True)
        seeds = [address for entry in entries if (address := _address(entry.value))]
        self._membership.join(self._rng.sample(seeds, min(MAX_JOIN_SEEDS, len(seeds))))

    async def settle(self) -> None:
        """Wait until the view has stopped growing: who is chosen depends on all members."""
        await self._looked.wait()
        known = 1
        while len(self._membership.alive()) > known:
            known = len(self._membership.alive())
            await asyncio.sleep(self._pace.settle * (0.5 + self._rng.random()))

    async def _seed_loop(self) -> None:
        await self.settle()
        last_look = asyncio.get_running_loop().time()
        while True:
            own = self._membership.own
            members = self._membership.alive()
            if own.name in chosen(members, own.domain, "seed", SEEDS_PER_DOMAIN):
                await self._hold_seed()
                now = asyncio.get_running_loop().time()
                if now - last_look > REJOIN_PERIOD:
                    last_look = now
                    await self._join_by_platform()
                await asyncio.sleep(self._pace.renew_period * (0.8 + 0.4 * self._rng.random()))
            else:
                self._lease = 0  # the entry lapses by itself
                await asyncio.sleep(ROLE_CHECK_PERIOD * (0.5 + self._rng.random()))

    async def _hold_seed(self) -> None:
        own = self._membership.own
        try:
            if self._lease and await self._platform.lease_keep(self._lease):
                self._state.note(True)
                return
            if self._lease:
                self._lease = 0
                log_event(Event.SEED_LEASE_LOST)
            lease = await self._platform.lease_grant(self._pace.ttl)
            value = f"{own.address}:{own.gossip_port}".encode()
            await self._platform.put(f"{self._prefix}{own.domain}/{own.name}", value, lease)
            self._lease = lease
            self._state.note(True)
            log_event(Event.SEED_LEASE_TAKEN)
        except (PlatformUnavailable, WriteUndetermined) as exc:
            self._state.note(False, str(exc))


def _address(value: bytes) -> Address | None:
    host, _, port = value.decode("ascii", "replace").rpartition(":")
    return Address(host, int(port)) if host and port.isdigit() else None

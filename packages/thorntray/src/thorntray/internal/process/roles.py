"""The few nodes of each failure domain that speak with the platform's service.

Everything that calls the service is bound to a number of nodes for each failure domain, chosen
by rendezvous hashing over the members known to be alive, so its load does not grow with the
fleet. No election takes place: two views that differ for a while make a few nodes too many do
harmless work. A seed entry is an address to ask, no authority; a watcher only offers documents,
and every node takes them by their signature and revision. So a paused node that acts on a
lapsed lease does no harm.
"""

import asyncio
from random import Random

from absl import logging

from thorntray.errors import PlatformUnavailable, WriteUndetermined
from thorntray.internal.process.events import Event, log_event
from thorntray.internal.process.gossip import Address
from thorntray.internal.process.hashing import hash64
from thorntray.internal.process.member import Member
from thorntray.internal.process.membership import Membership
from thorntray.internal.process.platform import PlatformClient, WatchBatch
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.version.holder import SettingsHolder

SEEDS_PER_DOMAIN = 3
WATCHERS_PER_DOMAIN = 2
SEED_TTL = 30  # seconds
SEED_RENEW_PERIOD = 10.0  # seconds
ROLE_CHECK_PERIOD = 2.0  # seconds
SETTLE_TIME = 3.0  # seconds in which a view that is still filling grows
WATCH_LIFETIME = 20.0  # seconds after which everything is read again
FIRST_LOOK_WITHIN = 2.0  # seconds; a whole fleet that starts at once must not look at once
SECOND_LOOK_WITHIN = 4.0  # seconds
JOIN_ANSWER_WAIT = 0.2  # seconds
RETRY_PAUSE = 2.0  # seconds, jittered
SEEDS_PREFIX = "/thorntray/seeds/"
SETTINGS_PREFIX = "/thorntray/settings/"
MAX_JOIN_SEEDS = 5
REJOIN_PERIOD = 30.0  # seconds between looks at the seeds by a seed holder


def settings_key(team: str) -> str:
    """Return the key of a team's document."""
    return SETTINGS_PREFIX + team


def chosen(members: list[Member], domain: str, role: str, count: int) -> set[str]:
    """Return the names of the members that hold a role in a failure domain."""
    here = [m.name for m in members if m.domain == domain]
    here.sort(key=lambda name: hash64(f"{role}\0{name}"), reverse=True)
    return set(here[:count])


class Roles:
    """Seed entry and settings watch of one node, held while it is chosen for them."""

    def __init__(
        self,
        membership: Membership,
        platform: PlatformClient,
        holder: SettingsHolder,
        seeds: list[Address],
        rng: Random,
    ) -> None:
        self._membership = membership
        self._platform = platform
        self._holder = holder
        self._configured_seeds = seeds
        self._rng = rng
        self._lease = 0
        self._platform_up = True
        self._looked = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._watch: asyncio.Task[None] | None = None

    @property
    def state(self) -> dict[str, bool]:
        """Return which roles this node holds."""
        return {"seed": self._lease != 0, "watcher": self._watch is not None}

    def start(self) -> None:
        """Begin: find peers, then hold roles."""
        for work in (self._find_peers(), self._seed_loop(), self._watch_loop()):
            self._tasks.spawn(work)

    async def stop(self) -> None:
        """End all tasks and give the seed entry up."""
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
        await asyncio.sleep(self._rng.random() * FIRST_LOOK_WITHIN)
        await self._look()
        if len(self._membership.alive()) == 1:
            await asyncio.sleep(self._rng.random() * SECOND_LOOK_WITHIN)
            await self._look()
        self._looked.set()
        while len(self._membership.alive()) == 1:
            await asyncio.sleep(RETRY_PAUSE * (0.5 + self._rng.random()))
            await self._look()

    async def _look(self) -> None:
        await self._join_by_platform()
        await asyncio.sleep(JOIN_ANSWER_WAIT)

    async def _join_by_platform(self) -> None:
        try:
            entries, _ = await self._platform.read(SEEDS_PREFIX, prefix=True)
        except PlatformUnavailable as exc:
            self._note_platform(False, str(exc))
            self._membership.join(self._configured_seeds)
            return
        self._note_platform(True)
        seeds = [address for entry in entries if (address := _address(entry.value))]
        self._membership.join(self._rng.sample(seeds, min(MAX_JOIN_SEEDS, len(seeds))))

    async def _settle(self) -> None:
        """Wait until the view has stopped growing: who is chosen depends on all members."""
        await self._looked.wait()
        known = 1
        while len(self._membership.alive()) > known:
            known = len(self._membership.alive())
            await asyncio.sleep(SETTLE_TIME * (0.5 + self._rng.random()))

    async def _seed_loop(self) -> None:
        await self._settle()
        last_look = asyncio.get_running_loop().time()
        while True:
            if self._holds("seed", SEEDS_PER_DOMAIN):
                await self._hold_seed()
                now = asyncio.get_running_loop().time()
                if now - last_look > REJOIN_PERIOD:
                    last_look = now
                    await self._join_by_platform()
                await asyncio.sleep(SEED_RENEW_PERIOD * (0.8 + 0.4 * self._rng.random()))
            else:
                self._lease = 0  # the entry lapses by itself
                await asyncio.sleep(ROLE_CHECK_PERIOD * (0.5 + self._rng.random()))

    async def _hold_seed(self) -> None:
        own = self._membership.own
        try:
            if self._lease and await self._platform.lease_keep(self._lease):
                self._note_platform(True)
                return
            if self._lease:
                self._lease = 0
                log_event(Event.SEED_LEASE_LOST)
            lease = await self._platform.lease_grant(SEED_TTL)
            value = f"{own.address}:{own.gossip_port}".encode()
            await self._platform.put(f"{SEEDS_PREFIX}{own.domain}/{own.name}", value, lease)
            self._lease = lease
            self._note_platform(True)
            log_event(Event.SEED_LEASE_TAKEN)
        except (PlatformUnavailable, WriteUndetermined) as exc:
            self._note_platform(False, str(exc))

    async def _watch_loop(self) -> None:
        await self._settle()
        while True:
            wanted = self._holds("watch", WATCHERS_PER_DOMAIN)
            if wanted and self._watch is None:
                self._watch = self._tasks.spawn(self._watch_settings())
            elif not wanted and self._watch is not None:
                self._watch.cancel()
                self._watch = None
            await asyncio.sleep(ROLE_CHECK_PERIOD * (0.5 + self._rng.random()))

    async def _watch_settings(self) -> None:
        while True:
            try:
                entries, revision = await self._platform.read(SETTINGS_PREFIX, prefix=True)
                self._note_platform(True)
                self._offer(WatchBatch(tuple(entries), revision))
                async with asyncio.timeout(WATCH_LIFETIME):
                    async for batch in self._platform.watch(SETTINGS_PREFIX, revision + 1):
                        if batch.compacted:
                            break  # changes were missed: read everything again
                        self._offer(batch)
            except TimeoutError:
                continue  # a watch over a cut connection looks like one without changes
            except PlatformUnavailable as exc:
                self._note_platform(False, str(exc))
            await asyncio.sleep(RETRY_PAUSE * (0.5 + self._rng.random()))

    def _offer(self, batch: WatchBatch) -> None:
        for entry in batch.entries:
            team = entry.key.removeprefix(SETTINGS_PREFIX)
            if team in self._holder.teams:
                self._holder.offer_stored(team, entry.value)

    def _holds(self, role: str, count: int) -> bool:
        own = self._membership.own
        return own.name in chosen(self._membership.alive(), own.domain, role, count)

    def _note_platform(self, up: bool, detail: str = "") -> None:
        if up != self._platform_up:
            log_event(Event.PLATFORM_BACK if up else Event.PLATFORM_DOWN, detail=detail)
        self._platform_up = up


def _address(value: bytes) -> Address | None:
    host, _, port = value.decode("ascii", "replace").rpartition(":")
    return Address(host, int(port)) if host and port.isdigit() else None

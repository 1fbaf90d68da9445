"""The few nodes of each failure domain that watch the settings in the platform's service.

They are chosen by rendezvous hashing over the members known to be alive, so the service's load
does not grow with the fleet. No election takes place: two views that differ for a while make a
few nodes too many do harmless work. A watcher only offers documents, and every node takes them by
their signature and revision.
"""

import asyncio
from random import Random

from thorntray.errors import PlatformUnavailable
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.store.platform import PlatformClient
from thorntray.internal.store.seeds import (
    ROLE_CHECK_PERIOD,
    PlatformState,
    SeedPace,
    Seeds,
    chosen,
)
from thorntray.internal.store.store_calls import WatchBatch
from thorntray.internal.version.holder import SettingsHolder

WATCHERS_PER_DOMAIN = 2
WATCH_LIFETIME = 20.0  # seconds after which everything is read again
RETRY_PAUSE = 2.0  # seconds, jittered
SEEDS_PREFIX = "/thorntray/seeds/"
SETTINGS_PREFIX = "/thorntray/settings/"


def settings_key(team: str) -> str:
    """Return the key of a team's document."""
    return SETTINGS_PREFIX + team


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
        self._rng = rng
        self._state = PlatformState()
        self._seeds = Seeds(membership, platform, self._state, SEEDS_PREFIX, seeds, SeedPace(), rng)
        self._tasks = BackgroundTasks()
        self._watch: asyncio.Task[None] | None = None

    @property
    def state(self) -> dict[str, bool]:
        """Return which roles this node holds."""
        return {"seed": self._seeds.held, "watcher": self._watch is not None}

    def start(self) -> None:
        """Begin: find peers, then hold roles."""
        self._seeds.start()
        self._tasks.spawn(self._watch_loop())

    async def stop(self) -> None:
        """End all tasks and give the seed entry up."""
        await self._tasks.stop()
        await self._seeds.stop()

    async def _watch_loop(self) -> None:
        await self._seeds.settle()
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
                self._state.note(True)
                self._offer(WatchBatch(tuple(entries), revision))
                async with asyncio.timeout(WATCH_LIFETIME):
                    async for batch in self._platform.watch(SETTINGS_PREFIX, revision + 1):
                        if batch.compacted:
                            break  # changes were missed: read everything again
                        self._offer(batch)
            except TimeoutError:
                continue  # a watch over a cut connection looks like one without changes
            except PlatformUnavailable as exc:
                self._state.note(False, str(exc))
            await asyncio.sleep(RETRY_PAUSE * (0.5 + self._rng.random()))

    def _offer(self, batch: WatchBatch) -> None:
        for entry in batch.entries:
            team = entry.key.removeprefix(SETTINGS_PREFIX)
            if team in self._holder.teams:
                self._holder.offer_stored(team, entry.value)

    def _holds(self, role: str, count: int) -> bool:
        own = self._membership.own
        return own.name in chosen(self._membership.alive(), own.domain, role, count)

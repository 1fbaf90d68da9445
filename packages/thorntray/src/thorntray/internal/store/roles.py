"""Chooses the few nodes of each failure domain that watch the settings in the platform's service.

They are chosen by rendezvous hashing over the members known to be alive, so the load on the
service does not grow with the fleet. There is no election: while the views of two nodes differ,
more nodes than intended may watch, which is harmless. A watcher only offers documents, and every
node accepts them by their signature and revision.
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
    Seeds,
    SeedTiming,
    role_holders,
)
from thorntray.internal.store.store_calls import WatchBatch
from thorntray.internal.version.holder import SettingsHolder

WATCHERS_PER_DOMAIN = 2
WATCH_LIFETIME = 20.0  # seconds until the watch is closed and all settings are read again
RETRY_PAUSE = 2.0  # seconds between attempts, jittered
SEEDS_PREFIX = "/thorntray/seeds/"
SETTINGS_PREFIX = "/thorntray/settings/"


def settings_key(team: str) -> str:
    """Return the store key of a team's settings document."""
    return SETTINGS_PREFIX + team


class Roles:
    """The seed entry and the settings watch of one node, active while it is chosen for them."""

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
        self._seeds = Seeds(
            membership, platform, self._state, SEEDS_PREFIX, seeds, SeedTiming(), rng
        )
        self._tasks = BackgroundTasks()
        self._watch: asyncio.Task[None] | None = None

    @property
    def state(self) -> dict[str, bool]:
        """Return for each role whether this node holds it."""
        return {"seed": self._seeds.holds_entry, "watcher": self._watch is not None}

    def start(self) -> None:
        """Start looking for peers, and take roles once the view has settled."""
        self._seeds.start()
        self._tasks.spawn(self._watch_loop())

    async def stop(self) -> None:
        """Stop all tasks and remove the seed entry."""
        await self._tasks.stop()
        await self._seeds.stop()

    async def _watch_loop(self) -> None:
        await self._seeds.wait_until_settled()
        while True:
            is_watcher = self._is_role_holder("watch", WATCHERS_PER_DOMAIN)
            if is_watcher and self._watch is None:
                self._watch = self._tasks.spawn(self._watch_settings())
            elif not is_watcher and self._watch is not None:
                self._watch.cancel()
                self._watch = None
            await asyncio.sleep(ROLE_CHECK_PERIOD * (0.5 + self._rng.random()))

    async def _watch_settings(self) -> None:
        while True:
            try:
                entries, revision = await self._platform.read(SETTINGS_PREFIX, prefix=True)
                self._state.record(True)
                self._offer_entries(WatchBatch(tuple(entries), revision))
                async with asyncio.timeout(WATCH_LIFETIME):
                    async for batch in self._platform.watch(SETTINGS_PREFIX, revision + 1):
                        if batch.compacted:
                            break  # changes may have been missed: read all settings again
                        self._offer_entries(batch)
            except TimeoutError:
                continue  # a watch on a dead connection looks like one without changes
            except PlatformUnavailable as exc:
                self._state.record(False, str(exc))
            await asyncio.sleep(RETRY_PAUSE * (0.5 + self._rng.random()))

    def _offer_entries(self, batch: WatchBatch) -> None:
        for entry in batch.entries:
            team = entry.key.removeprefix(SETTINGS_PREFIX)
            if team in self._holder.teams:
                self._holder.apply_stored(team, entry.value)

    def _is_role_holder(self, role: str, count: int) -> bool:
        own = self._membership.own
        return own.name in role_holders(self._membership.alive(), own.domain, role, count)

"""Entries that a node keeps in the platform's store, so that not only its process knows them.

The fault: what a process has confirmed or learnt dies with it, and what a fleet has learnt dies if
all its processes are killed at once. An entry in the store outlives both. The store may be down
when the entry is written, so the write is repeated until it succeeds or the entry has expired, and
it is repeated after the store was restored from an older copy (`StoreEpoch`).

A write that was acknowledged does not last either: the lease may run out while the store is down,
and another writer may remove or replace the entry. Nothing in the process shows that, so entries
are checked as long as they are kept. One that a promise depends on is watched, which shows a loss
at once and an outage by the end of the watch. For the others the lease is renewed at intervals,
which costs a tenth of a read.

Load pattern: many nodes keep an entry and the store comes back from an outage. Each checks its own
entry after a jittered pause, and only those that are lost are written.

Entries have leases, so that none is left behind by a process that has ended. A process reads those
of the whole fleet once after its start, in one call for all who need them.
"""

import asyncio
from collections.abc import AsyncIterator
from random import Random
from typing import Protocol

from thorntray.errors import PlatformUnavailable, WriteUndetermined
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.policy_watch import WatchWait
from thorntray.internal.store.seeds import SeedStore
from thorntray.internal.store.start_read import StartRead
from thorntray.internal.store.store_calls import StoreEntry, WatchBatch
from thorntray.internal.telemetry.events import Event, log_event

MIN_RETRY_PAUSE, MAX_RETRY_PAUSE = 0.1, 2.0  # seconds, jittered
# Factor between the pauses of two checks while the store is down. Entries that are lost in a short
# outage are to be back soon after it, as a kill of all nodes may follow.
CHECK_PAUSE_GROWTH = 1.5
WATCH_WAIT = 10.0  # seconds for which the store may hold a watch without changes
RENEWAL_PERIOD = 10.0  # seconds between renewals of the leases of entries that are not watched
MIN_TTL, MAX_TTL = 1, 600  # seconds, of a lease
NOT_WRITTEN = -1  # epoch of an entry that the store does not hold, as far as is known


class EntryStore(SeedStore, Protocol):
    """The operations of the platform's store that kept entries need."""

    async def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        ...

    def watch(self, prefix: str, start_revision: int, wait: WatchWait) -> AsyncIterator[WatchBatch]:
        """Yield changes; a batch without any comes after the seconds that `wait` returns."""
        ...


class _Entry:
    """An entry that is to be in the store."""

    __slots__ = ("value", "expires_at", "is_watched", "epoch", "lease", "written")

    def __init__(self, value: bytes, expires_at: float, is_watched: bool) -> None:
        self.value = value
        self.expires_at = expires_at  # boot time
        self.is_watched = is_watched
        self.epoch = NOT_WRITTEN  # of the store in which it was written
        self.lease = 0
        self.written = asyncio.Event()


class KeptEntries:
    """Writes entries to the store, checks and removes them, in the background."""

    def __init__(
        self,
        store: EntryStore,
        start_read: StartRead,
        prefix: str,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._store = store
        self._start_read = start_read
        self._prefix = prefix  # of the keys in the store
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, _Entry] = {}
        self._removed: set[str] = set()
        self._changed = asyncio.Event()
        self._any_written = asyncio.Event()
        self._recovered: asyncio.Future[list[StoreEntry]] | None = None

    async def recover(self) -> list[StoreEntry]:
        """Return all entries that the store held after the start, once it has answered.

        Their keys are without the prefix. A read that has failed oddly is made again.
        """
        failed = self._recovered is not None and self._recovered.done()
        if failed and self._recovered is not None:
            failed = self._recovered.cancelled() or self._recovered.exception() is not None
        if self._recovered is None or failed:
            self._recovered = asyncio.ensure_future(self._read_all())
        return await asyncio.shield(self._recovered)

    async def _read_all(self) -> list[StoreEntry]:
        pause = MIN_RETRY_PAUSE
        while True:
            try:
                entries = await self._start_read.read(self._prefix)
            except PlatformUnavailable:
                await asyncio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(MAX_RETRY_PAUSE, 2 * pause)
                continue
            return [entry._replace(key=entry.key.removeprefix(self._prefix)) for entry in entries]

    def keep(self, key: str, value: bytes, seconds: float, *, is_watched: bool = False) -> None:
        """Write an entry that expires after `seconds`, in place of an earlier one.

        A node watches one key at most, so that its calls to the store stay few.
        """
        self._entries[key] = _Entry(value, self._clock.boottime() + seconds, is_watched)
        self._removed.discard(key)
        self._changed.set()

    def drop(self, key: str) -> None:
        """Remove an entry, whoever has written it."""
        self._entries.pop(key, None)
        self._removed.add(key)
        self._changed.set()

    def is_written(self, key: str) -> bool:
        """Return whether the store holds the newest value of an entry."""
        entry = self._entries.get(key)
        return entry is not None and entry.epoch == self._store.epoch.current

    async def wait_written(self, key: str) -> None:
        """Wait until the store has taken the newest value of an entry."""
        await self._entries[key].written.wait()

    async def run(self) -> None:
        """Write and remove what has to be, until cancelled."""
        pause = MIN_RETRY_PAUSE
        while True:
            self._changed.clear()
            epoch = self._store.epoch.current
            try:
                await self._write_all()
            except (PlatformUnavailable, WriteUndetermined):
                await asyncio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(MAX_RETRY_PAUSE, 2 * pause)
                continue
            pause = MIN_RETRY_PAUSE
            await self._wait_for_work(epoch)

    async def check(self) -> None:
        """Notice that the store has lost entries, which are then written again, until cancelled."""
        pause = MIN_RETRY_PAUSE
        while True:
            await self._any_written.wait()
            try:
                revision = await self._check_all()
                pause = MIN_RETRY_PAUSE
                await self._wait_for_check(revision)
            except (PlatformUnavailable, WriteUndetermined):
                await asyncio.sleep(pause * (0.5 + self._rng.random()))
                pause = min(MAX_RETRY_PAUSE, CHECK_PAUSE_GROWTH * pause)

    async def _check_all(self) -> int:
        """Check all entries; return the store's revision at the check of the watched one, or 0."""
        self._drop_expired()
        revision = 0
        for key, entry in list(self._entries.items()):
            if entry.epoch != self._store.epoch.current:
                continue  # to be written anyway
            if entry.is_watched:
                found, revision = await self._store.read(self._prefix + key)
                holds = any(each.value == entry.value for each in found)
            else:
                holds = await self._store.lease_keepalive(entry.lease)
            if not holds and self._entries.get(key) is entry:
                self._record_loss(key, entry)
        if not self._entries:
            self._any_written.clear()
        return revision

    def _record_loss(self, key: str, entry: _Entry) -> None:
        log_event(Event.KEPT_ENTRY_LOST, key=key)
        entry.epoch = NOT_WRITTEN
        entry.written.clear()
        self._changed.set()

    async def _wait_for_check(self, revision: int) -> None:
        """Wait until the watched entry may have changed, or the leases are to be renewed."""
        watched = next((key for key, each in self._entries.items() if each.is_watched), None)
        if watched is None:
            await asyncio.sleep(RENEWAL_PERIOD * (0.5 + self._rng.random()))
            return
        key = self._prefix + watched
        async for _ in self._store.watch(key, revision + 1, lambda: WATCH_WAIT):
            return

    def _drop_expired(self) -> None:
        now = self._clock.boottime()
        for key in [k for k, entry in self._entries.items() if entry.expires_at <= now]:
            del self._entries[key]

    async def _write_all(self) -> None:
        self._drop_expired()
        for key in list(self._removed):
            await self._store.remove(self._prefix + key)
            self._removed.discard(key)
        for key, entry in list(self._entries.items()):
            if entry.epoch != self._store.epoch.current and self._entries.get(key) is entry:
                await self._write(key, entry)

    async def _write(self, key: str, entry: _Entry) -> None:
        left = entry.expires_at - self._clock.boottime()
        lease = await self._store.lease_grant(min(MAX_TTL, max(MIN_TTL, round(left))))
        await self._store.put(self._prefix + key, entry.value, lease)
        entry.epoch, entry.lease = self._store.epoch.current, lease
        entry.written.set()
        self._any_written.set()

    async def _wait_for_work(self, epoch: int) -> None:
        """Wait until an entry has changed or the store was restored."""
        changed = asyncio.ensure_future(self._changed.wait())
        restored = asyncio.ensure_future(self._store.epoch.wait_beyond(epoch))
        try:
            await asyncio.wait({changed, restored}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            changed.cancel()
            restored.cancel()

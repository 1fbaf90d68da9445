"""Test helper: an in-memory store whose leases may run out, and whose watches tell of changes."""

import asyncio

from tests.outage_store import OutageStore
from thorntray.errors import PlatformUnavailable
from thorntray.internal.store.store_calls import WatchBatch

POLL_PERIOD = 0.02  # seconds


class LapsingStore(OutageStore):
    """A store with leases."""

    def __init__(self) -> None:
        super().__init__()
        self._called: list[str] = []  # keys of all calls
        self._leases: dict[int, set[str]] = {}  # keys by lease
        self._changes: list[str] = []  # keys, in the order of their changes

    def lapse(self) -> None:
        """Let all leases run out."""
        for keys in self._leases.values():
            for key in keys:
                self.entries.pop(key, None)
                self._changes.append(key)
        self._leases.clear()

    def write_foreign(self, key: str, value: bytes | None) -> None:
        """Replace an entry as another writer may do, or remove it with None."""
        if value is None:
            del self.entries[key]
        else:
            self.entries[key] = value
        self._changes.append(key)

    def count_calls(self, key: str) -> int:
        """Return the number of reads, writes and watches of a key so far."""
        return self._called.count(key)

    async def read(self, key, *, prefix=False):
        """Return the entries, and the number of changes as the revision."""
        self._called.append(key)
        entries, _ = await super().read(key, prefix=prefix)
        return entries, len(self._changes)

    async def put(self, key, value, lease):
        """Write a key under a lease that has not run out."""
        self._called.append(key)
        self._check()
        if lease not in self._leases:
            raise PlatformUnavailable("no such lease")
        self._leases[lease].add(key)
        self.entries[key] = value
        self._changes.append(key)

    async def lease_grant(self, ttl):
        """Return a new lease."""
        self._check()
        lease = len(self._changes) * 1000 + len(self._leases) + 1
        self._leases[lease] = set()
        return lease

    async def lease_keepalive(self, lease):
        """Return whether the lease has not run out."""
        self._check()
        return lease in self._leases

    async def watch(self, prefix, start_revision, wait):
        """Report changes; raise `PlatformUnavailable` when the store goes down."""
        seen = start_revision - 1
        while True:
            self._called.append(prefix)
            seconds = wait()
            end = asyncio.get_running_loop().time() + (30.0 if seconds is None else seconds)
            while not any(key.startswith(prefix) for key in self._changes[seen:]):
                self._check()
                if asyncio.get_running_loop().time() >= end:
                    break
                await asyncio.sleep(POLL_PERIOD)
            seen = len(self._changes)
            yield WatchBatch((), seen)

"""The first read of a process, which serves all who look for entries of the fleet at its start.

Load pattern: a whole fleet starts at once, and each node reads its seeds and what was kept. Each
call to the store is counted, so one call reads both.
"""

import asyncio
from typing import Protocol

from thorntray.internal.store.store_calls import StoreEntry


class ReadableStore(Protocol):
    """The operation of the platform's store that the first read needs."""

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        ...


class StartRead:
    """Serves the first read of each prefix below `root` from one call."""

    def __init__(self, store: ReadableStore, root: str) -> None:
        self._store = store
        self._root = root
        self._call: asyncio.Task[tuple[list[StoreEntry], int]] | None = None
        self._served: set[str] = set()

    async def read(self, prefix: str) -> list[StoreEntry]:
        """Return the entries below a prefix; raises `PlatformUnavailable`.

        Later reads of the same prefix are calls of their own.
        """
        if prefix in self._served or not prefix.startswith(self._root):
            entries, _ = await self._store.read(prefix, prefix=True)
            return entries
        self._served.add(prefix)
        if self._call is None:
            self._call = asyncio.ensure_future(self._store.read(self._root, prefix=True))
        entries, _ = await asyncio.shield(self._call)
        return [entry for entry in entries if entry.key.startswith(prefix)]

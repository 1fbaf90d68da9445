"""Test helper: the in-memory store of a fleet, with outages."""

from tests.mesh_builders import MemoryStore
from thorntray.errors import PlatformUnavailable


class OutageStore(MemoryStore):
    """A store that can be down; `failures` is the number of calls that failed."""

    def __init__(self) -> None:
        super().__init__()
        self.failures = 0

    def _check(self):
        if not self.up:
            self.failures += 1
            raise PlatformUnavailable("the store is down")

    async def read(self, key, *, prefix=False):
        self._check()
        return await super().read(key, prefix=prefix)

    async def put(self, key, value, lease):
        self._check()
        await super().put(key, value, lease)

    async def lease_grant(self, ttl):
        self._check()
        return await super().lease_grant(ttl)

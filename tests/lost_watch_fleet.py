"""Test helper: a fleet in virtual time whose store loses the answers to calls, as one does that is
silent for a moment: also those to calls that wait at that time, however long they go on waiting.
"""

import asyncio

from tests.policy_fleet import CountingStore, NodeStore, PolicyFleet, PolicyNode
from thorntray.errors import PlatformUnavailable
from thorntray.internal.store.policy_watch import WatchWait
from thorntray.internal.store.store_calls import CALL_TIMEOUT, WatchBatch

LONG_WAIT = 30.0  # seconds for which a watch waits unless the node says otherwise
TIMEOUT_MARGIN = 2.0  # seconds until the client gives up a watch that is not answered in time


class LosingStore(CountingStore):
    """`silent` names the nodes that get no answer now; `silences` counts by name how often."""

    def __init__(self) -> None:
        super().__init__()
        self.silent: set[str] = set()
        self.silences: dict[str, int] = {}

    def of_node(self, name: str) -> "LosingNodeStore":
        return LosingNodeStore(self, name)

    async def be_silent(self, names: set[str], seconds: float) -> None:
        """Answer none of the nodes for a time."""
        self.silent |= names
        for name in names:
            self.silences[name] = self.silences.get(name, 0) + 1
        await asyncio.sleep(seconds)
        self.silent -= names


class LosingNodeStore(NodeStore):
    """The store as one node sees it."""

    def _is_lost(self, silences: int) -> bool:
        store, name = self._store, self._name
        return name in store.silent or store.silences.get(name, 0) > silences

    async def read(self, key: str, *, prefix: bool = False):
        silences = self._store.silences.get(self._name, 0)
        reply = await super().read(key, prefix=prefix)
        if self._is_lost(silences):
            await asyncio.sleep(CALL_TIMEOUT)
            raise PlatformUnavailable("no answer")
        return reply

    async def watch(self, prefix: str, start_revision: int, wait: WatchWait):
        store, loop = self._store, asyncio.get_running_loop()
        after = start_revision - 1
        while True:
            self._count()
            seconds = wait()
            sent_at, seconds = loop.time(), LONG_WAIT if seconds is None else seconds
            silences = store.silences.get(self._name, 0)
            entries = await store._next_changes(prefix, after, sent_at + seconds)
            if self._is_lost(silences):
                await asyncio.sleep(sent_at + seconds + TIMEOUT_MARGIN - loop.time())
                raise PlatformUnavailable("no answer")
            self._check_refused()
            after = store.revision
            yield WatchBatch(entries, after, sent_at=sent_at)


class LosingNode(PolicyNode):
    """A node that can be killed."""

    async def kill(self) -> None:
        """End the node's process."""
        self.running = False
        self._task.cancel()
        await self.membership.stop()
        await self.seeds._tasks.stop()


class LosingFleet(PolicyFleet):
    """Nodes with a store that loses answers."""

    store_type = LosingStore
    node_type = LosingNode

    async def silence(self, seconds: float) -> None:
        """Let the store answer nobody for a time."""
        await self.store.be_silent(set(self.nodes), seconds)

    async def kill(self, names: set[str]) -> None:
        """Kill nodes."""
        for name in sorted(names):
            await self.nodes[name].kill()

    def outside(self, domain: str) -> set[str]:
        """Return the names of the nodes of all other domains."""
        return {n for n, node in self.nodes.items() if node.membership.own.domain != domain}

    def checked(self) -> set[str]:
        """Return the names of the running nodes whose watch is checked."""
        return {
            name
            for name, node in self.nodes.items()
            if node.running and node.watch.duty.on_duty() and node.watch.check.is_checked
        }

    async def slowest(self, version: int, wait: float = 6.0) -> float:
        """Write a version; return the seconds until the last running node had it."""
        seconds = await self.change(version, wait)
        return max(s for name, s in seconds.items() if self.nodes[name].running)

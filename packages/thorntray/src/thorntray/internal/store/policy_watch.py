"""Keeps the policy up with the platform's service and with peers.

Each node watches for itself: a change must be in force within seconds on every node that reaches
the service. What a node misses it hears from peers, whose datagrams tell the version that they
hold. So a node that is cut off from the service goes on with the newest policy that any of its
peers has.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import Protocol

from thorntray.errors import BadDocument, PlatformUnavailable
from thorntray.internal.connection.frame import FetchPolicy, Frame, PolicyFrame
from thorntray.internal.connection.link import Links
from thorntray.internal.membership.gossip import Revisions
from thorntray.internal.membership.member import Member
from thorntray.internal.store.seeds import PlatformState
from thorntray.internal.store.store_calls import Entry, WatchBatch
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.policy import Policy, PolicyHolder

POLICY_REVISION_KEY = "policy"  # name of the policy's version among the heads
FIRST_PAUSE = 0.25  # seconds after a failed call, doubled each time
MAX_PAUSE = 1.0  # seconds
FETCH_AGAIN = 0.5  # seconds after which a version that did not come is asked for again

PolicyDecoder = Callable[[bytes], Policy]


class PolicyStore(Protocol):
    """The platform's service, as far as the policy needs it."""

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[Entry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        ...

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield changes below a prefix from a revision on."""
        ...


class PolicyWatch:
    """Offers every newer policy to the holder."""

    def __init__(
        self,
        store: PolicyStore,
        key: str,
        decode: PolicyDecoder,
        holder: PolicyHolder,
        links: Links,
        state: PlatformState,
        rng: Random,
    ) -> None:
        self._store = store
        self._key = key
        self._decode = decode
        self._holder = holder
        self._links = links
        self._state = state
        self._rng = rng
        self._asked: tuple[int, float] = (0, 0.0)  # version, loop time

    def revisions(self) -> Revisions:
        """Return the version in force, as datagrams tell it."""
        return {POLICY_REVISION_KEY: self._holder.version}

    def on_revisions(self, sender: Member, revisions: Revisions) -> None:
        """Ask a peer for its policy if it has a newer one."""
        version = revisions.get(POLICY_REVISION_KEY, 0)
        now = asyncio.get_running_loop().time()
        asked_version, asked_at = self._asked
        if version <= self._holder.version:
            return
        if version <= asked_version and now - asked_at < FETCH_AGAIN:
            return
        self._asked = (version, now)
        self._links.to(sender).send(FetchPolicy(self._holder.version))

    def on_peer_frame(self, member: Member, frame: Frame) -> None:
        """Take a policy that a peer has sent."""
        if isinstance(frame, PolicyFrame):
            self.offer(frame.document, member.name)

    def answer(self, asked: FetchPolicy) -> PolicyFrame | None:
        """Return the policy for a peer that has an older one."""
        policy = self._holder.policy
        if policy is None or policy.version <= asked.version:
            return None
        return PolicyFrame(policy.version, policy.document)

    def offer(self, document: bytes, source: str) -> None:
        """Decode a document and put it in force if it is newer; a faulty one changes nothing."""
        try:
            policy = self._decode(document)
        except BadDocument as exc:
            log_event(Event.POLICY_REFUSED, source=source, detail=str(exc))
            return
        if self._holder.offer(policy):
            log_event(
                Event.POLICY_IN_FORCE,
                version=policy.version,
                source=source,
                routes=len(policy.routes),
            )

    async def run(self) -> None:
        """Read, then watch, and begin again whenever the watch ends."""
        pause = FIRST_PAUSE
        while True:
            try:
                entries, revision = await self._store.read(self._key)
                self._take(WatchBatch(tuple(entries), revision))
                pause = FIRST_PAUSE
                async for batch in self._store.watch(self._key, revision + 1):
                    self._state.note(True)
                    if batch.compacted:
                        break  # changes were missed: read again
                    self._take(batch)
                continue
            except PlatformUnavailable as exc:
                self._state.note(False, str(exc))
            await asyncio.sleep(pause * (0.5 + self._rng.random()))
            pause = min(MAX_PAUSE, pause * 2)

    def _take(self, batch: WatchBatch) -> None:
        self._state.note(True)
        for entry in batch.entries:
            if entry.key == self._key:
                self.offer(entry.value, "store")

"""Keeps the policy up to date from the platform's service and from peers.

Each node reads the policy when it starts. Afterwards only the nodes on duty (`store.watch_duty`)
watch it, so that a change does not cause a call of every node. Membership datagrams carry the
policy version of the sender, and a node fetches a newer one from a peer, also while it cannot reach
the service. A node that has heard of a version and has not received it within `FETCH_PATIENCE`
reads the service again.
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
from thorntray.internal.store.store_calls import StoreEntry, WatchBatch
from thorntray.internal.store.store_epoch import RESTORE_SPREAD, StoreEpoch
from thorntray.internal.store.watch_duty import EveryNode, WatchDuty
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.policy import Policy, PolicyHolder

POLICY_REVISION_KEY = "policy"  # key of the policy version in `Revisions`
INITIAL_BACKOFF = 0.25  # seconds after a failed call, doubled for each further one
MAX_BACKOFF = 1.0  # seconds
FETCH_RETRY_DELAY = 0.5  # seconds until a version that has not arrived is requested again
FETCH_PATIENCE = 1.0  # seconds until a version that has not arrived is read from the service
DUTY_CHECK_PERIOD = 0.25  # seconds

PolicyDecoder = Callable[[bytes], Policy]


class PolicyStore(Protocol):
    """The operations of the platform's service that the policy watch needs."""

    @property
    def epoch(self) -> StoreEpoch:
        """Return the epoch of the service's data."""
        ...

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        ...

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield the changes of keys with a prefix, starting at a revision."""
        ...


class PolicyWatch:
    """Reads policies from the store and from peers and offers them to the holder."""

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
        self._last_request: tuple[int, float] = (0, 0.0)  # version, event loop time
        self._behind_since: float | None = None  # event loop time; None if no newer one is known
        self.duty: WatchDuty | EveryNode = EveryNode()

    def revisions(self) -> Revisions:
        """Return the version in force, in the form in which datagrams carry it."""
        return {POLICY_REVISION_KEY: self._holder.version}

    def on_revisions(self, sender: Member, revisions: Revisions) -> None:
        """Request the policy of a peer if it is newer than the one in force."""
        version = revisions.get(POLICY_REVISION_KEY, 0)
        now = asyncio.get_running_loop().time()
        requested_version, requested_at = self._last_request
        if version <= self._holder.version:
            return
        if self._behind_since is None:
            self._behind_since = now
        source = sender
        if version > requested_version:
            source = self.duty.source_for(sender)
        elif now - requested_at < FETCH_RETRY_DELAY:
            return
        self._last_request = (version, now)
        self._links.link_to(source).send(FetchPolicy(self._holder.version))

    def on_peer_frame(self, member: Member, frame: Frame) -> None:
        """Offer the policy in a peer's frame to the holder; other frames are ignored."""
        if isinstance(frame, PolicyFrame):
            self.offer(frame.document, member.name)

    def reply_to_fetch(self, request: FetchPolicy) -> PolicyFrame | None:
        """Return the policy in force if the requesting peer has an older one, else None."""
        policy = self._holder.policy
        if policy is None or policy.version <= request.version:
            return None
        return PolicyFrame(policy.version, policy.document)

    def offer(self, document: bytes, source: str) -> None:
        """Decode a document and put it in force if it is newer; an invalid one is only logged."""
        try:
            policy = self._decode(document)
        except BadDocument as exc:
            log_event(Event.POLICY_REFUSED, source=source, detail=str(exc))
            return
        if self._holder.replace_if_newer(policy):
            self._behind_since = None
            log_event(
                Event.POLICY_IN_FORCE,
                version=policy.version,
                source=source,
                routes=len(policy.routes),
            )

    async def run(self) -> None:
        """Read the policy, watch it while on duty, and start again whenever the watch ends."""
        backoff = INITIAL_BACKOFF
        while True:
            try:
                entries, revision = await self._store.read(self._key)
                epoch = self._store.epoch.current
                self._apply(WatchBatch(tuple(entries), revision))
                backoff = INITIAL_BACKOFF
                if self.duty.on_duty():
                    await self._watch(revision + 1)
                if self._store.epoch.current > epoch:
                    await asyncio.sleep(RESTORE_SPREAD * self._rng.random())
            except PlatformUnavailable as exc:
                self._state.record(False, str(exc))
                await asyncio.sleep(backoff * (0.5 + self._rng.random()))
                backoff = min(MAX_BACKOFF, backoff * 2)
                if self._holder.policy is None:
                    continue
            self._behind_since = None
            await self._wait_until_needed()

    async def _watch(self, start_revision: int) -> None:
        """Apply the changes of the key until the watch ends or this node is no longer on duty."""
        async for batch in self._store.watch(self._key, start_revision):
            self._state.record(True)
            if batch.compacted:
                return  # changes may have been missed: the key is to be read again
            self._apply(batch)
            if not self.duty.on_duty():
                return

    async def _wait_until_needed(self) -> None:
        """Wait until this node is on duty or misses a version that it has heard of."""
        while not self.duty.on_duty() and not self._fetch_overdue():
            await asyncio.sleep(DUTY_CHECK_PERIOD * (0.5 + self._rng.random()))

    def _fetch_overdue(self) -> bool:
        if self._behind_since is None:
            return False
        return asyncio.get_running_loop().time() - self._behind_since > FETCH_PATIENCE

    def _apply(self, batch: WatchBatch) -> None:
        self._state.record(True)
        for entry in batch.entries:
            if entry.key == self._key:
                self.offer(entry.value, "store")

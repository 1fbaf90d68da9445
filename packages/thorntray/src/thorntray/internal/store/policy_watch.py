"""Keeps the policy up to date from the platform's service and from peers.

Each node reads the policy when it starts. Afterwards only the nodes on duty (`store.watch_duty`)
watch it, so that a change does not cause a call of every node. Membership datagrams carry the
policy version of the sender, and a node fetches a newer one from a peer, also while it cannot reach
the service (`store.policy_fetch`). A node that has heard of a version and has not received it in
time reads the service again, and so does a watcher whose call may be lost (`store.watch_check`).

Each answer of the service, also one without changes, shows which version was the newest when the
call was sent; `EvidenceSink` is told of it. An invalid document never comes into force, so the
newest valid one before it counts. Where that one is not known, because the first read after a start
or a gap returned an invalid document or none, the answers show nothing.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random
from typing import NamedTuple, Protocol

from thorntray.errors import BadDocument, PlatformUnavailable
from thorntray.internal.connection.frame import FetchPolicy, Frame, PolicyFrame
from thorntray.internal.connection.link import Links
from thorntray.internal.membership.gossip import Revisions
from thorntray.internal.membership.member import Member
from thorntray.internal.store.policy_fetch import PolicyFetch
from thorntray.internal.store.seeds import PlatformState
from thorntray.internal.store.store_calls import StoreEntry, WatchBatch
from thorntray.internal.store.store_epoch import RESTORE_SPREAD, StoreEpoch
from thorntray.internal.store.watch_check import WatchCheck
from thorntray.internal.store.watch_duty import CHECKED_WAIT, EveryNode, WatchDuty
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.policy import Policy, PolicyHolder

POLICY_REVISION_KEY = "policy"  # key of the policy version in `Revisions`
INITIAL_BACKOFF = 0.25  # seconds after a failed call, doubled for each further one
MAX_BACKOFF = 1.0  # seconds
# Seconds until a read that may be lost is made anew. Every other read has the whole timeout of the
# store's client, for a store that is only slow.
SHORT_READ = 1.0
MIN_PAUSE = 0.1  # seconds after a failed read
LATER_PAUSE = 1.5  # seconds more, jittered, where others read the store at the same time
DUTY_CHECK_PERIOD = 0.25  # seconds

PolicyDecoder = Callable[[bytes], Policy]
WatchWait = Callable[[], float | None]


class PolicyStore(Protocol):
    """The operations of the platform's service that the policy watch needs."""

    @property
    def epoch(self) -> StoreEpoch:
        """Return the epoch of the service's data."""
        ...

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        ...

    def watch(self, prefix: str, start_revision: int, wait: WatchWait) -> AsyncIterator[WatchBatch]:
        """Yield the changes of keys with a prefix, starting at a revision.

        `wait` returns for each call after how many seconds the store is to answer without changes,
        which yields an empty batch; None leaves the time to the store's client.
        """
        ...


class EvidenceSink(Protocol):
    """Is told which version of the policy the store held at which time."""

    def now(self) -> float:
        """Return the boot time in seconds."""
        ...

    def watch_wait(self) -> float | None:
        """Return after how many seconds a watch is to be answered; None: whenever it suits."""
        ...

    def store_answered(self, version: int, sent_at: float, epoch: int) -> None:
        """Record that a call sent at a boot time was answered in an epoch of the store.

        `version` is the newest valid one that the store held.
        """
        ...


class NoEvidence:
    """The sink of a node that needs no evidence."""

    def now(self) -> float:
        """Return 0."""
        return 0.0

    def watch_wait(self) -> float | None:
        """Return None."""
        return None

    def store_answered(self, version: int, sent_at: float, epoch: int) -> None:
        """Do nothing."""


class _StoredVersion(NamedTuple):
    """The newest valid version, as of a write of the key in an epoch of the store."""

    epoch: int
    mod_revision: int
    version: int


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
        self._fetch = PolicyFetch(holder, links, lambda sender: self.duty.source_for(sender), rng)
        self._short_read = True  # whether the next read may be lost
        self._stored: _StoredVersion | None = None  # None: not known
        self.duty: WatchDuty | EveryNode = EveryNode()
        self.check: WatchCheck | None = None  # None: this node's watch is never taken for lost
        self.evidence: EvidenceSink = NoEvidence()

    @property
    def behind(self) -> float:
        """Return for how many seconds a version above the one in force has been known, else 0."""
        return self._fetch.behind

    def revisions(self) -> Revisions:
        """Return the version in force and the age of the store's newest answer, for datagrams."""
        told = {POLICY_REVISION_KEY: self._holder.version}
        return told if self.check is None else told | self.check.contact.revisions()

    def on_revisions(self, sender: Member, revisions: Revisions) -> None:
        """Take what a peer's datagram tells; fetch its policy if it is newer."""
        if self.check is not None:
            self.check.hear(sender, revisions)
        self._fetch.hear(sender, revisions.get(POLICY_REVISION_KEY, 0))

    def on_peer_frame(self, member: Member, frame: Frame) -> None:
        """Offer the policy in a peer's frame to the holder; other frames are ignored."""
        if isinstance(frame, PolicyFrame) and self.offer(frame.document, member.name) is None:
            self._fetch.refuse(frame.version)

    def reply_to_fetch(self, request: FetchPolicy) -> PolicyFrame | None:
        """Return the policy in force if the requesting peer has an older one, else None."""
        policy = self._holder.policy
        if policy is None or policy.version <= request.version:
            return None
        return PolicyFrame(policy.version, policy.document)

    def offer(self, document: bytes, source: str) -> int | None:
        """Decode a document and put it in force if it is newer; return its version.

        An invalid document is only logged, and None is returned.
        """
        try:
            policy = self._decode(document)
        except BadDocument as exc:
            log_event(Event.POLICY_REFUSED, source=source, detail=str(exc))
            return None
        behind = self.behind
        if self._holder.replace_if_newer(policy):
            log_event(
                Event.POLICY_IN_FORCE,
                version=policy.version,
                source=source,
                routes=len(policy.routes),
                behind=round(behind, 3),
            )
        return policy.version

    async def run(self) -> None:
        """Read the policy, watch it while on duty, and start again whenever the watch ends."""
        backoff = INITIAL_BACKOFF
        while True:
            try:
                began = asyncio.get_running_loop().time()
                revision = await self._read_soon()
                epoch = self._store.epoch.current
                backoff = INITIAL_BACKOFF
                if self.duty.on_duty():
                    await self._watch_until_overdue(revision + 1)
                if self._store.epoch.current > epoch:
                    await asyncio.sleep(RESTORE_SPREAD * self._rng.random())
            except PlatformUnavailable as exc:
                self._state.record(False, str(exc))
                taken = asyncio.get_running_loop().time() - began
                await self._pause(max(MIN_PAUSE, backoff * (0.5 + self._rng.random()) - taken))
                backoff = min(MAX_BACKOFF, backoff * 2)
                if self._holder.policy is None:
                    continue
            await self._wait_until_needed()

    async def _pause(self, seconds: float) -> None:
        """Wait after a failed read; longer while other watchers go before this one."""
        await asyncio.sleep(seconds)
        if self.check is None or self._holder.policy is None:
            return
        end = asyncio.get_running_loop().time() + LATER_PAUSE * (0.5 + self._rng.random())
        while not self.check.is_among_first and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(DUTY_CHECK_PERIOD)

    async def _read_soon(self) -> int:
        """Read the policy; a read without an answer ends early every other time."""
        short = self._short_read and self._holder.policy is not None
        self._short_read = not self._short_read
        self._fetch.store_read()
        try:
            async with asyncio.timeout(SHORT_READ if short else None):
                revision = await self.read()
        except TimeoutError as exc:
            raise PlatformUnavailable(f"no answer within {SHORT_READ} s") from exc
        self._short_read = True
        return revision

    async def _watch_until_overdue(self, start_revision: int) -> None:
        """Watch until the watch ends, or until its open call has to be taken for lost."""
        watch = asyncio.ensure_future(self._watch(start_revision))
        overdue = asyncio.ensure_future(self._wait_overdue())
        try:
            await asyncio.wait({watch, overdue}, return_when=asyncio.FIRST_COMPLETED)
            if watch.done():
                watch.result()
        finally:
            watch.cancel()
            overdue.cancel()

    async def _wait_overdue(self) -> None:
        """Wait until the watch has to be taken for lost, or peers have what it has not brought."""
        while not self._fetch.is_read_due:
            pause = DUTY_CHECK_PERIOD
            if self.check is not None:
                if self.check.is_overdue:
                    log_event(Event.WATCH_OVERDUE, age=round(self.check.contact.age, 3))
                    return
                self.check.ask_peers()
                pause = min(pause, self.check.until_next_step)
            await asyncio.sleep(pause)

    async def read(self) -> int:
        """Read the policy from the store, offer it, and return the store's revision.

        Raises `PlatformUnavailable`.
        """
        sent_at = self.evidence.now()
        entries, revision = await self._store.read(self._key)
        self._state.record(True)
        entry = next((entry for entry in entries if entry.key == self._key), None)
        if entry is None:
            self._stored = None
        else:
            self._apply_read(entry)
        self._record_evidence(sent_at)
        return revision

    async def read_again(self) -> None:
        """Read the policy from the store once more, whether or not this node is on duty."""
        try:
            await self.read()
        except PlatformUnavailable as exc:
            self._state.record(False, str(exc))

    def _apply_read(self, entry: StoreEntry) -> None:
        version = self.offer(entry.value, "store")
        epoch, stored = self._store.epoch.current, self._stored
        if version is not None:
            self._set_stored(_StoredVersion(epoch, entry.mod_revision, version))
        elif stored is not None and stored[:2] != (epoch, entry.mod_revision):
            self._stored = None  # there may have been a valid version before the invalid one

    def _set_stored(self, new: _StoredVersion) -> None:
        """Replace the newest version that the store is known to hold, unless `new` is outdated.

        A read and a watch that run at the same time may be answered in any order.
        """
        if self._stored is None or new[:2] >= self._stored[:2]:
            self._stored = new

    async def _watch(self, start_revision: int) -> None:
        """Apply the changes of the key until the watch ends or this node is no longer on duty."""
        async for batch in self._store.watch(self._key, start_revision, self._watch_wait):
            self._state.record(True)
            if batch.compacted:
                return  # changes may have been missed: the key is to be read again
            self._apply_changes(batch)
            if not batch.complete:
                self._stored = None  # the change that was not decoded may be a newer version
            self._record_evidence(batch.sent_at)
            if not self.duty.on_duty():
                return

    def _watch_wait(self) -> float | None:
        wait = self.evidence.watch_wait()
        if wait is None and self.check is not None and self.check.is_checked:
            return CHECKED_WAIT
        return self.duty.watch_wait() if wait is None else wait

    async def _wait_until_needed(self) -> None:
        """Wait until this node is on duty or misses a version that it has heard of."""
        while not self.duty.on_duty() and not self._fetch.is_read_due:
            await asyncio.sleep(DUTY_CHECK_PERIOD * (0.5 + self._rng.random()))

    def _apply_changes(self, batch: WatchBatch) -> None:
        """Offer the changes of the key, of which none was missed."""
        for entry in batch.entries:
            if entry.key != self._key:
                continue
            version, stored = self.offer(entry.value, "store"), self._stored
            if version is None and stored is not None:
                version = stored.version
            if version is not None:
                epoch = self._store.epoch.current
                self._set_stored(_StoredVersion(epoch, entry.mod_revision, version))

    def _record_evidence(self, sent_at: float) -> None:
        if self.check is not None:
            self.check.answered(self._holder.version)
        stored, epoch = self._stored, self._store.epoch.current
        if stored is not None and stored.epoch == epoch:
            self.evidence.store_answered(stored.version, sent_at, epoch)

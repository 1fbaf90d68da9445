"""Keeps in the platform's store which requests crash instances, so that it outlives all nodes.

The fault: blocks and crash reports are in the memory of the nodes only. A kill of all nodes at once
loses them, and a request that was refused crashes one instance after the other again.

The node that sees a crash of its instance keeps the report, and the first `BLOCK_KEEPERS` alive
members in the order of rendezvous hashing keep a block. Nobody waits for the store: until it has
taken a report, the memory of the nodes is all there is, as before. A block ends in the store when a
success has cleared the request.

A process reads all of it once after its start. Reports from before its start alone block nothing
(`overload.crash_suspects`): the successes that cleared other requests of these crashes are not in
the store, so an innocent one would be refused.

An entry names times by the time of day, since boot times do not outlive a machine.
"""

from collections.abc import Iterable

import msgspec

from thorntray.internal.bounded import Count, UnixTime
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.membership import Membership
from thorntray.internal.overload.crash_suspects import BLOCK_TIME, Crash, CrashSuspects
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.kept_entries import KeptEntries
from thorntray.internal.store.store_calls import StoreEntry
from thorntray.internal.telemetry.events import Event, log_event

BLOCK_KEEPERS = 2  # members that keep a block in the store
KEPT_CRASH_TIME = 600.0  # seconds; longest lease
MIN_EXTENSION = 5.0  # seconds by which a kept block must be extended to be written again
MAX_HEX_DIGITS = 16
CRASHES, BLOCKS = "crashes/", "blocks/"  # parts of the key


class _StoredCrash(msgspec.Struct, array_like=True):
    """A crash; `at` is in seconds since 1970."""

    at: UnixTime
    running: Count
    fingerprints: tuple[int, ...]


class _StoredBlock(msgspec.Struct, array_like=True):
    """A block; `until` is in seconds since 1970."""

    until: UnixTime


class CrashArchive:
    """What this node keeps of crashes and blocks in the store, and reads at its start."""

    def __init__(
        self,
        suspects: CrashSuspects,
        membership: Membership,
        entries: KeptEntries,
        clock: Clock,
    ) -> None:
        self._suspects = suspects
        self._membership = membership
        self._entries = entries
        self._clock = clock
        self._to_review: list[int] = []  # fingerprints
        self._stored_until: dict[int, float] = {}  # boot times, by fingerprint known to be stored

    def keep_crash(self, crash: Crash) -> None:
        """Keep the report of a crash of the own instance."""
        at = self._clock.time() - (self._clock.boottime() - crash.at)
        stored = _StoredCrash(at, crash.running, tuple(crash.fingerprints))
        key = f"{CRASHES}{crash.crash_id:016x}"
        self._entries.keep(key, msgspec.msgpack.encode(stored), KEPT_CRASH_TIME)

    def keep_block(self, fingerprint: int) -> None:
        """Keep a block that has just been decided, if this node is to."""
        now = self._clock.boottime()
        until = self._suspects.blocked.get(fingerprint, 0.0)
        known = self._stored_until.get(fingerprint, 0.0)
        if until > max(now, known + MIN_EXTENSION) and self._is_keeper(fingerprint):
            self._keep_block(fingerprint, until, now)

    def review(self) -> None:
        """Remove what is no longer blocked, and look at one block anew; to be called regularly.

        The members may have changed, or the block may have been extended. To find the keepers of
        one takes a hash for each member.
        """
        now, blocked = self._clock.boottime(), self._suspects.blocked
        for fingerprint in [f for f in self._stored_until if f not in blocked]:
            if self._stored_until.pop(fingerprint) > now and self._is_keeper(fingerprint):
                self._entries.drop(self._block_key(fingerprint))
        if not self._to_review:
            self._to_review = list(blocked)
        if self._to_review:
            self.keep_block(self._to_review.pop())

    async def restore(self) -> None:
        """Learn what the store holds, once it has answered."""
        self._apply(await self._entries.recover())

    def _apply(self, entries: Iterable[StoreEntry]) -> None:
        for entry in entries:
            kind, _, number = entry.key.partition("/")
            if f"{kind}/" not in (CRASHES, BLOCKS):
                continue
            try:
                self._apply_entry(f"{kind}/", _number(number), entry.value)
            except (msgspec.MsgspecError, ValueError, OverflowError) as exc:
                log_event(Event.BAD_MESSAGE, detail=f"malformed entry {entry.key!r}: {exc}")

    def _apply_entry(self, kind: str, number: int, value: bytes) -> None:
        now, time_of_day = self._clock.boottime(), self._clock.time()
        if kind == CRASHES:
            crash = msgspec.msgpack.decode(value, type=_StoredCrash)
            at = now - max(0.0, time_of_day - crash.at)
            fingerprints = frozenset(crash.fingerprints)
            self._suspects.add_crash(Crash(number, at, crash.running, fingerprints))
        elif kind == BLOCKS:
            block = msgspec.msgpack.decode(value, type=_StoredBlock)
            left = min(BLOCK_TIME, block.until - time_of_day)
            self._stored_until[number] = now + left
            self._suspects.add_block(number, now + left)

    def _keep_block(self, fingerprint: int, until: float, now: float) -> None:
        stored = _StoredBlock(self._clock.time() + until - now)
        self._entries.keep(
            self._block_key(fingerprint), msgspec.msgpack.encode(stored), until - now
        )
        self._stored_until[fingerprint] = until

    def _block_key(self, fingerprint: int) -> str:
        return f"{BLOCKS}{fingerprint:016x}"

    def _is_keeper(self, fingerprint: int) -> bool:
        names = [member.name for member in self._membership.alive()]
        names.sort(key=lambda name: hash64(f"block {fingerprint} {name}"))
        return self._membership.own.name in names[:BLOCK_KEEPERS]


def _number(text: str) -> int:
    """Return the number in a key; raises `ValueError` if it is none or has more than 64 bits."""
    if not 0 < len(text) <= MAX_HEX_DIGITS or not text.isalnum():
        raise ValueError("the key does not end with up to 16 hexadecimal digits")
    return int(text, 16)

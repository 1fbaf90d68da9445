"""Writes a team's settings: compare-and-swap, and no guesses.

An answer of the platform's service can be lost after the write has taken effect. Each write
therefore carries its own id inside the document, and it is sent again unchanged until an answer
comes: the transaction compares the key's revision, so it can take effect once at most. When a
repeat fails its comparison, the document itself tells whether the earlier one was ours.
"""

import asyncio
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from nacl.signing import SigningKey

from thorntray.errors import (
    BadDocument,
    Fault,
    InvalidSettings,
    PlatformUnavailable,
    WriteConflict,
    WriteUndetermined,
)
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.platform import PlatformClient
from thorntray.internal.store.roles import settings_key
from thorntray.internal.version.document import (
    Change,
    Document,
    decode_document,
    difference,
    encode_document,
)
from thorntray.internal.version.schema import check_paths

WRITE_PATIENCE = 20.0  # seconds for which an undetermined write is followed up
WRITE_PAUSE = 0.3  # seconds between tries, jittered
MAX_DOCUMENT_BYTES = 1_000_000


class Stored(NamedTuple):
    """A team's document with the store's revision of its key (0: never written)."""

    document: Document
    mod_revision: int


class Accepted(NamedTuple):
    """An accepted change."""

    change: Change
    delta: Mapping[str, str | None]


class SettingsWriter:
    """Reads and writes the document of one team."""

    def __init__(
        self, platform: PlatformClient, team: str, key: SigningKey, clock: Clock, rng: Random
    ) -> None:
        self._platform = platform
        self._team = team
        self._key = key
        self._clock = clock
        self._rng = rng

    async def read(self) -> Stored:
        """Return what is stored; raises `PlatformUnavailable` or `BadDocument`."""
        entries, _ = await self._platform.read(settings_key(self._team))
        if not entries:
            return Stored(Document.empty(self._team), 0)
        checked = decode_document(entries[0].value, self._team, (self._key.verify_key,))
        if checked.is_error():
            raise checked.error
        return Stored(checked.ok, entries[0].mod_revision)

    async def write(
        self,
        paths: Mapping[str, str],
        author: str,
        reason: str,
        base: Stored,
    ) -> Accepted:
        """Replace the team's settings as they were at `base`.

        Raises `InvalidSettings` before anything is sent, `WriteConflict` when another change
        was accepted first, `WriteUndetermined` when the service stayed silent.
        """
        faults = check_paths(dict(paths))
        if faults:
            raise InvalidSettings(f"settings of {self._team}", faults)
        delta = difference(base.document.paths, paths)
        change = Change(
            revision=base.document.revision + 1,
            write_id=self._rng.randbytes(8).hex(),
            author=author,
            time=self._clock.time(),
            reason=reason,
            paths=tuple(sorted(delta)),
        )
        data = encode_document(base.document.changed(paths, change, self._key))
        if len(data) > MAX_DOCUMENT_BYTES:
            fault = Fault("", "", str(len(data)), f"write at most {MAX_DOCUMENT_BYTES} bytes")
            raise InvalidSettings(f"settings of {self._team}", [fault])
        if not await self._store(data, base, change):
            await self._raise_conflict(base, change)
        return Accepted(change, delta)

    async def _store(self, data: bytes, base: Stored, change: Change) -> bool:
        key = settings_key(self._team)
        give_up_at = self._clock.monotonic() + WRITE_PATIENCE
        may_have_written = False
        while True:
            try:
                if await self._platform.put_if(key, data, base.mod_revision):
                    return True
                return may_have_written and await self._found(change)
            except PlatformUnavailable as exc:
                silent: Exception = exc
            except WriteUndetermined as exc:
                silent = exc
                may_have_written = True
            if self._clock.monotonic() >= give_up_at:
                self._raise_silent(change, may_have_written, silent)
            await asyncio.sleep(WRITE_PAUSE * (0.5 + self._rng.random()))

    async def _found(self, change: Change) -> bool:
        stored = await self._read_for(change)
        found = stored.document.find_write(change.write_id)
        if found is None and stored.document.revision > change.revision:
            oldest = min((c.revision for c in stored.document.recent), default=0)
            if oldest > change.revision:
                self._raise_silent(change, True, None)
        return found is not None

    async def _read_for(self, change: Change) -> Stored:
        try:
            return await self.read()
        except (PlatformUnavailable, BadDocument) as exc:
            self._raise_silent(change, True, exc)
            raise AssertionError from exc

    def _raise_silent(self, change: Change, may_have: bool, cause: Exception | None) -> None:
        if not may_have:
            raise PlatformUnavailable(
                f"the platform's service did not answer; write {change.write_id} was NOT made, "
                f"write again when it is back"
            ) from cause
        raise WriteUndetermined(
            f"the service stayed silent; whether write {change.write_id} was accepted is not "
            f"known yet. Find out with: thorntrayctl history {self._team} "
            f"--write-id {change.write_id}"
        ) from cause

    async def _raise_conflict(self, base: Stored, change: Change) -> None:
        stored = await self._read_for(change)
        since = [c for c in stored.document.recent if c.revision > base.document.revision]
        told = "; ".join(
            f"revision {c.revision} by {c.author} ({c.reason}): {', '.join(c.paths[:5])}"
            for c in since
        )
        raise WriteConflict(
            f"not written: {self._team} has moved from revision {base.document.revision} to "
            f"{stored.document.revision}: {told}. Look at it with `thorntrayctl plan`, then "
            f"write again"
        )

"""Writes a team's settings by compare-and-swap and reports reliably whether a write was accepted.

The response of the platform's key-value service can be lost after a write has taken effect. Each
write therefore has an id that is stored in the document, and is retried unchanged until a response
arrives. The transaction compares the key's revision, so the write takes effect at most once. If
the comparison of a retry fails, the write id in the stored document shows whether an earlier
attempt succeeded.
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
    compute_delta,
    decode_document,
    encode_document,
)
from thorntray.internal.version.schema import check_paths

WRITE_RETRY_TIMEOUT = 20.0  # seconds for which a write without a response is retried
WRITE_RETRY_DELAY = 0.3  # seconds between attempts, with jitter of +-50 %
MAX_DOCUMENT_BYTES = 1_000_000


class StoredDocument(NamedTuple):
    """A team's document and the store's revision of its key, 0 if it was never written."""

    document: Document
    mod_revision: int


class AcceptedChange(NamedTuple):
    """An accepted change and its delta: new values by path, None for removed paths."""

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

    async def read(self) -> StoredDocument:
        """Return the stored document; raises `PlatformUnavailable` or `BadDocument`."""
        entries, _ = await self._platform.read(settings_key(self._team))
        if not entries:
            return StoredDocument(Document.empty(self._team), 0)
        checked = decode_document(entries[0].value, self._team, (self._key.verify_key,))
        if checked.is_error():
            raise checked.error
        return StoredDocument(checked.ok, entries[0].mod_revision)

    async def write(
        self,
        paths: Mapping[str, str],
        author: str,
        reason: str,
        base: StoredDocument,
    ) -> AcceptedChange:
        """Replace the team's settings, provided that the stored document is still `base`.

        Raises `InvalidSettings` before anything is sent, `WriteConflict` if another change was
        accepted first, `PlatformUnavailable` if the service did not respond and nothing was
        written, and `WriteUndetermined` if the outcome is unknown.
        """
        faults = check_paths(dict(paths))
        if faults:
            raise InvalidSettings(f"settings of {self._team}", faults)
        delta = compute_delta(base.document.paths, paths)
        change = Change(
            revision=base.document.revision + 1,
            write_id=self._rng.randbytes(8).hex(),
            author=author,
            time=self._clock.time(),
            reason=reason,
            paths=tuple(sorted(delta)),
        )
        data = encode_document(base.document.with_change(paths, change, self._key))
        if len(data) > MAX_DOCUMENT_BYTES:
            fault = Fault("", "", str(len(data)), f"write at most {MAX_DOCUMENT_BYTES} bytes")
            raise InvalidSettings(f"settings of {self._team}", [fault])
        if not await self._put_with_retries(data, base, change):
            await self._raise_conflict(base, change)
        return AcceptedChange(change, delta)

    async def _put_with_retries(self, data: bytes, base: StoredDocument, change: Change) -> bool:
        key = settings_key(self._team)
        deadline = self._clock.monotonic() + WRITE_RETRY_TIMEOUT
        may_have_written = False
        while True:
            try:
                if await self._platform.put_if(key, data, base.mod_revision):
                    return True
                return may_have_written and await self._was_accepted(change)
            except PlatformUnavailable as exc:
                last_error: Exception = exc
            except WriteUndetermined as exc:
                last_error = exc
                may_have_written = True
            if self._clock.monotonic() >= deadline:
                self._raise_unanswered(change, may_have_written, last_error)
            await asyncio.sleep(WRITE_RETRY_DELAY * (0.5 + self._rng.random()))

    async def _was_accepted(self, change: Change) -> bool:
        stored = await self._read_outcome(change)
        found = stored.document.find_write(change.write_id)
        if found is None and stored.document.revision > change.revision:
            oldest = min((c.revision for c in stored.document.recent), default=0)
            if oldest > change.revision:
                # The recent changes no longer reach back to this write.
                self._raise_unanswered(change, True, None)
        return found is not None

    async def _read_outcome(self, change: Change) -> StoredDocument:
        try:
            return await self.read()
        except (PlatformUnavailable, BadDocument) as exc:
            self._raise_unanswered(change, True, exc)
            raise AssertionError from exc

    def _raise_unanswered(
        self, change: Change, may_have_written: bool, cause: Exception | None
    ) -> None:
        if not may_have_written:
            raise PlatformUnavailable(
                f"the platform's service did not answer; write {change.write_id} was NOT made; "
                f"retry when the service is available"
            ) from cause
        raise WriteUndetermined(
            f"the platform's service did not answer; it is not known whether write "
            f"{change.write_id} was accepted. Check with: thorntrayctl history {self._team} "
            f"--write-id {change.write_id}"
        ) from cause

    async def _raise_conflict(self, base: StoredDocument, change: Change) -> None:
        stored = await self._read_outcome(change)
        newer_changes = [c for c in stored.document.recent if c.revision > base.document.revision]
        summary = "; ".join(
            f"revision {c.revision} by {c.author} ({c.reason}): {', '.join(c.paths[:5])}"
            for c in newer_changes
        )
        raise WriteConflict(
            f"not written: {self._team} has changed from revision {base.document.revision} to "
            f"{stored.document.revision}: {summary}. Review with `thorntrayctl plan`, then retry"
        )

"""A team's document: all settings of the team and its recent changes, signed.

The platform's key-value service stores one document per team, which is replaced by
compare-and-swap. `revision` is part of the document and only increases, so a stale read or a
store restored from a backup cannot make an old document look new. The Ed25519 signature covers
all other fields. Nodes hold only public keys, and may hold several per team so that a key can be
rotated without downtime.
"""

import hashlib
from collections.abc import Mapping
from typing import Self

import msgspec
from expression import Error, Ok, Result
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from thorntray.errors import BadDocument
from thorntray.internal.version.schema import check_paths

MAX_RECENT_CHANGES = 64  # changes listed in a document; older ones are dropped
DOCUMENT_FORMAT = 1


class Change(msgspec.Struct, frozen=True):
    """One accepted change. `time` is a Unix timestamp in seconds; `paths` are those changed."""

    revision: int
    write_id: str
    author: str
    time: float
    reason: str
    paths: tuple[str, ...]


class Document(msgspec.Struct, frozen=True):
    """A team's settings at one revision. `signature` is in hexadecimal, empty if unsigned."""

    format: int
    team: str
    revision: int
    paths: dict[str, str]
    recent: tuple[Change, ...]
    signature: str = ""

    @classmethod
    def empty(cls, team: str) -> Self:
        """Return the document of a team without settings: revision 0, unsigned."""
        return cls(DOCUMENT_FORMAT, team, 0, {}, ())

    def digest(self) -> bytes:
        """Return the BLAKE2b digest (32 bytes) that is signed."""
        unsigned = msgspec.structs.replace(self, signature="")
        encoded = msgspec.json.encode(unsigned, order="deterministic")
        return hashlib.blake2b(encoded, digest_size=32).digest()

    def with_change(self, paths: Mapping[str, str], change: Change, key: SigningKey) -> "Document":
        """Return a signed document with these paths at the revision of `change`."""
        recent = (*self.recent, change)[-MAX_RECENT_CHANGES:]
        unsigned = Document(DOCUMENT_FORMAT, self.team, change.revision, dict(paths), recent)
        signature = key.sign(unsigned.digest()).signature.hex()
        return msgspec.structs.replace(unsigned, signature=signature)

    def find_write(self, write_id: str) -> Change | None:
        """Return the change with this write id, None if it is not among the recent changes."""
        return next((change for change in self.recent if change.write_id == write_id), None)


def encode_document(document: Document) -> bytes:
    """Return the JSON encoding that is stored in the platform's service."""
    return msgspec.json.encode(document, order="deterministic")


def compute_delta(old: Mapping[str, str], new: Mapping[str, str]) -> dict[str, str | None]:
    """Return the paths that were added or changed, and None for each removed path."""
    delta: dict[str, str | None] = {p: v for p, v in new.items() if old.get(p) != v}
    delta.update({path: None for path in old if path not in new})
    return delta


def apply_delta(old: Mapping[str, str], delta: Mapping[str, str | None]) -> dict[str, str]:
    """Return `old` with the changes of `delta` applied."""
    merged = {**old, **delta}
    return {path: value for path, value in merged.items() if value is not None}


def decode_document(
    data: bytes, team: str, keys: tuple[VerifyKey, ...]
) -> Result[Document, BadDocument]:
    """Decode and check a stored document; it is rejected as a whole if any part is faulty."""
    try:
        document = msgspec.json.decode(data, type=Document)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Error(BadDocument(f"document of {team}: {exc}; apply the settings again"))
    return check_document(document, team, keys)


def check_document(
    document: Document, team: str, keys: tuple[VerifyKey, ...]
) -> Result[Document, BadDocument]:
    """Check the team, the signature and all paths of a document."""
    if document.team != team:
        return Error(BadDocument(f"document of {document.team} is stored under the key of {team}"))
    if document.revision == 0 and not document.paths:
        return Ok(document)
    if not any(_signed_by(document, key) for key in keys):
        return Error(
            BadDocument(
                f"document of {team}, revision {document.revision}: not signed by a known key; "
                f"add the team's new public key to the nodes or apply with a known key"
            )
        )
    faults = check_paths(document.paths)
    if faults:
        return Error(BadDocument(f"document of {team}: {faults[0]} ({len(faults)} fault(s))"))
    return Ok(document)


def _signed_by(document: Document, key: VerifyKey) -> bool:
    try:
        key.verify(document.digest(), bytes.fromhex(document.signature))
    except (BadSignatureError, ValueError):
        return False
    return True

"""A team's document: its whole subtree, signed, with the latest changes.

One document for each team lies in the platform's service and is replaced by compare-and-swap.
`revision` counts inside the document and only grows, so that a lagging read or a restored store
cannot make an old document look new. The signature (Ed25519) covers everything; nodes hold
only public keys, several for each team, so that a key is changed without downtime.
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

MAX_RECENT_CHANGES = 64  # kept in the document
DOCUMENT_FORMAT = 1


class Change(msgspec.Struct, frozen=True):
    """One accepted change. `time` is seconds since 1970 UTC."""

    revision: int
    write_id: str
    author: str
    time: float
    reason: str
    paths: tuple[str, ...]


class Document(msgspec.Struct, frozen=True):
    """A team's settings at one revision."""

    format: int
    team: str
    revision: int
    paths: dict[str, str]
    recent: tuple[Change, ...]
    signature: str = ""

    @classmethod
    def empty(cls, team: str) -> Self:
        """Return the document of a team that has written nothing."""
        return cls(DOCUMENT_FORMAT, team, 0, {}, ())

    def digest(self) -> bytes:
        """Return the digest that the signature covers."""
        unsigned = msgspec.structs.replace(self, signature="")
        encoded = msgspec.json.encode(unsigned, order="deterministic")
        return hashlib.blake2b(encoded, digest_size=32).digest()

    def changed(self, paths: Mapping[str, str], change: Change, key: SigningKey) -> "Document":
        """Return the next document, signed."""
        recent = (*self.recent, change)[-MAX_RECENT_CHANGES:]
        unsigned = Document(DOCUMENT_FORMAT, self.team, change.revision, dict(paths), recent)
        signature = key.sign(unsigned.digest()).signature.hex()
        return msgspec.structs.replace(unsigned, signature=signature)

    def find_write(self, write_id: str) -> Change | None:
        """Return the change that a write made, if it is among the recent ones."""
        return next((change for change in self.recent if change.write_id == write_id), None)


def encode_document(document: Document) -> bytes:
    """Return the form kept in the platform's service."""
    return msgspec.json.encode(document, order="deterministic")


def difference(old: Mapping[str, str], new: Mapping[str, str]) -> dict[str, str | None]:
    """Return what changed; None marks a removed path."""
    changed: dict[str, str | None] = {p: v for p, v in new.items() if old.get(p) != v}
    changed.update({path: None for path in old if path not in new})
    return changed


def apply_difference(old: Mapping[str, str], delta: Mapping[str, str | None]) -> dict[str, str]:
    """Return the paths after a difference."""
    merged = {**old, **delta}
    return {path: value for path, value in merged.items() if value is not None}


def decode_document(
    data: bytes, team: str, keys: tuple[VerifyKey, ...]
) -> Result[Document, BadDocument]:
    """Decode and check a document; a faulty one is refused whole."""
    try:
        document = msgspec.json.decode(data, type=Document)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return Error(BadDocument(f"document of {team}: {exc}; apply the settings again"))
    return check_document(document, team, keys)


def check_document(
    document: Document, team: str, keys: tuple[VerifyKey, ...]
) -> Result[Document, BadDocument]:
    """Check team, signature and every path of a document."""
    if document.team != team:
        return Error(BadDocument(f"document of {document.team} lies in the subtree of {team}"))
    if document.revision == 0 and not document.paths:
        return Ok(document)
    if not any(_signed_by(document, key) for key in keys):
        return Error(
            BadDocument(
                f"document of {team}, revision {document.revision}: no known key signed it; "
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

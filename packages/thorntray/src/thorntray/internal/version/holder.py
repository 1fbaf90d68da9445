"""The settings in force at one node, and their transfer between nodes.

A document is applied only as a whole, after validation, and if its revision is higher than the
current one; a node never returns to an older revision. If a new document is faulty, the current
one stays in force. Nodes send each other a delta if the receiver's revision is among those kept
here: at the target size, sending the whole document for each change would exhaust the bandwidth
available for control traffic.
"""

from collections import OrderedDict
from collections.abc import Callable, Mapping

import msgspec
from expression import Error, Result
from nacl.signing import VerifyKey

from thorntray.errors import BadDocument
from thorntray.internal.connection.message import DocumentReply, FetchDocument
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.document import (
    DOCUMENT_FORMAT,
    MAX_RECENT_CHANGES,
    Change,
    Document,
    apply_delta,
    check_document,
    compute_delta,
    decode_document,
    encode_document,
)
from thorntray.internal.version.settings import Settings

MAX_DELTAS_PER_TEAM = 32  # a receiver with an older revision gets the whole document


class _DocumentDelta(msgspec.Struct, array_like=True, frozen=True):
    changes: tuple[Change, ...]
    paths: dict[str, str | None]
    signature: str


class SettingsHolder:
    """The documents of all teams at one node.

    `keys` gives the public keys of each team; documents of other teams are not applied.
    `on_change` is called after each change of the settings in force. `refused_documents` gives the
    reason for each team whose document was refused, until a newer one is applied.
    """

    def __init__(
        self, keys: Mapping[str, tuple[VerifyKey, ...]], on_change: Callable[[], None]
    ) -> None:
        self._keys = keys
        self._on_change = on_change
        self._documents: dict[str, Document] = {}
        # For each team: by older revision, the delta to the revision that replaced it.
        self._deltas: dict[str, OrderedDict[int, Mapping[str, str | None]]] = {}
        self.refused_documents: dict[str, str] = {}
        self.settings = Settings.empty()

    @property
    def teams(self) -> list[str]:
        """Return the teams whose documents this node accepts, sorted."""
        return sorted(self._keys)

    def revisions(self) -> dict[str, int]:
        """Return the current revision of each team that has a document."""
        return {team: document.revision for team, document in self._documents.items()}

    def revision(self, team: str) -> int:
        """Return the current revision of a team, 0 if it has no document."""
        document = self._documents.get(team)
        return document.revision if document else 0

    def document(self, team: str) -> Document | None:
        """Return the current document of a team, None if there is none."""
        return self._documents.get(team)

    def apply_stored(self, team: str, data: bytes) -> bool:
        """Apply a document from the platform's service; return whether it is now in force."""
        return self._apply_if_valid(team, decode_document(data, team, self._keys.get(team, ())))

    def apply_reply(self, reply: DocumentReply) -> bool:
        """Apply a document or delta from another node; return whether it is now in force."""
        if reply.team not in self._keys or not reply.payload:
            return False
        if reply.base == 0:
            return self.apply_stored(reply.team, reply.payload)
        return self._apply_if_valid(reply.team, self._document_from_delta(reply))

    def create_reply(self, request: FetchDocument) -> DocumentReply:
        """Return the document for another node, as a delta if its revision is among those kept.

        The reply is empty if that node's revision is current.
        """
        document = self._documents.get(request.team)
        if document is None or document.revision <= request.held_revision:
            return DocumentReply(request.team, 0, 0, b"")
        merged = self._delta_since(request.team, request.held_revision)
        if merged is None:
            return DocumentReply(request.team, document.revision, 0, encode_document(document))
        changes = tuple(
            change for change in document.recent if change.revision > request.held_revision
        )
        delta = _DocumentDelta(changes, merged, document.signature)
        payload = msgspec.msgpack.encode(delta)
        return DocumentReply(request.team, document.revision, request.held_revision, payload)

    def _delta_since(self, team: str, revision: int) -> dict[str, str | None] | None:
        """Return the changes since a revision, None if its delta is no longer kept."""
        deltas = self._deltas.get(team, {})
        if revision not in deltas:
            return None
        merged: dict[str, str | None] = {}
        for base_revision, delta in deltas.items():
            if base_revision >= revision:
                merged.update(delta)
        return merged

    def _document_from_delta(self, reply: DocumentReply) -> Result[Document, BadDocument]:
        current = self._documents.get(reply.team)
        if current is None or current.revision != reply.base:
            return Error(
                BadDocument(f"delta of {reply.team} has another base revision; fetch it whole")
            )
        try:
            delta = msgspec.msgpack.decode(reply.payload, type=_DocumentDelta)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            return Error(BadDocument(f"cannot decode delta of {reply.team}: {exc}; fetch it again"))
        document = Document(
            DOCUMENT_FORMAT,
            reply.team,
            reply.revision,
            apply_delta(current.paths, delta.paths),
            (*current.recent, *delta.changes)[-MAX_RECENT_CHANGES:],
            delta.signature,
        )
        return check_document(document, reply.team, self._keys[reply.team])

    def _apply_if_valid(self, team: str, checked: Result[Document, BadDocument]) -> bool:
        match checked:
            case Result(tag="error", error=exc):
                self.refused_documents[team] = str(exc)
                log_event(Event.DOCUMENT_REFUSED, team=team, detail=str(exc))
                return False
            case Result(tag="ok", ok=document):
                return self._replace_if_newer(team, document)
        raise AssertionError("a result is either ok or error")

    def _replace_if_newer(self, team: str, document: Document) -> bool:
        current = self._documents.get(team)
        if current is not None and document.revision <= current.revision:
            return False
        if current is None and document.revision == 0:
            return False
        if current is not None:
            deltas = self._deltas.setdefault(team, OrderedDict())
            deltas[current.revision] = compute_delta(current.paths, document.paths)
            while len(deltas) > MAX_DELTAS_PER_TEAM:
                deltas.popitem(last=False)
        self._documents[team] = document
        self.refused_documents.pop(team, None)
        self.settings = Settings.from_documents(
            {name: (doc.revision, doc.paths) for name, doc in self._documents.items()}
        )
        log_event(Event.SETTINGS_IN_FORCE, team=team, revision=document.revision)
        self._on_change()
        return True

"""The settings in force at one node, and the way they move between nodes.

A document is taken only whole, checked, and with a higher revision than the one held: a node
never goes back. What was held stays when a new one is faulty. Between nodes a document travels
as a difference whenever the receiver's revision is among those remembered here: at the target
size a whole document for each change would use up the bandwidth for control alone.
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
    apply_difference,
    check_document,
    decode_document,
    difference,
    encode_document,
)
from thorntray.internal.version.settings import Settings

MAX_DIFFERENCES = 32  # remembered for each team


class _Difference(msgspec.Struct, array_like=True, frozen=True):
    changes: tuple[Change, ...]
    paths: dict[str, str | None]
    signature: str


class SettingsHolder:
    """The documents of all teams at one node. `keys` gives each team's public keys."""

    def __init__(
        self, keys: Mapping[str, tuple[VerifyKey, ...]], on_change: Callable[[], None]
    ) -> None:
        self._keys = keys
        self._on_change = on_change
        self._documents: dict[str, Document] = {}
        # For each team, what changed from each older revision to the next one held.
        self._steps: dict[str, OrderedDict[int, Mapping[str, str | None]]] = {}
        self.refused: dict[str, str] = {}
        self.settings = Settings.empty()

    @property
    def teams(self) -> list[str]:
        """Return the teams whose documents this node takes."""
        return sorted(self._keys)

    def heads(self) -> dict[str, int]:
        """Return the revision held of each team."""
        return {team: document.revision for team, document in self._documents.items()}

    def revision(self, team: str) -> int:
        """Return the revision held of a team, 0 for none."""
        document = self._documents.get(team)
        return document.revision if document else 0

    def document(self, team: str) -> Document | None:
        """Return the document held of a team."""
        return self._documents.get(team)

    def offer_stored(self, team: str, data: bytes) -> bool:
        """Take a document from the platform's service; returns whether it is now in force."""
        return self._offer(team, decode_document(data, team, self._keys.get(team, ())))

    def offer_reply(self, reply: DocumentReply) -> bool:
        """Take a document from another node; returns whether it is now in force."""
        if reply.team not in self._keys or not reply.payload:
            return False
        if reply.base == 0:
            return self.offer_stored(reply.team, reply.payload)
        return self._offer(reply.team, self._merge(reply))

    def answer(self, ask: FetchDocument) -> DocumentReply:
        """Return a document for another node, as a difference where that is possible."""
        document = self._documents.get(ask.team)
        if document is None or document.revision <= ask.held_revision:
            return DocumentReply(ask.team, 0, 0, b"")
        merged = self._changes_since(ask.team, ask.held_revision)
        if merged is None:
            return DocumentReply(ask.team, document.revision, 0, encode_document(document))
        changes = tuple(change for change in document.recent if change.revision > ask.held_revision)
        delta = _Difference(changes, merged, document.signature)
        payload = msgspec.msgpack.encode(delta)
        return DocumentReply(ask.team, document.revision, ask.held_revision, payload)

    def _changes_since(self, team: str, revision: int) -> dict[str, str | None] | None:
        """Return what changed since a revision, None when it is no longer remembered."""
        steps = self._steps.get(team, {})
        if revision not in steps:
            return None
        merged: dict[str, str | None] = {}
        for before, step in steps.items():
            if before >= revision:
                merged.update(step)
        return merged

    def _merge(self, reply: DocumentReply) -> Result[Document, BadDocument]:
        held = self._documents.get(reply.team)
        if held is None or held.revision != reply.base:
            return Error(BadDocument(f"difference of {reply.team} does not fit; ask for the whole"))
        try:
            delta = msgspec.msgpack.decode(reply.payload, type=_Difference)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            return Error(BadDocument(f"garbled difference of {reply.team}: {exc}; ask again"))
        document = Document(
            DOCUMENT_FORMAT,
            reply.team,
            reply.revision,
            apply_difference(held.paths, delta.paths),
            (*held.recent, *delta.changes)[-MAX_RECENT_CHANGES:],
            delta.signature,
        )
        return check_document(document, reply.team, self._keys[reply.team])

    def _offer(self, team: str, checked: Result[Document, BadDocument]) -> bool:
        match checked:
            case Result(tag="error", error=exc):
                self.refused[team] = str(exc)
                log_event(Event.DOCUMENT_REFUSED, team=team, detail=str(exc))
                return False
            case Result(tag="ok", ok=document):
                return self._take(team, document)
        raise AssertionError("a result is ok or error")

    def _take(self, team: str, document: Document) -> bool:
        held = self._documents.get(team)
        if held is not None and document.revision <= held.revision:
            return False
        if held is None and document.revision == 0:
            return False
        if held is not None:
            steps = self._steps.setdefault(team, OrderedDict())
            steps[held.revision] = difference(held.paths, document.paths)
            while len(steps) > MAX_DIFFERENCES:
                steps.popitem(last=False)
        self._documents[team] = document
        self.refused.pop(team, None)
        self.settings = Settings.from_documents(
            {name: (doc.revision, doc.paths) for name, doc in self._documents.items()}
        )
        log_event(Event.SETTINGS_IN_FORCE, team=team, revision=document.revision)
        self._on_change()
        return True

"""Fetches settings documents from peers that hold a higher revision.

Membership datagrams carry the revisions that the sender holds. A node that receives a higher one
fetches the document from that sender, with at most one fetch for each team at a time. So the load
is spread over all nodes that already have the document.
"""

from thorntray.errors import BadMessage, PeerLost, PeerUnreachable
from thorntray.internal.connection.message import DocumentReply, FetchDocument
from thorntray.internal.membership.member import Member
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.outbound import Peers
from thorntray.internal.version.holder import SettingsHolder

FETCH_TIMEOUT = 2.0  # seconds


class SettingsSync:
    """Brings a settings holder up to the highest revisions of its peers."""

    def __init__(self, holder: SettingsHolder, peers: Peers) -> None:
        self._holder = holder
        self._peers = peers
        self._fetching: set[str] = set()
        self._tasks = BackgroundTasks()
        self.fetched = 0

    def on_revisions(self, sender: Member, revisions: dict[str, int]) -> None:
        """Start a fetch for each team of which a peer holds a higher revision."""
        for team, revision in revisions.items():
            if team not in self._holder.teams or team in self._fetching:
                continue
            if revision > self._holder.revision(team):
                self._fetching.add(team)
                self._tasks.spawn(self._fetch(sender, team))

    async def _fetch(self, sender: Member, team: str) -> None:
        try:
            applied = await self._request_document(
                sender, FetchDocument(team, self._holder.revision(team))
            )
            if not applied:
                # The delta did not apply to the held document: fetch the whole document.
                await self._request_document(sender, FetchDocument(team, 0))
        finally:
            self._fetching.discard(team)

    async def _request_document(self, sender: Member, request: FetchDocument) -> bool:
        try:
            reply = await self._peers.request(sender, request, FETCH_TIMEOUT)
        except (PeerUnreachable, PeerLost, BadMessage):
            return True  # datagrams of other peers will soon start another fetch
        if not isinstance(reply, DocumentReply):
            return True
        self.fetched += 1
        return self._holder.apply_reply(reply) or reply.base == 0

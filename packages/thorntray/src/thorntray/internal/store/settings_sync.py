"""Fetches documents from peers that have a higher revision.

Revisions travel on every datagram of the membership (`heads`). A node that hears of a higher
one fetches the document from the peer that said so, one fetch for each team at a time, so the
load spreads over all that have it already.
"""

from thorntray.errors import BadMessage, PeerLost, PeerUnreachable
from thorntray.internal.connection.message import DocumentReply, FetchDocument
from thorntray.internal.membership.member import Member
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.outbound import Peers
from thorntray.internal.version.holder import SettingsHolder

FETCH_TIMEOUT = 2.0  # seconds


class SettingsSync:
    """Keeps a holder up with its peers."""

    def __init__(self, holder: SettingsHolder, peers: Peers) -> None:
        self._holder = holder
        self._peers = peers
        self._fetching: set[str] = set()
        self._tasks = BackgroundTasks()
        self.fetched = 0

    def on_revisions(self, sender: Member, revisions: dict[str, int]) -> None:
        """Take the revisions that a peer holds."""
        for team, revision in revisions.items():
            if team not in self._holder.teams or team in self._fetching:
                continue
            if revision > self._holder.revision(team):
                self._fetching.add(team)
                self._tasks.spawn(self._fetch(sender, team))

    async def _fetch(self, sender: Member, team: str) -> None:
        try:
            taken = await self._ask(sender, FetchDocument(team, self._holder.revision(team)))
            if not taken:
                # A difference that did not fit: the whole document is always good.
                await self._ask(sender, FetchDocument(team, 0))
        finally:
            self._fetching.discard(team)

    async def _ask(self, sender: Member, ask: FetchDocument) -> bool:
        try:
            reply = await self._peers.request(sender, ask, FETCH_TIMEOUT)
        except (PeerUnreachable, PeerLost, BadMessage):
            return True  # another peer will say the same soon
        if not isinstance(reply, DocumentReply):
            return True
        self.fetched += 1
        return self._holder.offer_reply(reply) or reply.base == 0

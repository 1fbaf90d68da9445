"""Repair of differences between the views of two nodes, and transfer of a whole view to a new node.

Gossip may lose updates. A digest holds one hash for each bucket of members; the node that receives
it sends the members of the buckets that differ. The datagrams of a repair are spaced so that many
repairs at once, as after a partition, do not use up the bandwidth.
"""

import asyncio
from random import Random

from thorntray.internal.membership.gossip import (
    MAX_DATAGRAM_BYTES,
    Digest,
    encoded_size,
)
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.member_view import MemberView
from thorntray.internal.membership.sender import DatagramSender
from thorntray.internal.process.tasks import BackgroundTasks

MAX_REPAIR_MEMBERS = 200  # members in one repair
JOIN_INTERVAL = 0.02  # seconds between datagrams to a joining node, which waits for them
REPAIR_INTERVAL = 0.4  # seconds between datagrams of a repair; limits its bandwidth
_HEADER_BYTES = 250  # room left for the other fields of a datagram


class Repair:
    """Sends members to nodes whose view lacks them."""

    def __init__(self, view: MemberView, sender: DatagramSender, rng: Random) -> None:
        self._view = view
        self._sender = sender
        self._rng = rng
        self._repairing = False
        self._tasks = BackgroundTasks()

    async def stop(self) -> None:
        """End all transfers."""
        await self._tasks.stop()

    def send_digest(self) -> None:
        """Send the hashes of this node's view to a random member."""
        for member in self._view.sample(self._rng, 1):
            digest = Digest(self._view.own, self._sender.revisions, self._view.bucket_hashes())
            self._sender.send(digest, member)

    def send_all(self, receiver: Member) -> None:
        """Start to send all members to a node that joins."""
        members = list(self._view.all())
        self._tasks.spawn(self._send_members(receiver, members, JOIN_INTERVAL))

    def on_digest(self, sender: Member, buckets: tuple[int, ...]) -> None:
        """Start to send the members of all buckets that differ from those in a digest."""
        own_hashes = self._view.bucket_hashes()
        if len(buckets) != len(own_hashes):
            return
        differing = {
            i
            for i, (mine, theirs) in enumerate(zip(own_hashes, buckets, strict=True))
            if mine != theirs
        }
        if differing and not self._repairing:
            self._tasks.spawn(self._repair(sender, differing))

    async def _repair(self, receiver: Member, buckets: set[int]) -> None:
        self._repairing = True  # only one repair runs at a time
        try:
            members = self._view.members_in_buckets(buckets)
            chosen = self._rng.sample(members, min(MAX_REPAIR_MEMBERS, len(members)))
            await self._send_members(receiver, chosen, REPAIR_INTERVAL)
        finally:
            self._repairing = False

    async def _send_members(self, receiver: Member, members: list[Member], interval: float) -> None:
        self._rng.shuffle(members)  # answers of several members then cover all records sooner
        while members:
            room = MAX_DATAGRAM_BYTES - _HEADER_BYTES
            batch: list[Member] = []
            while members and (room := room - encoded_size(members[-1])) >= 0:
                batch.append(members.pop())
            self._sender.spread(tuple(batch), receiver)
            await asyncio.sleep(interval)

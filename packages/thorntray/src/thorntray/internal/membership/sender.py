"""Outgoing datagrams of one node's membership protocol, with the pending updates piggybacked.

Probing, gossip and repair all send; the byte count and the choice of updates stand here once.
"""

from collections.abc import Callable
from typing import Protocol

from thorntray.internal.membership.gossip import (
    Ack,
    Address,
    Datagram,
    Ping,
    Revisions,
    Spread,
    encode_datagram,
)
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.membership.member_view import MemberView

PIGGYBACK_BYTES = 500  # budget for the updates in one datagram


class Transport(Protocol):
    """Sends datagrams, which may be lost, delayed or duplicated."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram."""
        ...


class DatagramSender:
    """Sends datagrams for one node. `revisions` returns the settings revisions to send."""

    def __init__(
        self, view: MemberView, transport: Transport, revisions: Callable[[], Revisions]
    ) -> None:
        self._view = view
        self._transport = transport
        self._revisions = revisions
        self.bytes_sent = 0

    @property
    def revisions(self) -> Revisions:
        """Return the settings revisions of this node."""
        return self._revisions()

    def ping(self, member: Member, sequence: int) -> None:
        """Ping a member."""
        updates = self._view.take_updates(PIGGYBACK_BYTES)
        if member.health is not Health.ALIVE:
            updates = (member, *updates)  # so that it can refute its recorded state
        self.send(Ping(sequence, self._view.own, self.revisions, updates), member)

    def ping_gone(self, member: Member) -> None:
        """Ping a member that died or left.

        If it runs, it finds its own record among the updates and refutes it.
        """
        self.send(Ping(0, self._view.own, self.revisions, (member,)), member)

    def ack(self, member: Member, sequence: int) -> None:
        """Answer a ping."""
        updates = self._view.take_updates(PIGGYBACK_BYTES)
        self.send(Ack(sequence, self._view.own, self.revisions, updates), member)

    def spread(self, updates: tuple[Member, ...], member: Member) -> int:
        """Send updates that need no answer; return the number of bytes."""
        return self.send(Spread(self._view.own, self.revisions, updates), member)

    def send(self, datagram: Datagram, member: Member) -> int:
        """Send a datagram to a member; return the number of bytes."""
        return self.send_to(datagram, Address(member.address, member.gossip_port))

    def send_to(self, datagram: Datagram, address: Address) -> int:
        """Send a datagram to an address; return the number of bytes."""
        data = encode_datagram(datagram)
        self.bytes_sent += len(data)
        self._transport.send(data, address)
        return len(data)

"""Copies that a node holds of the departures of other nodes' instances (`membership.departures`).

The fault: copies are in memory only, so those of one departure go one by one if their holders
restart in turn. Each holder therefore sends the copy on to another one that has restarted.

A holder tells with every answer for how long it has held copies. A process that is about as new as
the one that asks cannot know what was confirmed before, and "none" from it says nothing.
"""

from typing import NamedTuple

from thorntray.internal.bounded import Count, Name
from thorntray.internal.membership.gossip import (
    Address,
    DepartureQuery,
    DepartureRecorded,
    DepartureReply,
    DepartureReport,
)
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock

LIFETIME = 600.0  # seconds for which a departure is kept, longer than announcements are late
MAX_KEPT = 8  # newest departures that are kept for each node
LOCAL_HOLDERS, REMOTE_HOLDERS = 3, 2  # members that are told
RELAY_SEQUENCE = 0  # of a report that another holder sends on; owners count from 1

Boots = tuple[tuple[Name, Count, bool], ...]


class _Copy(NamedTuple):
    """The departures of one node's instance; `holders` are the names of those that hold them."""

    kept_at: float  # boot time
    boots: Boots
    holders: frozenset[str]


class DepartureCopies:
    """Holds copies for other nodes, answers their questions, and sends copies on."""

    def __init__(self, membership: Membership, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._began_at = clock.boottime()
        self._copies: dict[str, _Copy] = {}
        membership.handlers[DepartureReport] = self._on_report
        membership.handlers[DepartureQuery] = self._on_query

    @property
    def age(self) -> float:
        """Return for how many seconds this process has held copies."""
        return self._clock.boottime() - self._began_at

    def member_restarted(self, member: Member) -> None:
        """Tell a new process what its predecessor had confirmed, and which copies it had held."""
        address, boots = address_of(member), self._boots_of(member.name)
        if boots:
            self._membership.send_datagram(DepartureReply(boots, self.age), address)
        for name, copy in self._copies.items():
            if member.name in copy.holders:
                report = DepartureReport(RELAY_SEQUENCE, name, copy.boots)
                self._membership.send_datagram(report, address)

    def remove_expired(self) -> None:
        """Drop what is no longer needed; to be called periodically."""
        cutoff = self._clock.boottime() - LIFETIME
        for name in [name for name, copy in self._copies.items() if copy.kept_at < cutoff]:
            del self._copies[name]

    def _boots_of(self, name: str) -> Boots:
        return self._copies[name].boots if name in self._copies else ()

    def _on_report(self, report: DepartureReport, address: Address) -> None:
        known = [boot for boot in self._boots_of(report.member) if boot not in report.boots]
        boots = (*known, *report.boots)[-MAX_KEPT:]
        holders = self._holders_of(report.member)
        self._copies[report.member] = _Copy(self._clock.boottime(), boots, holders)
        self._membership.send_datagram(DepartureRecorded(report.sequence), address)

    def _holders_of(self, name: str) -> frozenset[str]:
        owner = self._membership.find(name)
        if owner is None:
            return frozenset()
        alive = self._membership.alive()
        holders = choose_holders(owner, alive, LOCAL_HOLDERS, REMOTE_HOLDERS)
        return frozenset(member.name for member in holders)

    def _on_query(self, query: DepartureQuery, address: Address) -> None:
        reply = DepartureReply(self._boots_of(query.member), self.age)
        self._membership.send_datagram(reply, address)


def choose_holders(owner: Member, members: list[Member], local: int, remote: int) -> list[Member]:
    """Return the first members in the owner's order, in its failure domain and outside."""
    others = [member for member in members if member.name != owner.name]
    others.sort(key=lambda member: hash64(f"departures\0{owner.name}\0{member.name}"))
    in_domain = [member for member in others if member.domain == owner.domain]
    outside = [member for member in others if member.domain != owner.domain]
    return in_domain[:local] + outside[:remote]


def address_of(member: Member) -> Address:
    """Return the address of a member for datagrams."""
    return Address(member.address, member.gossip_port)

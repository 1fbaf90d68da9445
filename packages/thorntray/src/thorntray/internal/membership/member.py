"""The record that describes one node to the other nodes.

`version` orders the records of a node. It starts at the node's start time, so the first record
of a restarted node is newer than all records of the previous process. `session` is random for
each process; grants and messages carry it, so that those meant for a process that has ended are
not accepted by the process that replaced it.
"""

from enum import IntEnum
from typing import NamedTuple

from thorntray.internal.bounded import Name, Port, RecordVersion

SESSION_BYTES = 8


class Health(IntEnum):
    """State of a member. Between records of the same version, the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


def tcp_url(host: str, port: int) -> str:
    """Return the URL of a TCP port, with an IPv6 address in brackets."""
    return f"tcp://[{host}]:{port}" if ":" in host else f"tcp://{host}:{port}"


class Member(NamedTuple):
    """One node: its addresses, its location and the service of its upstream instance."""

    name: Name
    session: bytes
    version: RecordVersion
    address: Name
    http_port: Port
    peer_port: Port
    document_port: Port
    gossip_port: Port
    service: Name
    domain: Name
    region: Name
    ready: bool = False
    health: Health = Health.ALIVE

    @property
    def document_url(self) -> str:
        """Return the URL from which peers fetch settings documents."""
        return tcp_url(self.address, self.document_port)

    @property
    def routable(self) -> bool:
        """Return whether new work may be sent to this member."""
        return self.ready and self.health is Health.ALIVE

    def supersedes(self, other: "Member") -> bool:
        """Return whether this record replaces `other`, an earlier record of the same node."""
        return (self.version, self.health) > (other.version, other.health)

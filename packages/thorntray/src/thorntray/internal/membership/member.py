"""A member: one node as the others know it.

`version` orders what a node says of itself and begins at its start time, so that a restarted
node's first announcement is newer than all of its predecessor. `session` is random at process
start; grants and messages name it, so that nothing meant for a dead process reaches its heir.
"""

from enum import IntEnum
from typing import NamedTuple

SESSION_BYTES = 8


class Health(IntEnum):
    """What the others believe of a member; the order settles equal versions."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(NamedTuple):
    """One node, its place and the service of its upstream instance."""

    name: str
    session: bytes
    version: int
    address: str
    http_port: int
    peer_port: int
    document_port: int
    gossip_port: int
    service: str
    domain: str
    region: str
    ready: bool = False
    health: Health = Health.ALIVE

    @property
    def document_url(self) -> str:
        """Return the address from which documents are fetched."""
        return f"tcp://{self.address}:{self.document_port}"

    @property
    def routable(self) -> bool:
        """Return whether new work may be sent there."""
        return self.ready and self.health is Health.ALIVE

    def supersedes(self, other: "Member") -> bool:
        """Return whether this is newer knowledge of the same node."""
        return (self.version, self.health) > (other.version, other.health)

"""One node's view of all members, and the queue of updates that it still has to send."""

from collections.abc import Iterable
from random import Random
from sys import intern

from thorntray.internal.membership.gossip import encoded_size
from thorntray.internal.membership.hashing import HASH_RANGE, hash64
from thorntray.internal.membership.member import Health, Member

DIGEST_BUCKETS = 16  # hashes in an anti-entropy digest
RETRANSMIT_FACTOR = 3  # each update is sent this many times log2 of the number of members


class MemberView:
    """The newest record of each member by name, with an index by service."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._by_service: dict[str, dict[str, Member]] = {own.service: {own.name: own}}
        self._pending: dict[str, int] = {own.name: 0}  # number of transmissions by member

    def __len__(self) -> int:
        return len(self._members)

    def get(self, name: str) -> Member | None:
        """Return the newest record of a member, None if it is unknown."""
        return self._members.get(name)

    def all(self) -> Iterable[Member]:
        """Return all members, including this node and those that are dead or have left."""
        return self._members.values()

    def service_members(self, service: str) -> list[Member]:
        """Return the members of one service that are not dead and have not left."""
        return list(self._by_service.get(service, {}).values())

    def apply(self, update: Member) -> Member | None:
        """Apply an update if it is newer than the known record.

        Returns None if it is not, else the previous record, or `update` for a new member.
        """
        known = self._members.get(update.name)
        if known is not None and not update.supersedes(known):
            return None
        self._insert(_interned(update))
        self._pending[update.name] = 0
        return known or update

    def forget(self, name: str) -> None:
        """Remove a member, after its retention period."""
        member = self._members.pop(name)
        self._pending.pop(name, None)
        self._by_service.get(member.service, {}).pop(name, None)

    def take_updates(self, byte_budget: int) -> tuple[Member, ...]:
        """Return updates of at most `byte_budget` bytes and count them as sent.

        Those that have been sent least often come first.
        """
        chosen: list[Member] = []
        limit = RETRANSMIT_FACTOR * max(1, len(self._members).bit_length())
        for name in sorted(self._pending, key=self._pending.__getitem__):
            member = self._members[name]
            byte_budget -= encoded_size(member)
            if byte_budget < 0:
                break
            chosen.append(member)
            self._pending[name] += 1
            if self._pending[name] >= limit:
                del self._pending[name]
        return tuple(chosen)

    @property
    def has_pending_updates(self) -> bool:
        """Return whether there are updates to send."""
        return bool(self._pending)

    def ring_successor(self) -> Member | None:
        """Return the next alive or suspect member on the ring of name hashes, or None."""
        own = hash64(self.own.name)
        others = [m for m in self._members.values() if m.name != self.own.name and is_probed(m)]
        return min(others, key=lambda m: (hash64(m.name) - own) % HASH_RANGE, default=None)

    def sample(self, rng: Random, count: int, exclude: str = "") -> list[Member]:
        """Return up to `count` random alive or suspect members, but not this node or `exclude`."""
        excluded = (self.own.name, exclude)
        others = [m for m in self._members.values() if is_probed(m) and m.name not in excluded]
        return rng.sample(others, min(count, len(others)))

    def bucket_hashes(self) -> tuple[int, ...]:
        """Return one hash for each bucket, which does not depend on the order of the members."""
        hashes = [0] * DIGEST_BUCKETS
        for member in self._members.values():
            text = f"{member.name}\0{member.version}\0{int(member.health)}"
            hashes[bucket_of(member.name)] ^= hash64(text)
        return tuple(hashes)

    def members_in_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members whose anti-entropy bucket is in `buckets`."""
        return [m for m in self._members.values() if bucket_of(m.name) in buckets]

    def _insert(self, member: Member) -> None:
        self._members[member.name] = member
        if member.name == self.own.name:
            self.own = member
        peers = self._by_service.setdefault(member.service, {})
        if member.health in (Health.DEAD, Health.LEFT):
            peers.pop(member.name, None)
        else:
            peers[member.name] = member


def is_probed(member: Member) -> bool:
    """Return whether a member takes part in probing and gossip."""
    return member.health in (Health.ALIVE, Health.SUSPECT)


def bucket_of(name: str) -> int:
    """Return the anti-entropy bucket of a member."""
    return hash64(name) % DIGEST_BUCKETS


def _interned(member: Member) -> Member:
    # Thousands of records repeat the same few strings; interning keeps one copy of each.
    return member._replace(
        name=intern(member.name),
        address=intern(member.address),
        service=intern(member.service),
        domain=intern(member.domain),
        region=intern(member.region),
    )

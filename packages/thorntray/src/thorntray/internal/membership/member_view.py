"""What one node believes of all members, and what it still has to tell the others."""

from collections.abc import Iterable
from random import Random
from sys import intern

from thorntray.internal.membership.gossip import encoded_size
from thorntray.internal.membership.hashing import HASH_RANGE, hash64
from thorntray.internal.membership.member import Health, Member

BUCKETS = 16  # of the anti-entropy digest
SPREAD_FACTOR = 3  # transmissions of an update, times log2 of the fleet


class MemberView:
    """Members by name, newest knowledge only, with an index by service."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._by_service: dict[str, dict[str, Member]] = {own.service: {own.name: own}}
        self._pending: dict[str, int] = {own.name: 0}  # transmissions so far

    def __len__(self) -> int:
        return len(self._members)

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def all(self) -> Iterable[Member]:
        """Return all members, this node and dead ones included."""
        return self._members.values()

    def of_service(self, service: str) -> list[Member]:
        """Return the members of one service that are not dead and have not left."""
        return list(self._by_service.get(service, {}).values())

    def apply(self, update: Member) -> Member | None:
        """Take an update if it is news; returns what was believed before, or the update."""
        known = self._members.get(update.name)
        if known is not None and not update.supersedes(known):
            return None
        self._store(_interned(update))
        self._pending[update.name] = 0
        return known or update

    def forget(self, name: str) -> None:
        """Drop a member that has been gone for long."""
        member = self._members.pop(name)
        self._pending.pop(name, None)
        self._by_service.get(member.service, {}).pop(name, None)

    def take_updates(self, byte_budget: int) -> tuple[Member, ...]:
        """Return updates to send, least often sent first, and count them as sent."""
        chosen: list[Member] = []
        limit = SPREAD_FACTOR * max(1, len(self._members).bit_length())
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
    def has_news(self) -> bool:
        """Return whether updates wait to be sent."""
        return bool(self._pending)

    def ring_successor(self) -> Member | None:
        """Return the next member on the ring of name hashes that is not gone."""
        own = hash64(self.own.name)
        others = [m for m in self._members.values() if m.name != self.own.name and is_probed(m)]
        return min(others, key=lambda m: (hash64(m.name) - own) % HASH_RANGE, default=None)

    def sample(self, rng: Random, count: int, without: str = "") -> list[Member]:
        """Return random other members that are not gone."""
        skip = (self.own.name, without)
        others = [m for m in self._members.values() if is_probed(m) and m.name not in skip]
        return rng.sample(others, min(count, len(others)))

    def buckets(self) -> tuple[int, ...]:
        """Return one hash for each bucket of members, independent of their order."""
        sums = [0] * BUCKETS
        for member in self._members.values():
            text = f"{member.name}\0{member.version}\0{int(member.health)}"
            sums[bucket_of(member.name)] ^= hash64(text)
        return tuple(sums)

    def in_buckets(self, buckets: set[int]) -> list[Member]:
        """Return the members of some buckets."""
        return [m for m in self._members.values() if bucket_of(m.name) in buckets]

    def _store(self, member: Member) -> None:
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
    return hash64(name) % BUCKETS


def _interned(member: Member) -> Member:
    # Thousands of members share these few texts; keep one copy of each.
    return member._replace(
        name=intern(member.name),
        address=intern(member.address),
        service=intern(member.service),
        domain=intern(member.domain),
        region=intern(member.region),
    )

"""Routing: which instance's node gets an attempt.

Two candidates are drawn at random and the less loaded one wins; drawing the least loaded of
all would send everybody to the same instance until the next report. Instances in the node's
own failure domain come first; another domain is taken when no instance at home admits the
request, or when home is busy and the other is clearly less so.
"""

from random import Random

from thorntray.internal.membership.member import Member
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.levels import LevelTable

SPILL_LOAD = 0.9  # load at home from which other domains are considered
SPILL_GAIN = 0.2  # by which the other domain must be less loaded
FULL_SHARE_IN_FLIGHT = 50.0  # own requests in flight that count as load 1


class Router:
    """Chooses among the members that serve one service."""

    def __init__(self, domain: str, levels: LevelTable, ejection: Ejection, rng: Random) -> None:
        self._domain = domain
        self._levels = levels
        self._ejection = ejection
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    def begin(self, node: str) -> None:
        """Note that an attempt is on its way to a node."""
        self._in_flight[node] = self._in_flight.get(node, 0) + 1

    def end(self, node: str) -> None:
        """Note that the attempt is over."""
        left = self._in_flight.get(node, 0) - 1
        if left > 0:
            self._in_flight[node] = left
        else:
            self._in_flight.pop(node, None)

    def candidates(self, members: list[Member], tried: set[str]) -> list[Member]:
        """Return the members that may be sent new work."""
        routable = [member for member in members if member.routable]
        kept = self._ejection.keep([member.name for member in routable])
        return [m for m in routable if m.name in kept and m.name not in tried]

    def closed(self, candidates: list[Member], route: str, shed_key: float) -> bool:
        """Return whether every candidate is believed to refuse the key."""
        return not any(self._levels.admits(m.name, route, shed_key) for m in candidates)

    def pick(self, candidates: list[Member], route: str, shed_key: float) -> Member | None:
        """Return the member to try, or None when there is no candidate."""
        if not candidates:
            return None
        open_to = [m for m in candidates if self._levels.admits(m.name, route, shed_key)]
        pool = open_to or candidates
        home = [m for m in pool if m.domain == self._domain]
        if not home:
            return self._less_loaded(pool, route)
        best_home = self._less_loaded(home, route)
        if len(home) == len(pool) or self.load(best_home, route) < SPILL_LOAD:
            return best_home
        best_away = self._less_loaded([m for m in pool if m.domain != self._domain], route)
        gain = self.load(best_home, route) - self.load(best_away, route)
        return best_away if gain > SPILL_GAIN else best_home

    def load(self, member: Member, route: str) -> float:
        """Return reported load plus our own requests in flight."""
        own = self._in_flight.get(member.name, 0) / FULL_SHARE_IN_FLIGHT
        return self._levels.load(member.name, route) + own

    def _less_loaded(self, members: list[Member], route: str) -> Member:
        if len(members) == 1:
            return members[0]
        first, second = self._rng.sample(members, 2)
        return min(first, second, key=lambda member: self.load(member, route))

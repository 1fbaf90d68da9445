"""Routing: chooses the instance whose node gets an attempt.

Of two candidates drawn at random, the less loaded one is taken; always taking the least loaded of
all would send every caller to the same instance until the next report. Instances in the node's
own failure domain are preferred. Another domain is used when no local instance admits the
request, or when the local ones are busy and a remote one is clearly less loaded.
"""

from random import Random

from thorntray.internal.membership.member import Member
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.levels import LevelTable

SPILLOVER_LOAD = 0.9  # local load at which other domains are considered
SPILLOVER_MARGIN = 0.2  # load by which the remote instance must be lower
IN_FLIGHT_AT_FULL_LOAD = 50.0  # requests in flight from this node that count as a load of 1


class Router:
    """Chooses among the members that serve one service."""

    def __init__(self, domain: str, levels: LevelTable, ejection: Ejection, rng: Random) -> None:
        self._domain = domain
        self._levels = levels
        self._ejection = ejection
        self._rng = rng
        self._in_flight: dict[str, int] = {}

    def begin(self, node: str) -> None:
        """Record that an attempt was sent to a node."""
        self._in_flight[node] = self._in_flight.get(node, 0) + 1

    def end(self, node: str) -> None:
        """Record that an attempt at a node has ended."""
        left = self._in_flight.get(node, 0) - 1
        if left > 0:
            self._in_flight[node] = left
        else:
            self._in_flight.pop(node, None)

    def candidates(self, members: list[Member], tried: set[str]) -> list[Member]:
        """Return the routable members that are neither ejected nor tried already."""
        routable = [member for member in members if member.routable]
        kept = self._ejection.in_rotation([member.name for member in routable])
        return [m for m in routable if m.name in kept and m.name not in tried]

    def all_refuse(self, candidates: list[Member], route: str, shed_key: float) -> bool:
        """Return whether every candidate's last known level refuses the key."""
        return not any(self._levels.admits(m.name, route, shed_key) for m in candidates)

    def pick(self, candidates: list[Member], route: str, shed_key: float) -> Member | None:
        """Return the member to try, or None when there is no candidate."""
        if not candidates:
            return None
        admitting = [m for m in candidates if self._levels.admits(m.name, route, shed_key)]
        pool = admitting or candidates
        local = [m for m in pool if m.domain == self._domain]
        if not local:
            return self._less_loaded(pool, route)
        best_local = self._less_loaded(local, route)
        if len(local) == len(pool) or self.load(best_local, route) < SPILLOVER_LOAD:
            return best_local
        best_remote = self._less_loaded([m for m in pool if m.domain != self._domain], route)
        gain = self.load(best_local, route) - self.load(best_remote, route)
        return best_remote if gain > SPILLOVER_MARGIN else best_local

    def load(self, member: Member, route: str) -> float:
        """Return the reported load plus this node's requests in flight, scaled to a load."""
        own = self._in_flight.get(member.name, 0) / IN_FLIGHT_AT_FULL_LOAD
        return self._levels.load(member.name, route) + own

    def _less_loaded(self, members: list[Member], route: str) -> Member:
        if len(members) == 1:
            return members[0]
        first, second = self._rng.sample(members, 2)
        return min(first, second, key=lambda member: self.load(member, route))

"""What a node knows of the fleet for quotas: who coordinates a workspace, and which share is alive.

Load pattern: the view of the members changes while requests come in, and two nodes may disagree for
about a second on who coordinates a workspace. Both would grant its rate. A node therefore has to
know since when it coordinates a workspace, so that it can grant nothing in that second. It became
the coordinator when the last member before it in the workspace's order was suspected, died or left.

In a partition each side counts the alive members among all that have not left, and grants that
share, as far as it reaches them (`quota_reach`). It takes a small side some seconds to suspect all
members of a larger one, so others are taken for unreachable too, `TREND_FACTOR` for each one
suspected in `TREND_TIME`. When the partition heals, one side learns of the other's members before
the other side has given up its coordinator. A share that rises is therefore used only after
`RISE_DELAY`.

When a whole fleet starts at once, each node learns of the others over about a second, and nothing
can be granted before that. A node knows the fleet when its view has not grown for `STABLE_TIME`.
Two nodes that still disagree then are covered by the time for which a new coordinator grants
nothing (`quota_ledger.QUIET_TIME`).
"""

from collections import deque
from collections.abc import Iterable

from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.overload.quota_reach import QuotaReach

RISE_DELAY = 3.0  # seconds after which a risen share of alive members is used
TREND_TIME = 1.0  # seconds
# Further members taken for unreachable for each one suspected in TREND_TIME. Without them, a small
# side of a partition grants too much until it has suspected all others.
TREND_FACTOR = 2.0
STABLE_TIME = 0.25  # seconds without a new member after which the view after a start is complete
ALONE_TIME = 10.0  # seconds after which a node that knows no other member takes itself for all
REMOVAL_MEMORY = 2 * 3600.0  # seconds, as long as dead members are remembered
MAX_CACHED = 20_000  # workspaces whose coordinator is kept; above that, all are found anew


def _weight(workspace: str, member: str) -> int:
    return hash64(f"quota\0{workspace}\0{member}")


class QuotaMembers:
    """The members that may coordinate a quota. All times are boot times in seconds."""

    def __init__(self, own_name: str, now: float, reach: QuotaReach | None = None) -> None:
        self._own = own_name
        self._reach = reach  # None: all alive members are reached
        self._alive: set[str] = {own_name}
        self._coordinators: dict[str, tuple[int, str]] = {}
        self._removed_at: dict[str, float] = {}
        self._shares: deque[tuple[float, float]] = deque(
            [(now, 1.0)]
        )  # (last seen, share), both rising
        self._trend = 1.0
        self._alone_since = now
        self._grown_at = now
        self._converged = False  # whether the view has been complete since the start
        self.known = False  # whether this node knows the fleet
        self.since = now  # since when this node takes part without a break
        self.count = 1  # members that have not left

    def update(self, members: Iterable[Member], joined: bool, now: float) -> bool:
        """Take over the current members; return whether the alive ones have changed.

        `joined` is whether this node takes part and has asked for the members after its start.
        Call this several times a second.
        """
        members = list(members)
        if self._reach is not None:
            self._reach.update(members, now)
        present = [m for m in members if m.health is not Health.LEFT]
        alive = {m.name for m in present if m.health is Health.ALIVE} | {self._own}
        just_converged = self._record_count(max(1, len(present)), joined, now)
        known = joined and self._converged
        if known and not self.known:
            complete_for = STABLE_TIME if just_converged and self.count > 1 else 0.0
            self.since = now - complete_for
        self.known = known
        changed = alive != self._alive
        if changed:
            self._replace_alive(alive, now)
        self._record_share(len(alive) / self.count, now)
        left = {m.name for m in members if m.health is Health.LEFT}
        recent = [n for n, at in self._removed_at.items() if at > now - TREND_TIME]
        suspected = sum(name not in left for name in recent)
        self._trend = max(0.0, (len(alive) - TREND_FACTOR * suspected) / self.count)
        return changed

    def _record_count(self, count: int, joined: bool, now: float) -> bool:
        """Take over the number of members; return whether the view has just become complete."""
        if count > self.count:
            self._grown_at = now
        if count > 1:
            self._alone_since = now
        self.count = count
        if self._converged or not joined:
            return False
        stable = now - self._grown_at >= STABLE_TIME
        alone = now - self._alone_since >= ALONE_TIME
        self._converged = stable and (count > 1 or alone)
        return self._converged

    def restart(self, now: float) -> None:
        """Begin anew as coordinator: others may have taken this node for dead."""
        self.since = now

    def granted_share(self, now: float) -> float:
        """Return the share of the rate that this side of a partition may grant."""
        share = min(self._shares[0][1], max(self._trend, 1 / self.count))
        if self._reach is None:
            return share
        return min(share, self._reach.reached(now) / self.count)

    def may_answer(self, now: float) -> bool:
        """Return whether this node knows what it may grant; to be called with each query."""
        return self._reach is None or self._reach.use(now)

    def coordinator(self, workspace: str) -> str:
        """Return the name of the member that coordinates a workspace."""
        return self._find(workspace)[1]

    def coordinates(self, workspace: str) -> bool:
        """Return whether this node coordinates a workspace."""
        return self._find(workspace)[1] == self._own

    def own_since(self, workspace: str) -> float:
        """Return since when this node has coordinated a workspace without a break."""
        own = _weight(workspace, self._own)
        taken = [at for name, at in self._removed_at.items() if _weight(workspace, name) > own]
        return max([self.since, *taken])

    def _find(self, workspace: str) -> tuple[int, str]:
        found = self._coordinators.get(workspace)
        if found is None:
            if len(self._coordinators) >= MAX_CACHED:
                self._coordinators.clear()
            found = max((_weight(workspace, name), name) for name in self._alive)
            self._coordinators[workspace] = found
        return found

    def _replace_alive(self, alive: set[str], now: float) -> None:
        """Update the workspaces that a change concerns; to find one takes a hash per member."""
        removed, added = self._alive - alive, alive - self._alive
        self._alive = alive
        cutoff = now - REMOVAL_MEMORY
        for name in [n for n, at in self._removed_at.items() if at < cutoff or n in added]:
            del self._removed_at[name]
        self._removed_at.update(dict.fromkeys(removed, now))
        for workspace, found in list(self._coordinators.items()):
            if found[1] in removed:
                del self._coordinators[workspace]
            elif added:
                best = max((_weight(workspace, name), name) for name in added)
                self._coordinators[workspace] = max(found, best)

    def _record_share(self, share: float, now: float) -> None:
        """Keep the shares of the last `RISE_DELAY`, of which the least one holds."""
        shares = self._shares
        while shares and shares[-1][1] >= share:
            shares.pop()
        shares.append((now, share))
        while shares[0][0] <= now - RISE_DELAY:
            shares.popleft()

"""Max-min fair distribution of a route's admitted share over workspaces, at the entry node.

Load pattern: capacity is scarce, and one workspace sends many times its usual load. Root admission
admits a share of all requests. If each workspace were admitted that same share, the others would
lose as much as the one that causes the shortage. Instead there is a *level*: a workspace that
demands less is admitted in full, one that demands more is admitted up to the level. The level is
the one at which as many requests are admitted in sum as the share allows. It is weighted by quota.

Demand is an average rate. A workspace with a few requests a second over sixty nodes sends one each
few seconds to this node, sometimes several at once; measured over some seconds, such a group would
look like a high demand. A workspace that sends ten times its usual load is to be cut within
seconds. The demand is therefore averaged over the same number of requests for each workspace, so
that the time depends on its rate.

Each workspace keeps at least a part of the share, however much it sends. Its clients would
otherwise see it as down, and a customer that grows would be locked out.

The level is computed in passes over the workspaces of one route and priority, a few workspaces
for each decision, so that a decision costs the same with ten thousand workspaces as with seventy.
Workspaces whose demand has decayed are forgotten in these passes. Until the first level is known,
all workspaces are admitted the same share.
"""

import math
from collections.abc import Hashable

from thorntray.internal.version.workspaces import Workspace

# Requests over which the rate of a workspace is averaged. With fewer, small groups of requests look
# like a high demand; with more, a workspace whose load rises is cut later.
WINDOW_REQUESTS = 8.0
MIN_WINDOW, MAX_WINDOW = 4.0, 120.0  # seconds; bounds on the time for these requests
# Least admitted share of a workspace's requests, relative to the share of all. The bound is 0.25;
# the rest is for requests that are admitted and then refused at a full instance.
MIN_RELATIVE_SHARE = 0.26
STEPS = 8  # workspaces that one decision visits while capacity is scarce
IDLE_STEPS = 2  # workspaces that one decision visits otherwise, and in other groups, to forget them
FORGET_REQUESTS = 0.05  # requests in a window; a workspace with less demand is forgotten
SETTLED_ERROR = 0.1  # relative error of the admitted sum, from which the first level is used
CORRECTION_TIME = 10.0  # seconds in which requests admitted too many or too few are made up for
MAX_CORRECTION = 0.5  # bound on what is admitted less or more for that, relative to the share
MAX_WEIGHT = 10.0  # bound on a quota in relation to the mean quota, in either direction
_GOLDEN_RATIO = 0.6180339887498949


class LevelPass:
    """One pass over the demands of a group, which brings its level closer to the fair one.

    What is admitted in sum grows with the level, piece by piece in proportion to the weight of the
    workspaces above it. Newton's method with that weight never steps over the fair level from
    below, so that passes converge whatever the level is at first, also from a negative one.
    """

    __slots__ = ("level", "demand", "weight", "_least_part", "_admitted", "_cut_weight", "_highest")

    def __init__(self, level: float, share: float) -> None:
        self.level = level  # requests a second for weight 1
        self._least_part = MIN_RELATIVE_SHARE * share
        self.demand = 0.0  # requests a second
        self.weight = 0.0
        self._admitted = 0.0  # requests a second, at `level`
        self._cut_weight = 0.0  # of the workspaces above the level
        self._highest = 0.0  # demand for weight 1

    def add(self, demand: float, weight: float) -> None:
        """Add the demand of one workspace."""
        self.demand += demand
        self.weight += weight
        if demand > self._highest * weight:
            self._highest = demand / weight
        limit = self.level * weight
        if demand <= limit:
            self._admitted += demand
        else:
            least = self._least_part * demand
            self._admitted += limit if limit > least else least
            self._cut_weight += weight

    def error(self, target: float) -> float:
        """Return the relative error of the sum admitted, compared with `target` a second."""
        return abs(self._admitted - target) / target

    def next_level(self, target: float) -> float:
        """Return a level closer to that at which `target` requests a second are admitted."""
        if not self._cut_weight:
            return self._highest
        return self.level + (target - self._admitted) / self._cut_weight

    def slope(self) -> float:
        """Return how much the level changes with the share, at this level."""
        return self.demand / self._cut_weight if self._cut_weight else 0.0


def admitted_part(demand: float, weight: float, level: float, share: float) -> float:
    """Return the part of a workspace's requests to admit; `share` is that of all workspaces."""
    if demand <= level * weight:
        return 1.0
    return max(level * weight / demand, MIN_RELATIVE_SHARE * share)


class _Flow:
    """The requests of one workspace in a group."""

    __slots__ = ("name", "demand", "updated_at", "window", "credit", "quota", "log_quota")

    def __init__(self, name: str, credit: float, now: float) -> None:
        self.name = name
        self.demand = 0.0  # requests a second; valid at `updated_at`
        self.updated_at = now
        self.window = MAX_WINDOW  # seconds
        self.credit = credit  # fraction of a request that may be admitted
        self.quota = 0.0  # requests a second, 0 without a quota
        self.log_quota = 0.0

    def record(self, quota: float, now: float) -> None:
        self.demand = self.demand_at(now) + 1.0 / self.window
        self.window = min(MAX_WINDOW, max(MIN_WINDOW, WINDOW_REQUESTS / self.demand))
        self.updated_at = now
        if quota != self.quota:
            self.quota = quota
            self.log_quota = math.log(quota) if quota > 0 else 0.0

    def demand_at(self, now: float) -> float:
        return self.demand * math.exp((self.updated_at - now) / self.window)


class _Group:
    """The workspaces that share what is admitted of one route and priority."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._in_order: list[_Flow] = []  # the same flows, for passes
        self._position = 0  # of the pass, in that list
        self._created = 0
        self._share = 1.0  # newest admitted share of all workspaces
        self._level = math.inf
        self._level_share = 1.0  # share that the level is for
        self._slope = 0.0  # change of the level with the share
        self._settled = False  # whether a pass has come close to the fair level
        self._pass = LevelPass(self._level, 1.0)
        self._owed = 0.0  # requests admitted too few, if positive, or too many
        self._mean_quota = 0.0  # requests a second, geometric mean; 0 without quotas
        self._log_quotas = 0.0  # sums of the current pass
        self._quotas = 0

    def __len__(self) -> int:
        return len(self._flows)

    def admits(self, workspace: Workspace, share: float, now: float) -> bool:
        """Return whether a request of a workspace may start."""
        flow = self._flows.get(workspace.name) or self._create_flow(workspace.name, now)
        flow.record(workspace.rate, now)
        self._share = share
        if share >= 1.0:
            return True
        self.visit(STEPS, now)
        flow.credit += self._part(flow, share)
        admitted = flow.credit >= 1.0
        flow.credit -= admitted
        self._owed += share - admitted
        return admitted

    def visit(self, steps: int, now: float) -> None:
        """Visit the next workspaces of the pass, and forget those without recent demand."""
        flows = self._in_order
        for _ in range(min(steps, len(flows))):
            flow = flows[self._position]
            demand = flow.demand_at(now)
            if demand * flow.window < FORGET_REQUESTS:
                self._forget(flow)
            else:
                self._position += 1
                self._pass.add(demand, self._weight(flow) if flow.quota else 1.0)
                if flow.quota:
                    self._log_quotas += flow.log_quota
                    self._quotas += 1
            if self._position >= len(flows):
                self._end_pass()

    def _create_flow(self, name: str, now: float) -> _Flow:
        # Credits of new flows are evenly spread. With equal ones, workspaces that send a single
        # request each would all be admitted, or all refused.
        self._created += 1
        flow = _Flow(name, self._created * _GOLDEN_RATIO % 1.0, now)
        self._flows[name] = flow
        self._in_order.append(flow)
        return flow

    def _forget(self, flow: _Flow) -> None:
        last = self._in_order.pop()
        if last is not flow:
            self._in_order[self._position] = last
        del self._flows[flow.name]

    def _part(self, flow: _Flow, share: float) -> float:
        if not self._settled:
            return share
        return admitted_part(flow.demand, self._weight(flow), self._level_at(share), share)

    def _level_at(self, share: float) -> float:
        """Return the level estimated for a share, which changes faster than a pass ends.

        A higher share raises the level of those that are cut. A lower one cuts others too, so that
        the slope would give too low a level; it is lowered in proportion.
        """
        change = share - self._level_share
        if change >= 0.0:
            return self._level + change * self._slope
        return self._level * share / self._level_share

    def _weight(self, flow: _Flow) -> float:
        if not flow.quota or not self._mean_quota:
            return 1.0
        return min(MAX_WEIGHT, max(1.0 / MAX_WEIGHT, flow.quota / self._mean_quota))

    def _end_pass(self) -> None:
        done = self._pass
        if self._share < 1.0 and done.demand:
            usual = self._share * done.demand
            most_owed = MAX_CORRECTION * usual * CORRECTION_TIME
            self._owed = min(most_owed, max(-most_owed, self._owed))
            target = min(done.demand, usual + self._owed / CORRECTION_TIME)
            self._settled = self._settled or done.error(target) < SETTLED_ERROR
            self._level = done.next_level(target)
            self._level_share, self._slope = self._share, done.slope()
        self._mean_quota = math.exp(self._log_quotas / self._quotas) if self._quotas else 0.0
        self._log_quotas, self._quotas = 0.0, 0
        self._pass = LevelPass(self._level, self._share)
        self._position = 0


class FairShare:
    """Decides which workspaces' requests make up the admitted share."""

    def __init__(self) -> None:
        self._groups: dict[Hashable, _Group] = {}
        self._group_names: list[Hashable] = []
        self._next = 0  # group in which to forget idle workspaces next

    def __len__(self) -> int:
        """Return the number of workspaces remembered, counted in each group."""
        return sum(map(len, self._groups.values()))

    def admits(self, group: Hashable, workspace: Workspace, share: float, now: float) -> bool:
        """Return whether a request may start, given the admitted share of its group.

        A group is a route with a worth, since these determine the share. `now` is in monotonic
        seconds.
        """
        known = self._groups.get(group)
        if known is None:
            known = self._groups[group] = _Group()
            self._group_names.append(group)
        admitted = known.admits(workspace, share, now)
        self._forget_idle(now)
        return admitted

    def _forget_idle(self, now: float) -> None:
        """Visit a few workspaces of one group after the other, also of those without requests."""
        self._next = (self._next + 1) % len(self._group_names)
        name = self._group_names[self._next]
        group = self._groups[name]
        group.visit(IDLE_STEPS, now)
        if not len(group):
            del self._groups[name]
            self._group_names[self._next] = self._group_names[-1]
            self._group_names.pop()

"""The worth of a request: in which order requests get scarce slots, and lose them.

Load pattern: a surge asks for more than the most constrained service can serve, and it comes from
workspaces most of which have the same priority. The priority of a workspace takes precedence over
that of the route. If it replaced the route's, a payout and a look-up of one workspace would be
equal, and payouts would be shed for look-ups although neither workspace ranks above the other. So
the workspace's priority decides first, and the route's among workspaces of equal priority.

Worth is relative to the priority that most workspaces have. Where they have none, or there are no
workspaces, it is that of the route alone.
"""

from typing import NamedTuple

# Worth by the route's priority, most important first; priorities beyond the last entry count as
# the last. The first is far above the others, so that its requests are still admitted when all
# others are down to their least shares.
WORTH_BY_PRIORITY = (8.0, 2.0, 1.0)
# Factor for each step of a workspace's priority; above the ratio of any two routes, so that no
# route of a workspace goes before one of a workspace with a higher priority.
WORKSPACE_STEP = 10.0
MAX_WORKSPACE_STEPS = 2  # steps above or below the usual priority that make a difference


class Priority(NamedTuple):
    """What the worth of a request depends on; a lower number is more important.

    `steps` are the steps by which the workspace's priority is above the usual one, negative if it
    is below.
    """

    route: int
    steps: int = 0

    @property
    def worth(self) -> float:
        """Return the worth of a request."""
        by_route = WORTH_BY_PRIORITY[min(max(self.route, 0), len(WORTH_BY_PRIORITY) - 1)]
        steps = min(max(self.steps, -MAX_WORKSPACE_STEPS), MAX_WORKSPACE_STEPS)
        return by_route * WORKSPACE_STEP**steps

"""How many connections of callers a process may hold, so that its other sockets find descriptors.

Load pattern: callers keep connections open for as long as they are idle, in any number. When they
take all descriptors of the process, the requests that it has accepted fail: their connections to
the instance, the links to other nodes and the nested calls need descriptors of their own. So do
readiness and announcements, without which the node is taken out.

Callers therefore get what is left of the limit after the largest share that the other sockets can
need. The shares are upper bounds, since a descriptor that is not kept back cannot be regained from
a connection on which an answer is owed.
"""

from math import inf
from typing import NamedTuple

FILE_DESCRIPTORS = 32  # of the process: files, pipes and the event loop, but no sockets
LISTENERS = 8  # listening sockets and the membership's datagram socket
STORE_CONNECTIONS = 8  # parallel calls to the platform's store, and one of the crash watch
READINESS_CONNECTIONS = 16
ANNOUNCEMENT_CONNECTIONS = 24
METRICS_CONNECTIONS = 8
# A link in each direction, and one of an earlier process of the member that is being drained.
LINKS_PER_MEMBER = 3
# Each slot may use a connection while another one is idle but no longer fresh (`instance_pool`).
CONNECTIONS_PER_SLOT = 2
MIN_SLOTS = 16  # before the instance has announced its slots
# Connections beyond the bound that get one answer: at least one for each slot, and so many that a
# burst of callers does not take them all from the nested calls of running requests.
MIN_SURPLUS = 32
SURPLUS_RATIO = 1 / 16  # of the limit
MIN_CALLER_RATIO = 0.25  # least share of the limit for callers, however large the fleet
LEARNING_PAUSE = 1.0  # seconds in which one shortage of descriptors is taken as the same

_FIXED = (
    LISTENERS
    + STORE_CONNECTIONS
    + READINESS_CONNECTIONS
    + ANNOUNCEMENT_CONNECTIONS
    + METRICS_CONNECTIONS
)
# Leaves MIN_SURPLUS connections to callers in a small fleet, and as many more for refusals.
LEAST_SERVING_LIMIT = _FIXED + CONNECTIONS_PER_SLOT * MIN_SLOTS + MIN_SURPLUS + MIN_SURPLUS


class CallerBound(NamedTuple):
    """How many connections callers may hold, and how many more get an answer to one request."""

    connections: int
    surplus: int


class DescriptorBudget:
    """The sockets that a process may open; `limit` is None while no limit is known."""

    def __init__(self, configured: int | None, process_limit: int | None) -> None:
        """Take the lower of two limits.

        `configured` counts sockets, `process_limit` all descriptors; None: no limit is known.
        """
        limits = [] if configured is None else [configured]
        if process_limit is not None:
            limits.append(process_limit - FILE_DESCRIPTORS)
        self.limit: int | None = max(1, min(limits)) if limits else None
        self._learns_again_at = -inf  # monotonic seconds

    def caller_bound(self, members: int, slots: int) -> CallerBound | None:
        """Return the bound for callers in a fleet of `members`, None while no limit is known.

        `slots` is the number of requests that the instance runs at the same time.
        """
        if self.limit is None:
            return None
        slots = max(slots, MIN_SLOTS)
        surplus = max(slots, MIN_SURPLUS, int(self.limit * SURPLUS_RATIO))
        kept_back = _FIXED + LINKS_PER_MEMBER * members + CONNECTIONS_PER_SLOT * slots + surplus
        least = max(1, int(self.limit * MIN_CALLER_RATIO))
        return CallerBound(max(self.limit - kept_back, least), min(surplus, least))

    def record_exhausted(self, in_use: int, now: float) -> None:
        """Learn from a socket that could not be opened while `in_use` were open.

        Many fail at the same time. The first one tells the limit: sockets that were closed for it
        are no longer counted, but may still take their descriptors. `now` is in monotonic seconds.
        """
        if now < self._learns_again_at:
            return
        self._learns_again_at = now + LEARNING_PAUSE
        self.limit = max(1, in_use if self.limit is None else min(self.limit, in_use))

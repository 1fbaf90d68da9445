"""Keeps descriptors of a `MeshNode` back for what it needs to answer requests that it accepted."""

import errno
import resource
from collections.abc import Callable
from typing import NamedTuple

from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.connection.socket_opener import SocketOpener
from thorntray.internal.process.descriptor_budget import (
    ANNOUNCEMENT_CONNECTIONS,
    METRICS_CONNECTIONS,
    READINESS_CONNECTIONS,
    DescriptorBudget,
)
from thorntray.internal.telemetry.events import Event, log_event

REFUSAL_RETRY_AFTER = 0.5  # seconds, before jitter
CLOSED_AT_ONCE = 16  # idle connections closed when no descriptor is left


def process_descriptor_limit() -> int | None:
    """Return how many descriptors the operating system lets this process open, None: any number."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


class BoundedServers(NamedTuple):
    """The HTTP servers of a node."""

    callers: HttpServer
    readiness: HttpServer
    announcements: HttpServer
    metrics: HttpServer


class ConnectionLimits:
    """Bounds the connections that a node accepts, and frees some when none can be opened.

    `count_sockets` returns the open sockets by kind, without those of `servers`.
    """

    def __init__(
        self,
        budget: DescriptorBudget,
        servers: BoundedServers,
        count_sockets: Callable[[], dict[str, int]],
    ) -> None:
        self.budget = budget
        self._servers = servers
        self._count_sockets = count_sockets
        self._members = 0
        self._slots = 0
        servers.callers.bound.on_reached = self._log_reached
        if budget.limit is not None:
            servers.readiness.bound.limit = READINESS_CONNECTIONS
            servers.announcements.bound.limit = ANNOUNCEMENT_CONNECTIONS
            servers.metrics.bound.limit = METRICS_CONNECTIONS
        self.update(0, 0)

    def use_for(self, opener: SocketOpener) -> None:
        """Free descriptors for the connections of an opener when none are left."""
        opener.free_descriptors = self._free_descriptors

    def update(self, members: int, slots: int) -> None:
        """Adapt the bound for callers to the number of members and the slots of the instance."""
        self._members, self._slots = members, slots
        allowed = self.budget.caller_bound(members, slots)
        bound = self._servers.callers.bound
        if allowed is not None and allowed.connections != bound.limit:
            bound.limit, bound.surplus = allowed
            bound.shrink()

    @property
    def caller_bound(self) -> int | None:
        """Return how many connections callers may hold, None while no limit is known."""
        return self._servers.callers.bound.limit

    def sockets_by_kind(self) -> dict[str, float]:
        """Return the number of open sockets by kind."""
        accepted = {
            kind: len(server.connections) for kind, server in self._servers._asdict().items()
        }
        return {**accepted, **self._count_sockets()}

    def bounded_connections(self) -> dict[str, float]:
        """Return the connections of callers that ended for the bound, by what they got."""
        bound = self._servers.callers.bound
        return {
            "closed idle": bound.closed_idle,
            "refused": bound.refused,
            "closed unread": bound.closed_unread,
        }

    def _log_reached(self) -> None:
        bound = self._servers.callers.bound
        log_event(
            Event.CONNECTIONS_BOUNDED,
            open=len(self._servers.callers.connections),
            bound=bound.limit,
            closed_idle=bound.closed_idle,
            refused=bound.refused,
            closed_unread=bound.closed_unread,
        )

    def _free_descriptors(self, number: int) -> bool:
        """Close idle connections of callers; return False if there are none.

        If this process, not the machine, has reached its limit, that limit is now known.
        """
        in_use = self.sockets_by_kind()
        log_event(Event.DESCRIPTORS_EXHAUSTED, error=errno.errorcode.get(number, ""), **in_use)
        bound = self._servers.callers.bound
        closed = [bound.close_longest_idle() for _ in range(CLOSED_AT_ONCE)]
        if number == errno.EMFILE:
            now = self._servers.callers.clock.monotonic()
            self.budget.record_exhausted(int(sum(in_use.values())), now)
            self.update(self._members, self._slots)
        return any(closed)

"""Policy: the routes, services and limits in force, as one immutable version.

A policy is taken whole or not at all, and the holder never goes back to a lower version. Routes
are found by host and by the longest prefix that begins the path; prefixes begin and end with a
slash, so a look-up for each part of the path finds it, however many routes there are.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Self

from thorntray.internal.connection.http_server import RequestLimits


class Target(NamedTuple):
    """A service that a route leads to, with its share."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests go and how they are treated; times in seconds.

    `priority` is a rank, 0 the most valued. `max_attempts` bounds the instances that one request
    may be sent to.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    idempotent: bool
    timeout: float
    target_latency: float
    max_attempts: int
    priority: int


class ServicePolicy(NamedTuple):
    """What the operators say of a service."""

    health_path: str
    max_connections: int


class Policy(NamedTuple):
    """One version of the desired state; `document` is the source that peers are given."""

    version: int
    routes: Mapping[tuple[str, str], Route]
    services: Mapping[str, ServicePolicy]
    limits: RequestLimits
    document: bytes

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: list[Route],
        services: Mapping[str, ServicePolicy],
        limits: RequestLimits,
        document: bytes,
    ) -> Self:
        """Return a policy with its routes indexed by host and prefix."""
        index = {(route.host.lower(), route.prefix): route for route in routes}
        return cls(version, index, services, limits, document)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, None if there is none."""
        host = host.lower()
        end = path.rfind("/")
        while end >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class PolicyHolder:
    """The policy in force on this node."""

    def __init__(self, on_change: Callable[[Policy], None]) -> None:
        self._on_change = on_change
        self.policy: Policy | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before there is one."""
        return self.policy.version if self.policy is not None else 0

    def offer(self, policy: Policy) -> bool:
        """Take a policy if it is newer; True if it was taken."""
        if policy.version <= self.version:
            return False
        self.policy = policy
        self._on_change(policy)
        return True

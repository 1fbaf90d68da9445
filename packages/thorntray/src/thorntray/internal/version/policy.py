"""Policy of a `MeshNode`: the routes, services and limits in force, as one immutable version.

A policy is applied as a whole or not at all, and a node never returns to a lower version. Routes
are matched by host and longest path prefix. Prefixes begin and end with a slash, so one lookup
per path segment is enough, independent of the number of routes.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Self

from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.version.workspaces import NO_WORKSPACES, Workspaces


class Target(NamedTuple):
    """A service that receives requests of a route, with its weight in the traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route: target services, retry and timeout settings; times in seconds.

    `priority` is a rank, where 0 is the most important. `max_attempts` limits the number of
    instances that one request may be sent to. An `anonymous` route needs no API key.
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
    anonymous: bool = False


class ServicePolicy(NamedTuple):
    """Settings of a service: path of its health check and connections per instance."""

    health_path: str
    max_connections: int


class Policy(NamedTuple):
    """One version of the desired state. `document` is its encoded form, as sent to peers."""

    version: int
    routes: Mapping[tuple[str, str], Route]
    services: Mapping[str, ServicePolicy]
    limits: RequestLimits
    document: bytes
    workspaces: Workspaces = NO_WORKSPACES

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: list[Route],
        services: Mapping[str, ServicePolicy],
        limits: RequestLimits,
        document: bytes,
        workspaces: Workspaces = NO_WORKSPACES,
    ) -> Self:
        """Return a policy with its routes indexed by host and prefix."""
        index = {(route.host.lower(), route.prefix): route for route in routes}
        return cls(version, index, services, limits, document, workspaces)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none matches."""
        host = host.lower()
        slash = path.rfind("/")
        while slash >= 0:
            route = self.routes.get((host, path[: slash + 1]))
            if route is not None:
                return route
            slash = path.rfind("/", 0, slash)
        return None


class PolicyHolder:
    """The policy in force on this node, None before the first one."""

    def __init__(self, on_change: Callable[[Policy], None]) -> None:
        self._on_change = on_change
        self.policy: Policy | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first policy."""
        return self.policy.version if self.policy is not None else 0

    def replace_if_newer(self, policy: Policy) -> bool:
        """Replace the policy if the given one is newer; return whether it was replaced."""
        if policy.version <= self.version:
            return False
        self.policy = policy
        self._on_change(policy)
        return True

"""Settings of a `MeshNode`: validated once, immutable afterwards."""

from math import inf
from typing import NamedTuple

from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.overload.retry_budget import RetryBudgetSettings

MAX_PORT = 65535


class Endpoint(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class MeshConfig(NamedTuple):
    """Start-up settings of a node; times are in seconds."""

    name: str
    service: str
    domain: str
    region: str
    host: str
    instance: Endpoint
    callers: Endpoint
    readiness: Endpoint
    announcements: Endpoint
    link_port: int
    gossip_port: int
    seeds: tuple[Endpoint, ...]
    stop_limit: float
    budget: RetryBudgetSettings
    header_names: HeaderNames
    metrics_port: int = 0  # 0: metrics are not served
    # Seconds after which a withdrawn API key must be refused everywhere; None: without a bound.
    max_policy_age: float | None = None
    listen_host: str = ""  # bind address for peers; empty: `host`, the advertised one

    @property
    def bind_host(self) -> str:
        """Return the address on which the node listens for peers."""
        return self.listen_host or self.host

    def validated(self, source: str) -> "MeshConfig":
        """Return these settings; raises `InvalidSettings` with all faults."""
        faults: list[Fault] = []
        for key in ("name", "service", "domain", "host"):
            if not getattr(self, key):
                faults.append(Fault("node", key, "", "give a non-empty value"))
        ports = {
            "instance": self.instance.port,
            "callers": self.callers.port,
            "readiness": self.readiness.port,
            "announcements": self.announcements.port,
            "link_port": self.link_port,
            "gossip_port": self.gossip_port,
        }
        for key, port in ports.items():
            if not 0 < port <= MAX_PORT:
                faults.append(Fault("node", key, str(port), f"give a port from 1 to {MAX_PORT}"))
        if not 0 < self.stop_limit < inf:
            faults.append(Fault("node", "stop_limit", str(self.stop_limit), "give seconds above 0"))
        if self.max_policy_age is not None and not 0 < self.max_policy_age < inf:
            value = str(self.max_policy_age)
            faults.append(Fault("node", "max_policy_age", value, "give seconds above 0"))
        if faults:
            raise InvalidSettings(source, faults)
        return self

"""Settings of a node on the lean path: validated once, immutable afterwards."""

from typing import NamedTuple

from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.overload.retry_budget import RetryBudgetSettings

MAX_PORT = 65535


class Endpoint(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int


class MeshConfig(NamedTuple):
    """Everything that a node is told at its start; times in seconds."""

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
    metrics_port: int = 0  # none: metrics are not served
    listen_host: str = ""  # to bind for peers; empty: `host`, which is told to them

    @property
    def bind_host(self) -> str:
        """Return the address that is bound for peers."""
        return self.listen_host or self.host

    def checked(self, source: str) -> "MeshConfig":
        """Return the settings; raises `InvalidSettings` with all faults."""
        faults: list[Fault] = []
        for key in ("name", "service", "domain", "host"):
            if not getattr(self, key):
                faults.append(Fault("node", key, "", "give a text that is not empty"))
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
        if self.stop_limit <= 0:
            faults.append(Fault("node", "stop_limit", str(self.stop_limit), "give seconds above 0"))
        if faults:
            raise InvalidSettings(source, faults)
        return self

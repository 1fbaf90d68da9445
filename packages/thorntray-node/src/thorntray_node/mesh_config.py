"""Settings of a `MeshNode`: validated once, immutable afterwards."""

from collections.abc import Iterator
from ipaddress import IPv4Address, IPv6Address, ip_address
from math import inf
from typing import NamedTuple, Self

from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.bounded import MAX_NAME_LENGTH, MAX_PORT
from thorntray.internal.connection.header_names import HeaderNames
from thorntray.internal.overload.retry_budget import RetryBudgetSettings

ANY_HOST = "0.0.0.0"  # what listening on an empty host means


class Endpoint(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse `IP:PORT`, with an IPv6 address in brackets; raises `ValueError`.

        Names of hosts are refused, because a lookup would block the node. Without an address, as in
        `:8304`, the host is empty.
        """
        host, _, port = text.rpartition(":")
        if host.startswith("["):
            host = str(IPv6Address(host.removeprefix("[").removesuffix("]")))
        elif host:
            host = str(IPv4Address(host))
        if not (port.isascii() and port.isdigit()):
            raise ValueError(f"{port!r} is no port")
        return cls(host, int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class PeerPorts(NamedTuple):
    """The ports on which peers reach a node."""

    links: int  # TCP
    gossip: int  # UDP


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
    memory_limit: int | None = None  # bytes above which the process is killed; None: unknown
    descriptor_limit: int | None = None  # sockets that the process may open; None: unknown
    spare_peer_ports: range = range(0)  # used for peers if `link_port` or `gossip_port` is taken

    @property
    def bind_host(self) -> str:
        """Return the address on which the node listens for peers."""
        return self.listen_host or self.host

    def peer_ports(self) -> Iterator[PeerPorts]:
        """Yield the ports to try for peers, without those that have another purpose.

        The port of the metrics is used only if there is no other: a node works without them.
        """
        endpoints = (self.instance, self.callers, self.readiness, self.announcements)
        used = {endpoint.port for endpoint in endpoints}
        candidates = [PeerPorts(self.link_port, self.gossip_port)]
        candidates += [PeerPorts(port, port) for port in self.spare_peer_ports if port <= MAX_PORT]
        candidates = [ports for ports in dict.fromkeys(candidates) if used.isdisjoint(ports)]
        without_metrics = [ports for ports in candidates if self.metrics_port not in ports]
        yield from without_metrics or candidates

    def validated(self, source: str) -> "MeshConfig":
        """Return these settings; raises `InvalidSettings` with all faults."""
        faults: list[Fault] = []
        for key in ("name", "service", "domain", "host"):
            value = getattr(self, key)
            if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
                hint = f"give a text of 1 to {MAX_NAME_LENGTH} characters"
                faults.append(Fault("node", key, str(value)[:MAX_NAME_LENGTH], hint))
        hosts = {"host": self.host, "bind_host": self.bind_host, "instance": self.instance.host}
        for key in ("callers", "readiness", "announcements"):
            hosts[key] = getattr(self, key).host or ANY_HOST
        for key, host in hosts.items():
            if not _is_ip(host):
                hint = "give an IP address; names of hosts are not looked up"
                faults.append(Fault("node", key, str(host)[:MAX_NAME_LENGTH], hint))
        ports = {
            "instance": self.instance.port,
            "callers": self.callers.port,
            "readiness": self.readiness.port,
            "announcements": self.announcements.port,
            "link_port": self.link_port,
            "gossip_port": self.gossip_port,
        }
        for key, port in ports.items():
            if not isinstance(port, int) or not 0 < port <= MAX_PORT:
                faults.append(Fault("node", key, str(port), f"give a port from 1 to {MAX_PORT}"))
        if next(self.peer_ports(), None) is None:
            hint = "each port for peers has another purpose; add one that has none"
            faults.append(Fault("node", "link_port", str(self.link_port), hint))
        if not 0 < self.stop_limit < inf:
            faults.append(Fault("node", "stop_limit", str(self.stop_limit), "give seconds above 0"))
        if self.max_policy_age is not None and not 0 < self.max_policy_age < inf:
            value = str(self.max_policy_age)
            faults.append(Fault("node", "max_policy_age", value, "give seconds above 0"))
        for key in ("memory_limit", "descriptor_limit"):
            value = getattr(self, key)
            if value is not None and value <= 0:
                faults.append(Fault("node", key, str(value), "give a number above 0, or none"))
        budget = self.budget
        if not (0 <= budget.ratio < inf and 0 <= budget.slack < inf and 0 < budget.window < inf):
            hint = "give a ratio and a slack of 0 or more, and a window above 0"
            faults.append(Fault("node", "budget", str(tuple(budget)), hint))
        if faults:
            raise InvalidSettings(source, faults)
        return self


def _is_ip(host: str) -> bool:
    try:
        ip_address(host)
    except ValueError:
        return False
    return True

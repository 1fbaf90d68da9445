"""The ports of a `MeshNode` at its start: all are bound before one of them is served."""

from typing import NamedTuple, Self

from thorntray.internal.connection.listening_sockets import (
    ListeningPort,
    PortAddress,
    PortWait,
    bind_ports,
    bind_tcp,
    is_taken,
)
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.mesh_config import MeshConfig, PeerPorts


class PeerSockets(NamedTuple):
    """The bound ports on which peers reach this node."""

    links: ListeningPort
    gossip: UdpTransport

    def close(self) -> None:
        """Give up the ports that are not served."""
        self.links.close()
        self.gossip.close()


class NodePorts(NamedTuple):
    """The bound ports of a node."""

    callers: ListeningPort
    readiness: ListeningPort
    announcements: ListeningPort
    peers: PeerSockets
    peer_ports: PeerPorts

    @classmethod
    async def bind(cls, cfg: MeshConfig, clock: Clock) -> Self:
        """Bind all ports; waits for taken ones, and raises `OSError` if one cannot be bound."""
        wait = PortWait(clock)
        addresses = [
            PortAddress("callers", *cfg.callers),
            PortAddress("readiness", *cfg.readiness),
            PortAddress("announcements", *cfg.announcements),
        ]
        served = await bind_ports(addresses, wait)
        try:
            return cls(*served, *await _bind_peer_ports(cfg, wait))
        except BaseException:
            for port in served:
                port.close()
            raise

    def close(self) -> None:
        """Give up the ports that are not served."""
        for port in (self.callers, self.readiness, self.announcements, self.peers):
            port.close()


async def _bind_peer_ports(cfg: MeshConfig, wait: PortWait) -> tuple[PeerSockets, PeerPorts]:
    """Bind the first free ports for peers; waits while all of them are taken."""
    host = cfg.bind_host

    async def attempt() -> tuple[PeerSockets, PeerPorts]:
        last_fault = None
        for ports in cfg.peer_ports():
            try:
                return await _open_peer_sockets(host, ports, wait), ports
            except OSError as exc:
                if not is_taken(exc):
                    raise
                last_fault = exc
        raise last_fault

    peers, ports = await wait.until_free(
        PortAddress("links and gossip", host, cfg.link_port), attempt
    )
    log_event(Event.PORTS_BOUND, **peers.links.address._asdict())
    log_event(Event.PORTS_BOUND, **PortAddress("gossip", host, ports.gossip)._asdict())
    return peers, ports


async def _open_peer_sockets(host: str, ports: PeerPorts, wait: PortWait) -> PeerSockets:
    sock = bind_tcp(host, ports.links)
    try:
        gossip = await UdpTransport.open(Address(host, ports.gossip))
    except BaseException:
        sock.close()
        raise
    return PeerSockets(ListeningPort(PortAddress("links", host, ports.links), wait, sock), gossip)

"""The ports of a `Node` at its start: all are bound before one of them is served."""

from typing import NamedTuple, Self

from thorntray.internal.connection.listening_sockets import (
    ListeningPort,
    PortAddress,
    PortWait,
    bind_ports,
)
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.config import NodeConfig


class IniNodePorts(NamedTuple):
    """The bound ports of a node."""

    callers: ListeningPort
    peers: ListeningPort
    documents: ListeningPort
    gossip: UdpTransport

    @classmethod
    async def bind(cls, cfg: NodeConfig, clock: Clock) -> Self:
        """Bind all ports; waits for taken ones, and raises `OSError` if one cannot be bound."""
        wait = PortWait(clock)
        addresses = [
            PortAddress("callers", cfg.address, cfg.http_port),
            PortAddress("peers", cfg.address, cfg.peer_port),
            PortAddress("documents", cfg.address, cfg.document_port),
        ]
        served = await bind_ports(addresses, wait)
        gossip = PortAddress("gossip", cfg.address, cfg.gossip_port)
        try:
            udp = await wait.until_free(
                gossip, lambda: UdpTransport.open(Address(gossip.host, gossip.port))
            )
        except BaseException:
            for port in served:
                port.close()
            raise
        log_event(Event.PORTS_BOUND, **gossip._asdict())
        return cls(*served, udp)

    def close(self) -> None:
        """Give up the ports that are not served."""
        for port in self:
            port.close()

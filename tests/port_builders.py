"""Test fixtures of ports: which of them are free, and sockets that fail or listen at a moment."""

import errno
import socket
from typing import NamedTuple

from tests.builders import ManualClock
from tests.mesh_builders import HOST
from tests.start_builders import HeldPort, Hold
from thorntray_node.config import NodeConfig
from thorntray_node.mesh_config import MeshConfig


class PortKey(NamedTuple):
    """A port number, and the kind of socket that uses it."""

    number: int
    kind: socket.SocketKind = socket.SOCK_STREAM


def ports_of(cfg: MeshConfig | NodeConfig) -> dict[str, PortKey]:
    """Return the ports in the settings of a node by their purpose."""
    gossip = PortKey(cfg.gossip_port, socket.SOCK_DGRAM)
    if isinstance(cfg, NodeConfig):
        numbers = {"callers": cfg.http_port, "peers": cfg.peer_port, "documents": cfg.document_port}
    else:
        numbers = {
            "callers": cfg.callers.port,
            "readiness": cfg.readiness.port,
            "announcements": cfg.announcements.port,
            "links": cfg.link_port,
        }
        if cfg.metrics_port:
            numbers["metrics"] = cfg.metrics_port
    return {**{name: PortKey(number) for name, number in numbers.items()}, "gossip": gossip}


def held_ports(cfg: MeshConfig | NodeConfig) -> list[str]:
    """Return the purposes of the ports that some socket of this machine holds.

    They are tried without SO_REUSEADDR, with which a port that is only bound looks free.
    """
    held = []
    for purpose, port in ports_of(cfg).items():
        try:
            HeldPort(HOST, *port).release()
        except OSError:
            held.append(purpose)
    return held


class ListeningAfterBind:
    """Another socket that begins to listen on a port once a node has bound all its ports."""

    def __init__(self, number: int, bind) -> None:
        self._held = HeldPort(HOST, number, hold=Hold.REUSABLE)
        self._bind = bind

    async def bind(self, cfg, clock):
        """Bind the ports of the node, and then listen."""
        ports = await self._bind(cfg, clock)
        self._held.listen()
        return ports

    def release(self) -> None:
        """Free the port."""
        self._held.release()


class FailingAttempts:
    """Attempts to open a port of which the first ones fail; each takes some seconds of a clock."""

    def __init__(self, failures: int, seconds: float = 0.0, error: int = errno.EADDRINUSE) -> None:
        self.clock = ManualClock()
        self.count = 0
        self._failures = failures
        self._seconds = seconds
        self._error = error

    async def attempt(self) -> str:
        """Fail, or return a result."""
        self.count += 1
        self.clock.now += self._seconds
        if self.count <= self._failures:
            raise OSError(self._error, "not opened")
        return "opened"


class FailingServer:
    """A server that cannot listen."""

    async def serve(self, sock: socket.socket) -> None:
        """Close the socket and fail."""
        sock.close()
        raise OSError(errno.EACCES, "not permitted")

"""Whole nodes in virtual time, for tests whose subject is a decision or a timer.

Connections and datagrams stay in memory, so results depend neither on the load of the machine nor
on its ports. Tests about sockets, processes or the kernel's buffers use `run_scenario` of
`tests/mesh_builders.py`.
"""

import asyncio
import socket
from typing import Any

import async_solipsism

from tests.builders import LoopClock, _cancel_pending_tasks
from tests.mesh_builders import MeshFleet

Address = tuple[str, int]


class VirtualLoop(async_solipsism.EventLoop):
    """An event loop with virtual time, TCP connections and datagrams in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.endpoints: dict[Address, _Endpoint] = {}
        self.refusing: set[Address] = set()  # addresses that refuse connections

    async def create_connection(
        self, protocol_factory: Any, host: str, port: int, **options: Any
    ) -> tuple[asyncio.Transport, Any]:
        """Connect to a listening address, unless it refuses connections."""
        if (host, port) in self.refusing:
            raise ConnectionRefusedError(f"{host}:{port}")
        return await super().create_connection(protocol_factory, host, port, **options)

    async def create_server(
        self,
        protocol_factory: Any,
        host: str | None = None,
        port: int | None = None,
        *,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> asyncio.Server:
        """Listen in memory; a bound socket gives its address only, and is closed."""
        if sock is not None:
            host, port = sock.getsockname()[:2]
            sock.close()
        return await super().create_server(protocol_factory, host, port, **options)

    async def create_datagram_endpoint(
        self, protocol_factory: Any, local_addr: Address | None = None, **options: Any
    ) -> tuple["_Endpoint", Any]:
        """Bind an address; raises `OSError` if it is taken."""
        if local_addr is None or local_addr in self.endpoints:
            raise OSError(f"cannot bind {local_addr}")
        protocol = protocol_factory()
        endpoint = self.endpoints[local_addr] = _Endpoint(self, local_addr, protocol)
        protocol.connection_made(endpoint)
        return endpoint, protocol

    def stand_still(self, seconds: float) -> None:
        """Let time pass in which nothing runs, as when the whole process is paused."""
        self._selector.clock.advance(seconds)


class _Endpoint(asyncio.DatagramTransport):
    """A bound address; a datagram to an address that nobody has bound is lost."""

    def __init__(self, loop: VirtualLoop, address: Address, protocol: Any) -> None:
        super().__init__()
        self._loop = loop
        self._address = address
        self._protocol = protocol

    def sendto(self, data: bytes, addr: Address | None = None) -> None:
        self._loop.call_soon(self._deliver, bytes(data), addr)

    def _deliver(self, data: bytes, addr: Address) -> None:
        target = self._loop.endpoints.get(addr)
        if target is not None:
            target._protocol.datagram_received(data, self._address)

    def is_closing(self) -> bool:
        return self._loop.endpoints.get(self._address) is not self

    def close(self) -> None:
        if not self.is_closing():
            del self._loop.endpoints[self._address]


def run_virtual_scenario(scenario, policy=None):
    """Run a scenario with a new fleet in virtual time and return its result.

    Raises `TimeoutError` after 20 virtual seconds.
    """

    async def work():
        fleet = MeshFleet(policy, LoopClock())
        try:
            return await asyncio.wait_for(scenario(fleet), 20)
        finally:
            await fleet.close()

    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work())
    finally:
        loop.run_until_complete(_cancel_pending_tasks())
        loop.close()

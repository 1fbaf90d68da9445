"""Datagrams over UDP, by the standard library's datagram endpoint."""

import asyncio
from collections.abc import Callable
from typing import Self

from thorntray.internal.membership.gossip import Address


class UdpTransport(asyncio.DatagramProtocol):
    """One bound UDP port."""

    def __init__(self) -> None:
        self._endpoint: asyncio.DatagramTransport | None = None
        self.receive: Callable[[bytes, Address], None] = lambda data, address: None

    @classmethod
    async def open(cls, address: Address) -> Self:
        """Bind the port; set `receive` before datagrams are expected."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(cls, local_addr=tuple(address))
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the endpoint."""
        self._endpoint = transport  # uvloop's is no subclass of asyncio.DatagramTransport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on."""
        self.receive(data, Address(addr[0], addr[1]))

    def error_received(self, exc: OSError) -> None:
        """Ignore what a send raised later: datagrams may be lost."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram."""
        if self._endpoint is not None and not self._endpoint.is_closing():
            self._endpoint.sendto(data, tuple(address))

    def close(self) -> None:
        """Unbind the port."""
        if self._endpoint is not None:
            self._endpoint.close()

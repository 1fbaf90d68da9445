"""Sends and receives datagrams over UDP with an asyncio datagram endpoint."""

import asyncio
from collections.abc import Callable
from typing import Self

from thorntray.internal.membership.gossip import Address


class UdpTransport(asyncio.DatagramProtocol):
    """A bound UDP port. `receive` is called with each datagram and its source address."""

    def __init__(self) -> None:
        self._endpoint: asyncio.DatagramTransport | None = None
        self.receive: Callable[[bytes, Address], None] = lambda data, address: None

    @classmethod
    async def open(cls, address: Address) -> Self:
        """Bind the port. Datagrams are dropped until the caller has set `receive`."""
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(cls, local_addr=tuple(address))
        return protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the endpoint for sending."""
        self._endpoint = transport  # uvloop's class is not a subclass of asyncio.DatagramTransport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram to `receive`."""
        self.receive(data, Address(addr[0], addr[1]))

    def error_received(self, exc: OSError) -> None:
        """Ignore errors of earlier sends: the protocol tolerates lost datagrams."""

    def send(self, data: bytes, address: Address) -> None:
        """Send one datagram, or drop it if the port is not open."""
        if self._endpoint is not None and not self._endpoint.is_closing():
            self._endpoint.sendto(data, tuple(address))

    def close(self) -> None:
        """Close the port."""
        if self._endpoint is not None:
            self._endpoint.close()

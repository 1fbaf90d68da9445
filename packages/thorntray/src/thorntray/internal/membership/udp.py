"""Sends and receives datagrams over UDP with an asyncio datagram endpoint."""

import asyncio
import errno
from collections.abc import Callable
from functools import lru_cache
from ipaddress import ip_address
from typing import Self

from thorntray.internal.membership.gossip import Address
from thorntray.internal.telemetry.events import Event, log_event

KNOWN_HOSTS = 4096  # whose addresses are not parsed again


@lru_cache(maxsize=KNOWN_HOSTS)
def _is_ip(host: str) -> bool:
    """Return whether a host is an IP address; a name would be looked up for each datagram."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


class UdpTransport(asyncio.DatagramProtocol):
    """A bound UDP port. `receive` is called with each datagram and its source address."""

    def __init__(self) -> None:
        self._endpoint: asyncio.DatagramTransport | None = None
        self.receive: Callable[[bytes, Address], None] = lambda data, address: None

    @classmethod
    async def open(cls, address: Address) -> Self:
        """Bind the port; raises `OSError` if it is taken or the machine lacks the address.

        Datagrams are dropped until the caller has set `receive`.
        """
        loop = asyncio.get_running_loop()
        try:
            _, protocol = await loop.create_datagram_endpoint(cls, local_addr=tuple(address))
        except OSError as exc:
            if exc.errno is None:  # uvloop gives the number of a failed bind with its cause only
                number = getattr(exc.__cause__, "errno", None) or errno.EADDRINUSE
                raise OSError(number, str(exc)) from exc
            raise
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
        """Send one datagram, or drop it if the port is not open or the address is none."""
        if self._endpoint is None or self._endpoint.is_closing() or not _is_ip(address.host):
            return
        try:
            self._endpoint.sendto(data, tuple(address))
        except (OSError, OverflowError, ValueError) as exc:
            log_event(Event.BAD_MESSAGE, detail=f"no datagram can be sent to {address}: {exc!r}")

    def close(self) -> None:
        """Close the port."""
        if self._endpoint is not None:
            self._endpoint.close()

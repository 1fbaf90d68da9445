"""The TCP ports of a starting process: bound first, served later, waited for while unavailable.

A process that accepts connections before it holds all its ports loses what it has accepted when a
later port turns out to be taken. A port may be taken for some seconds: by the process before, which
has not ended yet, or as the local port of another connection. The address of a machine that has
just booted may come up after the process has started.
"""

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple, Protocol, Self, TypeVar

from thorntray.errors import AddressNotAvailable, PortTaken
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event

POLL_PERIOD = 0.05  # seconds between attempts to open a port
WAIT_LIMIT = 10.0  # seconds for which a start waits for its ports, all of them together
TRANSIENT_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})

_T = TypeVar("_T")


class SocketServer(Protocol):
    """A server that accepts the connections of a bound socket."""

    async def serve(self, sock: socket.socket) -> None:
        """Listen; raises `OSError` if that fails, and has closed the socket then."""
        ...


class PortAddress(NamedTuple):
    """An address to listen on, and what it is for."""

    purpose: str
    host: str
    port: int


def bind_tcp(host: str, port: int) -> socket.socket:
    """Return a socket that is bound and does not listen; raises `OSError` if the port is taken."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)  # despite TIME_WAIT
        sock.bind((host, port))
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


async def accept_from(
    sock: socket.socket, factory: Callable[[], asyncio.Protocol], backlog: int
) -> asyncio.Server:
    """Listen on a bound socket and accept its connections; closes the socket if that fails.

    With SO_REUSEADDR, Linux binds two sockets to one port as long as neither listens, and `listen`
    fails for the second one.
    """
    try:
        sock.listen(backlog)  # uvloop drops its error, and returns a server without a listener
        loop = asyncio.get_running_loop()
        return await loop.create_server(factory, sock=sock, backlog=backlog)
    except BaseException:
        sock.close()
        raise


def is_taken(exc: OSError) -> bool:
    """Return whether a port could not be opened because another socket holds it."""
    return exc.errno == errno.EADDRINUSE


class PortWait:
    """Waits for taken ports and missing addresses, for `WAIT_LIMIT` at most over the whole start.

    Attempts are counted instead of seconds, so that time for which the process or its machine was
    suspended does not end the wait.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._attempts_left = round(WAIT_LIMIT / POLL_PERIOD)

    async def until_free(self, address: PortAddress, attempt: Callable[[], Awaitable[_T]]) -> _T:
        """Return the result of an attempt to open a port, repeated on `TRANSIENT_ERRORS`.

        Raises `PortTaken` or `AddressNotAvailable` after the wait, and any other `OSError` at once.
        """
        began = self._clock.monotonic()
        waited = False
        while True:
            try:
                result = await attempt()
                break
            except OSError as exc:
                if exc.errno not in TRANSIENT_ERRORS:
                    raise
                if self._attempts_left <= 0:
                    seconds = self._clock.monotonic() - began
                    error = PortTaken if is_taken(exc) else AddressNotAvailable
                    raise error(*address, seconds) from exc
                if not waited:
                    reason = errno.errorcode[exc.errno]
                    log_event(Event.PORT_TAKEN, **address._asdict(), reason=reason)
                    waited = True
            self._attempts_left -= 1
            await asyncio.sleep(POLL_PERIOD)
        if waited:
            seconds = round(self._clock.monotonic() - began, 2)
            log_event(Event.PORT_FREE, **address._asdict(), seconds=seconds)
        return result


class ListeningPort:
    """A TCP port that is bound, and served by a server later."""

    def __init__(self, address: PortAddress, wait: PortWait, sock: socket.socket) -> None:
        self.address = address
        self._wait = wait
        self._socket: socket.socket | None = sock

    @classmethod
    async def bind(cls, address: PortAddress, wait: PortWait) -> Self:
        """Bind a port; waits while it is taken or its address is missing."""

        async def attempt() -> socket.socket:
            return bind_tcp(address.host, address.port)

        port = cls(address, wait, await wait.until_free(address, attempt))
        log_event(Event.PORTS_BOUND, **address._asdict())
        return port

    async def serve(self, server: SocketServer) -> None:
        """Have a server listen on the port; waits if another socket has come to listen there."""
        await self._wait.until_free(self.address, lambda: self._listen(server))

    async def _listen(self, server: SocketServer) -> None:
        sock = self._socket or bind_tcp(self.address.host, self.address.port)
        self._socket = None  # the server's from now on
        await server.serve(sock)

    def close(self) -> None:
        """Give the port up, unless a server listens on it."""
        if self._socket is not None:
            self._socket.close()


async def bind_ports(addresses: Iterable[PortAddress], wait: PortWait) -> list[ListeningPort]:
    """Bind ports one after the other; none stays bound if one cannot be bound."""
    bound: list[ListeningPort] = []
    try:
        for address in addresses:
            bound.append(await ListeningPort.bind(address, wait))
    except BaseException:
        for port in bound:
            port.close()
        raise
    return bound

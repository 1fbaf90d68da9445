"""HTTP/1.1 client for a few small calls, as those of a node to the platform's key-value service.

A node starts often, and together with many others after a failure. Importing `aiohttp`, with its
TLS contexts, takes half of the processor time of a start, so that the first calls are delayed. This
client has what those calls need: kept connections, timeouts and bounded replies. It has no TLS,
proxies, redirects or compression (`store.aiohttp_client` has).

A call is sent once. If it were sent again on a new connection when a kept one closes, a write could
take effect twice without the caller's knowledge.
"""

import asyncio
import socket
from collections.abc import Mapping
from typing import NamedTuple, Protocol
from urllib.parse import urlsplit

import httptools

from thorntray.errors import NoReply, NotConnected
from thorntray.internal.connection.socket_opener import SocketOpener
from thorntray.internal.connection.statuses import is_final, is_interim
from thorntray.internal.process.clock import Clock

CONNECT_TIMEOUT = 2.0  # seconds
IDLE_TIMEOUT = 15.0  # seconds after which an unused connection is closed rather than used again
MAX_REPLY_BYTES = 8 * 1024 * 1024  # head and body; some calls wait at the same time
MAX_INTERIM_REPLIES, MAX_FIELDS = 10, 200  # of one call; more only take processor time
KEEPALIVE_IDLE = 1  # seconds without traffic before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 2  # unanswered probes until the connection is closed
_HEAD = b"%b %b HTTP/1.1\r\nHost: %b\r\nAccept: */*\r\n"


class HttpReply(NamedTuple):
    """A complete reply. The names of header fields are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpClient(Protocol):
    """Makes HTTP calls."""

    async def call(self, method: str, url: str, body: bytes | None, timeout: float) -> HttpReply:
        """Make one call with a JSON body, if any; `timeout` is in seconds.

        Raises `NotConnected` if nothing was sent, and `NoReply` if the call may have been received.
        """
        ...

    async def close(self) -> None:
        """Close all connections."""
        ...


def enable_keepalive(sock: socket.socket) -> None:
    """Let the kernel close a connection that has gone silent, without a call to the service."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class _Connection(asyncio.Protocol):
    """One connection, with at most one call at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._reply: asyncio.Future[HttpReply] | None = None
        self._received = 0  # bytes since the call was sent
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._head_complete = False
        self._interim_replies = 0
        self.reusable = False
        self.idle_since = 0.0  # monotonic seconds

    async def exchange(self, request: bytes) -> HttpReply:
        """Send a request and return the reply; raises `NoReply`."""
        assert self._transport is not None
        self.reusable = False
        self._received = self._interim_replies = 0
        self._reply = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        try:
            return await self._reply
        finally:  # a kept connection holds no reply that was given to its caller
            self._reply, self._body = None, []

    def close(self) -> None:
        """Close the connection at once, and drop what has come of a reply."""
        self.reusable = False
        self._body = []  # the parser refers to this object, so it may be collected much later
        if self._transport is not None:
            self._transport.abort()

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and watch the connection."""
        self._transport = transport  # uvloop's transport is not a subclass of asyncio.Transport
        enable_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that nobody awaits close the connection."""
        if self._answered:
            self.close()
            return
        self._received += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._fail(f"malformed reply: {exc}")
        if self._received > MAX_REPLY_BYTES:
            self._fail(f"more than {MAX_REPLY_BYTES} bytes")

    def eof_received(self) -> bool:
        """Complete a reply without a length, which ends with its connection."""
        self.reusable = False
        if self._head_complete and not self._has_length:
            self._resolve()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call that waits for a reply."""
        self._fail("the connection was closed")

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a reply; one that follows the awaited reply would be taken for the next."""
        if self._answered:
            self.reusable = False
        self._headers, self._body, self._head_complete = {}, [], False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; an exception ends the parsing."""
        if len(self._headers) >= MAX_FIELDS:
            raise NoReply(f"more than {MAX_FIELDS} header fields")
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Record that the rest is the body; raises `NoReply` if the status is invalid."""
        status = self._parser.get_status_code()
        if not is_final(status) and not is_interim(status):
            raise NoReply(f"invalid status {status}")
        self._head_complete = is_final(status)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Complete the reply, unless it is an interim one (1xx)."""
        if is_interim(self._parser.get_status_code()):
            self._interim_replies += 1
            if self._interim_replies > MAX_INTERIM_REPLIES:
                raise NoReply(f"more than {MAX_INTERIM_REPLIES} interim replies")
        elif not self._answered:
            self.reusable = self._parser.should_keep_alive()
            self._resolve()

    @property
    def _answered(self) -> bool:
        """Return whether no call waits for a reply."""
        return self._reply is None or self._reply.done()

    @property
    def _has_length(self) -> bool:
        return not self._headers.keys().isdisjoint(("content-length", "transfer-encoding"))

    def _resolve(self) -> None:
        if self._reply is not None and not self._answered:
            status = self._parser.get_status_code()
            self._reply.set_result(HttpReply(status, self._headers, b"".join(self._body)))

    def _fail(self, reason: str) -> None:
        self.reusable = False
        if self._reply is not None and not self._answered:
            self._reply.set_exception(NoReply(reason))
        self.close()


class KeptConnections:
    """An `HttpClient` that keeps its connections open between calls."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[tuple[str, int], list[_Connection]] = {}
        self.opener = SocketOpener()

    async def call(self, method: str, url: str, body: bytes | None, timeout: float) -> HttpReply:
        """Make one call; see `HttpClient`."""
        parts = urlsplit(url)
        address = (parts.hostname or "", parts.port or 80)
        target = f"{parts.path}?{parts.query}" if parts.query else parts.path
        request = _request(method, target, parts.netloc, body)
        deadline = asyncio.get_running_loop().time() + timeout
        began_at = self._clock.monotonic()
        conn = self._take(address) or await self._connect(address, min(timeout, CONNECT_TIMEOUT))
        try:
            async with asyncio.timeout_at(deadline):
                reply = await conn.exchange(request)
        except TimeoutError as exc:
            self._close_idle(address, began_at)
            raise NoReply(f"none within {timeout} s") from exc
        except asyncio.CancelledError:
            self._close_idle(address, began_at)
            raise
        finally:
            self._put_back(address, conn)
        return reply

    async def close(self) -> None:
        """Close the connections that no call is using."""
        for connections in self._idle.values():
            for conn in connections:
                conn.close()
        self._idle.clear()

    def _close_idle(self, address: tuple[str, int], since: float) -> None:
        """Close the kept connections that were not used after a time.

        A connection without an answer may be one of several that have gone silent together, and
        each of the others would cost the next calls their time.
        """
        kept = self._idle.get(address, [])
        for conn in [conn for conn in kept if conn.idle_since < since]:
            kept.remove(conn)
            conn.close()

    def _take(self, address: tuple[str, int]) -> _Connection | None:
        """Return the kept connection that was used last, None if there is none."""
        kept = self._idle.get(address, [])
        oldest = self._clock.monotonic() - IDLE_TIMEOUT
        while kept:
            conn = kept.pop()
            if conn.reusable and conn.idle_since >= oldest:
                return conn
            conn.close()
        return None

    def _put_back(self, address: tuple[str, int], conn: _Connection) -> None:
        """Keep a connection after a complete reply, or close it."""
        if not conn.reusable:
            conn.close()
            return
        conn.idle_since = self._clock.monotonic()
        self._idle.setdefault(address, []).append(conn)

    async def _connect(self, address: tuple[str, int], timeout: float) -> _Connection:
        try:
            async with asyncio.timeout(timeout):
                conn = await self.opener.open(_Connection, *address)
        except (OSError, TimeoutError) as exc:
            raise NotConnected(f"no connection to {address[0]}:{address[1]}: {exc!r}") from exc
        return conn


def _request(method: str, target: str, host: str, body: bytes | None) -> bytes:
    head = _HEAD % (method.encode(), target.encode(), host.encode())
    if body is None:
        return head + b"\r\n"
    fields = b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + fields + body

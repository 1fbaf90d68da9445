"""HTTP/1.1 towards callers: one object for each connection, on `httptools`.

`uvicorn` and `starlette` hide what a node must know: when a caller has closed, what was read
before a close, which answer may not look whole. And they cost more than the rest of the path.

A connection may carry several requests before the first is answered; answers leave in the order
of the requests. An answer that begins a stop says `Connection: close`, and whatever was sent
behind it counts as unread by the caller.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools

from thorntray.internal.process.clock import Clock

MAX_PIPELINED = 32  # requests under way on one connection before reading pauses
SWEEP_PERIOD = 0.5  # seconds between looks for slow and idle connections
BACKLOG = 1024  # connections that wait to be accepted

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Header = tuple[bytes, bytes]


class RequestLimits(NamedTuple):
    """What a caller may send, and how long it may take; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class HttpRequest(NamedTuple):
    """A whole request as it was read. Header names keep the caller's case."""

    method: bytes
    target: bytes
    headers: list[Header]
    body: bytes


class Exchange:
    """One request on a connection and the place of its answer."""

    __slots__ = ("request", "on_cancel", "_connection", "_answer", "keep_alive")

    def __init__(self, connection: "HttpServerConnection", request: HttpRequest) -> None:
        self.request = request
        self.on_cancel: Callable[[], None] | None = None  # called when the caller has gone
        self.keep_alive = True
        self._connection = connection
        self._answer: bytes | None = None

    @property
    def answered(self) -> bool:
        """Return whether an answer was given."""
        return self._answer is not None

    @property
    def answer_bytes(self) -> bytes | None:
        """Return the whole answer as it goes to the caller, None before there is one."""
        return self._answer

    def answer(self, status: int, header_lines: bytes, body: bytes) -> None:
        """Give the answer; it leaves when the answers before it have left."""
        if self._answer is not None:
            return
        connection = self._connection
        if connection.server.closing:
            self.keep_alive = False
        parts = [
            b"HTTP/1.1 %d %s\r\n" % (status, _REASONS.get(status, b"Unknown")),
            header_lines,
        ]
        if self.request.method != b"HEAD":
            parts.append(b"Content-Length: %d\r\n" % len(body))
            parts.append(b"\r\n" if self.keep_alive else b"Connection: close\r\n\r\n")
            parts.append(body)
        else:
            parts.append(b"\r\n" if self.keep_alive else b"Connection: close\r\n\r\n")
        self._answer = b"".join(parts)
        connection.flush()


ExchangeHandler = Callable[[Exchange], None]


class HttpServer:
    """One listening address, its connections and their limits."""

    def __init__(self, handler: ExchangeHandler, clock: Clock) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = RequestLimits()
        self.closing = False
        self.connections: set[HttpServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError` when the port is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpServerConnection(self), host, port, backlog=BACKLOG
        )

    @property
    def active(self) -> int:
        """Return how many requests are under way."""
        return sum(len(connection.pending) for connection in self.connections)

    async def sweep(self) -> None:
        """Close slow and idle connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD)
            now = self.clock.monotonic()
            for connection in list(self.connections):
                connection.check(now)

    def close(self) -> None:
        """Stop listening and close what is idle."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()


class HttpServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.pending: deque[Exchange] = deque()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._active_at = server.clock.monotonic()
        self._reading_since: float | None = None  # when the first byte of a request came
        self._refused = False
        self._paused = False
        self._clear()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        self._transport = transport  # uvloop's is no subclass of asyncio.Transport
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse; what cannot be parsed is refused and ends the connection."""
        if self._refused:
            return
        if self._reading_since is None:
            self._reading_since = self.server.clock.monotonic()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError:
            if not self._refused:
                self._refuse(400)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what is under way: nobody waits for it."""
        self.server.connections.discard(self)
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if not exchange.answered and exchange.on_cancel is not None:
                exchange.on_cancel()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._clear()

    def on_url(self, target: bytes) -> None:
        """Take a part of the target."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        self._header_bytes += len(name) + len(value) + 4
        if self._header_bytes > self.server.limits.header_bytes:
            self._refuse(431)
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Let a caller that waits for it send its body."""
        if self._parser.get_method() in _WITHOUT_BODY:
            return
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                if not self.pending and self._transport is not None:
                    self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > self.server.limits.body_bytes:
            self._refuse(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Hand the request on."""
        if self._refused:
            return
        self._reading_since = None
        body = b"".join(self._body)
        request = HttpRequest(self._parser.get_method(), self._target, self._headers, body)
        exchange = Exchange(self, request)
        exchange.keep_alive = self._parser.should_keep_alive()
        self.pending.append(exchange)
        if len(self.pending) >= MAX_PIPELINED:
            self._pause()
        self.server.handler(exchange)

    # Answers.

    def flush(self) -> None:
        """Write the answers that are next in order."""
        transport = self._transport
        while self.pending and self.pending[0].answered:
            exchange = self.pending.popleft()
            self._active_at = self.server.clock.monotonic()
            if transport is None or transport.is_closing():
                continue
            transport.write(exchange.answer_bytes or b"")
            if not exchange.keep_alive:
                self._drop_pending()
                transport.close()
                return
        if self._paused and len(self.pending) < MAX_PIPELINED:
            self._paused = False
            if transport is not None:
                transport.resume_reading()

    def pause_writing(self) -> None:
        """Read no further requests of a caller that does not read its answers."""
        self._pause()

    def resume_writing(self) -> None:
        """Read on."""
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    def check(self, now: float) -> None:
        """Refuse a request that takes too long to arrive; close an idle connection."""
        limits = self.server.limits
        if self._reading_since is not None and not self.pending:
            if now - self._reading_since > limits.header_timeout and not self._refused:
                self._refuse(408)
        elif not self.pending and now - self._active_at > limits.idle_timeout:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is under way or arriving."""
        if not self.pending and self._reading_since is None and self._transport is not None:
            self._transport.close()

    def _refuse(self, status: int) -> None:
        """Answer a request that was not read to its end, and close after that answer."""
        self._refused = True
        request = HttpRequest(b"GET", self._target, [], b"")
        exchange = Exchange(self, request)
        exchange.keep_alive = False
        self.pending.append(exchange)
        exchange.answer(status, b"", b"")

    def _drop_pending(self) -> None:
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            if not exchange.answered and exchange.on_cancel is not None:
                exchange.on_cancel()

    def _pause(self) -> None:
        if not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def _clear(self) -> None:
        self._target = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

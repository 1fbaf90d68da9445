"""HTTP/1.1 server of a `MeshNode`: one protocol object per connection, based on `httptools`.

`uvicorn` and `starlette`, which a `Node` uses, hide what is needed here: when a caller has closed
its connection, what was read before the close, and which response must not look complete. They
also use more processor time than the rest of the request path.

Requests may be pipelined; responses are sent in the order of the requests. While the server is
shutting down, a connection is closed with the response to the last request that was read from it,
which carries `Connection: close`.

A caller that ends its side of the connection has left: its requests are cancelled. It cannot be
told from one that only has nothing more to send, and its work must not go on for nobody.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from math import inf

import httptools

from thorntray.internal.connection.connection_bound import SURPLUS_TIMEOUT, ConnectionBound
from thorntray.internal.connection.connection_end import Linger
from thorntray.internal.connection.http_request import (
    ClosedBy,
    Header,
    HttpRequest,
    RequestLimits,
    expects_continue,
)
from thorntray.internal.connection.output_watch import OutputWatch
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import log_handler_failure

MAX_PIPELINED = 32  # pending requests on one connection at which reading pauses
TIMEOUT_CHECK_PERIOD = 0.5  # seconds between checks for slow and idle connections
LISTEN_BACKLOG = 1024  # connections waiting to be accepted

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """One request on a connection and its response."""

    __slots__ = ("request", "on_cancel", "_connection", "_head", "_body", "keep_alive", "last")

    def __init__(self, connection: "HttpServerConnection", request: HttpRequest) -> None:
        self.request = request
        self.on_cancel: Callable[[], None] | None = None  # called when no response can be sent
        self.keep_alive = True  # whether the caller keeps the connection open
        self.last = False  # whether the server ends the connection with the response
        self._connection = connection
        self._head: bytes | None = None  # without the Connection field
        self._body = b""

    @property
    def peer_host(self) -> str:
        """Return the IP address of the caller, empty if it is unknown."""
        return self._connection.peer_host

    @property
    def responded(self) -> bool:
        """Return whether a response was set."""
        return self._head is not None

    def respond(self, status: int, header_lines: bytes, body: bytes) -> None:
        """Set the response, sent after those of earlier requests. Later calls are ignored."""
        if self._head is not None:
            return
        reason = _REASON_PHRASES.get(status, b"Unknown")
        self._head = b"HTTP/1.1 %d %b\r\n%b" % (status, reason, header_lines)
        if self.request.method != b"HEAD":
            self._head += b"Content-Length: %d\r\n" % len(body)
            self._body = body
        self._connection.flush()

    def encode_response(self, keep_alive: bool) -> bytes:
        """Return the bytes of the response; it must have been set."""
        assert self._head is not None
        end = b"\r\n" if keep_alive else b"Connection: close\r\n\r\n"
        return b"".join((self._head, end, self._body))


ExchangeHandler = Callable[[Exchange], None]
UnansweredHandler = Callable[[Exchange, ClosedBy], None]


class HttpServer:
    """An HTTP server on one address, with its open connections and the limits for requests."""

    def __init__(self, handler: ExchangeHandler, clock: Clock) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = RequestLimits()
        self.closing = False
        self.connections: set[HttpServerConnection] = set()
        self.bound = ConnectionBound(self.connections, clock)
        self.requests_read = 0  # complete requests, since the start
        self.on_unanswered: UnansweredHandler = lambda exchange, closed_by: None
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening; raises `OSError` when the port is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: HttpServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    @property
    def active(self) -> int:
        """Return the number of requests whose response has not been sent."""
        return sum(len(connection.pending) for connection in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of response bytes that callers have not taken yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def report_unanswered(self, closed_by: ClosedBy) -> int:
        """Report every request whose response has not been sent; returns their number."""
        owed = [exchange for connection in self.connections for exchange in connection.pending]
        for exchange in owed:
            self.on_unanswered(exchange, closed_by)
        return len(owed)

    async def sweep(self) -> None:
        """Enforce the timeouts of all connections until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_PERIOD)
            now = self.clock.monotonic()
            for connection in list(self.connections):
                connection.enforce_timeouts(now)

    def close(self) -> None:
        """Stop listening and close idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()


class HttpServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.pending: deque[Exchange] = deque()
        self.peer_host = ""  # IP address of the caller
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._last_active_at = server.clock.monotonic()
        self._receiving_since: float | None = None  # arrival of the first byte of a request
        self._last_request_read = False  # whether later requests on the connection are ignored
        self.one_request = False  # whether the connection exceeds the bound of the server
        self._reading_paused = False
        self._writing_paused = False
        self._linger: Linger | None = None  # once the output has ended
        self._output_watch = OutputWatch(server.limits.idle_timeout, self._last_active_at)
        self._reset_message()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = transport  # uvloop's transport is not a subclass of asyncio.Transport
        self.peer_host = (transport.get_extra_info("peername") or ("",))[0]
        self.server.connections.add(self)
        self.server.bound.accept(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed input is rejected and closes the connection."""
        if self._linger is not None:
            self._linger.record_input(self.server.clock.monotonic())
        if self._last_request_read:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._end_after_last_request()
        except httptools.HttpParserError:
            if not self._last_request_read:
                self._reject(400)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel pending requests, since their caller has disconnected."""
        self.server.connections.discard(self)
        self._cancel_pending(ClosedBy.CALLER)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of response bytes that the caller has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._receiving_since = self.server.clock.monotonic()
        self._reset_message()

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field."""
        self._header_bytes += len(name) + len(value) + 4
        if self._last_request_read:
            return
        if self._header_bytes > self.server.limits.header_bytes:
            self._reject(431)
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Refuse the request of a connection in excess; send `100 Continue` if it is expected."""
        if self.one_request and not self._last_request_read:
            if self.server.bound.refuses(self.peer_host, self._target, self._headers):
                self._reject(503, self.server.bound.refusal_lines())
        if not self._last_request_read:
            self._continue_due = expects_continue(self._parser.get_method(), self._headers)
            if self._continue_due:
                self._send_continue()

    def _send_continue(self) -> None:
        """Send `100 Continue`; behind pending requests it would be out of order."""
        transport = self._transport
        if transport is not None and not self.pending and not transport.is_closing():
            self._continue_due = False
            transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self._last_request_read:
            return
        self._continue_due = False
        self._body_bytes += len(body)
        if self._body_bytes > self.server.limits.body_bytes:
            self._reject(413)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        if self._last_request_read:
            return
        self._receiving_since = None
        self._continue_due = False
        body = b"".join(self._body)
        request = HttpRequest(self._parser.get_method(), self._target, self._headers, body)
        exchange = Exchange(self, request)
        exchange.keep_alive = self._parser.should_keep_alive()
        exchange.last = self._last_request_read = self.one_request
        self.server.requests_read += 1
        self.pending.append(exchange)
        self._update_reading()
        self._handle(exchange)

    def _handle(self, exchange: Exchange) -> None:
        """Pass a request to the handler; if that fails, only this request fails."""
        try:
            self.server.handler(exchange)
        except Exception:  # the parser would take it for malformed input
            log_handler_failure()
            exchange.respond(HTTPStatus.INTERNAL_SERVER_ERROR, b"", b"")

    # Responses.

    def flush(self) -> None:
        """Send the responses that are next in order."""
        transport = self._transport
        while self.pending and self.pending[0].responded:
            exchange = self.pending.popleft()
            self._last_active_at = self.server.clock.monotonic()
            if transport is None or transport.is_closing():
                continue
            # A closing response ends the connection for all requests behind it, so while the
            # server is shutting down only the response to the last request read may be one.
            last = exchange.last or (self.server.closing and not self.pending)
            keep_alive = exchange.keep_alive and not last
            transport.write(exchange.encode_response(keep_alive))
            if not keep_alive:
                self._last_request_read = True
                self._cancel_pending(ClosedBy.NODE)
                self._close_after_response(transport, closed_by_caller=not exchange.keep_alive)
                return
        if self._continue_due:
            self._send_continue()
        self._update_reading()

    def _close_after_response(self, transport: asyncio.Transport, closed_by_caller: bool) -> None:
        """Close the connection so that the caller can read the response.

        Closing with unread input resets the connection, which may discard the response. Unless the
        caller itself sends nothing more and the operating system has taken the response, only the
        output is ended, and input is discarded.
        """
        if closed_by_caller and not transport.get_write_buffer_size():
            transport.close()
            return
        self._linger = Linger(self.server.clock.monotonic())
        transport.write_eof()
        self._update_reading()

    def pause_writing(self) -> None:
        """Stop reading requests from a caller that does not read its responses."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading when the write buffer has drained."""
        self._writing_paused = False
        self._update_reading()

    def enforce_timeouts(self, now: float) -> None:
        """Reject a request that takes too long to arrive; close an idle or stalled connection."""
        limits, transport = self.server.limits, self._transport
        if transport is None:
            return
        if self._output_watch.is_stalled(transport, limits.idle_timeout, now):
            transport.abort()
        elif self._linger is not None:
            if self._linger.is_over(now) and not self.unsent_bytes:
                transport.close()
        elif self._receiving_since is not None and not self.pending:
            timeout = min(limits.header_timeout, SURPLUS_TIMEOUT if self.one_request else inf)
            if now - self._receiving_since > timeout and not self._last_request_read:
                self._reject(408)
        elif not self.pending and now - self._last_active_at > limits.idle_timeout:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or being received."""
        if not self.pending and self._receiving_since is None and self._transport is not None:
            self._transport.close()

    @property
    def idle_since(self) -> float:
        """Return the monotonic time of the last response, infinite if anything is in progress."""
        in_use = self.pending or self._receiving_since is not None or self._linger is not None
        return inf if in_use or self.unsent_bytes else self._last_active_at

    def displace(self, header_lines: bytes) -> bool:
        """Refuse a request whose head has not arrived, and close; return False if it has."""
        if self.pending or self._last_request_read or self._transport is None:
            return False
        if self._receiving_since is not None:
            self._reject(503, header_lines)
        self._transport.close()
        return True

    def _reject(self, status: int, header_lines: bytes = b"") -> None:
        """Respond to a request that was not fully read, and close the connection afterwards."""
        self._last_request_read = True
        exchange = Exchange(self, HttpRequest(b"GET", self._target, [], b""))
        exchange.last = True
        self.pending.append(exchange)
        exchange.respond(status, header_lines, b"")

    def _end_after_last_request(self) -> None:
        """Read nothing more, and close the connection with the response to the last request."""
        self._last_request_read = True
        if self.pending:
            self.pending[-1].last = True
        elif self._transport is not None and not self._transport.is_closing():
            self._close_after_response(self._transport, closed_by_caller=False)

    def _cancel_pending(self, closed_by: ClosedBy) -> None:
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            self.server.on_unanswered(exchange, closed_by)
            if not exchange.responded and exchange.on_cancel is not None:
                exchange.on_cancel()

    def _update_reading(self) -> None:
        """Read unless the caller has too many pending requests or does not read its responses.

        Input that is only discarded takes no memory and is always read.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        limited = self._writing_paused or len(self.pending) >= MAX_PIPELINED
        pause = limited and self._linger is None
        if pause == self._reading_paused:
            return
        self._reading_paused = pause
        if pause:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _reset_message(self) -> None:
        self._continue_due = False  # whether the caller waits for `100 Continue`
        self._target = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

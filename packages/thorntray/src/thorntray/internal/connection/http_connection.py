"""One connection of a caller to an `HttpServer`.

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
from typing import TYPE_CHECKING

import httptools

from thorntray.internal.connection.connection_bound import SURPLUS_TIMEOUT
from thorntray.internal.connection.connection_end import (
    Linger,
    UntakenOutput,
    unacknowledged_bytes,
)
from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.http_request import (
    ClosedBy,
    Header,
    HttpRequest,
    expects_continue,
)
from thorntray.internal.connection.kernel_output import discard_input, kernel_input_bytes
from thorntray.internal.connection.output_watch import OutputWatch
from thorntray.internal.connection.request_bodies import (
    CONTENT_LENGTH,
    FIELD_SEPARATOR_BYTES,
    IncomingRequest,
)
from thorntray.internal.connection.request_parser import RequestParser
from thorntray.internal.telemetry.events import log_handler_failure

if TYPE_CHECKING:
    from thorntray.internal.connection.http_server import HttpServer

# Seconds after the accept in which the first request arrives, also on a machine under load.
FIRST_REQUEST_TIME = 0.3
MAX_PIPELINED = 32  # pending requests on one connection at which reading pauses
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpServerConnection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, server: "HttpServer") -> None:
        self.server = server
        self.held = server.held
        self.pending: deque[Exchange] = deque()
        self.peer_host = ""  # IP address of the caller
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._last_active_at = self._accepted_at = server.clock.monotonic()
        self._unused = True  # whether nothing has been received
        self._receiving_since: float | None = None  # arrival of the first byte of a request
        self._last_request_read = False  # whether later requests on the connection are ignored
        self.one_request = False  # whether the connection exceeds the bound of the server
        self._reading_paused = False
        self._writing_paused = False
        # Callers that come for refusals only, one after the other, must not prolong a stop.
        self._untaken = None if server.refusing else UntakenOutput()
        self._linger: Linger | None = None  # once the output has ended
        self._output_watch = OutputWatch(server.limits.idle_timeout, self._last_active_at)
        self._incoming = IncomingRequest()
        self._continue_due = False  # whether the caller waits for `100 Continue`
        self._offers_upgrade = False  # whether the current request does, or an earlier one has

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self._transport = transport  # uvloop's transport is not a subclass of asyncio.Transport
        self.peer_host = (transport.get_extra_info("peername") or ("",))[0]
        self.server.connections.add(self)
        self.server.bound.accept(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; malformed input is rejected and closes the connection."""
        self._unused = False
        if self._linger is not None:
            self._linger.record_input(self.server.clock.monotonic())
        if self._last_request_read:
            return
        incoming = self._incoming
        incoming.received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:  # a tunnel, which this server does not open
            if not self._last_request_read:
                self._reject(HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserError:
            if not self._last_request_read:
                self._reject(400)
        if incoming is self._incoming and incoming.has_excess(self.server.limits.header_bytes):
            if not self._last_request_read:
                self._reject(431)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel pending requests, since their caller has disconnected."""
        self.server.connections.discard(self)
        self.server.bound.forget(self)
        self.held.slow.discard(self._transport)
        self._incoming.take_body()  # which the cycle with the parser would hold
        self.held.release(self._incoming)
        self._cancel_pending(ClosedBy.CALLER)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of response bytes that the kernel has not taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    @property
    def untaken_bytes(self) -> int:
        """Return the number of response bytes that the caller has not acknowledged yet."""
        if self._transport is None:
            return 0
        if self._untaken is None:
            return self.unsent_bytes
        now = self.server.clock.monotonic()
        return self._untaken.count(self._transport, self.unsent_bytes, self._last_active_at, now)

    # Called by the parser.

    @property
    def parsed_head(self) -> tuple[bytes, list[Header]]:
        """Return the target and the header fields of the request that is being received."""
        return self._incoming.target, self._incoming.headers

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._receiving_since = self.server.clock.monotonic()
        self._incoming = IncomingRequest()
        self._continue_due = False

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self._incoming.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field."""
        if self._last_request_read:
            return
        incoming = self._incoming
        incoming.headers.append((name, value))
        incoming.header_bytes += len(name) + len(value) + FIELD_SEPARATOR_BYTES
        if len(name) == len(CONTENT_LENGTH) and name.lower() == CONTENT_LENGTH:
            incoming.set_length(value)
        if incoming.header_bytes > self.server.limits.header_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Refuse a request for which there is no room; send `100 Continue` if it is expected."""
        incoming, bound = self._incoming, self.server.bound
        if self._last_request_read:
            return
        if self._parser.should_upgrade():  # the head is parsed again, or refused
            self._offers_upgrade = True
            return
        if self.one_request and bound.refuses(self.peer_host, incoming.target, incoming.headers):
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, bound.refusal_lines())
            return
        if incoming.content_length > self.server.limits.body_bytes:
            self._reject(413)
            return
        if not self._admit(incoming.header_bytes + incoming.content_length):
            return
        incoming.head_complete = True
        self._continue_due = expects_continue(self._parser.get_method(), incoming.headers)
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
        self._incoming.add_body(body)
        if self._incoming.body_bytes > self.server.limits.body_bytes:
            self._reject(413)
            return
        beyond = self._incoming.unannounced_bytes
        if beyond > 0:
            self._admit(beyond)

    def _admit(self, count: int) -> bool:
        """Count bytes of the request that is being received, or refuse it."""
        refusal = self.held.admit(self._incoming, count)
        if refusal is not None:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, refusal)
        return refusal is None

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        if self._last_request_read or self._parser.should_upgrade():
            return
        self._receiving_since = None
        self._continue_due = False
        target, headers = self._incoming.target, self._incoming.headers
        body = self._incoming.take_body()
        request = HttpRequest(self._parser.get_method(), target, headers, body)
        exchange = Exchange(self, request)
        exchange.held_bytes, self._incoming.held_bytes = self._incoming.held_bytes, 0
        exchange.keep_alive = self._parser.should_keep_alive()
        # Its caller may send bytes of another protocol behind a request that offers an upgrade.
        exchange.last = self._last_request_read = self.one_request or self._offers_upgrade
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
                exchange.release_response()
                continue
            # A closing response ends the connection for all requests behind it, so while the
            # server is shutting down only the response to the last request read may be one.
            last = exchange.last or (self.server.closing and not self.pending)
            keep_alive = exchange.keep_alive and not last
            exchange.write_response(transport, keep_alive)
            if self._untaken is not None:
                self._untaken.possible = True
            if not keep_alive:
                self._last_request_read = True
                self._cancel_pending(ClosedBy.NODE)
                self._close_after_response(transport, exchange.keep_alive or last)
                return
        if self._continue_due:
            self._send_continue()
        self._update_reading()

    def _close_after_response(self, transport: asyncio.Transport, lingers: bool) -> None:
        """Close the connection so that the caller can read the response.

        Closing with unread input resets the connection, which may discard the response. Unless the
        caller itself sends nothing more and the operating system has taken the response, only the
        output is ended, and input is discarded.
        """
        if not lingers and not transport.get_write_buffer_size():
            transport.close()
            return
        self._incoming.take_body()
        self.held.release(self._incoming)
        self._linger = Linger(self.server.clock.monotonic())
        transport.write_eof()
        self._update_reading()

    def pause_writing(self) -> None:
        """Stop reading requests from a caller that does not read its responses."""
        self._writing_paused = True
        self.held.slow.add(self._transport)
        self._update_reading()

    def resume_writing(self) -> None:
        """Resume reading when the write buffer has drained."""
        self._writing_paused = False
        self.held.slow.discard(self._transport)
        self._update_reading()

    def enforce_timeouts(self, now: float) -> None:
        """Reject a request that takes too long to arrive; close an idle or stalled connection."""
        limits, transport = self.server.limits, self._transport
        if transport is None:
            return
        ended = self._linger is not None
        if self._output_watch.is_stalled(transport, limits.idle_timeout, now, ended):
            transport.abort()
        elif self._linger is not None:
            if self._linger.is_over(now) and not self.untaken_bytes:
                transport.close()
        elif self._receiving_since is not None and not self.pending:
            timeout = min(limits.header_timeout, SURPLUS_TIMEOUT if self.one_request else inf)
            if now - self._receiving_since > timeout and not self._last_request_read:
                self._reject(408)
        elif not self.pending and now - self._last_active_at > limits.idle_timeout:
            if not self.untaken_bytes:
                self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is pending or being received."""
        if not self.pending and self._receiving_since is None and self._transport is not None:
            self._transport.close()

    def expects_request(self, now: float) -> bool:
        """Return whether a request is pending, being received, or about to be sent."""
        if self._linger is not None:
            return False
        if self.pending or self._receiving_since is not None:
            return True
        return self._unused and now - self._accepted_at < FIRST_REQUEST_TIME

    def finish(self, refusal_lines: Callable[[], bytes]) -> None:
        """Refuse a request that is being received, or close a connection that is not in use.

        A connection with unread input is left open until that is read: closing it would reset it.
        """
        transport = self._transport
        if transport is None or self.pending or self._last_request_read:
            return
        if self._receiving_since is not None:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, refusal_lines())
        elif not kernel_input_bytes(transport):
            transport.close()

    @property
    def owes_output(self) -> bool:
        """Return whether the end of the process would lose a response or unread input."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False
        if self._linger is None:
            return True
        now = self.server.clock.monotonic()
        return self.unsent_bytes + unacknowledged_bytes(transport, self._last_active_at, now) > 0

    @property
    def idle_since(self) -> float:
        """Return the monotonic time of the last response, infinite if anything is in progress."""
        in_use = self.pending or self._receiving_since is not None or self._linger is not None
        return inf if in_use or self.unsent_bytes else self._last_active_at

    def refuse_unread(self, header_lines: bytes) -> None:
        """Close the connection; one that has had no answer gets a refusal of a request not read."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._unused:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, header_lines)
            discard_input(transport)
        transport.close()

    def displace(self, header_lines: bytes) -> bool:
        """Refuse a request whose head has not arrived, and close; return False if it has."""
        if self.pending or self._last_request_read or self._transport is None:
            return False
        if self._receiving_since is None:
            self.refuse_unread(header_lines)
            return True
        if self._incoming.head_complete:
            return False
        self._reject(503, header_lines)
        return True

    def _reject(self, status: int, header_lines: bytes = b"") -> None:
        """Respond to a request that was not fully read, and close the connection afterwards.

        What a caller sends behind a request that closes the connection is no request.
        """
        self._last_request_read = True
        self._incoming.take_body()
        self.held.release(self._incoming)
        if self.pending and not self.pending[-1].keep_alive:
            self.pending[-1].last = True
            return
        request = HttpRequest(b"GET", self._incoming.target, [], b"")
        exchange = Exchange(self, request)
        exchange.last = True
        self.pending.append(exchange)
        exchange.respond(status, header_lines, b"")

    def _cancel_pending(self, closed_by: ClosedBy) -> None:
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            self.server.on_unanswered(exchange, closed_by)
            if not exchange.responded and exchange.on_cancel is not None:
                exchange.on_cancel()
            exchange.abandon()

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

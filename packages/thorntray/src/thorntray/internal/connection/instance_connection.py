"""One connection of a `MeshNode` to its instance, with at most one request at a time.

An instance may truncate a response, send bytes that are not HTTP, or send a second response in
place of the next one. Therefore a response is accepted only if it echoes the request's ID and is
complete, and bytes received while no request is pending close the connection. A response with
another ID belongs to an earlier request and is skipped. A response without end closes its
connection (`connection.response_bounds`).
"""

import asyncio
from typing import TYPE_CHECKING

import httptools

from thorntray.internal.connection.header_names import FieldKind
from thorntray.internal.connection.http_request import Header
from thorntray.internal.connection.instance_response import (
    InstanceResponse,
    ResponseFault,
    ResponseHandler,
)
from thorntray.internal.connection.response_bounds import ResponseBounds
from thorntray.internal.connection.statuses import is_final, is_interim
from thorntray.internal.telemetry.events import log_handler_failure

if TYPE_CHECKING:
    from thorntray.internal.connection.instance_pool import InstancePool

DEFAULT_IDLE_TIMEOUT = 4.0  # seconds, if the instance sends no Keep-Alive timeout
# Seconds by which the pool closes an idle connection before the instance would, at most half of
# the timeout that the instance announces.
KEEP_ALIVE_MARGIN = 2.0


class InstanceConnection(asyncio.Protocol):
    """One connection to the instance."""

    def __init__(self, pool: "InstancePool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_response: ResponseHandler | None = None
        self._request_id = b""
        self._head_only = False
        self._ends_at_close = False
        self._in_message = False
        self._response: InstanceResponse | None = None
        self._fault: ResponseFault | None = None
        self._reusable = False
        self._bounds = ResponseBounds(pool.held, self)
        self.closed = False
        self.last_used_at = pool.clock.monotonic()
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT  # seconds
        self._reset_message()

    @property
    def usable(self) -> bool:
        """Return whether a request can be written; a closing connection discards it silently."""
        return not (self.closed or self._transport is None or self._transport.is_closing())

    def send(
        self,
        data: bytes,
        request_id: bytes,
        head_only: bool,
        on_response: ResponseHandler,
        body: bytes = b"",
    ) -> None:
        """Write a request; `on_response` is called with its response or the fault."""
        assert self._transport is not None
        self._on_response = on_response
        self._request_id = request_id
        self._head_only = head_only
        self._bounds.begin()
        self._transport.write(data)
        if body:
            self._transport.write(body)

    def abort(self) -> None:
        """Close the connection at once without calling the request's handler."""
        self._on_response = None
        self._close()
        self._pool.held.resume()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; asyncio already disables Nagle's algorithm."""
        self._transport = transport  # uvloop's transport is not a subclass of asyncio.Transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes received without a pending request close the connection."""
        if self._on_response is None:
            self._close()
            return
        self._bounds.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault = ResponseFault.GARBLED
        if self._response is None and self._bounds.exceeded:
            self._fault = ResponseFault.GARBLED
        self._deliver()

    def eof_received(self) -> bool:
        """Complete a response without a length, which ends when its connection closes.

        An idle connection is removed from the pool now; `connection_lost` follows later.
        """
        if self._on_response is None:
            self._close()
        elif self._ends_at_close and self._in_message:
            self._finish(reusable=False)
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending request."""
        self.closed = True
        self._release_body()
        self._pool.discard(self)
        self._fault = self._fault or ResponseFault.LOST
        self._deliver()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start a response; one that follows the awaited response prevents reuse."""
        if self._response is not None:
            self._reusable = False
        self._reset_message()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field; record the request ID, the framing and the keep-alive timeout."""
        self._headers.append((name, value))
        kind = self._pool.fields.classify(name)
        if kind is FieldKind.REQUEST_ID:
            self._response_id = value
        elif kind is FieldKind.FRAMING:
            self._has_framing = True
            if len(name) == len(b"Content-Length") and value.isdigit():
                self._content_length = int(value)
        elif kind is FieldKind.KEEP_ALIVE:
            self._keep_alive = value

    def on_headers_complete(self) -> None:
        """Determine how the end of the response is recognized."""
        status = self._parser.get_status_code()
        if is_interim(status):
            return
        if not is_final(status):
            self._record_fault()
            return
        has_body = status not in (204, 304)
        self._ends_at_close = has_body and not self._has_framing
        if self._head_only:
            self._finish(reusable=False)
        elif self._content_length and has_body:
            self._bounds.announce_body(self._content_length)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)
        self._bounds.add_body(len(body))

    def on_message_complete(self) -> None:
        """Accept the response unless it is interim (1xx) or belongs to another request."""
        self._in_message = False
        if not is_final(self._parser.get_status_code()) or self._response is not None:
            return
        if self._response_id not in (self._request_id, None):
            return  # late response to an earlier request
        self._finish(reusable=self._parser.should_keep_alive())

    def _record_fault(self) -> None:
        """Record that these bytes are no response, unless the awaited one is complete."""
        self._reusable = False
        if self._response is None:
            self._fault = ResponseFault.GARBLED

    def _finish(self, reusable: bool) -> None:
        if self._response_id != self._request_id:
            self._fault = ResponseFault.GARBLED
            return
        self._in_message = False
        self._reusable = reusable
        if self._keep_alive is not None:
            self.idle_timeout = _idle_timeout_from(self._keep_alive)
        parts, self._body = self._body, []
        self._response = InstanceResponse(
            self._parser.get_status_code(), self._headers, b"".join(parts)
        )

    def _deliver(self) -> None:
        """Call the handler, after all bytes received together with the response are parsed."""
        on_response, response, fault = self._on_response, self._response, self._fault
        if response is None and fault is None:
            return
        request_id = self._request_id
        self._on_response = None
        self._response = None
        self.last_used_at = self._pool.clock.monotonic()
        if response is not None and fault is None and self._reusable and not self.closed:
            self._bounds.release()
            self._pool.release(self)
        else:
            self._close()
        if on_response is not None:
            try:
                on_response(response or fault or ResponseFault.LOST)
            except Exception:  # this connection may already carry the next request
                log_handler_failure(id=request_id.decode("latin-1"))
        self._pool.held.resume()

    def pause_reading(self) -> None:
        """Leave the rest of the response with the instance for now."""
        if self._transport is not None and self.usable:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Go on reading."""
        if self._transport is not None and self.usable:
            self._transport.resume_reading()

    def end_as_faulty(self) -> None:
        """End the pending request as garbled, in the next iteration of the event loop."""
        self._fault = ResponseFault.GARBLED
        self._release_body()
        asyncio.get_running_loop().call_soon(self._deliver)

    def _release_body(self) -> None:
        """Give up the part of a response, which the cycle with the parser would hold."""
        self._bounds.release()
        self._body = []

    def _close(self) -> None:
        self._release_body()
        if not self.closed:
            self.closed = True
            self._pool.discard(self)
            if self._transport is not None:
                self._transport.abort()

    def _reset_message(self) -> None:
        self._headers: list[Header] = []
        self._response_id: bytes | None = None
        self._has_framing = False
        self._content_length = 0
        self._keep_alive: bytes | None = None
        self._body: list[bytes] = []


def _idle_timeout_from(value: bytes) -> float:
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.strip().lower() == b"timeout" and number.strip().isdigit():
            announced = float(number)
            return max(announced - KEEP_ALIVE_MARGIN, announced / 2)
    return DEFAULT_IDLE_TIMEOUT

"""One request of a caller and its response, in order among those of its connection."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from thorntray.internal.connection.http_request import HttpRequest
from thorntray.internal.connection.request_bodies import HeldBytes

COPIED_BODY_BYTES = 64 * 1024  # largest body that is copied into one write with its head

_REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ExchangeConnection(Protocol):
    """The connection on which an exchange takes place."""

    peer_host: str
    held: HeldBytes

    def flush(self) -> None:
        """Send the responses that are next in order."""
        ...


class Exchange:
    """One request on a connection and its response."""

    __slots__ = ("request", "on_cancel", "_connection", "_head", "_body", "keep_alive", "last")
    __slots__ += ("held_bytes", "_waiting_bytes")

    def __init__(self, connection: ExchangeConnection, request: HttpRequest) -> None:
        self.request = request
        self.on_cancel: Callable[[], None] | None = None  # called when no response can be sent
        self.keep_alive = True  # whether the caller keeps the connection open
        self.last = False  # whether the server ends the connection with the response
        self._connection = connection
        self.held_bytes = 0
        self._waiting_bytes = 0  # of the response, while it waits for those to earlier requests
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
        self.release_request()
        self._connection.flush()
        if self._body:  # responses to earlier requests are missing
            self._waiting_bytes = len(self._body)
            self._connection.held.answers += self._waiting_bytes

    def release_request(self) -> None:
        """Give up the body of the request, which is not needed any more."""
        if self.request.body:
            self.request = self.request._replace(body=b"")
        if self.held_bytes:
            self._connection.held.release(self)

    def abandon(self) -> None:
        """Give up the request and its response, which can no longer be sent; ignore a later one."""
        self.release_request()
        self.release_response()
        self._head = self._head or b""

    def release_response(self) -> None:
        """Give up the body of the response, which was written or cannot be."""
        if self._waiting_bytes:
            self._connection.held.answers -= self._waiting_bytes
            self._waiting_bytes = 0
        self._body = b""

    def write_response(self, transport: asyncio.Transport, keep_alive: bool) -> None:
        """Write the response, which must have been set, and give it up."""
        assert self._head is not None
        head = self._head + (b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
        if len(self._body) <= COPIED_BODY_BYTES:
            transport.write(head + self._body)
        else:
            transport.write(head)
            transport.write(self._body)
        self.release_response()

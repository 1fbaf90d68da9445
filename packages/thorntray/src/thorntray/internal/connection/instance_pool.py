"""Connections to the upstream instance beside this node, one request at a time on each.

An instance may break off an answer, send bytes that are none, or a second answer where the next
one is expected. So an answer counts only if it echoes the request's id and is whole, and bytes
that arrive while nothing is asked end the connection. An answer with another id belongs to an
earlier request and is skipped.

An idle connection may be closed by the instance at the very moment at which it is used again;
for a request that must not run twice that end would stay unknown for good. Such a request gets a
connection that was used a moment ago, or a new one.
"""

import asyncio
from collections.abc import Callable
from enum import Enum, auto
from typing import NamedTuple

import httptools

from thorntray.internal.connection.header_names import FieldKind, FieldKinds
from thorntray.internal.connection.http_server import Header
from thorntray.internal.process.clock import Clock

CONNECT_TIMEOUT = 0.5  # seconds
IDLE_LIFETIME = 4.0  # seconds that an idle connection is kept when the instance says nothing
KEEP_ALIVE_MARGIN = 2.0  # seconds before the instance's own time-out
FRESH_FOR = 0.5  # seconds after use in which a connection serves requests that run once
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class AnswerFault(Enum):
    """Why there is no answer."""

    UNREACHABLE = auto()  # no connection was opened, nothing was sent
    LOST = auto()  # the connection ended after the request was sent
    GARBLED = auto()  # the bytes are no answer to this request


class Answer(NamedTuple):
    """A whole answer of the instance."""

    status: int
    headers: list[Header]
    body: bytes


AnswerHandler = Callable[[Answer | AnswerFault], None]


class InstanceConnection(asyncio.Protocol):
    """One connection to the instance."""

    def __init__(self, pool: "InstancePool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._on_answer: AnswerHandler | None = None
        self._request_id = b""
        self._head_only = False
        self._until_close = False
        self._in_message = False
        self._answer: Answer | None = None
        self._fault: AnswerFault | None = None
        self._reusable = False
        self.closed = False
        self.used_at = pool.clock.monotonic()
        self.lifetime = IDLE_LIFETIME  # seconds idle after which it is closed
        self._clear()

    def send(self, data: bytes, request_id: bytes, head_only: bool, done: AnswerHandler) -> None:
        """Write a request; `done` gets its answer or the fault."""
        assert self._transport is not None
        self._on_answer = done
        self._request_id = request_id
        self._head_only = head_only
        self._transport.write(data)

    def abort(self) -> None:
        """Drop the connection; nothing is told to the request's handler."""
        self._on_answer = None
        self._close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; the loop sends small requests without delay."""
        self._transport = transport  # uvloop's is no subclass of asyncio.Transport

    def data_received(self, data: bytes) -> None:
        """Parse an answer; bytes that nobody asked for end the connection."""
        if self._on_answer is None:
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fault = AnswerFault.GARBLED
        self._deliver()

    def eof_received(self) -> bool:
        """Complete an answer without a length, which ends with its connection."""
        if self._on_answer is not None and self._until_close and self._in_message:
            self._finish(reusable=False)
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request under way."""
        self.closed = True
        self._pool.discard(self)
        self._fault = self._fault or AnswerFault.LOST
        self._deliver()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Start an answer; one that follows the awaited one in the same bytes is no answer."""
        if self._answer is not None:
            self._reusable = False
        self._clear()
        self._in_message = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header field."""
        self._headers.append((name, value))
        kind = self._pool.fields.kind(name)
        if kind is FieldKind.REQUEST_ID:
            self._answer_id = value
        elif kind is FieldKind.FRAMING:
            self._framed = True
        elif kind is FieldKind.KEEP_ALIVE:
            self._keep_alive = value

    def on_headers_complete(self) -> None:
        """Find out how the answer ends."""
        status = self._parser.get_status_code()
        self._until_close = not self._framed and status >= 200 and status not in (204, 304)
        if self._head_only:
            self._finish(reusable=False)

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_ANSWER_BYTES:
            self._fault = AnswerFault.GARBLED
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Give the answer on, unless it is an interim one or belongs to another request."""
        self._in_message = False
        if self._parser.get_status_code() < 200 or self._answer is not None:
            return
        if self._answer_id not in (self._request_id, None):
            return  # a late answer to an earlier request
        self._finish(reusable=self._parser.should_keep_alive())

    def _finish(self, reusable: bool) -> None:
        if self._answer_id != self._request_id:
            self._fault = AnswerFault.GARBLED
            return
        self._in_message = False
        self._reusable = reusable
        if self._keep_alive is not None:
            self.lifetime = _lifetime_from(self._keep_alive)
        self._answer = Answer(self._parser.get_status_code(), self._headers, b"".join(self._body))

    def _deliver(self) -> None:
        """Hand over the answer or the fault, once all bytes that came with it are judged."""
        done, answer, fault = self._on_answer, self._answer, self._fault
        if answer is None and fault is None:
            return
        self._on_answer = None
        self._answer = None
        self.used_at = self._pool.clock.monotonic()
        if answer is not None and fault is None and self._reusable and not self.closed:
            self._pool.keep(self)
        else:
            self._close()
        if done is not None:
            done(answer or fault or AnswerFault.LOST)

    def _close(self) -> None:
        if not self.closed:
            self.closed = True
            self._pool.discard(self)
            if self._transport is not None:
                self._transport.abort()

    def _clear(self) -> None:
        self._headers: list[Header] = []
        self._answer_id: bytes | None = None
        self._framed = False
        self._keep_alive: bytes | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0


def _lifetime_from(value: bytes) -> float:
    for part in value.split(b","):
        key, _, number = part.strip().partition(b"=")
        if key.strip().lower() == b"timeout" and number.strip().isdigit():
            told = float(number)
            return max(told - KEEP_ALIVE_MARGIN, told / 2)
    return IDLE_LIFETIME


class Sending:
    """One request on its way to the instance; `cancel` withdraws it."""

    __slots__ = ("connection", "dialling", "cancelled")

    def __init__(self) -> None:
        self.connection: InstanceConnection | None = None
        self.dialling: asyncio.Task[None] | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the request; the instance sees its connection close."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.abort()
        elif self.dialling is not None:
            self.dialling.cancel()


class InstancePool:
    """The connections to the instance, the most recently used first."""

    def __init__(self, host: str, port: int, id_header: bytes, clock: Clock) -> None:
        self.clock = clock
        self.fields = FieldKinds(
            {
                id_header: FieldKind.REQUEST_ID,
                b"Content-Length": FieldKind.FRAMING,
                b"Transfer-Encoding": FieldKind.FRAMING,
                b"Keep-Alive": FieldKind.KEEP_ALIVE,
            }
        )
        self._host = host
        self._port = port
        self._idle: list[InstanceConnection] = []
        self.opened = 0

    def send(
        self, data: bytes, request_id: bytes, method: bytes, once: bool, done: AnswerHandler
    ) -> Sending:
        """Send a request; `once` asks for a connection that is surely still open."""
        sending = Sending()
        head_only = method == b"HEAD"
        connection = self._take(once)
        if connection is not None:
            sending.connection = connection
            connection.send(data, request_id, head_only, done)
            return sending
        dial = self._dial(sending, data, request_id, head_only, done)
        sending.dialling = asyncio.ensure_future(dial)
        return sending

    def keep(self, connection: InstanceConnection) -> None:
        """Take a connection back."""
        self._idle.append(connection)

    def discard(self, connection: InstanceConnection) -> None:
        """Forget a connection that has ended."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Close the connections that the instance is about to close."""
        now = self.clock.monotonic()
        for connection in [c for c in self._idle if now - c.used_at > c.lifetime]:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()

    def _take(self, once: bool) -> InstanceConnection | None:
        now = self.clock.monotonic()
        while self._idle:
            connection = self._idle[-1]
            idle_for = now - connection.used_at
            if once and idle_for > FRESH_FOR:
                return None
            self._idle.pop()
            if idle_for <= connection.lifetime:
                return connection
            connection.abort()
        return None

    async def _dial(
        self,
        sending: Sending,
        data: bytes,
        request_id: bytes,
        head_only: bool,
        done: AnswerHandler,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(
                    lambda: InstanceConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError):
            if not sending.cancelled:
                done(AnswerFault.UNREACHABLE)
            return
        if sending.cancelled:
            connection.abort()
            return
        sending.connection = connection
        connection.send(data, request_id, head_only, done)

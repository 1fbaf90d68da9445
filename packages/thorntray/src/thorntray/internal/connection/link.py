"""Links: TCP connections between nodes that carry frames of the lean path.

A node dials one link to each peer that it sends to. Many requests share it; their numbers bring
the results back. Nothing is sent twice. Frames of one turn of the event loop leave in one write,
and links into another failure domain are compressed as one stream, since bytes between domains
are scarce and most of a request's bytes repeat those of the one before.

A connection may go silent without a reset. While results are awaited, a link that has been
silent for `PING_AFTER` asks for a sign of life, and after `SILENCE_LIMIT` it is given up.
"""

import asyncio
import zlib
from collections.abc import Callable
from typing import Protocol

from thorntray.errors import BadMessage
from thorntray.internal.connection.frame import (
    CallFrame,
    CancelFrame,
    Frame,
    FrameReader,
    Hello,
    PingFrame,
    PongFrame,
    ResultFrame,
    encode_frame,
)
from thorntray.internal.membership.member import Member
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.result import Cause
from thorntray.internal.telemetry.events import Event, log_event

CONNECT_TIMEOUT = 0.4  # seconds
PING_AFTER = 0.2  # seconds of silence
SILENCE_LIMIT = 0.5  # seconds without a sign of life after which a link is lost
CHECK_PERIOD = 0.1  # seconds
WRITE_BUFFER_LIMIT = 16 * 1024 * 1024  # bytes that a peer may leave unread
COMPRESSION_LEVEL = 1
PLAIN, COMPRESSED = b"\x00", b"\x01"  # first byte of a connection
RAW_DEFLATE = -15  # zlib window without header


class FrameHandler(Protocol):
    """Takes frames that arrive on a link."""

    def on_frame(self, link: "LinkConnection", frame: Frame) -> None:
        """Take one frame."""
        ...

    def on_lost(self, link: "LinkConnection") -> None:
        """Note that the connection has ended; nothing more arrives on it."""
        ...


class LinkConnection(asyncio.Protocol):
    """One TCP connection between two nodes, seen from either end."""

    def __init__(
        self,
        handler: FrameHandler,
        clock: Clock,
        hello: Hello | None = None,
        compressed: bool = False,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._hello = hello  # of the dialling end
        self._compressed = compressed
        self._opened = hello is not None  # whether the first byte is known
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._outgoing: list[bytes] = []
        self._deflate: zlib._Compress | None = None
        self._inflate: zlib._Decompress | None = None
        self._pinged = False
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.lost = False
        self.heard_at = clock.monotonic()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Introduce this node if it has dialled."""
        self._transport = transport  # uvloop's is no subclass of asyncio.Transport
        if self._hello is not None:
            transport.write(COMPRESSED if self._compressed else PLAIN)
            if self._compressed:
                self._compress()
            self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Take frames; a garbled stream ends the connection."""
        self.heard_at = self._clock.monotonic()
        self._pinged = False
        try:
            if not self._opened:
                self._opened = True
                if data[:1] == COMPRESSED:
                    self._compress()
                data = data[1:]
            if self._inflate is not None:
                data = self._inflate.decompress(data)
            self._take(data)
        except (BadMessage, zlib.error) as exc:
            log_event(Event.BAD_MESSAGE, detail=str(exc), peer=self.peer)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler once."""
        if not self.lost:
            self.lost = True
            self._handler.on_lost(self)

    def send(self, frame: Frame) -> None:
        """Send a frame with the others of this turn of the event loop."""
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        self._outgoing.append(encode_frame(frame))

    def check(self, now: float) -> None:
        """Ask a silent peer for a sign of life, or give it up."""
        silence = now - self.heard_at
        if silence > SILENCE_LIMIT and self._pinged:
            self.abort()
        elif silence > PING_AFTER and not self._pinged:
            self._pinged = True
            self.heard_at = now
            self.send(PingFrame())

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    def _take(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            match frame:
                case Hello(sender):
                    self.peer = sender
                case PingFrame():
                    self.send(PongFrame())
                case PongFrame():
                    pass
                case _:
                    self._handler.on_frame(self, frame)

    def _compress(self) -> None:
        self._deflate = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, RAW_DEFLATE)
        self._inflate = zlib.decompressobj(RAW_DEFLATE)

    def _flush(self) -> None:
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        if self.lost or self._transport is None or self._transport.is_closing():
            return
        if self._deflate is not None:
            data = self._deflate.compress(data) + self._deflate.flush(zlib.Z_SYNC_FLUSH)
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT:
            self.abort()


ResultHandler = Callable[[ResultFrame | Cause], None]
FrameSink = Callable[[Member, Frame], None]
LossSink = Callable[[Member], None]


class Link:
    """The dialled link to one peer, with the requests that wait for their results."""

    def __init__(
        self,
        member: Member,
        hello: Hello,
        compressed: bool,
        clock: Clock,
        on_other_frame: FrameSink,
        on_trouble: LossSink,
    ) -> None:
        self.member = member
        self._hello = hello
        self._compressed = compressed
        self._clock = clock
        self._on_other_frame = on_other_frame
        self._on_trouble = on_trouble
        self._connection: LinkConnection | None = None
        self._waiting: dict[int, ResultHandler] = {}
        self._unsent: list[Frame] = []
        self._number = 0
        self._dialling: asyncio.Task[None] | None = None

    def call(self, make_frame: Callable[[int], CallFrame], on_result: ResultHandler) -> int:
        """Send a call; `on_result` gets a cause if no result comes. Returns its number."""
        self._number += 1
        self._waiting[self._number] = on_result
        self.send(make_frame(self._number))
        return self._number

    def cancel(self, number: int, *, tell: bool = True) -> bool:
        """Forget a call, and tell the peer; False if it was never sent."""
        self._waiting.pop(number, None)
        for frame in self._unsent:
            if isinstance(frame, CallFrame) and frame.number == number:
                self._unsent.remove(frame)
                return False
        if tell and self._connection is not None:
            self._connection.send(CancelFrame(number))
        return True

    def send(self, frame: Frame) -> None:
        """Send any frame, dialling first if need be."""
        if self._connection is not None and not self._connection.lost:
            self._connection.send(frame)
            return
        self._unsent.append(frame)
        if self._dialling is None:
            self._dialling = asyncio.ensure_future(self._dial())

    def check(self, now: float) -> None:
        """Watch over a connection on which results are awaited."""
        if self._connection is not None and self._waiting:
            self._connection.check(now)

    def close(self) -> None:
        """Drop the connection; requests under way end as lost."""
        if self._dialling is not None:
            self._dialling.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._fail_unsent()

    def on_frame(self, link: LinkConnection, frame: Frame) -> None:
        """Bring a result to its request."""
        if isinstance(frame, ResultFrame):
            on_result = self._waiting.pop(frame.number, None)
            if on_result is not None:
                on_result(frame)
        else:
            self._on_other_frame(self.member, frame)

    def on_lost(self, link: LinkConnection) -> None:
        """End every request that was sent on the connection."""
        if link is not self._connection:
            return
        self._connection = None
        log_event(Event.LINK_LOST, peer=self.member.name, waiting=len(self._waiting))
        self._on_trouble(self.member)
        unsent = {f.number for f in self._unsent if isinstance(f, CallFrame)}
        for number in [n for n in self._waiting if n not in unsent]:
            self._waiting.pop(number)(Cause.LOST)

    async def _dial(self) -> None:
        member = self.member
        connection = LinkConnection(self, self._clock, self._hello, self._compressed)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: connection, member.address, member.peer_port)
        except (OSError, TimeoutError) as exc:
            self._on_trouble(member)
            log_event(Event.LINK_UNREACHABLE, peer=member.name, detail=repr(exc))
            self._dialling = None
            self._fail_unsent()
            return
        self._dialling = None
        if connection.lost:
            self._fail_unsent()
            return
        connection.peer = member.name
        self._connection = connection
        frames, self._unsent = self._unsent, []
        for frame in frames:
            connection.send(frame)

    def _fail_unsent(self) -> None:
        frames, self._unsent = self._unsent, []
        for frame in frames:
            if isinstance(frame, CallFrame):
                on_result = self._waiting.pop(frame.number, None)
                if on_result is not None:
                    on_result(Cause.NO_INSTANCE)


class Links:
    """The dialled links of this node, by peer."""

    def __init__(self, name: str, session: bytes, domain: str, clock: Clock) -> None:
        self._name = name
        self._session = session
        self._domain = domain
        self._clock = clock
        self._links: dict[str, Link] = {}
        self.on_other_frame: FrameSink = lambda member, frame: None
        self.on_trouble: LossSink = lambda member: None

    def to(self, member: Member) -> Link:
        """Return the link to a peer; a restarted peer gets a new one."""
        link = self._links.get(member.name)
        if link is not None and link.member.session == member.session:
            return link
        if link is not None:
            link.close()
        compressed = member.domain != self._domain
        hello = Hello(self._name, self._session)
        link = Link(
            member,
            hello,
            compressed,
            self._clock,
            lambda m, f: self.on_other_frame(m, f),
            lambda m: self.on_trouble(m),
        )
        self._links[member.name] = link
        return link

    def forget(self, name: str) -> None:
        """Close the link to a peer that has left or died."""
        link = self._links.pop(name, None)
        if link is not None:
            link.close()

    async def watch(self) -> None:
        """Look for silent links until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD)
            now = self._clock.monotonic()
            for link in list(self._links.values()):
                link.check(now)

    def close(self) -> None:
        """Close all links."""
        for name in list(self._links):
            self.forget(name)


class LinkListener:
    """Takes the links that peers dial."""

    def __init__(self, address: str, port: int, handler: FrameHandler, clock: Clock) -> None:
        self._address = address
        self._port = port
        self._handler = handler
        self._clock = clock
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; raises `OSError` when the port is taken."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: LinkConnection(self._handler, self._clock), self._address, self._port
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

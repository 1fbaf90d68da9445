"""One end of a TCP connection between two nodes, which carries frames.

Frames queued in one iteration of the event loop are sent in one write. Links into another failure
domain are compressed as one stream, since bandwidth between domains is scarce and most bytes of a
request repeat those of the previous one.

A connection may stop carrying data without a reset. A connection that has received nothing for
`PING_AFTER_SILENCE` sends a ping when its owner calls `check_liveness`; if it then receives
nothing for `SILENCE_TIMEOUT`, it is closed as lost.
"""

import asyncio
import zlib
from typing import Protocol

from thorntray.errors import BadMessage
from thorntray.internal.connection.frame import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Frame,
    FrameReader,
    Hello,
    PingFrame,
    PongFrame,
    decode_frame,
    encode_frame,
)
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event, log_handler_failure

PING_AFTER_SILENCE = 0.2  # seconds
SILENCE_TIMEOUT = 0.5  # seconds after the ping
# A connection is aborted if its buffer exceeds `MAX_WRITE_BUFFER`, or if a frame is sent while the
# buffer has exceeded `WRITE_BUFFER_LIMIT` for longer than `FULL_BUFFER_TIMEOUT`.
WRITE_BUFFER_LIMIT = 16 * 1024 * 1024  # bytes
FULL_BUFFER_TIMEOUT = 0.5  # seconds
MAX_WRITE_BUFFER = WRITE_BUFFER_LIMIT + MAX_FRAME_BYTES
COMPRESSION_LEVEL = 1
PLAIN_STREAM, COMPRESSED_STREAM = b"\x00", b"\x01"  # the first byte of a connection
RAW_DEFLATE_WBITS = -15  # raw deflate stream without zlib header
COMPRESSION_WBITS = -12  # window of 4 KiB, a few frames
COMPRESSION_MEMORY_LEVEL = 5  # 16 KiB of state for each link


class FrameHandler(Protocol):
    """Receives the frames of a link, and a notification when its connection ends."""

    def on_frame(self, link: "LinkConnection", frame: Frame) -> None:
        """Handle one received frame."""
        ...

    def on_lost(self, link: "LinkConnection") -> None:
        """Handle the end of the connection; no further frames arrive on it."""
        ...


class LinkConnection(asyncio.Protocol):
    """One end of a TCP connection between two nodes; a member of `registry` while it is open."""

    def __init__(
        self,
        handler: FrameHandler,
        clock: Clock,
        hello: Hello | None = None,
        compressed: bool = False,
        registry: set["LinkConnection"] | None = None,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._hello = hello  # None on the accepting side
        self._compressed = compressed
        self._registry = registry
        self._mode_known = hello is not None  # whether the mode byte was sent or received
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._outgoing: list[bytes] = []
        self._compressor: zlib._Compress | None = None
        self._decompressor: zlib._Decompress | None = None
        self._full_since = 0.0  # monotonic seconds; valid while the buffer exceeds its limit
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.lost = False
        self.ping_pending = False  # whether nothing was received since the last ping
        self._silent_since = clock.monotonic()  # last receipt or ping

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of frames that the operating system has not yet taken; 0 once lost."""
        if self.lost or self._transport is None:
            return 0
        return sum(map(len, self._outgoing)) + self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the mode byte and `Hello` if this node opened the connection."""
        self._transport = transport  # uvloop's transport is not a subclass of asyncio.Transport
        if self._registry is not None:
            self._registry.add(self)
        if self._hello is not None:
            transport.write(COMPRESSED_STREAM if self._compressed else PLAIN_STREAM)
            if self._compressed:
                self._enable_compression()
            self.send(self._hello)

    def data_received(self, data: bytes) -> None:
        """Decode received frames; a malformed stream closes the connection."""
        self._silent_since = self._clock.monotonic()
        self.ping_pending = False
        try:
            if not self._mode_known:
                self._mode_known = True
                if data[:1] == COMPRESSED_STREAM:
                    self._enable_compression()
                data = data[1:]
            if self._decompressor is not None:
                data = self._decompressor.decompress(data)
            self._dispatch(data)
        except (BadMessage, zlib.error) as exc:
            log_event(Event.BAD_MESSAGE, detail=str(exc), peer=self.peer)
            self.abort()

    def eof_received(self) -> bool:
        """Notify the handler now; `connection_lost` is called in a later iteration of the loop."""
        self.connection_lost(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler, once."""
        if not self.lost:
            self.lost = True
            if self._registry is not None:
                self._registry.discard(self)
            self._handler.on_lost(self)
            self._outgoing.clear()

    def send(self, frame: Frame) -> None:
        """Queue a frame; it is sent with the others of this iteration of the event loop."""
        if self.lost:
            return
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        self._outgoing.append(encode_frame(frame))

    def unwritten_frames(self) -> list[Frame]:
        """Return the queued frames; when the connection is lost, they are certainly never sent."""
        return [decode_frame(data[LENGTH_BYTES:]) for data in self._outgoing]

    def check_liveness(self, now: float) -> None:
        """Ping a silent peer, or close the connection if a ping got no response."""
        silence = now - self._silent_since
        if silence > SILENCE_TIMEOUT and self.ping_pending:
            self.abort()
        elif silence > PING_AFTER_SILENCE and not self.ping_pending:
            self.ping_pending = True
            self._silent_since = now
            self.send(PingFrame())

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    def _dispatch(self, data: bytes) -> None:
        for frame in self._reader.feed(data):
            match frame:
                case Hello(sender):
                    self.peer = sender
                    if frame.notices:
                        self._pass_on(frame)
                case PingFrame():
                    self.send(PongFrame())
                case PongFrame():
                    pass
                case _:
                    self._pass_on(frame)

    def _pass_on(self, frame: Frame) -> None:
        try:
            self._handler.on_frame(self, frame)
        except Exception:  # the other requests on this connection are not affected
            log_handler_failure(peer=self.peer)

    def _enable_compression(self) -> None:
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, COMPRESSION_WBITS, COMPRESSION_MEMORY_LEVEL
        )
        self._decompressor = zlib.decompressobj(RAW_DEFLATE_WBITS)

    def _flush(self) -> None:
        if self.lost or self._transport is None or self._transport.is_closing():
            return
        data = b"".join(self._outgoing)
        self._outgoing.clear()
        if self._compressor is not None:
            data = self._compressor.compress(data) + self._compressor.flush(zlib.Z_SYNC_FLUSH)
        self._transport.write(data)
        unsent = self._transport.get_write_buffer_size()
        if unsent > WRITE_BUFFER_LIMIT:
            self._limit_write_buffer(unsent, unsent - len(data))

    def _limit_write_buffer(self, unsent: int, unsent_before: int) -> None:
        now = self._clock.monotonic()
        if unsent_before <= WRITE_BUFFER_LIMIT:
            self._full_since = now
        if unsent > MAX_WRITE_BUFFER or now - self._full_since > FULL_BUFFER_TIMEOUT:
            self.abort()

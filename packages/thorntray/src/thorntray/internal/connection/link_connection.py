"""One end of a TCP connection between two nodes, which carries frames.

Frames queued in one iteration of the event loop are sent in one write. Links into another failure
domain are compressed as one stream, since bandwidth between domains is scarce and most bytes of a
request repeat those of the previous one.

A connection may stop carrying data without a reset. A connection that has received nothing for
`PING_AFTER_SILENCE` sends a ping when its owner calls `check_liveness`; if it then has no evidence
of life for `SILENCE_TIMEOUT`, it is closed as lost (`connection.peer_watch`). While a large frame
arrives, the receiving end sends pongs unasked, since its answer to a ping waits for the frame. It
may pause its reading meanwhile (`connection.receive_gate`).
"""

import asyncio
import zlib
from collections import deque
from typing import Protocol

from thorntray.errors import BadMessage
from thorntray.internal.connection.compressed_input import CompressedInput
from thorntray.internal.connection.frame import (
    LARGE_BODY_BYTES,
    WITH_BODY,
    CallFrame,
    Frame,
    FrameReader,
    GoAway,
    Hello,
    PingFrame,
    PongFrame,
    encode_around_body,
    encode_frame,
)
from thorntray.internal.connection.kernel_output import kernel_output_bytes
from thorntray.internal.connection.peer_watch import (
    OUTPUT_CHECK_PERIOD,
    LostReason,
    PeerWatch,
    Step,
)
from thorntray.internal.connection.receive_gate import RETRY_PERIOD, ReceiveGate
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event, log_handler_failure

MIN_BACKLOG = 64 * 1024  # unsent bytes; fewer may be acknowledged by the kernel of a frozen peer
MAX_PROGRESS_GAP = 0.3  # seconds without progress after which no call is put into a full link
SIGN_PERIOD = 0.1  # seconds between the pongs that are sent while a frame arrives
COMPRESSION_LEVEL = 1
# Bytes compressed between two turns of the event loop, some 10 ms: a body of 30 MB takes a second,
# and peers give up all links to a node that does not answer their pings for 0.7 s.
COMPRESSED_AT_ONCE = 256 * 1024
PLAIN_STREAM, COMPRESSED_STREAM = b"\x00", b"\x01"  # the first byte of a connection
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
        gate: ReceiveGate | None = None,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._hello = hello  # None on the accepting side
        self._compressed = compressed
        self._registry = registry
        self._gate = gate  # None: all frames are read
        self._reading_paused = False
        self._reading_large = False  # whether a frame was admitted by the gate
        self.mode_known = hello is not None  # whether the mode byte was sent or received
        self._transport: asyncio.Transport | None = None
        self._reader = FrameReader()
        self._queued_frames: list[Frame] = []
        self._outgoing: list[bytes] = []  # the encoded frames that are queued
        self._has_large_part = False  # whether a part of `_outgoing` is a large body
        self._uncompressed: deque[bytes | memoryview] = deque()  # parts of written frames
        self._uncompressed_bytes = 0
        self._queued_bytes = 0  # in `_outgoing`
        self._compressor: zlib._Compress | None = None
        self._compressed_input: CompressedInput | None = None
        self._written_bytes = 0  # passed to the transport so far
        self._output_check: asyncio.TimerHandle | None = None  # while output is waiting
        self._loop = asyncio.get_running_loop()
        self.peer = ""
        self.lost = False
        self.lost_reason = LostReason.CLOSED_HERE  # valid once lost
        self.lost_bytes = 0  # unsent when the connection was lost
        self._last_call = 0  # number of the last call that was passed on
        self._going_away = False  # whether `go_away` was called
        self._watch = PeerWatch(clock.monotonic())
        self._last_sign_at = float("-inf")  # monotonic seconds

    @property
    def ping_pending(self) -> bool:
        """Return whether nothing was received since the last ping."""
        return self._watch.ping_pending

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of frames that the operating system has not yet taken; 0 once lost."""
        if self.lost or self._transport is None:
            return 0
        waiting = self._queued_bytes + self._uncompressed_bytes
        return waiting + self._transport.get_write_buffer_size()

    @property
    def received_bytes(self) -> int:
        """Return the bytes of an incomplete frame, and those that are not decompressed yet."""
        waiting = 0 if self._compressed_input is None else self._compressed_input.size
        return waiting + self._reader.received

    @property
    def stalled(self) -> bool:
        """Return whether output is waiting and the peer has taken none of it for a while."""
        return self._output_check is not None and self._watch.without_progress > MAX_PROGRESS_GAP

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
        if self._going_away:
            return
        now = self._clock.monotonic()
        self._watch.record_receipt(now)
        try:
            if not self.mode_known:
                self.mode_known = True
                if data[:1] == COMPRESSED_STREAM:
                    self._enable_compression()
                data = data[1:]
            if self._compressed_input is None:
                self._receive(data, now)
            else:
                self._compressed_input.add(data)
                self._expand_input(now)
        except (BadMessage, zlib.error) as exc:
            self._abort_as_malformed(exc)

    def _receive(self, data: bytes, now: float) -> None:
        """Handle frames; raises `BadMessage`. Reading is paused while there is no room for more."""
        completed = self._dispatch(data)
        if completed and self._reading_large and self._gate is not None:
            # The next frame, which may have begun in the same read, has to be admitted itself.
            self._reading_large = False
            self._gate.release(self)
        if self._reader.incomplete:
            self._send_sign_of_life(now)
            if not self._reading_paused:
                self._read_on_if_admitted(now)

    def _expand_input(self, now: float) -> None:
        """Decompress and handle what was received, until reading is paused or the link ends."""
        if self._compressed_input is None:
            return
        while not (self._reading_paused or self.lost or self._going_away):
            part = self._compressed_input.next_part()
            if not part:
                return
            self._receive(part, now)

    def _abort_as_malformed(self, exc: Exception) -> None:
        log_event(Event.BAD_MESSAGE, detail=str(exc), peer=self.peer)
        self.abort(LostReason.MALFORMED)

    def eof_received(self) -> bool:
        """Notify the handler now; `connection_lost` is called in a later iteration of the loop."""
        self.connection_lost(None)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler, once."""
        self._end(LostReason.PEER_CLOSED if exc is None else LostReason.RESET)

    def _end(self, reason: LostReason) -> None:
        if self.lost:
            return
        self.lost_reason, self.lost_bytes = reason, self.unsent_bytes
        self.lost = True
        if self._registry is not None:
            self._registry.discard(self)
        if self._output_check is not None:
            self._output_check.cancel()
        if self._gate is not None:
            self._gate.release(self)
        self._handler.on_lost(self)
        self._queued_frames.clear()
        self._outgoing.clear()
        self._queued_bytes = 0

    def send(self, frame: Frame) -> None:
        """Queue a frame; it is sent with the others of this iteration of the event loop."""
        if self.lost or self._going_away:
            return
        if not self._outgoing:
            self._loop.call_soon(self._flush)
        if type(frame) in WITH_BODY and len(frame.body) >= LARGE_BODY_BYTES:
            parts = encode_around_body(frame)
            self._outgoing += parts
            self._queued_bytes += sum(map(len, parts))
            self._has_large_part = True
        else:
            data = encode_frame(frame)
            self._outgoing.append(data)
            self._queued_bytes += len(data)
        self._queued_frames.append(frame)

    def unwritten_frames(self) -> list[Frame]:
        """Return the queued frames; when the connection is lost, they are certainly never sent."""
        return list(self._queued_frames)

    def check_liveness(self, now: float) -> None:
        """Ping a silent peer, or close the connection if there is no evidence that it lives."""
        if self._reading_paused:  # the peer's frames and pongs are left unread
            return
        if self._watch.ping_pending:
            self._record_output(now)
        match self._watch.next_step(now):
            case Step.GIVE_UP:
                self.abort(LostReason.SILENT)
            case Step.PING:
                self._record_output(now)
                self._watch.record_ping(now)
                self.send(PingFrame())

    def go_away(self) -> None:
        """End the output after what was sent; calls that arrive from now on are never run.

        The peer reads the number of the last call before that and closes the connection. Its input
        is read and discarded until then, since the kernel resets a connection that is closed with
        unread input, and discards results that the peer has not received.
        """
        if self.lost or self._going_away or self._transport is None:
            return
        self.send(GoAway(self._last_call))
        self._flush()
        while self._uncompressed and not self._transport.is_closing():
            self._compress_some()
        self._going_away = True
        if not (self.lost or self._transport.is_closing()):
            self._transport.write_eof()
            if self._reading_paused:
                self._reading_paused = False
                self._transport.resume_reading()

    def abort(self, reason: LostReason = LostReason.CLOSED_HERE) -> None:
        """Close the connection at once."""
        self._end(reason)
        if self._transport is not None:
            self._transport.abort()

    def _dispatch(self, data: bytes) -> bool:
        """Handle the frames that received bytes complete; return whether there were any."""
        frames = self._reader.feed(data)
        for frame in frames:
            match frame:
                case CallFrame():
                    self._last_call = frame.number
                    self._pass_on(frame)
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
        if self._reader.failure is not None:
            raise self._reader.failure
        return bool(frames)

    def _pass_on(self, frame: Frame) -> None:
        try:
            self._handler.on_frame(self, frame)
        except Exception:  # the other requests on this connection are not affected
            log_handler_failure(peer=self.peer)

    def _enable_compression(self) -> None:
        self._compressor = zlib.compressobj(
            COMPRESSION_LEVEL, zlib.DEFLATED, COMPRESSION_WBITS, COMPRESSION_MEMORY_LEVEL
        )
        self._compressed_input = CompressedInput()

    def _flush(self) -> None:
        if self.lost or self._transport is None or self._transport.is_closing():
            return
        if not self._outgoing:  # sent by `go_away`
            return
        parts, self._outgoing = self._outgoing, []
        has_large_part, self._has_large_part = self._has_large_part, False
        # From here on the frames count as written, also if a write fails in part.
        self._queued_frames.clear()
        self._queued_bytes = 0
        try:
            if self._compressor is not None:
                self._compress(parts)
            elif has_large_part:
                for part in parts:
                    self._write(part)
            else:
                self._write(b"".join(parts))
        except Exception:  # the rest of the stream would be unreliable
            log_handler_failure(peer=self.peer)
            self.abort(LostReason.RESET)

    def _compress(self, parts: list[bytes]) -> None:
        """Write parts compressed, after those of earlier frames; large ones in pieces."""
        busy = bool(self._uncompressed)
        for part in parts:
            self._uncompressed_bytes += len(part)
            if len(part) <= COMPRESSED_AT_ONCE:
                self._uncompressed.append(part)
                continue
            view = memoryview(part)
            for start in range(0, len(part), COMPRESSED_AT_ONCE):
                self._uncompressed.append(view[start : start + COMPRESSED_AT_ONCE])
        if not busy:
            self._compress_some()

    def _compress_some(self) -> None:
        """Compress and write some bytes; the event loop goes on before the next ones."""
        if self.lost or self._transport is None or self._transport.is_closing():
            return
        assert self._compressor is not None
        compressed, count = [], 0
        while self._uncompressed and count < COMPRESSED_AT_ONCE:
            part = self._uncompressed.popleft()
            count += len(part)
            compressed.append(self._compressor.compress(part))
        self._uncompressed_bytes -= count
        compressed.append(self._compressor.flush(zlib.Z_SYNC_FLUSH))
        self._write(b"".join(compressed))
        if self._uncompressed:
            self._loop.call_soon(self._compress_some)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
        self._written_bytes += len(data)
        if self._transport.get_write_buffer_size() and self._output_check is None:
            self._watch.restart_output(self._count_taken(), self._clock.monotonic())
            self._schedule_output_check()

    def _schedule_output_check(self) -> None:
        self._output_check = self._loop.call_later(OUTPUT_CHECK_PERIOD, self._check_output)

    def _check_output(self) -> None:
        """Close the connection if its peer does not take the output that is waiting."""
        self._output_check = None
        if self.lost or self._transport is None or not self._transport.get_write_buffer_size():
            return
        now = self._clock.monotonic()
        self._record_output(now)
        if self._reading_paused:
            self._watch.record_receipt(now)
        if self._watch.output_stalled(self.unsent_bytes, now):
            self.abort(LostReason.NO_PROGRESS)
        else:
            self._schedule_output_check()

    def _record_output(self, now: float) -> None:
        if self._transport is None:
            return
        taken = self._count_taken()
        unsent = self._written_bytes - taken
        backlog = unsent > MIN_BACKLOG or self._transport.get_write_buffer_size() > 0
        self._watch.record_output(taken, backlog, now)

    def _count_taken(self) -> int:
        """Return how many of the written bytes the peer's machine has acknowledged."""
        assert self._transport is not None
        in_kernel = kernel_output_bytes(self._transport) or 0
        return self._written_bytes - self._transport.get_write_buffer_size() - in_kernel

    def _read_on_if_admitted(self, now: float) -> None:
        """Pause reading while the gate does not admit the frame that is arriving."""
        if self._gate is None or self._transport is None or self.lost or self._going_away:
            return
        missing = self._reader.missing
        if not self._gate.admit(self, missing, now):
            if not self._reading_paused:
                self._reading_paused = True
                self._transport.pause_reading()
            self._loop.call_later(RETRY_PERIOD, self._retry_reading)
            return
        self._reading_large = True
        if self._reading_paused:
            self._reading_paused = False
            self._watch.record_receipt(now)
            self._transport.resume_reading()

    def _retry_reading(self) -> None:
        now = self._clock.monotonic()
        if self.lost:
            return
        self._send_sign_of_life(now)
        self._read_on_if_admitted(now)
        try:
            self._expand_input(now)
        except (BadMessage, zlib.error) as exc:
            self._abort_as_malformed(exc)

    def _send_sign_of_life(self, now: float) -> None:
        if now - self._last_sign_at > SIGN_PERIOD:
            self._last_sign_at = now
            self.send(PongFrame())

"""Frames between nodes on the lean path: typed, length-prefixed, MessagePack by `msgspec`.

Header fields travel as ready lines of HTTP, so that neither side takes them apart again. A frame
that does not decode ends its connection: what follows it cannot be trusted.
"""

import msgspec

from thorntray.errors import BadMessage

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 80 * 1024 * 1024


class Hello(msgspec.Struct, tag=0, array_like=True, frozen=True):
    """First frame of a connection: who has dialled."""

    sender: str
    session: bytes


class CallFrame(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Run a request at the receiver's instance.

    `budget` is in seconds, `max_wait` the seconds that it may wait for a slot. `header_lines`
    are complete lines with their line ends.
    """

    number: int
    service: str
    route: str
    request_id: bytes
    method: bytes
    target: bytes
    header_lines: bytes
    body: bytes
    caller_service: str
    idempotent: bool
    nested: bool
    budget: float
    max_wait: float
    worth: float


class ResultFrame(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """How a request ended; see `request.result` for the meaning of `end` and `reason`."""

    number: int
    end: int
    reason: int
    retry_after: float
    status: int
    header_lines: bytes
    body: bytes
    costs: dict[str, tuple[float, float]]
    prices: dict[str, float]
    queue_wait: float
    service_time: float
    in_flight: int
    limit: int
    failing: float


class CancelFrame(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """The caller has gone: end the request if it may be repeated or has not begun."""

    number: int


class PingFrame(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Asks for a `PongFrame`, which shows that the connection still carries."""


class PongFrame(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Answers a `PingFrame`."""


class FetchPolicy(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """Asks for the policy document if it is newer than `version`."""

    version: int


class PolicyFrame(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """A whole policy document."""

    version: int
    document: bytes


Frame = (
    Hello
    | CallFrame
    | ResultFrame
    | CancelFrame
    | PingFrame
    | PongFrame
    | FetchPolicy
    | PolicyFrame
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the wire form with its length."""
    payload = _encoder.encode(frame)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Cuts a stream of bytes into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are complete now; raises `BadMessage`."""
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise BadMessage(f"frame of {length} bytes; check what speaks on the link port")
            end = start + LENGTH_BYTES + length
            if len(buffer) < end:
                break
            frames.append(decode_frame(bytes(buffer[start + LENGTH_BYTES : end])))
            start = end
        if start:
            del buffer[:start]
        return frames


def decode_frame(payload: bytes) -> Frame:
    """Return the frame; raises `BadMessage`."""
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise BadMessage(f"garbled frame: {exc}; check what speaks on the link port") from exc

"""Frames exchanged on links: typed, length-prefixed, MessagePack by `msgspec`.

These are the messages of a `MeshNode`; a `Node` uses those of `connection.message`.

Header fields are sent as complete HTTP header lines, so that neither side parses them again. A
frame that cannot be decoded closes its connection, since the rest of the stream is unreliable. One
of an unknown type comes from a newer version and is skipped.
"""

from typing import get_args

import msgspec

from thorntray.errors import BadMessage, UnknownMessage
from thorntray.internal.membership.instance_notices import InstanceNotice
from thorntray.internal.telemetry.events import Event, log_event

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 80 * 1024 * 1024


class Hello(msgspec.Struct, tag=0, array_like=True, frozen=True):
    """First frame of a connection: identifies the connecting node.

    `notices` tells what the sender knows of the receiver's instance.
    """

    sender: str
    session: bytes
    notices: tuple[InstanceNotice, ...] = ()


class CallFrame(msgspec.Struct, tag=1, array_like=True, frozen=True):
    """Request to be run by the receiver's instance.

    `number` matches the result to the call. `budget` is the remaining time in seconds and
    `max_wait` the longest wait for a slot in seconds. `header_lines` are complete lines including
    their line ends. `worth` ranks the request when slots are scarce; `nested` marks a call made
    while another request is running. `workspace` is the name of the one that the call tree belongs
    to, empty if there is none; older nodes omit and ignore it.
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
    workspace: str = ""


class ResultFrame(msgspec.Struct, tag=2, array_like=True, frozen=True):
    """Result of a call, matched by `number`.

    `request.result` defines the values of `end` and `reason`. `retry_after`, `queue_wait` and
    `service_time` are in seconds. `costs` holds by service the slot-seconds and calls that the
    call tree used, `prices` by service the price of a slot-second. `in_flight` and `limit`
    describe the load of the sender's instance, `failing` the share of its requests that fail, and
    `notice` what the instance has named in its answers.
    """

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
    notice: InstanceNotice | None = None


class CancelFrame(msgspec.Struct, tag=3, array_like=True, frozen=True):
    """Cancels a call whose caller has disconnected, if it is idempotent or has not started."""

    number: int


class PingFrame(msgspec.Struct, tag=4, array_like=True, frozen=True):
    """Liveness probe of a connection; answered by a `PongFrame`."""


class PongFrame(msgspec.Struct, tag=5, array_like=True, frozen=True):
    """Answers a `PingFrame`."""


class FetchPolicy(msgspec.Struct, tag=6, array_like=True, frozen=True):
    """Requests the policy document if it is newer than `version`."""

    version: int


class PolicyFrame(msgspec.Struct, tag=7, array_like=True, frozen=True):
    """A complete policy document."""

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
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(Frame))


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame with its length prefix."""
    payload = _encoder.encode(frame)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Splits a byte stream into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def incomplete(self) -> bool:
        """Return whether a frame has been received in part."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames completed by them.

        Raises `BadMessage` for an oversized or malformed frame.
        """
        buffer = self._buffer
        buffer += data
        frames: list[Frame] = []
        start = 0
        while len(buffer) - start >= LENGTH_BYTES:
            length = int.from_bytes(buffer[start : start + LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise BadMessage(f"frame of {length} bytes; check what sends to the link port")
            end = start + LENGTH_BYTES + length
            if len(buffer) < end:
                break
            try:
                frames.append(decode_frame(bytes(buffer[start + LENGTH_BYTES : end])))
            except UnknownMessage as exc:
                log_event(Event.BAD_MESSAGE, detail=str(exc))
            start = end
        if start:
            del buffer[:start]
        return frames


def decode_frame(payload: bytes) -> Frame:
    """Decode a frame without its length prefix.

    Raises `BadMessage` if it is malformed, and `UnknownMessage` if its type is unknown.
    """
    try:
        return _decoder.decode(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        tag = _unknown_tag(payload)
        if tag is not None:
            raise UnknownMessage(
                f"frame of the unknown type {tag}; upgrade this node if it stays"
            ) from exc
        raise BadMessage(f"malformed frame: {exc}; check what sends to the link port") from exc


def _unknown_tag(payload: bytes) -> int | None:
    """Return the type of a well-formed frame if no frame here has it, else None."""
    try:
        fields = msgspec.msgpack.decode(payload, type=list[msgspec.Raw])
        tag = msgspec.msgpack.decode(fields[0], type=int)
    except (msgspec.MsgspecError, ValueError, RecursionError, IndexError):
        return None
    return None if tag in _KNOWN_TAGS else tag

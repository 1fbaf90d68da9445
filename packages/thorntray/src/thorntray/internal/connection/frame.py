"""Frames exchanged on links: typed, length-prefixed, MessagePack by `msgspec`.

These are the messages of a `MeshNode`; a `Node` uses those of `connection.message`.

Header fields are sent as complete HTTP header lines, so that neither side parses them again. A
frame that cannot be decoded closes its connection, since the rest of the stream is unreliable. One
of an unknown type comes from a newer version and is skipped.
"""

from typing import Any, get_args

import msgspec

from thorntray.errors import BadMessage, UnknownMessage
from thorntray.internal.membership.instance_notices import InstanceNotice
from thorntray.internal.telemetry.events import Event, log_event

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 80 * 1024 * 1024
LARGE_BODY_BYTES = 64 * 1024  # from here on copies of a body are avoided


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


class GoAway(msgspec.Struct, tag=8, array_like=True, frozen=True):
    """Last frame of a node that stops: calls numbered above `last_call` will certainly never run.

    Older nodes ignore it, and see the end of the connection, which follows.
    """

    last_call: int


Frame = (
    Hello
    | CallFrame
    | ResultFrame
    | CancelFrame
    | PingFrame
    | PongFrame
    | FetchPolicy
    | PolicyFrame
    | GoAway
)

WITH_BODY = frozenset({CallFrame, ResultFrame})  # types of frames

# Type bytes of MessagePack.
MAX_FIXARRAY, FIXARRAY, ARRAY16, BIN32 = 15, 0x90, b"\xdc", b"\xc6"

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)
_KNOWN_TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(Frame))


def encode_frame(frame: Frame) -> bytes:
    """Return the encoded frame with its length prefix."""
    payload = _encoder.encode(frame)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def encode_around_body(frame: CallFrame | ResultFrame) -> tuple[bytes, bytes, bytes]:
    """Return what precedes a large body in the encoded frame, the body itself, and the rest.

    Joined they are the same bytes as of `encode_frame`; the body is not copied.
    """
    names = frame.__struct_fields__
    at = names.index("body")
    before = [frame.__struct_config__.tag, *(getattr(frame, name) for name in names[:at])]
    after = [getattr(frame, name) for name in names[at + 1 :]]
    head = b"".join(
        (
            _array_header(len(names) + 1),
            _encode_items(before),
            BIN32,
            len(frame.body).to_bytes(4, "big"),
        )
    )
    tail = _encode_items(after)
    length = len(head) + len(frame.body) + len(tail)
    return length.to_bytes(LENGTH_BYTES, "big") + head, frame.body, tail


def _encode_items(items: list[Any]) -> bytes:
    """Return the encoded items of a short array, without the array's header of one byte."""
    assert len(items) <= MAX_FIXARRAY
    return _encoder.encode(items)[1:]


def _array_header(length: int) -> bytes:
    if length <= MAX_FIXARRAY:
        return bytes((FIXARRAY | length,))
    return ARRAY16 + length.to_bytes(2, "big")


class FrameReader:
    """Splits a byte stream into frames."""

    __slots__ = ("_buffer", "failure")

    def __init__(self) -> None:
        self._buffer = bytearray()  # the beginning of a frame
        self.failure: BadMessage | None = None  # of a frame behind the last ones returned

    @property
    def incomplete(self) -> bool:
        """Return whether a frame has been received in part."""
        return bool(self._buffer)

    @property
    def received(self) -> int:
        """Return the bytes held of the incomplete frame."""
        return len(self._buffer)

    @property
    def missing(self) -> int:
        """Return the bytes that the incomplete frame still needs, 0 if its length is not known."""
        if len(self._buffer) < LENGTH_BYTES:
            return 0
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        return LENGTH_BYTES + length - len(self._buffer)

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames completed by them.

        Raises `BadMessage` for an oversized or malformed frame, unless frames before it are
        returned; then it is kept as `failure`.
        """
        if self.failure is not None:
            raise self.failure
        source: bytes | bytearray = data
        if self._buffer:
            self._buffer += data
            source = self._buffer
        received = len(source)
        frames: list[Frame] = []
        start = 0
        try:
            while received - start >= LENGTH_BYTES:
                payload = start + LENGTH_BYTES
                length = int.from_bytes(source[start:payload], "big")
                if length > MAX_FRAME_BYTES:
                    raise BadMessage(f"frame of {length} bytes; check what sends to the link port")
                end = payload + length
                if received < end:
                    break
                start = end
                try:
                    # A large payload is not copied.
                    large = length >= LARGE_BODY_BYTES
                    frames.append(
                        decode_frame((memoryview(source) if large else source)[payload:end])
                    )
                except UnknownMessage as exc:
                    log_event(Event.BAD_MESSAGE, detail=str(exc))
        except BadMessage as exc:
            if not frames:
                raise
            self.failure = exc
        if start == received:
            if source is not data:
                self._buffer = bytearray()  # a new one, since the old one keeps its capacity
        elif start or source is data:
            self._buffer = bytearray(memoryview(source)[start:])
        return frames


def decode_frame(payload: bytes | bytearray | memoryview) -> Frame:
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


def _unknown_tag(payload: bytes | bytearray | memoryview) -> int | None:
    """Return the type of a well-formed frame if no frame here has it, else None."""
    try:
        fields = msgspec.msgpack.decode(payload, type=list[msgspec.Raw])
        tag = msgspec.msgpack.decode(fields[0], type=int)
    except (msgspec.MsgspecError, ValueError, RecursionError, IndexError):
        return None
    return None if tag in _KNOWN_TAGS else tag

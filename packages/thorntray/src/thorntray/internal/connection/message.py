"""Messages between nodes: typed, versioned, MessagePack by `msgspec`.

These are the messages of a `Node`; a `MeshNode` uses the frames of `connection.frame`.

The first byte is the version, the rest one tagged structure. A message of another version or
one that cannot be decoded is rejected with `BadMessage` and counted; it never stops a node.
Bodies are sent with an xxh3 digest, so that a truncated or swapped body is detected.
"""

import msgspec
import xxhash

from thorntray.errors import BadMessage

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 6 * 1024 * 1024

Headers = tuple[tuple[str, str], ...]


class Call(msgspec.Struct, tag="call", array_like=True, frozen=True):
    """Request to be run by the target node's instance.

    `session` is that of the target node. `budget` is the remaining time in seconds and
    `wall_deadline` the deadline in seconds of wall-clock time. `allowance` is the number of
    retries lent to the receiver, and `depth` the depth in the call tree of `root_id`.
    """

    session: bytes
    attempt_id: bytes
    root_id: bytes
    service: str
    route: str
    method: str
    path: str
    headers: Headers
    body: bytes
    digest: bytes
    priority: int
    depth: int
    budget: float
    wall_deadline: float
    allowance: int
    grant: str = ""


class Reply(msgspec.Struct, tag="reply", array_like=True, frozen=True):
    """The outcome of a `Call`.

    `kind` is done, not-run, failed or unknown; `request.outcome.AttemptResult` describes
    `unspent`, `level` and `load`. Times are in seconds.
    """

    attempt_id: bytes
    kind: str
    cause: str
    retry_after: float
    detail: str
    status: int
    headers: Headers
    body: bytes
    digest: bytes
    unspent: int
    level: float
    load: float
    service_time: float


class GrantRequest(msgspec.Struct, tag="grant-request", array_like=True, frozen=True):
    """Request for an execution grant."""

    session: bytes
    service: str
    route: str
    idempotency_key: str
    shed_key: float


class GrantReply(msgspec.Struct, tag="grant-reply", array_like=True, frozen=True):
    """A grant, or the reason for its refusal; `begun`: a copy of the request has started to run."""

    grant: str
    reason: str
    retry_after: float
    level: float
    load: float
    begun: bool = False


class Revoke(msgspec.Struct, tag="revoke", array_like=True, frozen=True):
    """Request to cancel an attempt, which may still arrive within `budget` seconds."""

    session: bytes
    attempt_id: bytes
    budget: float


class Revoked(msgspec.Struct, tag="revoked", array_like=True, frozen=True):
    """Reply to `Revoke`; `not_run` guarantees that the attempt has not run and never will."""

    attempt_id: bytes
    not_run: bool


class FetchDocument(msgspec.Struct, tag="fetch-document", array_like=True, frozen=True):
    """Request for a team's document, as a delta against `held_revision` if possible."""

    team: str
    held_revision: int


class DocumentReply(msgspec.Struct, tag="document-reply", array_like=True, frozen=True):
    """A team's signed document: complete if `base` is 0, else a delta against `base`."""

    team: str
    revision: int
    base: int
    payload: bytes


class Refusal(msgspec.Struct, tag="refusal", array_like=True, frozen=True):
    """Reply to a message that could not be handled, with the reason."""

    reason: str


Message = (
    Call
    | Reply
    | GrantRequest
    | GrantReply
    | Revoke
    | Revoked
    | FetchDocument
    | DocumentReply
    | Refusal
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)
_VERSION_BYTE = bytes([WIRE_VERSION])


def body_digest(body: bytes) -> bytes:
    """Return the xxh3 digest that is sent with a body."""
    return xxhash.xxh3_64_digest(body)


def encode(message: Message) -> bytes:
    """Return the encoded message with its version byte."""
    return _VERSION_BYTE + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message; raises `BadMessage` if its version, encoding or digest is wrong."""
    if not data:
        raise BadMessage("empty message; check that the peer is a thorntray node")
    if data[0] != WIRE_VERSION:
        raise BadMessage(
            f"message version {data[0]}, this node speaks {WIRE_VERSION}; upgrade the older node"
        )
    try:
        message = _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise BadMessage(f"garbled message: {exc}; check what speaks on the peer port") from exc
    if isinstance(message, Call | Reply) and body_digest(message.body) != message.digest:
        raise BadMessage("the digest does not match the body; the message is dropped")
    return message

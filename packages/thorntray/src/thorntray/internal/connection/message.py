"""Messages between nodes: typed, versioned, MessagePack by `msgspec`.

The first byte is the version, the rest one tagged structure. A message of another version or
one that does not decode is refused with `BadMessage` and counted; it never takes a node down.
Bodies travel with an xxh3 digest, so that a truncated or mixed-up one cannot pass as whole.
"""

import msgspec
import xxhash

from thorntray.errors import BadMessage

WIRE_VERSION = 1
MAX_MESSAGE_BYTES = 6 * 1024 * 1024

Headers = tuple[tuple[str, str], ...]


class Call(msgspec.Struct, tag="call", array_like=True, frozen=True):
    """Run a request. `budget` and `wall_deadline` are in seconds; `session` is the target's."""

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
    """The outcome of a `Call`. `kind` is done, not-run, failed or unknown."""

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
    """Ask for an execution grant."""

    session: bytes
    service: str
    route: str
    idempotency_key: str
    shed_key: float


class GrantReply(msgspec.Struct, tag="grant-reply", array_like=True, frozen=True):
    """A grant, or the reason why there is none; `begun` tells that a copy has begun to run."""

    grant: str
    reason: str
    retry_after: float
    level: float
    load: float
    begun: bool = False


class Revoke(msgspec.Struct, tag="revoke", array_like=True, frozen=True):
    """Ask to give up an attempt; `budget` is the seconds for which it could still arrive."""

    session: bytes
    attempt_id: bytes
    budget: float


class Revoked(msgspec.Struct, tag="revoked", array_like=True, frozen=True):
    """`not_run` proves that the attempt has not run and never will."""

    attempt_id: bytes
    not_run: bool


class FetchDocument(msgspec.Struct, tag="fetch-document", array_like=True, frozen=True):
    """Ask for a team's document; `have` is the revision held, for a difference."""

    team: str
    have: int


class DocumentReply(msgspec.Struct, tag="document-reply", array_like=True, frozen=True):
    """A team's signed document, whole or as a difference against `base` (0 is whole)."""

    team: str
    revision: int
    base: int
    payload: bytes


class Refusal(msgspec.Struct, tag="refusal", array_like=True, frozen=True):
    """A message that could not be handled, and why."""

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


def digest_of(body: bytes) -> bytes:
    """Return the digest that travels with a body."""
    return xxhash.xxh3_64_digest(body)


def encode(message: Message) -> bytes:
    """Return the wire form of a message."""
    return _VERSION_BYTE + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Return the message; raises `BadMessage` with the fault."""
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
    if isinstance(message, Call | Reply) and digest_of(message.body) != message.digest:
        raise BadMessage("the digest does not match the body; the message is dropped")
    return message

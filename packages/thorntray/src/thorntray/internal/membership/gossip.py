"""Datagrams of membership and settings spread: typed, versioned, bounded in size."""

from typing import NamedTuple

import msgspec

from thorntray.errors import BadMessage
from thorntray.internal.membership.member import Member

GOSSIP_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # fits any usual path without fragments

Heads = dict[str, int]


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Asks for an `Ack`. `heads` gives the sender's settings revision of each team."""

    sequence: int
    sender: Member
    heads: Heads
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Answers a `Ping`."""

    sequence: int
    sender: Member
    heads: Heads
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """Asks another member to ping `target` and to pass its `Ack` on."""

    sequence: int
    sender: Member
    target: str


class Spread(msgspec.Struct, tag="g", array_like=True, frozen=True):
    """Carries updates without asking for anything."""

    sender: Member
    heads: Heads
    updates: tuple[Member, ...]


class Join(msgspec.Struct, tag="j", array_like=True, frozen=True):
    """A newcomer asks for all members."""

    sender: Member


class Digest(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """Anti-entropy: one hash for each bucket of members."""

    sender: Member
    heads: Heads
    buckets: tuple[int, ...]


Datagram = Ping | Ack | PingRequest | Spread | Join | Digest

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)
_VERSION_BYTE = bytes([GOSSIP_VERSION])


class Address(NamedTuple):
    """An IP number and a UDP port."""

    host: str
    port: int


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the wire form."""
    return _VERSION_BYTE + _encoder.encode(datagram)


def decode_datagram(data: bytes) -> Datagram:
    """Return the datagram; raises `BadMessage` with the fault."""
    if not data or data[0] != GOSSIP_VERSION:
        raise BadMessage("datagram of another version; upgrade the older node")
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise BadMessage(f"garbled datagram: {exc}; check what sends to the gossip port") from exc


def encoded_size(member: Member) -> int:
    """Return the bytes that one update takes."""
    return len(_encoder.encode(member))

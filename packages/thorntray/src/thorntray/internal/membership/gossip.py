"""Datagram types of the membership protocol and their wire form.

The first byte is the protocol version, the rest is one tagged MessagePack array. Datagrams also
carry the sender's settings revisions, from which nodes learn that a peer has newer settings.
"""

from typing import NamedTuple

import msgspec

from thorntray.errors import BadMessage
from thorntray.internal.bounded import Count, Name, Seconds
from thorntray.internal.membership.member import Member

GOSSIP_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # below the usual path MTU, so that IP does not fragment it

Revisions = dict[str, Count]  # settings revision by team, or the version of the policy


class Ping(msgspec.Struct, tag="p", array_like=True, frozen=True):
    """Asks for an `Ack`. `revisions` are those that the sender holds."""

    sequence: int
    sender: Member
    revisions: Revisions
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, tag="a", array_like=True, frozen=True):
    """Answers a `Ping` and repeats its sequence number."""

    sequence: int
    sender: Member
    revisions: Revisions
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """Asks another member to ping `target` and to send an `Ack` if the target answers."""

    sequence: int
    sender: Member
    target: str


class Spread(msgspec.Struct, tag="g", array_like=True, frozen=True):
    """Carries updates and needs no answer."""

    sender: Member
    revisions: Revisions
    updates: tuple[Member, ...]


class Join(msgspec.Struct, tag="j", array_like=True, frozen=True):
    """Asks for all members, sent by a node that has just started."""

    sender: Member


class Digest(msgspec.Struct, tag="d", array_like=True, frozen=True):
    """Anti-entropy: one hash for each bucket of members, to find differences between two views."""

    sender: Member
    revisions: Revisions
    buckets: tuple[int, ...]


class PolicyCheck(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """Asks a peer what it knows of the newest policy."""

    sequence: int


class PolicyChecked(msgspec.Struct, tag="C", array_like=True, frozen=True):
    """Answers a `PolicyCheck`: `version` was the newest one `age` seconds before the answer."""

    sequence: int
    version: int
    age: float


class QuotaAsk(msgspec.Struct, tag="q", array_like=True, frozen=True):
    """Asks for `wanted` tokens of a workspace's quota, and gives `returned` unused ones back.

    `held` are those that may still be used, of the ones granted before. `session` is that of the
    asking process, which numbers its queries in rising order.
    """

    sequence: int
    session: bytes
    workspace: str
    wanted: int
    held: int
    returned: int


class QuotaGrant(msgspec.Struct, tag="Q", array_like=True, frozen=True):
    """Answers a `QuotaAsk`; if tokens are short, `retry_after` is in seconds."""

    sequence: int
    workspace: str
    tokens: int
    retry_after: float


class QuotaCheck(msgspec.Struct, tag="h", array_like=True, frozen=True):
    """Asks whether the receiver takes `member`, a coordinator of quotas, for alive.

    The answer is a promise not to use the receiver's own share of a quota for some time.
    """

    sequence: int
    member: str
    session: bytes


class QuotaChecked(msgspec.Struct, tag="H", array_like=True, frozen=True):
    """Answers a `QuotaCheck`: the coordinator is taken for alive."""

    sequence: int


class CrashReport(msgspec.Struct, tag="x", array_like=True, frozen=True):
    """Tells of requests that ran when instances crashed; `overload.crash_suspects` has the terms.

    `crashes` holds (crash ID, age in seconds, number of running requests, fingerprints), `blocked`
    and `cleared` hold (fingerprint, remaining seconds). Ages are those at the moment of sending, as
    the clocks of nodes differ.
    """

    crashes: tuple[tuple[int, float, int, tuple[int, ...]], ...] = ()
    blocked: tuple[tuple[int, float], ...] = ()
    cleared: tuple[tuple[int, float], ...] = ()


class CrashQuery(msgspec.Struct, tag="X", array_like=True, frozen=True):
    """Anti-entropy: asks for all crash reports if the receiver's `digest` of them differs.

    A receiver whose reports differ asks back once; `is_reply` marks that query.
    """

    digest: int
    is_reply: bool = False


class DepartureReport(msgspec.Struct, tag="l", array_like=True, frozen=True):
    """Asks to keep that boots of the instance of `member`, the sender, leave.

    `boots` holds (instance ID, start in milliseconds since 1970, whether all earlier boots of that
    ID are meant too).
    """

    sequence: int
    member: str
    boots: tuple[tuple[Name, Count, bool], ...]


class DepartureRecorded(msgspec.Struct, tag="L", array_like=True, frozen=True):
    """Answers a `DepartureReport`: it is kept."""

    sequence: int


class DepartureQuery(msgspec.Struct, tag="k", array_like=True, frozen=True):
    """Asks for the departures that are kept for `member`, whose new process is the sender."""

    member: str


class DepartureReply(msgspec.Struct, tag="K", array_like=True, frozen=True):
    """Answers a `DepartureQuery`, or tells a restarted process without a query.

    `age` is for how many seconds the process of the sender has kept departures; a release before
    does not tell it.
    """

    boots: tuple[tuple[Name, Count, bool], ...]
    age: Seconds = 0.0


DepartureDatagram = DepartureReport | DepartureRecorded | DepartureQuery | DepartureReply
QuotaDatagram = QuotaAsk | QuotaGrant | QuotaCheck | QuotaChecked
ServiceDatagram = (
    PolicyCheck | PolicyChecked | QuotaDatagram | CrashReport | CrashQuery | DepartureDatagram
)
MembershipDatagram = Ping | Ack | PingRequest | Spread | Join | Digest
Datagram = MembershipDatagram | ServiceDatagram

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)
_TAGS_WITH_UPDATES = frozenset(kind.__struct_config__.tag for kind in (Ping, Ack, Spread))
_VERSION_BYTE = bytes([GOSSIP_VERSION])


class Address(NamedTuple):
    """An IP address and a UDP port."""

    host: str
    port: int


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the version byte and the encoded datagram."""
    return _VERSION_BYTE + _encoder.encode(datagram)


def decode_datagram(data: bytes) -> Datagram:
    """Return the decoded datagram; raises `BadMessage` if the version or the encoding is wrong."""
    if not data or data[0] != GOSSIP_VERSION:
        raise BadMessage("datagram has an unsupported protocol version; upgrade the older node")
    payload = memoryview(data)[1:]
    try:
        try:
            return _decoder.decode(payload)
        except msgspec.ValidationError:
            return _without_odd_updates(payload)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise BadMessage(
            f"malformed datagram: {exc}; check which process sends to the gossip port"
        ) from exc


def _without_odd_updates(payload: memoryview) -> Datagram:
    """Return a datagram without the updates that are no members; raises `MsgspecError`.

    A node of an older release passes on an odd record among sound ones.
    """
    fields = msgspec.msgpack.decode(payload, type=list)
    if not fields or fields[0] not in _TAGS_WITH_UPDATES or not isinstance(fields[-1], list):
        raise msgspec.ValidationError("a field is missing or out of its range")
    fields[-1] = [update for update in fields[-1] if _is_member(update)]
    return msgspec.convert(fields, Datagram)


def _is_member(update: object) -> bool:
    try:
        msgspec.convert(update, Member)
    except msgspec.ValidationError:
        return False
    return True


def encoded_size(member: Member) -> int:
    """Return the encoded size of one update in bytes."""
    return len(_encoder.encode(member))

"""Execution grants: run a non-idempotent request at most once, without persistent state.

A grant permits one execution of one request. It names its owner, which is one incarnation of one
node, and carries a MAC made with a key that exists only in that process. Only the owner may
dispatch the request, and it does so once: copies that arrive while it runs wait for its outcome,
and later copies get the stored outcome. If the owner's process ends, the grant becomes void and
copies end as `Unknown`. They must not run at another node, since no other node can know whether
the owner dispatched the request.

When the owner's instance refuses a request, the ingress must NOT exchange the grant for a new
one: two ingresses with copies of the same grant would each get a new one and run the request
twice. Instead the owner itself retries the request at another instance and still receives all
copies (see `request.inbound`).

A grant whose record was evicted is answered with `Unknown`, not `NotRun`, since the request may
have run before the eviction.
"""

import asyncio
import base64
import binascii
import hashlib
import hmac
from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from thorntray.errors import GrantRejected, GrantsFull
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.outcome import Answer, Done, Failed, Outcome, Unknown

MAX_GRANTS = 20_000  # records of one node
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # answer bodies stored for retries, of all grants together
GRANT_LIFETIME = 30.0  # seconds after issue within which the request has to begin
RECORD_LIFETIME = 90.0  # seconds after issue for which a record is kept
MAX_WAITERS = 8  # copies that may wait for the outcome of one running request
MAC_BYTES = 16  # length of the BLAKE2b MAC


class GrantClaims(NamedTuple):
    """Content of a grant. `expires` is a time on the owner's wall clock, in seconds."""

    owner: str
    session: bytes
    grant_id: bytes
    service: str
    route: str
    expires: float


@dataclass(slots=True)
class GrantRecord:
    """The owner's state of one grant.

    `outcome_future` is None until a copy of the request has begun. `body_digest` is the digest of
    the request body that the grant was first used with, `waiters` the number of waiting copies.
    """

    claims: GrantClaims
    idempotency_key: str
    evict_at: float  # seconds, monotonic
    body_digest: bytes | None = None
    waiters: int = 0
    outcome_future: "asyncio.Future[Outcome] | None" = field(default=None)

    @property
    def begun(self) -> bool:
        """Whether a copy of the request has begun under this grant."""
        return self.outcome_future is not None


def read_claims(token: str) -> Result[GrantClaims, GrantRejected]:
    """Decode a grant WITHOUT verifying its MAC; only the owner can verify it."""
    try:
        signed = base64.urlsafe_b64decode(token.encode("ascii"))
        return Ok(msgspec.msgpack.decode(signed[MAC_BYTES:], type=GrantClaims))
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return Error(GrantRejected("the grant is garbled; ask for a new one and send it unchanged"))


class GrantTable:
    """All grants of one node incarnation. `session` is a random value of each process."""

    def __init__(self, owner: str, session: bytes, clock: Clock, rng: Random) -> None:
        self.owner = owner
        self.session = session
        self._clock = clock
        self._rng = rng
        self._mac_key = rng.randbytes(32)
        self._records: OrderedDict[bytes, GrantRecord] = OrderedDict()
        self._ids_by_key: dict[tuple[str, str, str], bytes] = {}
        self._answer_sizes: OrderedDict[bytes, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def running(self) -> int:
        """Number of grants whose request has begun and not finished."""
        return sum(
            1 for rec in self._records.values() if rec.begun and not rec.outcome_future.done()
        )

    def issue(self, service: str, route: str, idempotency_key: str = "") -> str:
        """Return a grant; the same idempotency key gets the same grant.

        Raises `GrantsFull` if `MAX_GRANTS` records are stored.
        """
        self._evict_expired()
        known_id = (
            self._ids_by_key.get((service, route, idempotency_key)) if idempotency_key else None
        )
        if known_id is not None:
            return self._sign(self._records[known_id].claims)
        if len(self._records) >= MAX_GRANTS:
            raise GrantsFull(f"{MAX_GRANTS} grants are stored; ask another node or retry later")
        expires = self._clock.time() + GRANT_LIFETIME
        grant_id = self._rng.randbytes(16)
        claims = GrantClaims(self.owner, self.session, grant_id, service, route, expires)
        evict_at = self._clock.monotonic() + RECORD_LIFETIME
        self._records[grant_id] = GrantRecord(claims, idempotency_key, evict_at)
        if idempotency_key:
            self._ids_by_key[(service, route, idempotency_key)] = grant_id
        return self._sign(claims)

    def begun(self, service: str, route: str, idempotency_key: str) -> bool:
        """Return whether a request has begun under the grant of an idempotency key."""
        grant_id = self._ids_by_key.get((service, route, idempotency_key))
        return grant_id is not None and self._records[grant_id].begun

    def open(
        self, token: str, service: str, route: str, body: bytes
    ) -> Result[GrantRecord | None, GrantRejected]:
        """Verify a grant for a request and return its record, or None if the record was evicted.

        A grant that is rejected was never valid for this request, so the request has not run
        under it.
        """
        match read_claims(token):
            case Result(tag="error", error=exc):
                return Error(exc)
            case Result(tag="ok", ok=claims):
                pass
        if not hmac.compare_digest(self._sign(claims), token):
            return Error(GrantRejected("the grant was not issued by this node; ask for a new one"))
        if (claims.service, claims.route) != (service, route):
            return Error(
                GrantRejected(
                    f"the grant is for {claims.service}/{claims.route}, the request for "
                    f"{service}/{route}; ask for a grant for this route"
                )
            )
        self._evict_expired()
        return self._bind_body(claims, hashlib.blake2b(body, digest_size=16).digest())

    def _bind_body(
        self, claims: GrantClaims, digest: bytes
    ) -> Result[GrantRecord | None, GrantRejected]:
        record = self._records.get(claims.grant_id)
        if record is None:
            return Ok(None)
        if not record.begun and self._clock.time() > claims.expires:
            return Error(GrantRejected("the grant has expired unused; ask for a new one"))
        if record.body_digest is not None and record.body_digest != digest:
            return Error(GrantRejected("the grant was used with another body; ask for a new one"))
        record.body_digest = digest
        return Ok(record)

    def begin(self, record: GrantRecord) -> None:
        """Mark the request as begun; all later copies must `join` it."""
        if record.begun:
            raise ValueError("the request of this grant has already begun; join it instead")
        record.outcome_future = asyncio.get_running_loop().create_future()

    def finish(self, record: GrantRecord, outcome: Outcome) -> None:
        """Store the outcome for later copies and return it to the waiting ones."""
        assert record.outcome_future is not None
        if record.outcome_future.done():
            return
        record.outcome_future.set_result(outcome)
        match outcome:
            case Done(answer) | Failed(_, answer) if answer is not None:
                self._retain_answer(record.claims.grant_id, answer)
            case _:
                pass

    async def join(self, record: GrantRecord) -> Outcome:
        """Wait for the outcome of a request that has begun.

        Returns `Unknown` at once if `MAX_WAITERS` copies are waiting already.
        """
        assert record.outcome_future is not None
        if record.outcome_future.done():
            return record.outcome_future.result()
        if record.waiters >= MAX_WAITERS:
            return Unknown("the request is running; repeat it with the same grant", 0.5)
        record.waiters += 1
        try:
            return await asyncio.shield(record.outcome_future)
        finally:
            record.waiters -= 1

    def _sign(self, claims: GrantClaims) -> str:
        packed = msgspec.msgpack.encode(claims)
        mac = hashlib.blake2b(packed, key=self._mac_key, digest_size=MAC_BYTES).digest()
        return base64.urlsafe_b64encode(mac + packed).decode("ascii")

    def _retain_answer(self, grant_id: bytes, answer: Answer) -> None:
        self._answer_sizes[grant_id] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            oldest, size = self._answer_sizes.popitem(last=False)
            self._answer_bytes -= size
            self._drop_answer(self._records.get(oldest))

    def _drop_answer(self, record: GrantRecord | None) -> None:
        if record is None or record.outcome_future is None:
            return
        dropped = asyncio.get_running_loop().create_future()
        dropped.set_result(Failed("the request ran once and its answer is no longer kept"))
        record.outcome_future = dropped

    def _evict_expired(self) -> None:
        now = self._clock.monotonic()
        while self._records:
            grant_id, record = next(iter(self._records.items()))
            still_running = record.outcome_future is not None and not record.outcome_future.done()
            if record.evict_at > now or still_running:
                return
            del self._records[grant_id]
            self._answer_bytes -= self._answer_sizes.pop(grant_id, 0)
            key = (record.claims.service, record.claims.route, record.idempotency_key)
            self._ids_by_key.pop(key, None)

"""Execution grants: a non-idempotent request runs at most once, with nothing stored.

A grant is permission to run one request. It names its owner, one incarnation of one node, and
carries a MAC by a key that only this process holds. Only that incarnation may ever dispatch
it, and it does so once: copies that arrive meanwhile join the running one, later copies get the
remembered outcome. When the owner dies the grant dies with it, and copies end as `Unknown`;
they never run elsewhere, because nobody else can know whether the owner had dispatched.

A refused grant is NOT handed over by whoever held it last: two ingresses that hold copies
of the same grant would each obtain a new one and run the request twice. The owner itself
moves the request on and stays the place where all copies meet (see `request.inbound`).

A grant whose record is forgotten is answered with `Unknown`, not with `NotRun`: it may have
run before it was forgotten.
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

MAX_GRANTS = 20_000  # remembered by one node
MAX_ANSWER_BYTES = 4 * 1024 * 1024  # kept for repeats, all grants together
GRANT_LIFETIME = 30.0  # seconds in which a grant may be begun
RECORD_LIFETIME = 90.0  # seconds for which the outcome is remembered
MAX_JOINED = 8  # copies that may wait for one running grant
MAC_BYTES = 16


class GrantClaims(NamedTuple):
    """What a grant says. `expires` is the owner's wall clock in seconds."""

    owner: str
    session: bytes
    grant_id: bytes
    service: str
    route: str
    expires: float


@dataclass(slots=True)
class GrantRecord:
    """What the owner remembers of one grant. `finished` resolves to the outcome."""

    claims: GrantClaims
    idempotency_key: str
    forget_at: float  # seconds, monotonic
    body_digest: bytes | None = None
    joined: int = 0
    finished: "asyncio.Future[Outcome] | None" = field(default=None)

    @property
    def begun(self) -> bool:
        """Return whether a copy of the request has begun under this grant."""
        return self.finished is not None


def read_claims(token: str) -> Result[GrantClaims, GrantRejected]:
    """Decode a token WITHOUT verifying it; only its owner can verify."""
    try:
        sealed = base64.urlsafe_b64decode(token.encode("ascii"))
        return Ok(msgspec.msgpack.decode(sealed[MAC_BYTES:], type=GrantClaims))
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return Error(GrantRejected("the grant is garbled; ask for a new one and send it unchanged"))


class GrantBook:
    """All grants of one node incarnation. `session` is random at process start."""

    def __init__(self, owner: str, session: bytes, clock: Clock, rng: Random) -> None:
        self.owner = owner
        self.session = session
        self._clock = clock
        self._rng = rng
        self._mac_key = rng.randbytes(32)
        self._records: OrderedDict[bytes, GrantRecord] = OrderedDict()
        self._by_key: dict[tuple[str, str, str], bytes] = {}
        self._answers: OrderedDict[bytes, int] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def running(self) -> int:
        """Return how many grants are begun and not finished."""
        return sum(1 for rec in self._records.values() if rec.begun and not rec.finished.done())

    def issue(self, service: str, route: str, idempotency_key: str = "") -> str:
        """Return a grant; the same one again for the same idempotency key.

        Raises `GrantsFull` when no more grants can be remembered.
        """
        self._forget_old()
        known = self._by_key.get((service, route, idempotency_key)) if idempotency_key else None
        if known is not None:
            return self._seal(self._records[known].claims)
        if len(self._records) >= MAX_GRANTS:
            raise GrantsFull(f"{MAX_GRANTS} grants are remembered; ask another node or later")
        expires = self._clock.time() + GRANT_LIFETIME
        grant_id = self._rng.randbytes(16)
        claims = GrantClaims(self.owner, self.session, grant_id, service, route, expires)
        forget_at = self._clock.monotonic() + RECORD_LIFETIME
        self._records[grant_id] = GrantRecord(claims, idempotency_key, forget_at)
        if idempotency_key:
            self._by_key[(service, route, idempotency_key)] = grant_id
        return self._seal(claims)

    def begun(self, service: str, route: str, idempotency_key: str) -> bool:
        """Return whether a copy has begun under the grant of an idempotency key."""
        grant_id = self._by_key.get((service, route, idempotency_key))
        return grant_id is not None and self._records[grant_id].begun

    def open(
        self, token: str, service: str, route: str, body: bytes
    ) -> Result[GrantRecord | None, GrantRejected]:
        """Verify a grant for a request; None means that its record is forgotten.

        A rejected grant was never good for this request, so the request did not run by it.
        """
        match read_claims(token):
            case Result(tag="error", error=exc):
                return Error(exc)
            case Result(tag="ok", ok=claims):
                pass
        if not hmac.compare_digest(self._seal(claims), token):
            return Error(GrantRejected("the grant was not issued by this node; ask for a new one"))
        if (claims.service, claims.route) != (service, route):
            return Error(
                GrantRejected(
                    f"the grant is for {claims.service}/{claims.route}, the request for "
                    f"{service}/{route}; ask for a grant for this route"
                )
            )
        self._forget_old()
        return self._bind(claims, hashlib.blake2b(body, digest_size=16).digest())

    def _bind(
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
        """Mark the grant as begun; from here on every copy joins or gets the outcome."""
        if record.begun:
            raise ValueError("the grant has begun already; join it instead")
        record.finished = asyncio.get_running_loop().create_future()

    def finish(self, record: GrantRecord, outcome: Outcome) -> None:
        """Remember the outcome for later copies and wake those that joined."""
        assert record.finished is not None
        if record.finished.done():
            return
        record.finished.set_result(outcome)
        match outcome:
            case Done(answer) | Failed(_, answer) if answer is not None:
                self._keep_answer(record.claims.grant_id, answer)
            case _:
                pass

    async def join(self, record: GrantRecord) -> Outcome:
        """Wait for the outcome of a begun grant; too many waiting copies are turned away."""
        assert record.finished is not None
        if record.finished.done():
            return record.finished.result()
        if record.joined >= MAX_JOINED:
            return Unknown("the request is running; repeat it with the same grant", 0.5)
        record.joined += 1
        try:
            return await asyncio.shield(record.finished)
        finally:
            record.joined -= 1

    def _seal(self, claims: GrantClaims) -> str:
        packed = msgspec.msgpack.encode(claims)
        mac = hashlib.blake2b(packed, key=self._mac_key, digest_size=MAC_BYTES).digest()
        return base64.urlsafe_b64encode(mac + packed).decode("ascii")

    def _keep_answer(self, grant_id: bytes, answer: Answer) -> None:
        self._answers[grant_id] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > MAX_ANSWER_BYTES:
            oldest, size = self._answers.popitem(last=False)
            self._answer_bytes -= size
            self._drop_body(self._records.get(oldest))

    def _drop_body(self, record: GrantRecord | None) -> None:
        if record is None or record.finished is None:
            return
        gone = asyncio.get_running_loop().create_future()
        gone.set_result(Failed("the request ran once and its answer is no longer kept"))
        record.finished = gone

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        while self._records:
            grant_id, record = next(iter(self._records.items()))
            still_running = record.finished is not None and not record.finished.done()
            if record.forget_at > now or still_running:
                return
            del self._records[grant_id]
            self._answer_bytes -= self._answers.pop(grant_id, 0)
            key = (record.claims.service, record.claims.route, record.idempotency_key)
            self._by_key.pop(key, None)

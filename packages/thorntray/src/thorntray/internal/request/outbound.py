"""Caller side of a request: choose an instance, send an attempt, retry at another instance.

A request is reported as `NotRun` only if no attempt can have run. When an attempt ends as
`Unknown` and a later one as `NotRun`, the outcome of the request is `Unknown`.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple, Protocol, Self

from thorntray.errors import BadMessage, PeerLost, PeerUnreachable
from thorntray.internal.connection.message import (
    Call,
    GrantReply,
    GrantRequest,
    Message,
    Reply,
    Revoke,
    Revoked,
)
from thorntray.internal.connection.reply import attempt_from_reply
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.levels import LevelTable
from thorntray.internal.overload.routing import Router
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.order import shed_key
from thorntray.internal.request.outcome import AttemptResult, NotRun, Outcome, Reason, Unknown
from thorntray.internal.request.retry import RetryContext, RetryTokenBucket, take_retry
from thorntray.internal.version.settings import RouteSettings, Settings

ANSWER_GRACE = 0.03  # seconds after the deadline in which the owner's reply is still accepted
REVOKE_TIMEOUT = 0.05  # seconds to wait for the acknowledgement of a revocation
GRANT_TIMEOUT = 0.5  # seconds to wait for the reply to a grant request
CLOSED_RETRY_AFTER = 0.3  # seconds; sent when all instances are known to refuse the request
NO_INSTANCE_RETRY_AFTER = 1.0  # seconds; sent when the service has no candidate instance
ATTEMPT_ID_BYTES = 16


class Peers(Protocol):
    """Sends requests to other nodes over the peer connections."""

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Send a message and return the reply. `timeout` is in seconds.

        Raises `PeerUnreachable` if nothing was sent, `PeerLost` if the connection closed or the
        timeout passed after sending, and `BadMessage` if the reply cannot be decoded.
        """
        ...


class Directory(Protocol):
    """Lookup of the current cluster members."""

    def members_of(self, service: str) -> list[Member]:
        """Return the members whose instance serves a service."""
        ...

    def find(self, name: str) -> Member | None:
        """Return the member with this name, or None if there is none."""
        ...


class OutgoingRequest(NamedTuple):
    """A request to send, independent of the instance that it is sent to."""

    route: RouteSettings
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    digest: bytes
    root_id: bytes
    priority: int
    depth: int
    deadline: Deadline

    @classmethod
    def from_call(cls, call: Call, route: RouteSettings, deadline: Deadline) -> Self:
        """Return the request of a received call, to send it to another instance."""
        return cls(
            route,
            call.method,
            call.path,
            call.headers,
            call.body,
            call.digest,
            call.root_id,
            call.priority,
            call.depth,
            deadline,
        )


@dataclass(slots=True)
class OutboundParts:
    """Components that `Outbound` uses; all of them live as long as the process.

    `run_here` and `grant_here` handle a call and a grant request for the own instance without a
    connection.
    """

    own_name: str
    run_here: Callable[[Call], Awaitable[AttemptResult]]
    grant_here: Callable[[GrantRequest], GrantReply]
    peers: Peers
    directory: Directory
    router: Router
    levels: LevelTable
    ejection: Ejection
    settings: Callable[[], Settings]
    clock: Clock
    rng: Random


class Outbound:
    """Sends requests to the nodes of a service, with retries."""

    def __init__(self, parts: OutboundParts) -> None:
        self._parts = parts
        self._retry_buckets: dict[str, RetryTokenBucket] = {}
        self._service_times: dict[str, float] = {}
        self.attempts_sent = 0
        self.retries_sent = 0

    async def send(
        self, req: OutgoingRequest, escrow: Escrow, tried: set[str] | None = None
    ) -> Outcome:
        """Send a request that needs no grant check at its owner and return its outcome.

        `tried` holds the names of members to skip. It is passed only when the request itself is a
        retry; such a request adds no tokens to the retry bucket.
        """
        parts = self._parts
        bucket = self.retry_bucket(req.route.service)
        if tried is None:
            bucket.record_first_attempt()
        tried = set() if tried is None else tried
        key = shed_key(req.priority, req.root_id, req.depth)
        earlier_unknown: Unknown | None = None
        while True:
            member = self._choose_member(req, key, tried)
            if isinstance(member, NotRun):
                return earlier_unknown or member
            attempt = await self._try_member(member, req, escrow)
            if isinstance(attempt.outcome, Unknown):
                earlier_unknown = attempt.outcome
            expected_time = self._service_times.get(_route_key(req.route), 0.0)
            ctx = RetryContext(req.route.idempotent, req.priority, req.deadline, expected_time)
            if not take_retry(attempt.outcome, ctx, escrow, bucket, parts.clock):
                not_run = isinstance(attempt.outcome, NotRun)
                return earlier_unknown if earlier_unknown and not_run else attempt.outcome
            self.retries_sent += 1
            tried.add(member.name)

    async def retry_elsewhere(self, call: Call, escrow: Escrow, deadline: Deadline) -> Outcome:
        """Retry a call at another instance after the own instance refused it.

        The call is sent without a grant, so this node must own the request's grant.
        """
        bucket = self.retry_bucket(call.service)
        if escrow.balance == 0 or not bucket.spend(call.priority):
            return NotRun(Reason.SHED, CLOSED_RETRY_AFTER)
        route = self._parts.settings().services[call.service].get_route(call.route)
        assert route is not None
        req = OutgoingRequest.from_call(call, route, deadline)
        tried = {self._parts.own_name}
        key = shed_key(call.priority, call.root_id, call.depth)
        if isinstance(self._choose_member(req, key, tried), NotRun):
            return NotRun(Reason.SHED, CLOSED_RETRY_AFTER)
        escrow.spend()
        self.retries_sent += 1
        return await self.send(req, escrow, tried)

    async def send_granted(
        self, req: OutgoingRequest, grant: str, owner: Member, escrow: Escrow
    ) -> AttemptResult:
        """Send a request with a grant to the owner of the grant; it is not retried elsewhere."""
        return await self._try_member(owner, req, escrow, grant)

    async def request_grant(
        self, route: RouteSettings, key: float, idempotency_key: str
    ) -> GrantReply:
        """Request a grant from up to three instances of a service, one after another.

        A grant request runs nothing at the instance, so it can always be retried.
        """
        parts = self._parts
        reply = GrantReply("", Reason.NO_INSTANCE.value, NO_INSTANCE_RETRY_AFTER, 0.0, 0.0)
        tried: set[str] = set()
        for _ in range(3):
            members = parts.directory.members_of(route.service)
            pool = parts.router.candidates(members, tried)
            member = self._choose_grant_owner(pool, route, key, idempotency_key)
            if member is None:
                return reply
            tried.add(member.name)
            grant_request = GrantRequest(
                member.session, route.service, route.name, idempotency_key, key
            )
            reply = await self._request_grant_from(member, grant_request, reply)
            if reply.grant:
                return reply
        return reply

    def lowest_admission_level(self, service: str) -> float:
        """Return the lowest admission level among the instances of a service.

        The level of an instance is the highest over all its routes.
        """
        members = self._parts.directory.members_of(service)
        candidates = self._parts.router.candidates(members, set())
        return min((self._parts.levels.highest_level(m.name) for m in candidates), default=0.0)

    def retry_bucket(self, service: str) -> RetryTokenBucket:
        """Return the retry token bucket of a service, updated to the current ratio."""
        settings = self._parts.settings().services.get(service)
        configured_ratio = settings.retry_ratio if settings else 0.0
        bucket = self._retry_buckets.setdefault(service, RetryTokenBucket(configured_ratio))
        bucket.ratio = configured_ratio
        return bucket

    def _choose_member(self, req: OutgoingRequest, key: float, tried: set[str]) -> Member | NotRun:
        parts = self._parts
        members = parts.directory.members_of(req.route.service)
        candidates = parts.router.candidates(members, tried)
        if not candidates:
            return NotRun(Reason.NO_INSTANCE, NO_INSTANCE_RETRY_AFTER)
        route = _route_key(req.route)
        if parts.router.all_refuse(candidates, route, key) and not parts.levels.allow_probe():
            return NotRun(Reason.SHED, CLOSED_RETRY_AFTER)
        member = parts.router.pick(candidates, route, key)
        assert member is not None
        return member

    async def _try_member(
        self, member: Member, req: OutgoingRequest, escrow: Escrow, grant: str = ""
    ) -> AttemptResult:
        parts = self._parts
        lent = escrow.lend()
        call = self._build_call(member, req, lent, grant)
        self.attempts_sent += 1
        parts.router.begin(member.name)
        try:
            attempt = await self._exchange(member, call, req.deadline)
        finally:
            parts.router.end(member.name)
        self._record_result(member, req.route, attempt)
        escrow.restore(lent, attempt.unspent)
        return attempt

    def _build_call(self, member: Member, req: OutgoingRequest, lent: int, grant: str) -> Call:
        budget = req.deadline.remaining(self._parts.clock)
        return Call(
            session=member.session,
            attempt_id=self._parts.rng.randbytes(ATTEMPT_ID_BYTES),
            root_id=req.root_id,
            service=req.route.service,
            route=req.route.name,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            digest=req.digest,
            priority=req.priority,
            depth=req.depth,
            budget=budget,
            wall_deadline=self._parts.clock.time() + budget,
            allowance=lent,
            grant=grant,
        )

    async def _exchange(self, member: Member, call: Call, deadline: Deadline) -> AttemptResult:
        parts = self._parts
        if member.name == parts.own_name:
            return await parts.run_here(call)
        try:
            timeout = max(0.0, call.budget) + ANSWER_GRACE
            reply = await parts.peers.request(member, call, timeout)
            if not isinstance(reply, Reply) or reply.attempt_id != call.attempt_id:
                raise BadMessage("the reply is not to this request; it is dropped")
            return attempt_from_reply(reply)
        except PeerUnreachable:
            return self._unreachable(call)
        except (PeerLost, BadMessage) as exc:
            return AttemptResult(await self._outcome_after_loss(member, call, str(exc)))
        except asyncio.CancelledError:
            self._revoke_in_background(member, call)
            raise

    def _unreachable(self, call: Call) -> AttemptResult:
        if call.grant:
            # This copy was not sent, but another copy under the same grant may have run.
            return AttemptResult(
                Unknown("the grant's owner cannot be reached; repeat it later", 1.0)
            )
        return AttemptResult(NotRun(Reason.UPSTREAM_UNREACHABLE, 0.2), call.allowance)

    async def _outcome_after_loss(self, member: Member, call: Call, cause: str) -> Outcome:
        """Revoke an attempt without a reply; the acknowledgement proves that it did not run."""
        try:
            answer = await self._parts.peers.request(member, self._revocation(call), REVOKE_TIMEOUT)
        except (PeerUnreachable, PeerLost, BadMessage):
            return Unknown(cause)
        if isinstance(answer, Revoked) and answer.not_run and not call.grant:
            return NotRun(Reason.REVOKED, 0.2)
        return Unknown(cause)

    def _revoke_in_background(self, member: Member, call: Call) -> None:
        request = self._parts.peers.request(member, self._revocation(call), REVOKE_TIMEOUT)
        task = asyncio.ensure_future(request)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    def _revocation(self, call: Call) -> Revoke:
        return Revoke(call.session, call.attempt_id, max(0.0, call.budget))

    def _record_result(self, member: Member, route: RouteSettings, attempt: AttemptResult) -> None:
        parts = self._parts
        match attempt.outcome:
            case Unknown():
                parts.ejection.record_attempt(member.name, failed=True)
                return
            case NotRun(reason):
                if reason in (Reason.UPSTREAM_UNREACHABLE, Reason.REVOKED):
                    parts.ejection.record_attempt(member.name, failed=True)
                    return
            case _:
                parts.ejection.record_attempt(member.name, failed=False)
        parts.levels.update(member.name, _route_key(route), attempt.level, attempt.load)
        if attempt.service_time:
            self._service_times[_route_key(route)] = attempt.service_time

    async def _request_grant_from(
        self, member: Member, grant_request: GrantRequest, previous_reply: GrantReply
    ) -> GrantReply:
        if member.name == self._parts.own_name:
            return self._parts.grant_here(grant_request)
        try:
            reply = await self._parts.peers.request(member, grant_request, GRANT_TIMEOUT)
        except (PeerUnreachable, PeerLost, BadMessage):
            self._parts.ejection.record_attempt(member.name, failed=True)
            return previous_reply
        if not isinstance(reply, GrantReply):
            return previous_reply
        route = f"{grant_request.service}/{grant_request.route}"
        self._parts.levels.update(member.name, route, reply.level, reply.load)
        return reply

    def _choose_grant_owner(
        self, pool: list[Member], route: RouteSettings, key: float, idempotency_key: str
    ) -> Member | None:
        if not idempotency_key:
            return self._parts.router.pick(pool, _route_key(route), key)
        # Rendezvous hashing: with the same view of the members, every ingress chooses the same
        # owner for an idempotency key.
        return max(pool, key=lambda m: _rendezvous_weight(m.name, idempotency_key), default=None)


def _route_key(route: RouteSettings) -> str:
    return f"{route.service}/{route.name}"


def _rendezvous_weight(node: str, key: str) -> int:
    return hash64(f"{node}\0{key}")

"""The caller's side of a request: choose an instance, try it, perhaps try another.

A request that any attempt may have run is never reported as `NotRun`: one `Unknown` among the
attempts stays with the request, whatever the later ones say.
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
from thorntray.internal.connection.reply import attempt_from
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.levels import LevelTable
from thorntray.internal.overload.routing import Router
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.order import shed_key
from thorntray.internal.request.outcome import Attempt, NotRun, Outcome, Reason, Unknown
from thorntray.internal.request.retry import RetryContext, RetryRatio, take_retry
from thorntray.internal.version.settings import RouteSettings, Settings

ANSWER_GRACE = 0.03  # seconds past the deadline in which the owner's own answer may arrive
REVOKE_WAIT = 0.05  # seconds to wait for the acknowledgement of a revocation
GRANT_WAIT = 0.5  # seconds to wait for a grant
CLOSED_RETRY_AFTER = 0.3  # seconds, when every instance is known to refuse
NO_INSTANCE_RETRY_AFTER = 1.0  # seconds
ATTEMPT_ID_BYTES = 16


class Peers(Protocol):
    """Request and reply with other nodes."""

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Return the reply.

        Raises `PeerUnreachable` when nothing was sent, `PeerLost` when the connection ended or
        the time was up after sending, `BadMessage` for a garbled reply.
        """
        ...


class Directory(Protocol):
    """Who is there."""

    def members_of(self, service: str) -> list[Member]:
        """Return the members whose instance serves a service."""
        ...

    def find(self, name: str) -> Member | None:
        """Return a member by its name."""
        ...


class Outgoing(NamedTuple):
    """A request to be sent, before an instance is chosen."""

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
        """Return the request of a call, to be sent on."""
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
    """What the caller's side is made of; all of it lives as long as the process."""

    own_name: str
    run_here: Callable[[Call], Awaitable[Attempt]]
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
    """Sends requests to the nodes of a service."""

    def __init__(self, parts: OutboundParts) -> None:
        self._parts = parts
        self._ratios: dict[str, RetryRatio] = {}
        self._service_times: dict[str, float] = {}
        self.attempts_sent = 0
        self.retries_sent = 0

    async def send(self, req: Outgoing, escrow: Escrow, tried: set[str] | None = None) -> Outcome:
        """Return the outcome of a request that needs no grant at its owner."""
        parts = self._parts
        ratio = self.ratio(req.route.service)
        if tried is None:
            ratio.first_attempt()
        tried = set() if tried is None else tried
        key = shed_key(req.priority, req.root_id, req.depth)
        maybe_ran: Unknown | None = None
        while True:
            member = self._choose(req, key, tried)
            if isinstance(member, NotRun):
                return maybe_ran or member
            attempt = await self._try_member(member, req, escrow)
            if isinstance(attempt.outcome, Unknown):
                maybe_ran = attempt.outcome
            expected_time = self._service_times.get(_key(req.route), 0.0)
            ctx = RetryContext(req.route.idempotent, req.priority, req.deadline, expected_time)
            if not take_retry(attempt.outcome, ctx, escrow, ratio, parts.clock):
                not_run = isinstance(attempt.outcome, NotRun)
                return maybe_ran if maybe_ran and not_run else attempt.outcome
            self.retries_sent += 1
            tried.add(member.name)

    async def elsewhere(self, call: Call, escrow: Escrow, deadline: Deadline) -> Outcome:
        """Try a refused call at another instance; the caller has the right to run it once."""
        ratio = self.ratio(call.service)
        if escrow.balance == 0 or not ratio.spend(call.priority):
            return NotRun(Reason.SHED, CLOSED_RETRY_AFTER)
        route = self._parts.settings().services[call.service].route_named(call.route)
        assert route is not None
        req = Outgoing.from_call(call, route, deadline)
        tried = {self._parts.own_name}
        key = shed_key(call.priority, call.root_id, call.depth)
        if isinstance(self._choose(req, key, tried), NotRun):
            return NotRun(Reason.SHED, CLOSED_RETRY_AFTER)
        escrow.spend()
        self.retries_sent += 1
        return await self.send(req, escrow, tried)

    async def send_granted(
        self, req: Outgoing, grant: str, owner: Member, escrow: Escrow
    ) -> Attempt:
        """Send a request with a grant to its owner, and nowhere else."""
        return await self._try_member(owner, req, escrow, grant)

    async def ask_grant(self, route: RouteSettings, key: float, idempotency_key: str) -> GrantReply:
        """Ask instances of a service for a grant; nothing runs, so asking again is safe."""
        parts = self._parts
        reply = GrantReply("", Reason.NO_INSTANCE.value, NO_INSTANCE_RETRY_AFTER, 0.0, 0.0)
        tried: set[str] = set()
        for _ in range(3):
            members = parts.directory.members_of(route.service)
            pool = parts.router.candidates(members, tried)
            member = self._grant_owner(pool, route, key, idempotency_key)
            if member is None:
                return reply
            tried.add(member.name)
            ask = GrantRequest(member.session, route.service, route.name, idempotency_key, key)
            reply = await self._ask_one(member, ask, reply)
            if reply.grant:
                return reply
        return reply

    def level_of(self, service: str) -> float:
        """Return the lowest level at which any instance of a service admits."""
        members = self._parts.directory.members_of(service)
        candidates = self._parts.router.candidates(members, set())
        return min((self._parts.levels.highest_level(m.name) for m in candidates), default=0.0)

    def ratio(self, service: str) -> RetryRatio:
        """Return the retry bucket of a service, with the ratio now in force."""
        settings = self._parts.settings().services.get(service)
        wanted = settings.retry_ratio if settings else 0.0
        ratio = self._ratios.setdefault(service, RetryRatio(wanted))
        ratio.ratio = wanted
        return ratio

    def _choose(self, req: Outgoing, key: float, tried: set[str]) -> Member | NotRun:
        parts = self._parts
        members = parts.directory.members_of(req.route.service)
        candidates = parts.router.candidates(members, tried)
        if not candidates:
            return NotRun(Reason.NO_INSTANCE, NO_INSTANCE_RETRY_AFTER)
        route = _key(req.route)
        if parts.router.all_refuse(candidates, route, key) and not parts.levels.allow_probe():
            return NotRun(Reason.SHED, CLOSED_RETRY_AFTER)
        member = parts.router.pick(candidates, route, key)
        assert member is not None
        return member

    async def _try_member(
        self, member: Member, req: Outgoing, escrow: Escrow, grant: str = ""
    ) -> Attempt:
        parts = self._parts
        lent = escrow.lend()
        call = self._call(member, req, lent, grant)
        self.attempts_sent += 1
        parts.router.begin(member.name)
        try:
            attempt = await self._exchange(member, call, req.deadline)
        finally:
            parts.router.end(member.name)
        self._learn(member, req.route, attempt)
        escrow.restore(lent, attempt.unspent)
        return attempt

    def _call(self, member: Member, req: Outgoing, lent: int, grant: str) -> Call:
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

    async def _exchange(self, member: Member, call: Call, deadline: Deadline) -> Attempt:
        parts = self._parts
        if member.name == parts.own_name:
            return await parts.run_here(call)
        try:
            timeout = max(0.0, call.budget) + ANSWER_GRACE
            reply = await parts.peers.request(member, call, timeout)
            if not isinstance(reply, Reply) or reply.attempt_id != call.attempt_id:
                raise BadMessage("the reply is not to this request; it is dropped")
            return attempt_from(reply)
        except PeerUnreachable:
            return self._unreachable(call)
        except (PeerLost, BadMessage) as exc:
            return Attempt(await self._settle(member, call, str(exc)))
        except asyncio.CancelledError:
            self._revoke_unheard(member, call)
            raise

    def _unreachable(self, call: Call) -> Attempt:
        if call.grant:
            # Nothing was sent now, but another copy under this grant may have run.
            return Attempt(Unknown("the grant's owner cannot be reached; repeat it later", 1.0))
        return Attempt(NotRun(Reason.UPSTREAM_UNREACHABLE, 0.2), call.allowance)

    async def _settle(self, member: Member, call: Call, cause: str) -> Outcome:
        """Ask for a revocation, whose acknowledgement proves that nothing ran."""
        try:
            answer = await self._parts.peers.request(member, self._revocation(call), REVOKE_WAIT)
        except (PeerUnreachable, PeerLost, BadMessage):
            return Unknown(cause)
        if isinstance(answer, Revoked) and answer.not_run and not call.grant:
            return NotRun(Reason.REVOKED, 0.2)
        return Unknown(cause)

    def _revoke_unheard(self, member: Member, call: Call) -> None:
        request = self._parts.peers.request(member, self._revocation(call), REVOKE_WAIT)
        task = asyncio.ensure_future(request)
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    def _revocation(self, call: Call) -> Revoke:
        return Revoke(call.session, call.attempt_id, max(0.0, call.budget))

    def _learn(self, member: Member, route: RouteSettings, attempt: Attempt) -> None:
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
        parts.levels.update(member.name, _key(route), attempt.level, attempt.load)
        if attempt.service_time:
            self._service_times[_key(route)] = attempt.service_time

    async def _ask_one(self, member: Member, ask: GrantRequest, so_far: GrantReply) -> GrantReply:
        if member.name == self._parts.own_name:
            return self._parts.grant_here(ask)
        try:
            reply = await self._parts.peers.request(member, ask, GRANT_WAIT)
        except (PeerUnreachable, PeerLost, BadMessage):
            self._parts.ejection.record_attempt(member.name, failed=True)
            return so_far
        if not isinstance(reply, GrantReply):
            return so_far
        route = f"{ask.service}/{ask.route}"
        self._parts.levels.update(member.name, route, reply.level, reply.load)
        return reply

    def _grant_owner(
        self, pool: list[Member], route: RouteSettings, key: float, idempotency_key: str
    ) -> Member | None:
        if not idempotency_key:
            return self._parts.router.pick(pool, _key(route), key)
        # The same key leads to the same owner wherever it enters, while the view is stable.
        return max(pool, key=lambda m: _rendezvous(m.name, idempotency_key), default=None)


def _key(route: RouteSettings) -> str:
    return f"{route.service}/{route.name}"


def _rendezvous(node: str, key: str) -> int:
    return hash64(f"{node}\0{key}")

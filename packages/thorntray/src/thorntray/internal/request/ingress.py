"""Where a caller's request enters: any node, for any service.

A nested call carries the context token of its parent and inherits from it. Everything else is
a root: it gets its identity, class, deadline and retry allowance here.

A request that presents a grant is settled by the grant's owner alone. Whatever this node itself
would refuse is then reported as unknown: this copy did not run, but another one may have.
"""

import re
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from expression import Result

from thorntray.internal.connection.message import digest_of
from thorntray.internal.overload.dependencies import DependencyWaits
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.execution import Execution, ExecutionTable
from thorntray.internal.request.grant import GrantClaims, read_claims
from thorntray.internal.request.http_answer import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    GRANT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REQUEST_ID_HEADER,
    HttpAnswer,
    http_answer,
)
from thorntray.internal.request.order import shed_key
from thorntray.internal.request.outbound import Directory, Outbound, Outgoing
from thorntray.internal.request.outcome import NotRun, Outcome, Reason, Unknown
from thorntray.internal.version.settings import RouteSettings, Settings

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DEADLINE = 60.0  # seconds
MAX_HEADER_BYTES = 16 * 1024  # of all headers that are passed on
MAX_REQUEST_ID_LENGTH = 64
_DEADLINE = re.compile(r"[0-9]{1,6}")

_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "accept-encoding",
        "expect",
    }
)


class IncomingRequest(NamedTuple):
    """A caller's request; header names are in lower case."""

    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class IngressParts(NamedTuple):
    """What the entry is made of; all of it lives as long as the process."""

    service: str
    outbound: Outbound
    directory: Directory
    executions: ExecutionTable
    dependencies: DependencyWaits
    slot_limit: Callable[[], int]
    settings: Callable[[], Settings]
    clock: Clock
    rng: Random


class Refused(Exception):
    """Raised inside the ingress when a request is refused before anything is sent."""

    def __init__(self, reason: Reason, detail: str, retry_after: float = 0.0) -> None:
        super().__init__(detail)
        self.outcome = NotRun(reason, retry_after, detail)


class Ingress:
    """Takes callers' requests and answers each at once when its outcome is known."""

    def __init__(self, parts: IngressParts) -> None:
        self._parts = parts
        self.active = 0

    async def handle(self, req: IncomingRequest) -> HttpAnswer:
        """Return the answer to a request."""
        self.active += 1
        request_id = self._request_id(req)
        grant = req.headers.get(GRANT_HEADER, "")
        extra: list[tuple[str, str]] = []
        settled = not grant
        try:
            outcome = await self._settle(req, grant, extra)
            settled = True
        except Refused as exc:
            outcome = exc.outcome
        finally:
            self.active -= 1
        answer = http_answer(outcome, request_id, self._parts.rng, settled)
        answer.headers.extend(extra)
        return answer

    async def _settle(
        self, req: IncomingRequest, grant: str, extra: list[tuple[str, str]]
    ) -> Outcome:
        route = self._route(req)
        parent = self._parent(req)
        if len(req.body) > MAX_BODY_BYTES:
            raise Refused(Reason.BODY_TOO_LARGE, f"send at most {MAX_BODY_BYTES} bytes")
        if parent is not None:
            return await self._nested(req, route, parent)
        if grant:
            return await self._granted(req, route, grant)
        if not route.idempotent:
            return await self._offer_grant(req, route, extra)
        return await self._root(req, route)

    async def _root(self, req: IncomingRequest, route: RouteSettings) -> Outcome:
        root_id = self._root_id(req)
        outgoing = self._outgoing(req, route, root_id)
        return await self._parts.outbound.send(outgoing, Escrow(route.class_.retry_allowance))

    async def _offer_grant(
        self, req: IncomingRequest, route: RouteSettings, extra: list[tuple[str, str]]
    ) -> Outcome:
        idempotency_key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        key = shed_key(route.class_.priority, self._root_id(req), 0)
        reply = await self._parts.outbound.ask_grant(route, key, idempotency_key)
        if not reply.grant:
            return NotRun(Reason(reply.reason), reply.retry_after)
        extra.append((GRANT_HEADER, reply.grant))
        if reply.begun:
            return Unknown("this idempotency key has begun to run; repeat it with the grant", 0.05)
        detail = f"repeat the request with the header {GRANT_HEADER} of this answer"
        return NotRun(Reason.GRANT_NEEDED, 0.001, detail)

    async def _granted(self, req: IncomingRequest, route: RouteSettings, grant: str) -> Outcome:
        claims: Result[GrantClaims, Exception] = read_claims(grant)
        match claims:
            case Result(tag="error", error=exc):
                raise Refused(Reason.GRANT_REJECTED, str(exc))
            case Result(tag="ok", ok=found):
                pass
        if (found.service, found.route) != (route.service, route.name):
            text = f"the grant is for {found.service}/{found.route}; ask for one for this route"
            raise Refused(Reason.GRANT_REJECTED, text)
        owner = self._parts.directory.find(found.owner)
        if owner is None or owner.session != found.session:
            return Unknown("the grant's owner is gone; check before asking for a new grant")
        outgoing = self._outgoing(req, route, found.grant_id)
        escrow = Escrow(route.class_.retry_allowance)
        attempt = await self._parts.outbound.send_granted(outgoing, grant, owner, escrow)
        return attempt.outcome

    async def _nested(
        self, req: IncomingRequest, route: RouteSettings, parent: Execution
    ) -> Outcome:
        if parent.idempotent and not route.idempotent:
            raise Refused(
                Reason.IDEMPOTENT_PARENT,
                f"{parent.route} is idempotent but calls {route.service}/{route.name}, which is "
                f"not; set routes/{parent.route}/idempotent = no",
            )
        waits = self._parts.dependencies
        service = self._parts.settings().services.get(self._parts.service)
        share = service.dependency_share if service else 1.0
        if waits.share_used_up(route.service, share, self._parts.slot_limit()):
            raise Refused(Reason.DEPENDENCY_SHARE, "too many requests wait on this service", 0.2)
        outgoing = self._outgoing(req, route, parent.root_id)._replace(
            priority=parent.priority,
            depth=parent.depth + 1,
            deadline=self._nested_deadline(req, parent),
        )
        waits.begin(route.service)
        parent.nested_begin(self._parts.clock)
        try:
            return await self._parts.outbound.send(outgoing, parent.escrow)
        finally:
            parent.nested_end(self._parts.clock)
            waits.end(route.service)

    def _route(self, req: IncomingRequest) -> RouteSettings:
        settings: Settings = self._parts.settings()
        if not settings.services:
            raise Refused(Reason.NOT_READY, "this node has no settings yet; try another", 1.0)
        service = settings.services.get(req.service)
        if service is None:
            raise Refused(Reason.UNKNOWN_SERVICE, f"no team declares a service {req.service!r}")
        route = service.route_for(req.method, req.path)
        if route is None:
            raise Refused(
                Reason.UNKNOWN_ROUTE,
                f"{req.service} declares no route for {req.method} {req.path[:80]}; "
                f"add a section [routes/{req.service}/...]",
            )
        return route

    def _parent(self, req: IncomingRequest) -> Execution | None:
        token = req.headers.get(CONTEXT_HEADER)
        if token is None:
            return None
        parent = self._parts.executions.find(token)
        if parent is None:
            raise Refused(Reason.CALLER_GONE, "the calling request is over; nobody waits for this")
        return parent

    def _outgoing(self, req: IncomingRequest, route: RouteSettings, root_id: bytes) -> Outgoing:
        return Outgoing(
            route=route,
            method=req.method,
            path=req.path,
            headers=self._headers(req),
            body=req.body,
            digest=digest_of(req.body),
            root_id=root_id,
            priority=route.class_.priority,
            depth=0,
            deadline=Deadline.after(self._budget(req, route.class_.deadline), self._parts.clock),
        )

    def _nested_deadline(self, req: IncomingRequest, parent: Execution) -> Deadline:
        own = Deadline.after(self._budget(req, MAX_DEADLINE), self._parts.clock)
        return min(own, parent.deadline)

    def _budget(self, req: IncomingRequest, default: float) -> float:
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return default
        if not _DEADLINE.fullmatch(text) or not 0 < int(text) <= MAX_DEADLINE * 1000:
            raise Refused(
                Reason.BAD_REQUEST,
                f"{DEADLINE_HEADER}: {text[:40]!r} is no time; write milliseconds from 1 to "
                f"{MAX_DEADLINE * 1000:.0f}",
            )
        return int(text) / 1000

    def _headers(self, req: IncomingRequest) -> tuple[tuple[str, str], ...]:
        passed = tuple(
            (name, value)
            for name, value in req.headers.items()
            if name not in _HOP_HEADERS and not name.startswith("thorntray-")
        )
        if sum(len(name) + len(value) for name, value in passed) > MAX_HEADER_BYTES:
            raise Refused(Reason.BAD_REQUEST, f"send at most {MAX_HEADER_BYTES} bytes of headers")
        return passed

    def _root_id(self, req: IncomingRequest) -> bytes:
        # A client's repeat keeps its rank, so that repeating does not draw a better one.
        idempotency_key = req.headers.get(IDEMPOTENCY_KEY_HEADER)
        return idempotency_key.encode() if idempotency_key else self._parts.rng.randbytes(16)

    def _request_id(self, req: IncomingRequest) -> str:
        given = req.headers.get(REQUEST_ID_HEADER, "")
        if given and given.isascii() and given.isprintable():
            return given[:MAX_REQUEST_ID_LENGTH]
        return self._parts.rng.randbytes(8).hex()

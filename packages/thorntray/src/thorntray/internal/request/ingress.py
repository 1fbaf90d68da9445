"""Entry point for callers' requests: any node accepts requests for any service.

A nested call carries the context token of its parent request and inherits its root ID, priority,
deadline and retry allowance. Any other request is a root: its ID, priority, deadline and retry
allowance are assigned here.

Only the owner of a grant can prove that a request with this grant did not run. If the ingress
refuses such a request itself, it reports `unknown`: this copy did not run, but another may have.
"""

import re
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from expression import Result

from thorntray.internal.connection.message import body_digest
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
from thorntray.internal.request.outbound import Directory, Outbound, OutgoingRequest
from thorntray.internal.request.outcome import NotRun, Outcome, Reason, Unknown
from thorntray.internal.version.settings import RouteSettings, Settings

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_DEADLINE = 60.0  # seconds
MAX_HEADER_BYTES = 16 * 1024  # names and values of all forwarded headers together
MAX_REQUEST_ID_LENGTH = 64
_DEADLINE_PATTERN = re.compile(r"[0-9]{1,6}")  # milliseconds

# Hop-by-hop headers and others that concern only the exchange between the caller and this node.
_NOT_FORWARDED_HEADERS = frozenset(
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
    """A caller's HTTP request; header names are in lower case."""

    service: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class IngressParts(NamedTuple):
    """Components that `Ingress` uses; all of them live as long as the process.

    `service` is the service of the own instance, `slot_limit` returns its concurrency limit.
    """

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
    """Raised when the ingress refuses a request before it sends anything to another node."""

    def __init__(self, reason: Reason, detail: str, retry_after: float = 0.0) -> None:
        super().__init__(detail)
        self.outcome = NotRun(reason, retry_after, detail)


class Ingress:
    """Handles callers' requests. `active` is the number of requests in progress."""

    def __init__(self, parts: IngressParts) -> None:
        self._parts = parts
        self.active = 0

    async def handle(self, req: IncomingRequest) -> HttpAnswer:
        """Run a request and return the HTTP answer for its outcome."""
        self.active += 1
        request_id = self._request_id(req)
        grant = req.headers.get(GRANT_HEADER, "")
        extra_headers: list[tuple[str, str]] = []
        not_run_proven = not grant
        try:
            outcome = await self._process(req, grant, extra_headers)
            not_run_proven = True
        except Refused as exc:
            outcome = exc.outcome
        finally:
            self.active -= 1
        answer = http_answer(outcome, request_id, self._parts.rng, not_run_proven)
        answer.headers.extend(extra_headers)
        return answer

    async def _process(
        self, req: IncomingRequest, grant: str, extra_headers: list[tuple[str, str]]
    ) -> Outcome:
        route = self._find_route(req)
        parent = self._find_parent(req)
        if len(req.body) > MAX_BODY_BYTES:
            raise Refused(Reason.BODY_TOO_LARGE, f"send at most {MAX_BODY_BYTES} bytes")
        if parent is not None:
            return await self._send_nested(req, route, parent)
        if grant:
            return await self._send_granted(req, route, grant)
        if not route.idempotent:
            return await self._offer_grant(req, route, extra_headers)
        return await self._send_root(req, route)

    async def _send_root(self, req: IncomingRequest, route: RouteSettings) -> Outcome:
        root_id = self._root_id(req)
        outgoing = self._build_outgoing(req, route, root_id)
        return await self._parts.outbound.send(outgoing, Escrow(route.class_.retry_allowance))

    async def _offer_grant(
        self, req: IncomingRequest, route: RouteSettings, extra_headers: list[tuple[str, str]]
    ) -> Outcome:
        idempotency_key = req.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        key = shed_key(route.class_.priority, self._root_id(req), 0)
        reply = await self._parts.outbound.request_grant(route, key, idempotency_key)
        if not reply.grant:
            return NotRun(Reason(reply.reason), reply.retry_after)
        extra_headers.append((GRANT_HEADER, reply.grant))
        if reply.begun:
            return Unknown("this idempotency key has begun to run; repeat it with the grant", 0.05)
        detail = f"repeat the request with the header {GRANT_HEADER} of this answer"
        return NotRun(Reason.GRANT_NEEDED, 0.001, detail)

    async def _send_granted(
        self, req: IncomingRequest, route: RouteSettings, grant: str
    ) -> Outcome:
        decoded: Result[GrantClaims, Exception] = read_claims(grant)
        match decoded:
            case Result(tag="error", error=exc):
                raise Refused(Reason.GRANT_REJECTED, str(exc))
            case Result(tag="ok", ok=claims):
                pass
        if (claims.service, claims.route) != (route.service, route.name):
            text = f"the grant is for {claims.service}/{claims.route}; ask for one for this route"
            raise Refused(Reason.GRANT_REJECTED, text)
        owner = self._parts.directory.find(claims.owner)
        if owner is None or owner.session != claims.session:
            return Unknown("the grant's owner is gone; check before asking for a new grant")
        outgoing = self._build_outgoing(req, route, claims.grant_id)
        escrow = Escrow(route.class_.retry_allowance)
        attempt = await self._parts.outbound.send_granted(outgoing, grant, owner, escrow)
        return attempt.outcome

    async def _send_nested(
        self, req: IncomingRequest, route: RouteSettings, parent: Execution
    ) -> Outcome:
        if parent.idempotent and not route.idempotent:
            raise Refused(
                Reason.IDEMPOTENT_PARENT,
                f"{parent.route} is idempotent but calls {route.service}/{route.name}, which is "
                f"not; set routes/{parent.route}/idempotent = no",
            )
        dependency_waits = self._parts.dependencies
        service = self._parts.settings().services.get(self._parts.service)
        share = service.dependency_share if service else 1.0
        if dependency_waits.share_used_up(route.service, share, self._parts.slot_limit()):
            raise Refused(Reason.DEPENDENCY_SHARE, "too many requests wait on this service", 0.2)
        outgoing = self._build_outgoing(req, route, parent.root_id)._replace(
            priority=parent.priority,
            depth=parent.depth + 1,
            deadline=self._nested_deadline(req, parent),
        )
        dependency_waits.begin(route.service)
        parent.nested_begin(self._parts.clock)
        try:
            return await self._parts.outbound.send(outgoing, parent.escrow)
        finally:
            parent.nested_end(self._parts.clock)
            dependency_waits.end(route.service)

    def _find_route(self, req: IncomingRequest) -> RouteSettings:
        settings: Settings = self._parts.settings()
        if not settings.services:
            raise Refused(Reason.NOT_READY, "this node has no settings yet; try another", 1.0)
        service = settings.services.get(req.service)
        if service is None:
            raise Refused(Reason.UNKNOWN_SERVICE, f"no team declares a service {req.service!r}")
        route = service.match_route(req.method, req.path)
        if route is None:
            raise Refused(
                Reason.UNKNOWN_ROUTE,
                f"{req.service} declares no route for {req.method} {req.path[:80]}; "
                f"add a section [routes/{req.service}/...]",
            )
        return route

    def _find_parent(self, req: IncomingRequest) -> Execution | None:
        token = req.headers.get(CONTEXT_HEADER)
        if token is None:
            return None
        parent = self._parts.executions.find(token)
        if parent is None:
            raise Refused(
                Reason.CALLER_FINISHED, "the calling request is over; nobody waits for this"
            )
        return parent

    def _build_outgoing(
        self, req: IncomingRequest, route: RouteSettings, root_id: bytes
    ) -> OutgoingRequest:
        return OutgoingRequest(
            route=route,
            method=req.method,
            path=req.path,
            headers=self._forwarded_headers(req),
            body=req.body,
            digest=body_digest(req.body),
            root_id=root_id,
            priority=route.class_.priority,
            depth=0,
            deadline=Deadline.after(
                self._time_budget(req, route.class_.deadline), self._parts.clock
            ),
        )

    def _nested_deadline(self, req: IncomingRequest, parent: Execution) -> Deadline:
        own = Deadline.after(self._time_budget(req, MAX_DEADLINE), self._parts.clock)
        return min(own, parent.deadline)

    def _time_budget(self, req: IncomingRequest, default: float) -> float:
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return default
        if not _DEADLINE_PATTERN.fullmatch(text) or not 0 < int(text) <= MAX_DEADLINE * 1000:
            raise Refused(
                Reason.BAD_REQUEST,
                f"{DEADLINE_HEADER}: {text[:40]!r} is no time; write milliseconds from 1 to "
                f"{MAX_DEADLINE * 1000:.0f}",
            )
        return int(text) / 1000

    def _forwarded_headers(self, req: IncomingRequest) -> tuple[tuple[str, str], ...]:
        forwarded = tuple(
            (name, value)
            for name, value in req.headers.items()
            if name not in _NOT_FORWARDED_HEADERS and not name.startswith("thorntray-")
        )
        if sum(len(name) + len(value) for name, value in forwarded) > MAX_HEADER_BYTES:
            raise Refused(Reason.BAD_REQUEST, f"send at most {MAX_HEADER_BYTES} bytes of headers")
        return forwarded

    def _root_id(self, req: IncomingRequest) -> bytes:
        # The shed key is derived from the root ID. A client's retry with the same idempotency key
        # keeps its shed key, so a client cannot retry to get a better one.
        idempotency_key = req.headers.get(IDEMPOTENCY_KEY_HEADER)
        return idempotency_key.encode() if idempotency_key else self._parts.rng.randbytes(16)

    def _request_id(self, req: IncomingRequest) -> str:
        given = req.headers.get(REQUEST_ID_HEADER, "")
        if given and given.isascii() and given.isprintable():
            return given[:MAX_REQUEST_ID_LENGTH]
        return self._parts.rng.randbytes(8).hex()

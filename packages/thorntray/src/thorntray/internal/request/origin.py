"""Entry point for requests at their origin: the node that received them from a caller or instance.

Parses the relevant header fields, looks up the route in the current policy and starts an
`OriginRequest`. Requests that arrive before any policy, have invalid fields, match no route, come
from a caller that may not call, or exceed the quota of its workspace are answered here.
"""

from typing import NamedTuple

from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.header_names import FieldClassifier, FieldKind
from thorntray.internal.connection.http_request import Header
from thorntray.internal.overload.call_parents import CallSender
from thorntray.internal.request.caller_identity import IdentityRefusal
from thorntray.internal.request.origin_context import (
    OriginContext,
    OriginDependencies,
    RequestHead,
)
from thorntray.internal.request.origin_request import STOPPING_RETRY_AFTER, OriginRequest
from thorntray.internal.request.quota_wait import QuotaReason, QuotaRefusal, WaitingRequest
from thorntray.internal.request.request_holder import Holder, holder_of_exchange
from thorntray.internal.version.policy import Policy, Route
from thorntray.internal.version.workspaces import Workspace

NO_POLICY_RETRY_AFTER = 0.5  # seconds, before jitter
UNKNOWN_CALLER_RETRY_AFTER = 0.5  # seconds, before jitter
NOT_FOUND, BAD_REQUEST, UNAUTHORIZED, TOO_MANY_REQUESTS = 404, 400, 401, 429
NO_ROUTE = "NO_ROUTE"  # reason in the log of a request that no route matches
INTERNAL_ERROR, UNAVAILABLE = 500, 503
_CHALLENGE = b"WWW-Authenticate: Bearer\r\n"


_IDENTITY_FIELDS = frozenset({FieldKind.AUTHORIZATION, FieldKind.WORKSPACE})


class InvalidRequestHead(Exception):
    """Raised for missing or malformed header fields."""


class RoutedHead(NamedTuple):
    """The head of a request with its route; `repeatable` if it may be refused before others."""

    head: RequestHead
    route: Route
    repeatable: bool


class Origin:
    """Handles requests from callers and from this node's own instance."""

    def __init__(self, deps: OriginDependencies) -> None:
        self._context = OriginContext(deps)
        self._deps = deps
        names = deps.names
        self._fields = FieldClassifier(
            {
                b"Connection": FieldKind.CONNECTION,
                b"Host": FieldKind.HOST,
                names.request_id: FieldKind.REQUEST_ID,
                names.deadline_ms: FieldKind.DEADLINE,
                names.expected_instance: FieldKind.DROPPED,
                names.caller_service: FieldKind.DROPPED,
                b"Authorization": FieldKind.AUTHORIZATION,
                names.workspace: FieldKind.WORKSPACE,
            }
        )

    def handle(self, exchange: Exchange) -> None:
        """Start a request; the exchange is answered when the request has finished."""
        policy = self._deps.policy()
        if policy is None:
            self._refuse(exchange, UNAVAILABLE, NO_POLICY_RETRY_AFTER)
            return
        try:
            head = self.read_head(exchange.request.headers, bool(policy.workspaces))
        except InvalidRequestHead:
            self._refuse(exchange, BAD_REQUEST)
            return
        route = _find_route(policy, head, exchange.request.target)
        if route is None:
            self._deps.on_refused(head, None, NO_ROUTE)
            self._refuse(exchange, NOT_FOUND)
            return
        caller = self._identify(exchange, policy, head, route)
        if isinstance(caller, IdentityRefusal):
            self._refuse_caller(exchange, head, route, caller)
            return
        if caller is not None and caller.limited:
            self._start_within_quota(exchange, head, route, caller)
        else:
            self._start(OriginRequest(self._context, exchange, head, route, caller))

    def look_up(self, target: bytes, headers: list[tuple[bytes, bytes]]) -> RoutedHead | None:
        """Return what is known of a request from its head, None if it will be refused."""
        policy = self._deps.policy()
        if policy is None:
            return None
        try:
            head = self.read_head(headers)
        except InvalidRequestHead:
            return None
        route = _find_route(policy, head, target)
        if route is None:
            return None
        # The request that a call belongs to has been accepted and would fail with it.
        repeatable = route.idempotent and self._context.find_parent(head) is None
        return RoutedHead(head, route, repeatable)

    def retry_after_line(self, seconds: float) -> bytes:
        """Return the Retry-After header line for `seconds` plus jitter."""
        return self._context.retry_after_line(seconds)

    def _start(self, request: OriginRequest) -> None:
        try:
            request.start()
        except Exception:
            self._context.active.discard(request)
            raise

    def _start_within_quota(
        self, exchange: Exchange, head: RequestHead, route: Route, workspace: Workspace
    ) -> None:
        """Start a request with a token of its workspace's quota, for which it may have to wait."""
        deps, arrived_at = self._deps, self._deps.clock.monotonic()

        def start() -> None:
            request = OriginRequest(self._context, exchange, head, route, workspace, arrived_at)
            self._start(request)
            if request.refused_here:
                deps.quotas.give_back(workspace)

        def decided(refusal: QuotaRefusal | None) -> None:
            exchange.on_cancel = None
            try:
                if refusal is None:
                    start()
                else:
                    self._refuse_over_quota(exchange, head, route, refusal)
            except Exception:
                exchange.respond(INTERNAL_ERROR, b"", b"")
                raise

        if deps.quotas.take(workspace):
            start()
            return
        left = route.timeout if head.deadline is None else min(head.deadline, route.timeout)
        waiting: WaitingRequest | QuotaRefusal
        if deps.drain.admits(False, route.target_latency):
            waiting = deps.quotas.wait(workspace, decided, left)
        else:
            waiting = QuotaRefusal(QuotaReason.QUOTA_UNKNOWN, STOPPING_RETRY_AFTER)
        if isinstance(waiting, QuotaRefusal):
            self._refuse_over_quota(exchange, head, route, waiting)
        else:
            exchange.on_cancel = waiting.cancel

    def _refuse_over_quota(
        self, exchange: Exchange, head: RequestHead, route: Route, refusal: QuotaRefusal
    ) -> None:
        over = refusal.reason is QuotaReason.OVER_QUOTA
        self._refuse(exchange, TOO_MANY_REQUESTS if over else UNAVAILABLE, refusal.retry_after)
        self._deps.on_refused(head, route, refusal.reason.name)

    def _identify(
        self, exchange: Exchange, policy: Policy, head: RequestHead, route: Route
    ) -> Workspace | None | IdentityRefusal:
        local = exchange.peer_host in self._deps.own_hosts

        def sender_of_call() -> CallSender:
            return self._context.sender_of_call(head, route) if local else CallSender.OTHER

        caller = self._deps.identity.identify(policy, route, head.authorization, sender_of_call)
        if local and not head.authorization and isinstance(caller, IdentityRefusal):
            self._context.record_call(head, route)  # an accepted one is recorded at its start
        return caller

    def _refuse_caller(
        self, exchange: Exchange, head: RequestHead, route: Route, refusal: IdentityRefusal
    ) -> None:
        self._deps.on_refused(head, route, refusal.name)
        match refusal:
            case IdentityRefusal.STALE_POLICY | IdentityRefusal.UNMATCHED_CALL:
                self._refuse(exchange, UNAVAILABLE, UNKNOWN_CALLER_RETRY_AFTER)
            case IdentityRefusal.MISSING_KEY | IdentityRefusal.UNKNOWN_KEY:
                exchange.respond(UNAUTHORIZED, _CHALLENGE, b"")

    def is_nested_call(self, peer_host: str, target: bytes, headers: list[Header]) -> bool:
        """Return whether a request comes from the own instance for one that it is running."""
        policy, context = self._deps.policy(), self._context
        if policy is None or peer_host not in self._deps.own_hosts:
            return False
        try:
            head = self.read_head(headers, bool(policy.workspaces))
        except InvalidRequestHead:
            return False
        if context.find_parent(head) is not None:
            return True
        route = _find_route(policy, head, target)
        return route is not None and context.nested_routes.is_nested(route.name)

    def holder_of(self, exchange: Exchange) -> Holder:
        """Return who holds an exchange that has not been answered."""
        active = self._context.active
        request = next((each for each in active if each.exchange is exchange), None)
        return holder_of_exchange(exchange, request)

    def end_all(self) -> int:
        """End all requests now, as their node stops; returns their number."""
        waiting = self._deps.quotas.end_all(STOPPING_RETRY_AFTER)
        active = list(self._context.active)
        for request in active:
            request.end_for_stop()
        return waiting + len(active)

    def read_head(
        self, headers: list[tuple[bytes, bytes]], with_workspaces: bool = False
    ) -> RequestHead:
        """Parse the header fields; raises `InvalidRequestHead`.

        With workspaces, the fields that identify the caller are not forwarded.
        """
        host, request_id, deadline, connection_options = b"", b"", None, b""
        authorization: list[bytes] = []
        lines: list[bytes] = []
        for name, value in headers:
            kind = self._fields.classify(name)
            if kind is FieldKind.DROPPED:
                continue
            if kind is FieldKind.DEADLINE:
                deadline = _parse_deadline(value)
                continue
            if kind is FieldKind.CONNECTION:
                connection_options = value.lower()
                continue
            if with_workspaces and kind in _IDENTITY_FIELDS:
                if kind is FieldKind.AUTHORIZATION:
                    authorization.append(value)
                continue
            lines.append(b"%b: %b\r\n" % (name, value))
            if kind is FieldKind.HOST:
                host = value
            elif kind is FieldKind.REQUEST_ID:
                request_id = value
        if connection_options not in (b"", b"close", b"keep-alive"):
            lines = _without_connection_fields(lines, connection_options)
        if not request_id or not host:
            raise InvalidRequestHead("the Host header field or the request ID is missing")
        host = host.rpartition(b":")[0] if host.rpartition(b":")[2].isdigit() else host
        if len(authorization) > 1:
            raise InvalidRequestHead("the Authorization header field occurs more than once")
        return RequestHead(
            host.decode("latin-1"),
            request_id,
            deadline,
            b"".join(lines),
            authorization[0] if authorization else b"",
        )

    def _refuse(self, exchange: Exchange, status: int, retry_after: float = 0.0) -> None:
        lines = b""
        if retry_after:
            lines = self._context.retry_after_line(retry_after)
        exchange.respond(status, lines, b"")


def _find_route(policy: Policy, head: RequestHead, target: bytes) -> Route | None:
    path = target.partition(b"?")[0].decode("latin-1")
    return policy.find_route(head.host, path)


def _without_connection_fields(lines: list[bytes], connection_options: bytes) -> list[bytes]:
    """Return the header lines without the fields that the Connection field lists."""
    options = {part.strip() for part in connection_options.split(b",")}
    return [line for line in lines if line.partition(b":")[0].lower() not in options]


def _parse_deadline(value: bytes) -> float:
    if not value.isdigit() or len(value) > 9:
        raise InvalidRequestHead(
            "the deadline is not an integer number of milliseconds with at most 9 digits"
        )
    return int(value) / 1000

"""Entry point for requests at their origin: the node that received them from a caller or instance.

Parses the relevant header fields, looks up the route in the current policy and starts an
`OriginRequest`. Requests that arrive before any policy, have invalid fields or match no route are
answered here.
"""

from thorntray.internal.connection.header_names import FieldClassifier, FieldKind
from thorntray.internal.connection.http_server import Exchange
from thorntray.internal.request.origin_context import (
    OriginContext,
    OriginDependencies,
    RequestHead,
)
from thorntray.internal.request.origin_request import OriginRequest

NO_POLICY_RETRY_AFTER = 0.5  # seconds, before jitter
NOT_FOUND, BAD_REQUEST, UNAVAILABLE = 404, 400, 503


class InvalidRequestHead(Exception):
    """Raised for missing or malformed header fields."""


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
            }
        )

    def handle(self, exchange: Exchange) -> None:
        """Start a request; the exchange is answered when the request has finished."""
        policy = self._deps.policy()
        if policy is None:
            self._refuse(exchange, UNAVAILABLE, NO_POLICY_RETRY_AFTER)
            return
        try:
            head = self.read_head(exchange.request.headers)
        except InvalidRequestHead:
            self._refuse(exchange, BAD_REQUEST)
            return
        target = exchange.request.target
        path = target.partition(b"?")[0].decode("latin-1")
        route = policy.find_route(head.host, path)
        if route is None:
            self._refuse(exchange, NOT_FOUND)
            return
        request = OriginRequest(self._context, exchange, head, route)
        try:
            request.start()
        except Exception:
            self._context.active.discard(request)
            raise

    def end_all(self) -> int:
        """End all requests now, as their node stops; returns their number."""
        active = list(self._context.active)
        for request in active:
            request.end_for_stop()
        return len(active)

    def read_head(self, headers: list[tuple[bytes, bytes]]) -> RequestHead:
        """Parse the header fields; raises `InvalidRequestHead`."""
        host, request_id, deadline, connection_options = b"", b"", None, b""
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
        return RequestHead(host.decode("latin-1"), request_id, deadline, b"".join(lines))

    def _refuse(self, exchange: Exchange, status: int, retry_after: float = 0.0) -> None:
        lines = b""
        if retry_after:
            lines = self._context.retry_after_line(retry_after)
        exchange.respond(status, lines, b"")


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

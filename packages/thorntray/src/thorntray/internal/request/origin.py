"""The origin's side of a request: the node that a caller or an instance speaks to.

It reads what counts of the header fields, finds the route by the policy in force, and hands over to
an `OriginRequest`. What no route or policy covers is answered here, at once.
"""

from thorntray.internal.connection.header_names import FieldKind, FieldKinds
from thorntray.internal.connection.http_server import Exchange
from thorntray.internal.request.origin_request import (
    OriginContext,
    OriginParts,
    OriginRequest,
    RequestHead,
)

NO_POLICY_RETRY = 0.5  # seconds
NOT_FOUND, BAD_REQUEST, UNAVAILABLE = 404, 400, 503


class BadHead(Exception):
    """Raised for header fields that cannot be understood."""


class Origin:
    """Takes the requests of callers and of the own instance."""

    def __init__(self, parts: OriginParts) -> None:
        self._context = OriginContext(parts)
        self._parts = parts
        names = parts.names
        self._fields = FieldKinds(
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
        """Begin a request; its exchange is answered when it has ended."""
        policy = self._parts.policy()
        if policy is None:
            self._refuse(exchange, UNAVAILABLE, NO_POLICY_RETRY)
            return
        try:
            head = self.read_head(exchange.request.headers)
        except BadHead:
            self._refuse(exchange, BAD_REQUEST)
            return
        target = exchange.request.target
        path = target.partition(b"?")[0].decode("latin-1")
        route = policy.find(head.host, path)
        if route is None:
            self._refuse(exchange, NOT_FOUND)
            return
        OriginRequest(self._context, exchange, head, route).begin()

    def read_head(self, headers: list[tuple[bytes, bytes]]) -> RequestHead:
        """Return what counts of the header fields; raises `BadHead`."""
        host, request_id, deadline, named = b"", b"", None, b""
        lines: list[bytes] = []
        for name, value in headers:
            kind = self._fields.kind(name)
            if kind is FieldKind.DROPPED:
                continue
            if kind is FieldKind.DEADLINE:
                deadline = _seconds(value)
                continue
            if kind is FieldKind.CONNECTION:
                named = value.lower()
                continue
            lines.append(b"%b: %b\r\n" % (name, value))
            if kind is FieldKind.HOST:
                host = value
            elif kind is FieldKind.REQUEST_ID:
                request_id = value
        if named not in (b"", b"close", b"keep-alive"):
            lines = _without(lines, named)
        if not request_id or not host:
            raise BadHead("host or request id is missing")
        host = host.rpartition(b":")[0] if host.rpartition(b":")[2].isdigit() else host
        return RequestHead(host.decode("latin-1"), request_id, deadline, b"".join(lines))

    def _refuse(self, exchange: Exchange, status: int, retry_after: float = 0.0) -> None:
        lines = b""
        if retry_after:
            lines = self._context.retry_line(retry_after)
        exchange.answer(status, lines, b"")


def _without(lines: list[bytes], named: bytes) -> list[bytes]:
    """Return the fields that a Connection field does not bind to the connection."""
    bound = {part.strip() for part in named.split(b",")}
    return [line for line in lines if line.partition(b":")[0].lower() not in bound]


def _seconds(value: bytes) -> float:
    if not value.isdigit() or len(value) > 9:
        raise BadHead("the deadline is no whole number of milliseconds")
    return int(value) / 1000

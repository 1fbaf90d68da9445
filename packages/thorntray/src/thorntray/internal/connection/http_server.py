"""HTTP/1.1 server of a `MeshNode`: one protocol object per connection, based on `httptools`.

`uvicorn` and `starlette`, which a `Node` uses, hide what is needed here: when a caller has closed
its connection, what was read before the close, and which response must not look complete. They
also use more processor time than the rest of the request path.
"""

import asyncio
import socket
from collections.abc import Callable

from thorntray.internal.connection.accept_queue import close_listener
from thorntray.internal.connection.connection_bound import ConnectionBound
from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.http_connection import HttpServerConnection
from thorntray.internal.connection.http_request import ClosedBy, RequestLimits
from thorntray.internal.connection.listening_sockets import accept_from, bind_tcp
from thorntray.internal.connection.request_bodies import HeldBytes
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import log_handler_failure

TIMEOUT_CHECK_PERIOD = 0.5  # seconds between checks for slow and idle connections
LISTEN_BACKLOG = 1024  # connections waiting to be accepted

FINISH_POLL_PERIOD = 0.01  # seconds

ExchangeHandler = Callable[[Exchange], None]
UnansweredHandler = Callable[[Exchange, ClosedBy], None]


class HttpServer:
    """An HTTP server on one address, with its open connections and the limits for requests."""

    def __init__(self, handler: ExchangeHandler, clock: Clock) -> None:
        self.handler = handler
        self.clock = clock
        self.limits = RequestLimits()
        self.held = HeldBytes()
        self.closing = False
        self.refusing = False  # whether new connections get nothing but refusals
        self.connections: set[HttpServerConnection] = set()
        self.bound = ConnectionBound(self.connections, clock)
        self.requests_read = 0  # complete requests, since the start
        self.on_unanswered: UnansweredHandler = lambda exchange, closed_by: None
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening; raises `OSError` when the port is in use."""
        await self.serve(bind_tcp(host, port))

    async def serve(self, sock: socket.socket) -> None:
        """Start listening on a bound socket; raises `OSError` if that fails, and closes it."""
        self._server = await accept_from(sock, lambda: HttpServerConnection(self), LISTEN_BACKLOG)

    @property
    def active(self) -> int:
        """Return the number of requests whose response has not been sent."""
        return sum(len(connection.pending) for connection in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the number of response bytes that callers have not acknowledged yet."""
        return sum(connection.untaken_bytes for connection in self.connections)

    def report_unanswered(self, closed_by: ClosedBy) -> int:
        """Report every request whose response has not been sent; returns their number."""
        owed = [exchange for connection in self.connections for exchange in connection.pending]
        for exchange in owed:
            self.on_unanswered(exchange, closed_by)
        return len(owed)

    async def sweep(self) -> None:
        """Enforce the timeouts of all connections until cancelled."""
        while True:
            await asyncio.sleep(TIMEOUT_CHECK_PERIOD)
            now = self.clock.monotonic()
            for connection in list(self.connections):
                try:
                    connection.enforce_timeouts(now)
                except Exception:  # the other connections are checked all the same
                    log_handler_failure()

    async def finish(self, request_time: float, answer_time: float) -> None:
        """Stop listening, answer the requests of the connections that are open, and close them.

        Requests have `request_time` seconds to arrive; those that are incomplete by then are
        refused. Responses have `answer_time` seconds to be delivered. The times are counted in
        turns of the event loop, so that it reads what arrives while the process is paused.
        """
        self.closing = True
        server, self._server = self._server, None
        if server is not None:
            await close_listener(server, lambda: HttpServerConnection(self))
        for _ in range(max(1, round(request_time / FINISH_POLL_PERIOD))):
            await asyncio.sleep(FINISH_POLL_PERIOD)
            now = self.clock.monotonic()
            if not any(connection.expects_request(now) for connection in self.connections):
                break
        for _ in range(max(1, round(answer_time / FINISH_POLL_PERIOD))):
            for connection in list(self.connections):
                connection.finish(self.bound.refusal_lines)
            await asyncio.sleep(FINISH_POLL_PERIOD)
            if not any(connection.owes_output for connection in self.connections):
                break

    def close(self) -> None:
        """Stop listening and close idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_if_idle()

"""Open-loop callers that send requests over reused and new connections and record every attempt.

A connection is reused until the node closes it, so requests also arrive over connections that were
opened before a fault. Callers do not check whether a node is ready: they keep sending to a node
that is stopping, until its process has ended.
"""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import NamedTuple

from soak.routes import NESTED_ONLY
from standins.http_messages import read_head
from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess, RouteConfig
from standins.worker import (
    DEFAULT_BEHAVIOR,
    Endpoint,
    response_body,
    response_signature,
)

DEADLINE_MS = 4500
NEW_CONNECTION_SHARE = 0.3  # minimum share of exchanges on a new connection
ATTEMPT_TIMEOUT = 6.0  # seconds
MAX_IDLE_CONNECTIONS = 10  # to one node for one use; callers close those beyond
PIPELINED_SHARE, SLOW_READER_SHARE, SLOW_SENDER_SHARE = 0.15, 0.1, 0.1  # of the exchanges
MIN_PIPELINED, MAX_PIPELINED = 2, 4  # requests sent before the first response
LARGE_RESPONSE_SHARE = 0.5  # of the requests of slow readers
# Relative rates of the routes; 1 for those that are not listed.
ROUTE_WEIGHTS = {"reports": 0.5, "exports": 0.3}
RECEIVE_BUFFER_BYTES = 4 * 1024  # of slow readers, in the kernel
SEGMENT_BYTES = 1400  # of slow readers; the loopback default would let kernels buffer over 1 MB
MIN_SEND_PAUSE, MAX_SEND_PAUSE = 0.3, 1.5  # seconds between the parts of a slow sender's request
SLOW_READ_BYTES, SLOW_READ_PAUSE = 8 * 1024, 0.03  # bytes, and seconds after reading them


class ConnectionUse(Enum):
    """How a caller uses a connection."""

    SEQUENTIAL = "one request at a time"
    PIPELINED = "several idempotent requests are sent before the first response"
    SLOW_READER = "one request at a time; responses are read slowly"
    SLOW_SENDER = "one request at a time, sent in two parts with a pause between them"


class AttemptEnd(Enum):
    """How a request ended for its caller."""

    ANSWERED = "complete response"
    CLOSED = "connection ended before a complete response"
    TIMED_OUT = "caller gave up"
    NO_CONNECTION = "no connection could be opened"


class Attempt(NamedTuple):
    """One request of a caller and its result; times are monotonic seconds.

    `sent_at` is the start of the attempt, for slow senders the moment when the last part was sent.
    `status` is 0 unless a complete response arrived. `matches_request` is true when the response
    has the signature, the body and the id that belong to this request. `answered_at` is the end of
    the attempt, for slow readers the arrival of the response's head. `position` is the
    number of requests sent before it on its connection and not answered then. `time_limit` is in
    seconds: the longest timeout of the routes of this request and of those before it. `key` is the
    API key, empty without one. `body_bytes` is the size of a large body, 0 for the usual one.
    `read_time` is the time in seconds in which a caller of a bounded rate can read the answers.
    """

    sent_at: float
    answered_at: float
    ended_at: float
    request_id: str
    route: RouteConfig
    node: str
    boot: int
    status: int
    matches_request: bool
    end: AttemptEnd
    reused: bool
    position: int
    time_limit: float
    key: str = ""
    body_bytes: int = 0
    read_time: float = 0.0


class CallerRequest(NamedTuple):
    """A request to send."""

    request_id: str
    route: RouteConfig
    key: str = ""


class Answer(NamedTuple):
    """A complete response; times are monotonic seconds, the fields as in `Attempt`."""

    answered_at: float
    ended_at: float
    status: int
    matches_request: bool


@dataclass
class Exchange:
    """Requests that are sent together on one connection, and the answers to the first of them.

    `send_pause` is the time in seconds between the parts of a slow sender's request. `sent_at` is
    as in `Attempt`; `keep` is whether the connection may be used again.
    """

    requests: list[CallerRequest]
    send_pause: float
    sent_at: float = 0.0
    answers: list[Answer] = field(default_factory=list)
    keep: bool = False


class Connection(NamedTuple):
    """An open connection to a node."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def ended(self) -> bool:
        """Return whether the node is known to have ended the connection."""
        return self.reader.at_eof() or self.writer.is_closing()


class Callers:
    """Callers of all nodes; arrivals follow a Poisson process and do not wait for responses."""

    def __init__(
        self,
        fleet: MeshFleet,
        rng: Random,
        run_id: str,
        draw_key: Callable[[], str] = lambda: "",
    ) -> None:
        self.attempts: list[Attempt] = []
        self.rate = 60.0  # exchanges per second, over all nodes
        self._fleet = fleet
        self._rng = rng
        self._run_id = run_id
        self._draw_key = draw_key
        self._request_count = 0
        self._idle_connections: dict[tuple[str, ConnectionUse], deque[Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate))
            node = self._rng.choice(list(self._fleet.nodes.values()))
            use = self._draw_use()
            reuse = self._rng.random() > NEW_CONNECTION_SHARE
            send_pause = self._rng.uniform(MIN_SEND_PAUSE, MAX_SEND_PAUSE)
            exchange = Exchange(self._draw_requests(use), send_pause)
            task = asyncio.create_task(self._send(node, use, reuse, exchange))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_finished(self) -> None:
        """Wait for the requests in flight, at most `ATTEMPT_TIMEOUT`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=ATTEMPT_TIMEOUT)

    async def close(self) -> None:
        """Cancel the requests in flight and close all idle connections.

        A writer that is open when the event loop ends prints a traceback.
        """
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for idle in self._idle_connections.values():
            for conn in idle:
                conn.writer.close()
        self._idle_connections.clear()

    def _draw_use(self) -> ConnectionUse:
        shares = {
            ConnectionUse.PIPELINED: PIPELINED_SHARE,
            ConnectionUse.SLOW_READER: SLOW_READER_SHARE,
            ConnectionUse.SLOW_SENDER: SLOW_SENDER_SHARE,
        }
        shares[ConnectionUse.SEQUENTIAL] = 1.0 - sum(shares.values())
        return self._rng.choices(list(shares), list(shares.values()))[0]

    def _draw_requests(self, use: ConnectionUse) -> list[CallerRequest]:
        routes = [r for r in self._fleet.routes if r.name not in NESTED_ONLY]
        count = 1
        match use:
            case ConnectionUse.PIPELINED:
                count = self._rng.randint(MIN_PIPELINED, MAX_PIPELINED)
                routes = [r for r in routes if r.kind == "idempotent"]
            case ConnectionUse.SLOW_READER if self._rng.random() < LARGE_RESPONSE_SHARE:
                routes = [r for r in routes if r.name == "exports"]
        weights = [ROUTE_WEIGHTS.get(route.name, 1.0) for route in routes]
        return [self._next_request(r) for r in self._rng.choices(routes, weights, k=count)]

    def _next_request(self, route: RouteConfig) -> CallerRequest:
        self._request_count += 1
        return CallerRequest(f"{self._run_id}-{self._request_count}", route, self._draw_key())

    async def _send(
        self, node: NodeProcess, use: ConnectionUse, reuse: bool, exchange: Exchange
    ) -> None:
        """Send requests on one connection, and record an attempt for each."""
        boot, exchange.sent_at = node.boot, time.monotonic()
        unanswered_end = AttemptEnd.NO_CONNECTION
        idle = self._take_idle(node, use) if reuse else None
        conn = idle
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT):
                if conn is None:
                    conn = await connect(node.outbound, use)
                unanswered_end = AttemptEnd.CLOSED
                await self._exchange(conn, use, exchange)
        except TimeoutError:
            if conn is not None:
                unanswered_end = AttemptEnd.TIMED_OUT
        except (OSError, asyncio.IncompleteReadError):
            pass  # recorded as `unanswered_end`
        except asyncio.CancelledError:
            self._release(node, use, conn, keep=False)
            raise
        self._release(node, use, conn, exchange.keep)
        ended_at = time.monotonic()
        time_limit = 0.0
        for position, req in enumerate(exchange.requests):
            time_limit = max(time_limit, req.route.timeout)
            end, answer = unanswered_end, Answer(ended_at, ended_at, 0, False)
            if position < len(exchange.answers):
                end, answer = AttemptEnd.ANSWERED, exchange.answers[position]
            self.attempts.append(
                Attempt(
                    exchange.sent_at,
                    answer.answered_at,
                    answer.ended_at,
                    req.request_id,
                    req.route,
                    node.name,
                    boot,
                    answer.status,
                    answer.matches_request,
                    end,
                    reused=idle is not None,
                    position=position,
                    time_limit=time_limit,
                    key=req.key,
                )
            )

    def _take_idle(self, node: NodeProcess, use: ConnectionUse) -> Connection | None:
        """Return the open connection that was idle longest, None if there is none."""
        idle = self._idle_connections.get((node.name, use))
        while idle:
            conn = idle.popleft()
            if not conn.ended:
                return conn
            conn.writer.close()
        return None

    def _release(
        self, node: NodeProcess, use: ConnectionUse, conn: Connection | None, keep: bool
    ) -> None:
        idle = self._idle_connections.setdefault((node.name, use), deque())
        if conn is not None and keep and len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(conn)
        elif conn is not None:
            conn.writer.close()

    async def _exchange(self, conn: Connection, use: ConnectionUse, exchange: Exchange) -> None:
        """Send the requests and read their answers.

        After a response with `Connection: close` no further one is read.
        """
        data = b"".join(_encode_request(req) for req in exchange.requests)
        if use is ConnectionUse.SLOW_SENDER:
            conn.writer.write(data[: len(data) // 2])
            await asyncio.sleep(exchange.send_pause)
            data = data[len(data) // 2 :]
            exchange.sent_at = time.monotonic()
        conn.writer.write(data)
        for req in exchange.requests:
            status_line, headers = await read_head(conn.reader)
            answered_at = time.monotonic()
            size = int(headers.get("content-length", "0"))
            if use is ConnectionUse.SLOW_READER:
                body = await _read_slowly(conn.reader, size)
            else:
                body = await conn.reader.readexactly(size)
                answered_at = time.monotonic()
            status = int(status_line.split(" ")[1])
            matches_request = self._matches(req, headers, body)
            answer = Answer(answered_at, time.monotonic(), status, matches_request)
            exchange.answers.append(answer)
            if headers.get("connection") == "close":
                return
        exchange.keep = True

    def _matches(self, req: CallerRequest, headers: dict[str, str], body: bytes) -> bool:
        behavior = self._fleet.behaviors.get(req.route.path, DEFAULT_BEHAVIOR)
        return (
            body == response_body(req.request_id, behavior.body_bytes)
            and headers.get("x-response-signature") == response_signature(req.request_id)
            and headers.get("x-request-id") == req.request_id
        )


async def connect(endpoint: Endpoint, use: ConnectionUse) -> Connection:
    """Open a connection; that of a slow reader has small buffers in the kernel."""
    if use is not ConnectionUse.SLOW_READER:
        return Connection(*await asyncio.open_connection(*endpoint))
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        await asyncio.get_running_loop().sock_connect(sock, tuple(endpoint))
        return Connection(*await asyncio.open_connection(sock=sock, limit=SLOW_READ_BYTES))
    except BaseException:
        sock.close()
        raise


async def _read_slowly(reader: asyncio.StreamReader, size: int) -> bytes:
    body = b""
    while len(body) < size:
        chunk = await reader.read(min(SLOW_READ_BYTES, size - len(body)))
        if not chunk:
            raise asyncio.IncompleteReadError(body, size)
        body += chunk
        await asyncio.sleep(SLOW_READ_PAUSE)
    return body


def _encode_request(req: CallerRequest) -> bytes:
    idempotent = req.route.kind == "idempotent"
    method, body = ("GET", b"") if idempotent else ("POST", b"body")
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    key = f"Authorization: Bearer {req.key}\r\n" if req.key else ""
    head = (
        f"{method} {req.route.path} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"X-Request-Id: {req.request_id}\r\nX-Request-Deadline: {DEADLINE_MS}\r\n"
        f"{length}{key}\r\n"
    )
    return head.encode() + body

"""Load that brings nodes to the limits of their process: large bodies, answers, many connections.

All draws are from a generator of their own, so that the other load of a seed stays the same.
"""

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from soak.clients import (
    DEADLINE_MS,
    Answer,
    Attempt,
    AttemptEnd,
    CallerRequest,
    Callers,
    Connection,
    ConnectionUse,
    connect,
)
from soak.plan import Fault, FaultKind
from standins.http_messages import read_head
from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess, RouteConfig
from standins.worker import (
    BODY_BYTES_HEADER,
    SIZE_QUERY,
    response_body,
    response_signature,
)

SIZES_RATE = 12.0  # requests a second, of the fault `SIZES`, over all nodes
MIN_BODY, MAX_BODY = 4, 1_000_000  # bytes
MIN_ANSWER, MAX_ANSWER = 64, 4_000_000  # bytes
HUGE_SHARE, MIN_HUGE, MAX_HUGE = 0.02, 10_000_000, 30_000_000  # share of the answers, bytes
CHUNKED_SHARE = 0.5  # of the bodies
MAX_CHUNK = 60_000  # bytes
SLOW_SHARE, MIN_READ_RATE, MAX_READ_RATE = 0.4, 200_000.0, 2_000_000.0  # bytes a second
MAX_READ_TIME = 6.0  # seconds that a slow reader takes for one answer
SENDS_ON_SHARE = 0.5  # of the slow readers
MAX_SENT_ON, SEND_ON_PERIOD = 4, 0.3  # requests behind the large one, seconds between them
MIN_BURST, MAX_BURST, BURST_BODY = 100, 150, 900_000  # callers, bytes
CONNECT_PERIOD = 0.002  # seconds between the idle connections
CONNECT_TIMEOUT = 1.0  # seconds
MAX_IDLE_CONNECTIONS = 600  # to one node; the soak's own process has a limit, too
USED_SHARE = 0.1  # of the idle connections
HEAVY_TIMEOUT = 12.0  # seconds
READ_BYTES = 64 * 1024


@dataclass
class HeavyRequest:
    """A request with the sizes of its body and its answer, and when it was sent and answered."""

    request: CallerRequest
    body_bytes: int = 0
    answer_bytes: int = 256
    chunked: bool = False
    sent_at: float = 0.0
    head_at: float | None = None  # when the head of the answer arrived
    answer: Answer | None = None


@dataclass
class HeavyExchange:
    """Requests on one connection; `read_rate` in bytes a second, 0 without a bound."""

    requests: list[HeavyRequest]
    read_rate: float = 0.0
    reused: bool = False
    sent: int = 0
    unanswered_end: AttemptEnd = AttemptEnd.NO_CONNECTION
    read_until: list[float] = field(default_factory=list)  # monotonic seconds, by answer


class HeavyLoad:
    """Sends the load of the faults `SIZES`, `BODY_BURST` and `IDLE_CONNECTIONS`."""

    def __init__(
        self,
        fleet: MeshFleet,
        callers: Callers,
        rng: Random,
        run_id: str,
        draw_key: Callable[[], str],
    ) -> None:
        self._fleet = fleet
        self._callers = callers
        self._rng = rng
        self._run_id = run_id
        self._draw_key = draw_key
        self._count = 0

    async def run(self, fault: Fault) -> None:
        """Send the load of a fault; returns when all its requests have ended."""
        node = self._fleet.nodes[fault.node]
        match fault.kind:
            case FaultKind.SIZES:
                await self._send_sizes(fault.duration)
            case FaultKind.BODY_BURST:
                await self._send_burst(node)
            case FaultKind.IDLE_CONNECTIONS:
                await self._keep_idle(node, fault.duration)

    async def _send_sizes(self, duration: float) -> None:
        end = time.monotonic() + duration
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end:
                node = self._rng.choice(list(self._fleet.nodes.values()))
                group.create_task(self._send(node, self._draw_exchange()))
                await asyncio.sleep(self._rng.expovariate(SIZES_RATE))

    def _draw_exchange(self) -> HeavyExchange:
        route = self._route(self._rng.choice(["prices", "payouts", "views", "reports"]))
        answer_bytes = self._log_uniform(MIN_ANSWER, MAX_ANSWER)
        if self._rng.random() < HUGE_SHARE:
            answer_bytes = self._rng.randint(MIN_HUGE, MAX_HUGE)
        large = HeavyRequest(
            self._next_request(route),
            self._log_uniform(MIN_BODY, MAX_BODY),
            answer_bytes,
            self._rng.random() < CHUNKED_SHARE,
        )
        exchange = HeavyExchange([large])
        if self._rng.random() < SLOW_SHARE:
            rate = self._rng.uniform(MIN_READ_RATE, MAX_READ_RATE)
            exchange.read_rate = max(rate, answer_bytes / MAX_READ_TIME)
            if self._rng.random() < SENDS_ON_SHARE and route.kind == "idempotent":
                behind = self._rng.randint(1, MAX_SENT_ON)
                views = self._route("views")
                exchange.requests += [
                    HeavyRequest(self._next_request(views)) for _ in range(behind)
                ]
        return exchange

    async def _send_burst(self, node: NodeProcess) -> None:
        route = self._route("reports")
        exchanges = [
            HeavyExchange([HeavyRequest(self._next_request(route), BURST_BODY)])
            for _ in range(self._rng.randint(MIN_BURST, MAX_BURST))
        ]
        await asyncio.gather(*(self._send(node, exchange) for exchange in exchanges))

    async def _keep_idle(self, node: NodeProcess, duration: float) -> None:
        """Open connections; some of them send a request at the start and one at the end."""
        limits = self._fleet.limits
        count = limits.sockets if limits is not None else 0
        count = min(count, MAX_IDLE_CONNECTIONS)
        connections: list[Connection] = []
        used: list[Connection] = []
        boot = node.boot
        for _ in range(count):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    connections.append(await connect(node.outbound, ConnectionUse.SEQUENTIAL))
                if self._rng.random() < USED_SHARE:
                    used.append(connections[-1])
            await asyncio.sleep(CONNECT_PERIOD)
        await self._use(node, used, reused=False)
        await asyncio.sleep(duration)
        if node.boot == boot:
            open_connections = [conn for conn in used if not conn.ended]
            await self._use(node, open_connections, reused=True)
        for conn in connections:
            conn.writer.close()

    async def _use(self, node: NodeProcess, connections: list[Connection], reused: bool) -> None:
        views = self._route("views")
        async with asyncio.TaskGroup() as group:
            for conn in connections:
                exchange = HeavyExchange([HeavyRequest(self._next_request(views))], reused=reused)
                group.create_task(self._send(node, exchange, conn))

    async def _send(
        self, node: NodeProcess, exchange: HeavyExchange, conn: Connection | None = None
    ) -> None:
        """Send the requests of an exchange, and record an attempt for each that was sent.

        A connection that is passed in stays open, another one is opened and closed.
        """
        idle = conn
        boot, began_at = node.boot, time.monotonic()
        exchange.requests[0].sent_at = began_at
        try:
            async with asyncio.timeout(HEAVY_TIMEOUT):
                if conn is None:
                    use = ConnectionUse.SLOW_READER if exchange.read_rate else None
                    conn = await connect(node.outbound, use or ConnectionUse.SEQUENTIAL)
                exchange.unanswered_end = AttemptEnd.CLOSED
                await _exchange(conn, exchange)
        except TimeoutError:
            if conn is not None:
                exchange.unanswered_end = AttemptEnd.TIMED_OUT
        except (OSError, asyncio.IncompleteReadError):
            pass  # recorded as `unanswered_end`
        finally:
            if conn is not None and idle is None:
                conn.writer.close()
        self._record(node.name, boot, exchange)

    def _record(self, node: str, boot: int, exchange: HeavyExchange) -> None:
        ended_at = time.monotonic()
        total = sum(heavy.answer_bytes for heavy in exchange.requests)
        read_time = total / exchange.read_rate if exchange.read_rate else 0.0
        for position, heavy in enumerate(exchange.requests[: max(1, exchange.sent)]):
            answer = heavy.answer or Answer(heavy.head_at or ended_at, ended_at, 0, False)
            # The time in which the caller read the answers before this one is its own.
            waited = (
                max(0.0, exchange.read_until[position - 1] - heavy.sent_at)
                if (0 < position <= len(exchange.read_until))
                else 0.0
            )
            behind_unread = position > len(exchange.read_until)
            self._callers.attempts.append(
                Attempt(
                    heavy.sent_at,
                    answer.answered_at,
                    answer.ended_at,
                    heavy.request.request_id,
                    heavy.request.route,
                    node,
                    boot,
                    answer.status,
                    answer.matches_request,
                    AttemptEnd.ANSWERED if heavy.answer else exchange.unanswered_end,
                    reused=exchange.reused,
                    position=position,
                    time_limit=(
                        HEAVY_TIMEOUT if behind_unread else heavy.request.route.timeout + waited
                    ),
                    key=heavy.request.key,
                    body_bytes=heavy.body_bytes,
                    read_time=read_time,
                )
            )

    def _route(self, name: str) -> RouteConfig:
        return next(route for route in self._fleet.routes if route.name == name)

    def _next_request(self, route: RouteConfig) -> CallerRequest:
        self._count += 1
        return CallerRequest(f"{self._run_id}-h{self._count}", route, self._draw_key())

    def _log_uniform(self, low: int, high: int) -> int:
        return int(low * (high / low) ** self._rng.random())


async def _exchange(conn: Connection, exchange: HeavyExchange) -> None:
    """Send the first request, then read its answer while the others are sent."""
    await _write(conn, exchange.requests[0])
    exchange.sent = 1
    sender = asyncio.create_task(_send_on(conn, exchange))
    try:
        for heavy in exchange.requests:
            closing = await _read_answer(conn, heavy, exchange)
            if closing:
                return
    finally:
        sender.cancel()


async def _send_on(conn: Connection, exchange: HeavyExchange) -> None:
    for heavy in exchange.requests[1:]:
        await asyncio.sleep(SEND_ON_PERIOD)
        heavy.sent_at = time.monotonic()
        exchange.sent += 1
        with suppress(OSError):
            await _write(conn, heavy)


async def _write(conn: Connection, heavy: HeavyRequest) -> None:
    req, body = heavy.request, b""
    fields = ""
    if heavy.body_bytes:
        body = response_body(req.request_id, heavy.body_bytes)
        length = "Transfer-Encoding: chunked" if heavy.chunked else f"Content-Length: {len(body)}"
        fields = f"{length}\r\n{BODY_BYTES_HEADER}: {len(body)}\r\n"
    if req.key:
        fields += f"Authorization: Bearer {req.key}\r\n"
    method = "POST" if body else "GET"
    head = (
        f"{method} {req.route.path}{SIZE_QUERY}{heavy.answer_bytes} HTTP/1.1\r\n"
        f"Host: {HOST_NAME}\r\nX-Request-Id: {req.request_id}\r\n"
        f"X-Request-Deadline: {DEADLINE_MS}\r\n{fields}\r\n"
    )
    conn.writer.write(head.encode())
    for start in range(0, len(body), MAX_CHUNK):
        part = body[start : start + MAX_CHUNK]
        conn.writer.write(b"%x\r\n%b\r\n" % (len(part), part) if heavy.chunked else part)
        await conn.writer.drain()
    if heavy.chunked:
        conn.writer.write(b"0\r\n\r\n")
    await conn.writer.drain()
    heavy.sent_at = time.monotonic()


async def _read_answer(conn: Connection, heavy: HeavyRequest, exchange: HeavyExchange) -> bool:
    """Read one answer at the rate of the exchange; return whether the connection ends with it."""
    status_line, headers = await read_head(conn.reader)
    heavy.head_at = time.monotonic()
    size = int(headers.get("content-length", "0"))
    body = bytearray()
    while len(body) < size:
        part = await conn.reader.read(min(READ_BYTES, size - len(body)))
        if not part:
            raise asyncio.IncompleteReadError(bytes(body[:0]), size)
        body += part
        if exchange.read_rate:
            await asyncio.sleep(len(part) / exchange.read_rate)
    ended_at = time.monotonic()
    exchange.read_until.append(ended_at)
    request_id = heavy.request.request_id
    matches = (
        headers.get("x-response-signature") == response_signature(request_id)
        and headers.get("x-request-id") == request_id
        and body == response_body(request_id, heavy.answer_bytes)
    )
    status = int(status_line.split(" ")[1])
    heavy.answer = Answer(heavy.head_at, ended_at, status, matches)
    return headers.get("connection") == "close"

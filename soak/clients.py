"""Open-loop callers that send requests over reused and new connections and record every attempt.

A connection is reused until the node closes it, so requests also arrive over connections that were
opened before a fault.
"""

import asyncio
import time
from contextlib import suppress
from random import Random
from typing import NamedTuple

from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess, RouteConfig
from standins.worker import read_message, response_body, response_signature

DEADLINE_MS = 3000
NEW_CONNECTION_SHARE = 0.3  # minimum share of requests on a new connection
ATTEMPT_TIMEOUT = 6.0  # seconds


class Attempt(NamedTuple):
    """One request of a caller and its result; times are monotonic seconds.

    `status` is 0 when the connection ended or no response arrived in time. `matches_request` is
    true when the response has the signature, the body and the id that belong to this request.
    """

    sent_at: float
    ended_at: float
    request_id: str
    route: RouteConfig
    node: str
    boot: int
    status: int
    matches_request: bool
    unconnected: bool  # no connection could be opened


class Callers:
    """Callers of all nodes; arrivals follow a Poisson process and do not wait for responses."""

    def __init__(self, fleet: MeshFleet, rng: Random, run_id: str) -> None:
        self.attempts: list[Attempt] = []
        self.rate = 60.0  # requests per second, over all nodes
        self._fleet = fleet
        self._rng = rng
        self._run_id = run_id
        self._request_count = 0
        self._idle_connections: dict[
            str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate))
            node = self._rng.choice(list(self._fleet.nodes.values()))
            route = self._rng.choice([r for r in self._fleet.routes if not r.name == "inner"])
            self._request_count += 1
            task = asyncio.create_task(
                self._send(node, route, f"{self._run_id}-{self._request_count}")
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_finished(self) -> None:
        """Wait for the requests in flight, at most `ATTEMPT_TIMEOUT`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=ATTEMPT_TIMEOUT)

    async def _send(self, node: NodeProcess, route: RouteConfig, request_id: str) -> None:
        sent_at, boot = time.monotonic(), node.boot
        status, matches_request, unconnected = 0, False, True
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(ATTEMPT_TIMEOUT):
                connection = await self._connection(node)
                unconnected = False
                status, matches_request = await self._exchange(node, connection, route, request_id)
        ended_at = time.monotonic()
        self.attempts.append(
            Attempt(
                sent_at,
                ended_at,
                request_id,
                route,
                node.name,
                boot,
                status,
                matches_request,
                unconnected,
            )
        )

    async def _connection(
        self, node: NodeProcess
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        idle = self._idle_connections.get(node.name)
        if idle and self._rng.random() > NEW_CONNECTION_SHARE:
            return idle.pop()
        return await asyncio.open_connection(*node.outbound)

    async def _exchange(
        self,
        node: NodeProcess,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        route: RouteConfig,
        request_id: str,
    ) -> tuple[int, bool]:
        reader, writer = connection
        method = "GET" if route.kind == "idempotent" else "POST"
        length = "Content-Length: 4\r\n" if method == "POST" else ""
        head = (
            f"{method} {route.path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {request_id}\r\n"
            f"X-Request-Deadline: {DEADLINE_MS}\r\n{length}\r\n"
        )
        try:
            writer.write(head.encode() + (b"body" if length else b""))
            status_line, headers, body = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            self._idle_connections.setdefault(node.name, []).append(connection)
        matches_request = (
            body == response_body(request_id)
            and headers.get("x-response-signature") == response_signature(request_id)
            and headers.get("x-request-id") == request_id
        )
        return int(status_line.split(" ")[1]), matches_request

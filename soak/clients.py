"""Callers: they send requests at a steady rate, over kept and fresh connections, and note all.

A caller keeps using its open connections until the process behind them is gone.
"""

import asyncio
import time
from contextlib import suppress
from random import Random
from typing import NamedTuple

from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess, RouteConfig
from standins.worker import read_message, response_body, response_signature

DEADLINE_MS = 3000
FRESH_SHARE = 0.3  # of requests that come over a connection of their own
GIVE_UP_AFTER = 6.0  # seconds


class Attempt(NamedTuple):
    """One request of a caller and what came of it; times are monotonic seconds.

    `status` is 0 when the connection ended or no answer came. `whole` tells that a success bears
    the proof and the body of this very request.
    """

    sent_at: float
    ended_at: float
    request_id: str
    route: RouteConfig
    node: str
    boot: int
    status: int
    whole: bool
    unread: bool  # no connection was opened


class Callers:
    """The callers of all nodes."""

    def __init__(self, fleet: MeshFleet, rng: Random, run_id: str) -> None:
        self.attempts: list[Attempt] = []
        self.rate = 60.0  # requests a second
        self._fleet = fleet
        self._rng = rng
        self._run_id = run_id
        self._number = 0
        self._kept: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate))
            node = self._rng.choice(list(self._fleet.nodes.values()))
            route = self._rng.choice([r for r in self._fleet.routes if not r.name == "inner"])
            self._number += 1
            task = asyncio.create_task(self._send(node, route, f"{self._run_id}-{self._number}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def settle(self) -> None:
        """Wait for what is under way."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GIVE_UP_AFTER)

    async def _send(self, node: NodeProcess, route: RouteConfig, request_id: str) -> None:
        sent_at, boot = time.monotonic(), node.boot
        status, whole, unread = 0, False, True
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(GIVE_UP_AFTER):
                connection = await self._connection(node)
                unread = False
                status, whole = await self._exchange(node, connection, route, request_id)
        ended_at = time.monotonic()
        self.attempts.append(
            Attempt(sent_at, ended_at, request_id, route, node.name, boot, status, whole, unread)
        )

    async def _connection(
        self, node: NodeProcess
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        kept = self._kept.get(node.name)
        if kept and self._rng.random() > FRESH_SHARE:
            return kept.pop()
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
            first, headers, body = await read_message(reader)
        except BaseException:
            writer.close()
            raise
        if headers.get("connection") == "close":
            writer.close()
        else:
            self._kept.setdefault(node.name, []).append(connection)
        whole = (
            body == response_body(request_id)
            and headers.get("x-response-signature") == response_signature(request_id)
            and headers.get("x-request-id") == request_id
        )
        return int(first.split(" ")[1]), whole

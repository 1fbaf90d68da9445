"""Stand-in of the users' workers: it reports to its node, runs requests and makes calls.

What arrived and ran is noted in a `Record` that many workers share. Set `slow` (times the usual
work) or `lose_answers` (share of the answers) to make it misbehave.
"""

import asyncio
import hashlib
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

HEARTBEAT_PERIOD = 0.5  # seconds
HEARTBEAT_TIMEOUT = 1.0  # seconds
CALL_SUFFIX = "-c"  # of the id of a call, behind that of the request that makes it
SERVED_AFTER_DRAINING = 4.0  # seconds


class Place(NamedTuple):
    """An IP number and a port."""

    host: str
    port: int


class Arrival(NamedTuple):
    """A request that reached a worker; times are monotonic seconds."""

    at: float
    request_id: str
    node: str
    boot: int
    service: str
    path: str
    ran: bool


@dataclass
class Record:
    """What all workers of a fleet have seen."""

    arrivals: list[Arrival] = field(default_factory=list)
    draining_acknowledged: dict[tuple[str, int], float] = field(default_factory=dict)


class Reply(NamedTuple):
    """A whole answer of a node."""

    status: int
    headers: dict[str, str]
    body: bytes


def body_of(request_id: str) -> bytes:
    """Return the body that belongs to a request."""
    return hashlib.sha256(request_id.encode()).hexdigest().encode() * 4


def proof_of(request_id: str) -> str:
    """Return the proof that goes with it."""
    return hashlib.sha256(b"proof" + request_id.encode()).hexdigest()[:16]


class WorkerStandIn:
    """One worker beside one node."""

    def __init__(
        self,
        name: str,
        service: str,
        places: "WorkerPlaces",
        record: Record,
        rng: Random,
        calls: dict[str, str],
    ) -> None:
        self.name = name
        self.service = service
        self.slots = 16
        self.work = 0.02  # seconds
        self.slow = 1.0
        self.lose_answers = 0.0
        self.phase = "ready"
        self.boot = 0
        self._places = places
        self._record = record
        self._rng = rng
        self._calls = calls  # path of a request -> path of the call that it makes
        self._sequence = 0
        self._running = 0
        self._born = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin a new boot under the same id."""
        self.boot += 1
        self._born = int(time.time() * 1000)
        self._sequence, self.phase = 0, "ready"
        self._server = await asyncio.start_server(self._serve, *self._places.listen)
        self._beating = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End at once, with all connections."""
        if self._beating is not None:
            self._beating.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def replace(self) -> None:
        """Drain, leave, and start again."""
        self.phase = "draining"
        await self._report()
        await asyncio.sleep(SERVED_AFTER_DRAINING)
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            await self._post(f"/Instances.Deregister/{self.name}", {"born": self._born})
        await self.crash()
        await self.start()

    async def _beat(self) -> None:
        while True:
            await self._report()
            await asyncio.sleep(HEARTBEAT_PERIOD)

    async def _report(self) -> None:
        self._sequence += 1
        phase = self.phase
        status = {"Phase": phase, "Sequence": self._sequence, "ColdRemainingS": 0}
        info = {"Service": self.service, "Version": "v1", "Slots": self.slots}
        address = f"{self._places.told.host}:{self._places.told.port}"
        beat = {"Address": address, "Info": info, "Status": status, "born": self._born}
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            reply = await self._post(f"/Instances.Heartbeat/{self.name}", beat)
            if reply.status == 200 and phase == "draining":
                key = (self.name, self.boot)
                self._record.draining_acknowledged.setdefault(key, time.monotonic())

    async def _post(self, path: str, body: dict[str, object]) -> Reply:
        async with asyncio.timeout(HEARTBEAT_TIMEOUT):
            return await exchange(self._places.control, "POST", path, {}, json.dumps(body).encode())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                answer = await self._answer(line.split(" ")[1], headers)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the node has closed its connection
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, path: str, headers: dict[str, str]) -> bytes | None:
        request_id = headers["x-request-id"]
        refused = self._refusal(headers)
        now = time.monotonic()
        self._record.arrivals.append(
            Arrival(now, request_id, self.name, self.boot, self.service, path, not refused)
        )
        if refused:
            return _answer_bytes(refused, request_id, b"", "X-Not-Executed: 1\r\n")
        self._running += 1
        try:
            status = await self._run(path, headers, now)
        finally:
            self._running -= 1
        if self._rng.random() < self.lose_answers:
            return None
        proof = f"X-Response-Signature: {proof_of(request_id)}\r\n"
        return _answer_bytes(status, request_id, body_of(request_id), proof)

    def _refusal(self, headers: dict[str, str]) -> int:
        if headers.get("x-target-instance") != self.name:
            return 421
        return 503 if self._running >= self.slots else 0

    async def _run(self, path: str, headers: dict[str, str], began: float) -> int:
        await asyncio.sleep(self.work * self.slow * (0.5 + self._rng.random()))
        called = self._calls.get(path)
        if called is None:
            return 200
        left = int(headers["x-request-deadline"]) - int((time.monotonic() - began) * 1000)
        if left <= 0:
            return 504
        said = {
            "Host": headers["host"],
            "X-Request-Id": headers["x-request-id"] + CALL_SUFFIX,
            "X-Request-Deadline": str(left),
        }
        try:
            async with asyncio.timeout(left / 1000):
                reply = await exchange(self._places.outbound, "GET", called, said)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 500
        return 200 if reply.status == 200 else 500


class WorkerPlaces(NamedTuple):
    """Where a worker listens, what it tells as its address, and its node's addresses."""

    listen: Place
    told: Place
    control: Place
    outbound: Place


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return first line, header fields in lower case, and body of a message with a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def exchange(
    place: Place, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Reply:
    """Return the answer to one request over a connection of its own."""
    reader, writer = await asyncio.open_connection(*place)
    try:
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body:
            lines += f"Content-Length: {len(body)}\r\n"
        writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
        first, fields, content = await read_message(reader)
        return Reply(int(first.split(" ")[1]), fields, content)
    finally:
        writer.close()


def _answer_bytes(status: int, request_id: str, body: bytes, lines: str) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{lines}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

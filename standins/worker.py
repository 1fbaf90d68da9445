"""Stand-in for a worker, the application behind a node.

A worker sends heartbeats to its node, runs requests and makes calls through the node. All workers
of a fleet append the requests that they receive to one shared `FleetRecord`. To inject faults, set
`slowdown` (factor on the service time), `response_loss_rate` (share of the responses for which
the worker closes the connection instead), `endless_rate` (share of the responses whose body
does not end), or `rate_limit` (requests a second that its answers name). A request whose body
begins with `DEADLY_BODY` crashes the worker, which then starts again.
"""

import asyncio
import hashlib
import json
import time
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from standins.http_messages import Endpoint, Response, encode_response, read_message, send_request

HEARTBEAT_PERIOD = 0.5  # seconds
HEARTBEAT_TIMEOUT = 1.0  # seconds
CALL_ID_SUFFIX = "-c"  # the id of a nested call is the id of its parent request plus this suffix
DRAIN_DURATION = 4.0  # seconds from the draining heartbeat to the deregistration
SMALL_BODY_BYTES = 256
ENDLESS_START = "HTTP/1.1 200 Endless\r\n"  # of a response that goes on without end
ENDLESS_CHUNK = b"4000\r\n" + b"e" * 0x4000 + b"\r\n"  # of a chunked body
DEADLY_BODY = b"deadly "
SIZE_QUERY = "?size="  # in a path: the bytes of the answer's body
BODY_BYTES_HEADER = "X-Body-Bytes"  # the size of a request's body, `response_body()` of its id
RESTART_DELAY = 0.5  # seconds after a crash by `DEADLY_BODY`
MIN_SLOW_TIME, MAX_SLOW_TIME = 1.0, 3.0  # seconds that a slow request takes


class Arrival(NamedTuple):
    """A request that reached a worker.

    `received_at` is in monotonic seconds, `boot` counts the starts of the worker, and `executed` is
    false if the worker rejected the request. `workspace` is the one that the node has named.
    """

    received_at: float
    request_id: str
    node: str
    boot: int
    service: str
    path: str
    executed: bool
    workspace: str = ""
    body_matches: bool = True  # the body is the one that the caller has sent


class RunEnd(NamedTuple):
    """When a worker finished with a request, in monotonic seconds.

    `broke_off` is true if the worker crashed meanwhile or dropped its response.
    """

    ended_at: float
    broke_off: bool


class NamedState(NamedTuple):
    """What a worker named in its answer to a request; `boot` counts its starts."""

    request_id: str
    node: str
    boot: int
    rate_limit: float | None
    leaving: bool


class Death(NamedTuple):
    """A crash of a worker by a request with a deadly body, in monotonic seconds.

    `planned_stop` is true if the worker was leaving anyway.
    """

    at: float
    node: str
    body: bytes
    planned_stop: bool


@dataclass
class FleetRecord:
    """The requests that the workers of a fleet received.

    `draining_acknowledged` maps the name and boot of a worker to the monotonic time at which its
    node first acknowledged a draining heartbeat. `run_ends` maps the index of an arrival to its
    end; an arrival that a worker is still running has none. `named` lists the answers in which
    workers have named a rate limit or their leaving. `deaths` lists the crashes by deadly bodies,
    whose requests are not among the arrivals.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    draining_acknowledged: dict[tuple[str, int], float] = field(default_factory=dict)
    run_ends: dict[int, RunEnd] = field(default_factory=dict)
    named: list[NamedState] = field(default_factory=list)
    deaths: list[Death] = field(default_factory=list)


class PathBehavior(NamedTuple):
    """How workers serve the requests of one path.

    `call_path` is the path of the nested call that the request makes, if any. `slow_share` is the
    share of the requests that take `MIN_SLOW_TIME` to `MAX_SLOW_TIME`.
    """

    call_path: str | None = None
    slow_share: float = 0.0
    body_bytes: int = SMALL_BODY_BYTES


DEFAULT_BEHAVIOR = PathBehavior()


class EndlessAnswer(NamedTuple):
    """An answer that goes on until its caller closes: the end of its head, and what it repeats.

    It waits `pause` seconds after each part.
    """

    head: bytes = b"Transfer-Encoding: chunked\r\n\r\n"
    part: bytes = ENDLESS_CHUNK
    pause: float = 0.0


def response_body(request_id: str, size: int = SMALL_BODY_BYTES) -> bytes:
    """Return the response body of `size` bytes that callers expect for a request id."""
    digest = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (digest * (size // len(digest) + 1))[:size]


def answer_bytes(path: str, behavior: PathBehavior) -> int:
    """Return the size of the answer's body to a request."""
    size = path.partition(SIZE_QUERY)[2]
    return int(size) if size else behavior.body_bytes


def _body_matches(headers: dict[str, str], body: bytes) -> bool:
    size = headers.get(BODY_BYTES_HEADER.lower())
    return size is None or body == response_body(headers["x-request-id"], int(size))


def response_signature(request_id: str) -> str:
    """Return the `X-Response-Signature` value that callers expect for a request id."""
    return hashlib.sha256(b"proof" + request_id.encode()).hexdigest()[:16]


class WorkerStandIn:
    """A worker that is registered at one node.

    `behaviors` maps the path of a request to the way in which it is served.
    """

    def __init__(
        self,
        name: str,
        service: str,
        endpoints: "WorkerEndpoints",
        record: FleetRecord,
        rng: Random,
        behaviors: dict[str, PathBehavior],
    ) -> None:
        self.name = name
        self.service = service
        self.slots = 16
        self.service_time = 0.02  # seconds
        self.slowdown = 1.0
        self.response_loss_rate = 0.0
        self.endless_rate = 0.0
        self.endless_answer = EndlessAnswer()
        self.rate_limit: float | None = None
        self.leaving = False
        self.phase = "ready"
        # Whether announcements name the start time; if not, each boot has an ID of its own.
        self.names_start = True
        self.boot = 0
        self._endpoints = endpoints
        self._record = record
        self._rng = rng
        self._behaviors = behaviors
        self._sequence = 0
        self._running = 0
        self._start_time_ms = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._restart_task: asyncio.Task[None] | None = None

    @property
    def instance_id(self) -> str:
        """Return the ID of the current boot."""
        return self.name if self.names_start else f"{self.name}-{self.boot}"

    @property
    def listening(self) -> bool:
        """Return whether the worker accepts connections."""
        return self._server is not None

    async def start(self) -> None:
        """Listen and send heartbeats, as a new boot."""
        self.boot += 1
        self._start_time_ms = int(time.time() * 1000)
        self._sequence, self.phase, self.leaving = 0, "ready", False
        self._server = await asyncio.start_server(self._serve_connection, *self._endpoints.listen)
        self._heartbeat_task = asyncio.create_task(self._heartbeat_loop())

    async def crash(self) -> None:
        """Stop listening and sending heartbeats, and abort all connections."""
        for task in (self._heartbeat_task, self._restart_task):
            if task is not None:
                task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._connections):
            writer.transport.abort()

    async def _die(self, body: bytes) -> None:
        """Crash because of a request, and start again after `RESTART_DELAY`."""
        planned = self.leaving or self.phase == "draining"
        self._record.deaths.append(Death(time.monotonic(), self.name, body, planned))
        await self.crash()
        self._restart_task = asyncio.create_task(self._restart_later())

    async def _restart_later(self) -> None:
        await asyncio.sleep(RESTART_DELAY)
        self._restart_task = None
        if not self.listening:
            await self.start()

    async def drain_and_restart(self, announced: bool = True) -> None:
        """Drain for `DRAIN_DURATION`, deregister, stop, and start again.

        All answers name the leaving meanwhile; the heartbeats do so only if it is `announced`.
        """
        self.leaving = True
        if announced:
            self.phase = "draining"
            await self._send_heartbeat()
        await asyncio.sleep(DRAIN_DURATION)
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            await self._post(f"/Instances.Deregister/{self.instance_id}", self._start_field())
        await self.crash()
        await self.start()

    async def _heartbeat_loop(self) -> None:
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_PERIOD)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        phase = self.phase
        status = {"Phase": phase, "Sequence": self._sequence, "ColdRemainingS": 0}
        info = {"Service": self.service, "Version": "v1", "Slots": self.slots}
        address = f"{self._endpoints.advertised.host}:{self._endpoints.advertised.port}"
        heartbeat = {
            "Address": address,
            "Info": info,
            "Status": status,
            **self._start_field(),
        }
        with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            response = await self._post(f"/Instances.Heartbeat/{self.instance_id}", heartbeat)
            if response.status == 200 and phase == "draining":
                key = (self.name, self.boot)
                self._record.draining_acknowledged.setdefault(key, time.monotonic())

    def _start_field(self) -> dict[str, int]:
        return {"born": self._start_time_ms} if self.names_start else {}

    async def _post(self, path: str, body: dict[str, object]) -> Response:
        async with asyncio.timeout(HEARTBEAT_TIMEOUT):
            return await send_request(
                self._endpoints.control, "POST", path, {}, json.dumps(body).encode()
            )

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                start_line, headers, body = await read_message(reader)
                if body.startswith(DEADLY_BODY):
                    if self.listening:
                        await self._die(body)
                    return
                response = await self._handle_request(start_line.split(" ")[1], headers, body)
                if response is None:
                    return
                writer.write(response)
                await writer.drain()
                if response.startswith(ENDLESS_START.encode()):
                    await _send_endlessly(writer, self.endless_answer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the node has closed its connection
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _handle_request(
        self, path: str, headers: dict[str, str], request_body: bytes
    ) -> bytes | None:
        request_id, boot = headers["x-request-id"], self.boot
        rejection_status = self._rejection_status(headers)  # 0: accepted
        now = time.monotonic()
        index = len(self._record.arrivals)
        self._record.arrivals.append(
            Arrival(
                now,
                request_id,
                self.name,
                boot,
                self.service,
                path,
                executed=not rejection_status,
                workspace=headers.get("x-tenant-id", ""),
                body_matches=_body_matches(headers, request_body),
            )
        )
        if rejection_status:
            self._record.run_ends[index] = RunEnd(now, broke_off=False)
            fields = "X-Not-Executed: 1\r\n" + self._state_fields(request_id)
            return encode_response(rejection_status, request_id, b"", fields)
        self._running += 1
        try:
            status = await self._execute(path, headers, now)
        finally:
            self._running -= 1
        dropped = self._rng.random() < self.response_loss_rate
        crashed = boot != self.boot or not self.listening
        endless = self._rng.random() < self.endless_rate
        broke_off = dropped or crashed or endless
        self._record.run_ends[index] = RunEnd(time.monotonic(), broke_off)
        if dropped:
            return None
        fields = f"X-Response-Signature: {response_signature(request_id)}\r\n"
        if endless:
            head = f"{ENDLESS_START}X-Request-Id: {request_id}\r\n{fields}".encode()
            return head + self.endless_answer.head
        fields += self._state_fields(request_id)
        body = response_body(request_id, answer_bytes(path, self._behavior(path)))
        return encode_response(status, request_id, body, fields)

    def _state_fields(self, request_id: str) -> str:
        """Return the header lines by which an answer names the limit and the leaving."""
        if self.rate_limit is None and not self.leaving:
            return ""
        named = NamedState(request_id, self.name, self.boot, self.rate_limit, self.leaving)
        self._record.named.append(named)
        limit = "" if self.rate_limit is None else f"Server-Limit: {self.rate_limit}\r\n"
        return limit + ("Server-Leaving: 1\r\n" if self.leaving else "")

    def _behavior(self, path: str) -> PathBehavior:
        return self._behaviors.get(path.partition(SIZE_QUERY)[0], DEFAULT_BEHAVIOR)

    def _rejection_status(self, headers: dict[str, str]) -> int:
        if headers.get("x-target-instance") != self.instance_id:
            return 421
        return 503 if self._running >= self.slots else 0

    async def _execute(self, path: str, headers: dict[str, str], started_at: float) -> int:
        behavior = self._behavior(path)
        service_time = self.service_time * (0.5 + self._rng.random())
        if self._rng.random() < behavior.slow_share:
            service_time = self._rng.uniform(MIN_SLOW_TIME, MAX_SLOW_TIME)
        await asyncio.sleep(service_time * self.slowdown)
        if behavior.call_path is None:
            return 200
        remaining_ms = int(headers["x-request-deadline"]) - int(
            (time.monotonic() - started_at) * 1000
        )
        if remaining_ms <= 0:
            return 504
        call_headers = {
            "Host": headers["host"],
            "X-Request-Id": headers["x-request-id"] + CALL_ID_SUFFIX,
            "X-Request-Deadline": str(remaining_ms),
        }
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                response = await send_request(
                    self._endpoints.outbound, "GET", behavior.call_path, call_headers
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 500
        return 200 if response.status == 200 else 500


class WorkerEndpoints(NamedTuple):
    """The endpoints of a worker and of its node.

    The worker listens on `listen` and reports `advertised` to its node. `control` and `outbound`
    are listeners of the node.
    """

    listen: Endpoint
    advertised: Endpoint
    control: Endpoint
    outbound: Endpoint


async def _send_endlessly(writer: asyncio.StreamWriter, answer: EndlessAnswer) -> None:
    """Send the rest of an answer until the other side closes the connection."""
    while True:
        writer.write(answer.part)
        await writer.drain()
        if answer.pause:
            await asyncio.sleep(answer.pause)

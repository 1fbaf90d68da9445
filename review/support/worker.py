"""Stand-in for a worker: a process of its own, which serves what PROTOCOL.md says.

`python3 worker.py CONFIG` with a JSON object: `id`, `service`, `zone`, `listen`, `control` and
`outbound` (addresses), `slots`, `record` (a file), and `routes`, which maps the first segment of a
path to `work_ms` and `calls`, a list of paths that a run calls through its node, all at once. The
calls have IDs of their own, carry no key, and expire with the request that makes them. Each line of
the record is a JSON array: `run`, `rejected`, `call`, `left` or `beat` with its time, and what
belongs to it.

At SIGUSR1 a worker leaves without reporting `draining`, with `late_s` and `serve_s` of the object:
its newest heartbeat is held up on the way and arrives `late_s` later, it deregisters and sends no
further ones, serves for `serve_s` after the confirmation, and ends.
"""

import asyncio
import hashlib
import json
import os
import signal
import sys
import time
import uuid
from contextlib import suppress
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from support.messages import KeptConnections, Message, encode, read_message  # noqa: E402

HEARTBEAT_PERIOD = 1.5  # seconds; HeartbeatS
HOST_NAME = "calls.example"
DEADLY = "/deadly"  # end of the path of a request that crashes each worker that begins to run it


def signature(request_id: str) -> str:
    """Return the proof of an answer."""
    return hashlib.sha256(b"proof" + request_id.encode()).hexdigest()[:16]


def address(text: str) -> tuple[str, int]:
    """Return the host and port of an address."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Worker:
    """One worker."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self._cfg = cfg
        self._running = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._record = open(cfg["record"], "a", buffering=1)
        self._outbound = KeptConnections(*address(cfg["outbound"]))
        self._control = KeptConnections(*address(cfg["control"]))

    def note(self, kind: str, **fields: Any) -> None:
        """Append a line to the record."""
        line = [kind, round(time.monotonic(), 4), self._cfg["id"], fields]
        self._record.write(json.dumps(line) + "\n")

    async def run(self) -> None:
        """Serve until the process is ended or has left."""
        await asyncio.start_server(self._serve, *address(self._cfg["listen"]))
        leaving = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leaving.set)
        while not leaving.is_set():
            await self._post_heartbeat(self._next_heartbeat())
            with suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_PERIOD):
                    await leaving.wait()
        await self._leave()

    async def _leave(self) -> None:
        late = asyncio.create_task(self._post_late(self._next_heartbeat()))
        path, body = f"/Instances.Deregister/{self._cfg['id']}", {"born": self._born}
        headers = {"Host": "node", "Content-Type": "application/json"}
        answer = await self._control.send("POST", path, headers, json.dumps(body).encode(), 1.0)
        self.note("left", status=answer.status)
        await asyncio.sleep(self._cfg["serve_s"])
        late.cancel()

    async def _post_late(self, beat: dict[str, Any]) -> None:
        await asyncio.sleep(self._cfg["late_s"])
        await self._post_heartbeat(beat)
        self.note("beat", sequence=beat["Status"]["Sequence"])

    def _next_heartbeat(self) -> dict[str, Any]:
        cfg = self._cfg
        self._sequence += 1
        info = {
            "Service": cfg["service"],
            "Version": "v1",
            "Zone": cfg["zone"],
            "Slots": cfg["slots"],
        }
        status = {"Phase": "ready", "Sequence": self._sequence, "ColdRemainingS": 0}
        return {"Address": cfg["listen"], "Info": info, "Status": status, "born": self._born}

    async def _post_heartbeat(self, beat: dict[str, Any]) -> None:
        headers = {"Host": "node", "Content-Type": "application/json"}
        path = f"/Instances.Heartbeat/{self._cfg['id']}"
        with suppress(OSError, EOFError, TimeoutError):
            await self._control.send("POST", path, headers, json.dumps(beat).encode(), 1.0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, EOFError):
            while True:
                message = await read_message(reader)
                writer.write(await self._answer(message, time.monotonic()))
                await writer.drain()
        writer.close()

    async def _answer(self, message: Message, received_at: float) -> bytes:
        cfg, headers = self._cfg, message.headers
        request_id, path = headers["x-request-id"], message.start_line.split(" ")[1]
        status = 0
        if headers.get("x-target-instance") != cfg["id"]:
            status = 421
        elif self._running >= cfg["slots"]:
            status = 503
        fields = {"X-Request-Id": request_id}
        if status:
            self.note("rejected", id=request_id, path=path, status=status)
            return encode(f"HTTP/1.1 {status} X", {**fields, "X-Not-Executed": "1"})
        self.note("run", id=request_id, path=path, tenant=headers.get("x-tenant-id", ""))
        if path.endswith(DEADLY):
            os._exit(1)
        self._running += 1
        try:
            status = await self._work(path, int(headers["x-request-deadline"]), received_at)
        finally:
            self._running -= 1
        body = hashlib.sha256(request_id.encode()).hexdigest().encode() * 4
        fields["X-Response-Signature"] = signature(request_id)
        return encode(f"HTTP/1.1 {status} X", fields, body)

    async def _work(self, path: str, deadline_ms: int, received_at: float) -> int:
        route = self._cfg["routes"][path.split("/")[1]]
        await asyncio.sleep(route["work_ms"] / 1000)
        calls = [self._call(called, deadline_ms, received_at) for called in route["calls"]]
        statuses = await asyncio.gather(*calls)
        if all(status == 200 for status in statuses):
            return 200
        expired = time.monotonic() - received_at >= deadline_ms / 1000
        return 504 if expired else 500

    async def _call(self, path: str, deadline_ms: int, received_at: float) -> int:
        call_id = uuid.uuid4().hex[:16]
        left = deadline_ms - int((time.monotonic() - received_at) * 1000)
        headers = {"Host": HOST_NAME, "X-Request-Id": call_id, "X-Request-Deadline": str(left)}
        status = 0
        if left > 0:
            with suppress(OSError, EOFError, TimeoutError):
                answer = await self._outbound.send("GET", path, headers, b"", left / 1000)
                status = answer.status
        self.note("call", id=call_id, path=path, status=status)
        return status


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    asyncio.run(Worker(json.loads(sys.argv[1])).run())

"""Node processes with a limit of memory, and callers that send and receive large bodies."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import NamedTuple

from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess, ProcessLimits, RouteConfig
from standins.worker import Endpoint, PathBehavior, read_message

BYTES_PER_KB = 1024
PART_BYTES = 64 * 1024
JOIN_TIME = 3.0  # seconds until the nodes know each other
CALL_TIMEOUT = 30.0  # seconds
CALL_PAUSE = 0.5  # seconds
SEED = 56
DESCRIPTORS = 4100


class Answer(NamedTuple):
    """A complete answer; `retry_after` is empty without the field."""

    status: int
    retry_after: str
    body: bytes
    request_id: str = ""


def peak_memory(node: NodeProcess) -> int:
    """Return the largest resident set of a node's process so far, in bytes."""
    assert node.process is not None
    for line in Path(f"/proc/{node.process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise AssertionError("the kernel shows no VmHWM")


async def call(
    address: Endpoint, method: str, path: str, request_id: str, body: bytes = b""
) -> Answer:
    """Send a request while reading its answer.

    Raises `OSError` or `asyncio.IncompleteReadError` if the connection ends before the answer.
    """
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        answer, _ = await _exchange(reader, writer, method, path, request_id, body)
        return answer
    finally:
        writer.close()


async def call_until(
    seconds: float, address: Endpoint, path: str, request_id: str, body: bytes
) -> list[Answer]:
    """Send requests one after the other on a kept connection for some seconds.

    They wait `CALL_PAUSE` between an answer and the next request.
    """
    latest = time.monotonic() + seconds
    answers: list[Answer] = []
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        while time.monotonic() < latest:
            name = f"{request_id}-{len(answers)}"
            answer, kept = await _exchange(reader, writer, "POST", path, name, body)
            answers.append(answer)
            await asyncio.sleep(CALL_PAUSE)
            if not kept:
                writer.close()
                reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    finally:
        writer.close()
    return answers


async def _exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    request_id: str,
    body: bytes,
) -> tuple[Answer, bool]:
    """Return the answer to a request, and whether the connection is kept."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Request-Deadline: 15000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode())
    sending = asyncio.create_task(_send(writer, body))
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            status_line, headers, content = await read_message(reader)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    status, retry_after = int(status_line.split(" ")[1]), headers.get("retry-after", "")
    kept = headers.get("connection", "").lower() != "close"
    return Answer(status, retry_after, content, request_id), kept


async def _send(writer: asyncio.StreamWriter, body: bytes) -> None:
    for start in range(0, len(body), PART_BYTES):
        writer.write(body[start : start + PART_BYTES])
        await writer.drain()


async def with_fleet(
    scenario: Callable[[MeshFleet], Awaitable[list[Answer]]],
    routes: list[RouteConfig],
    behaviors: dict[str, PathBehavior],
    instances: list[tuple[str, str]],
    memory_mb: int,
) -> tuple[list[Answer], dict[str, int], MeshFleet]:
    """Return the answers of a scenario, the peak memory of each node (bytes), and the fleet."""
    fleet = MeshFleet(routes, behaviors, Random(SEED))
    fleet.limits = ProcessLimits(memory_mb, DESCRIPTORS)
    try:
        await fleet.start(instances)
        await asyncio.sleep(JOIN_TIME)
        answers = await scenario(fleet)
        assert all(node.running for node in fleet.nodes.values())
        return answers, {name: peak_memory(node) for name, node in fleet.nodes.items()}, fleet
    finally:
        await fleet.close()

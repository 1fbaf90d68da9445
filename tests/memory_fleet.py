"""Node processes with a limit of memory, and callers that send and receive large bodies."""

import asyncio
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
SEED = 56
DESCRIPTORS = 4100


class Answer(NamedTuple):
    """A complete answer; `retry_after` is empty without the field."""

    status: int
    retry_after: str
    body: bytes


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
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Request-Deadline: 15000\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode())
    sending = asyncio.create_task(_send(writer, body))
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            status_line, headers, answer = await read_message(reader)
        return Answer(int(status_line.split(" ")[1]), headers.get("retry-after", ""), answer)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()


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

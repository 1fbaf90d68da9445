"""Test helpers: node processes that may open few descriptors, and callers that hold connections."""

import asyncio
import os
import resource
from contextlib import suppress
from pathlib import Path
from random import Random

from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess, RouteConfig
from standins.worker import Endpoint, PathBehavior, Response, read_message

JOIN_TIME = 3.0  # seconds until the nodes know each other
SETTLE_TIME = 1.0  # seconds after new connections or a change of limits
ANSWER_TIMEOUT = 5.0  # seconds
PAYOUTS = RouteConfig("payouts", "haul", kind="non_idempotent", timeout=3.0, target_latency=2.0)
PRICES = RouteConfig("prices", "tariff", timeout=3.0, target_latency=2.0)
ORIGIN, OTHER = "haul-1", "tariff-2"  # the nodes of a fleet; payouts enter and run at ORIGIN
HEAD = "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Request-Deadline: 3000\r\n\r\n"
POST_HEAD = HEAD.replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n")

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class LimitedFleet(MeshFleet):
    """A fleet whose node processes have a soft limit of descriptors, or get one later.

    Each payout makes a nested call to the other service.
    """

    def __init__(self, descriptors: int | None) -> None:
        behaviors = {PAYOUTS.path: PathBehavior(call_path=PRICES.path)}
        super().__init__([PAYOUTS, PRICES], behaviors, Random(56))
        self._descriptors = descriptors

    def start_node(self, node: NodeProcess) -> None:
        """Start the process of a node and limit its descriptors."""
        super().start_node(node)
        if self._descriptors is not None:
            self.limit_descriptors(node, self._descriptors)

    def limit_descriptors(self, node: NodeProcess, count: int) -> None:
        """Set the soft limit of a running process."""
        assert node.process is not None
        _, hard = resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, (count, hard))

    async def start_pair(self) -> NodeProcess:
        """Start one node of each service; return the node where payouts enter."""
        await self.start([("haul", "a"), ("tariff", "a")])
        await asyncio.sleep(JOIN_TIME)
        return self.nodes[ORIGIN]


def processor_time(node: NodeProcess) -> float:
    """Return the processor time in seconds that a node process has taken."""
    assert node.process is not None
    fields = Path(f"/proc/{node.process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def open_connections(address: Endpoint, count: int, sent: bytes = b"") -> list[Streams]:
    """Open connections and send bytes on each, as far as the node accepts them."""
    opened: list[Streams] = []
    for _ in range(count):
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                opened.append(await asyncio.open_connection(*address))
                opened[-1][1].write(sent)
    return opened


async def exchange(streams: Streams, request: str) -> Response | None:
    """Send a request over a connection; return the response, None if there is none."""
    reader, writer = streams
    try:
        writer.write(request.encode())
        async with asyncio.timeout(ANSWER_TIMEOUT):
            start_line, headers, body = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    return Response(int(start_line.split(" ")[1]), headers, body)


async def send_payouts(connections: list[Streams]) -> list[int]:
    """Send one payout over each connection at the same time; return the statuses, 0 for none."""
    requests = [
        POST_HEAD.format("POST", PAYOUTS.path, HOST_NAME, f"payout-{id(c)}") for c in connections
    ]
    responses = await asyncio.gather(*map(exchange, connections, requests))
    return [0 if response is None else response.status for response in responses]


def close_all(connections: list[Streams]) -> None:
    """Close the callers' side of the connections."""
    for _, writer in connections:
        writer.close()

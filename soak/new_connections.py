"""New connections at a high rate at a node that stops, and the check of those it has accepted.

A connection may end without an answer in the microseconds between the last accept of the node and
the close of its port: the kernel has completed its handshake, and no program can do both at once.
No request on it was read, so by the rules nothing was lost. At `RATE`, hardly two connections fall
into that moment. It is a violation if more than one of a process ends so, or if one was open for
`ACCEPT_TIME`, in which a node that has not ended accepts and answers.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from soak.observation import Observation
from standins.http_messages import read_message
from standins.mesh_fleet import HOST_NAME, NodeProcess

RATE = 300.0  # connections a second
ANSWER_TIMEOUT = 6.0  # seconds
ACCEPT_TIME = 0.2  # seconds
# No route has this path, so that the node itself answers.
REQUEST = f"GET /unknown HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Request-Id: new\r\n\r\n".encode()


class ConnectionEnd(Enum):
    """How a new connection ended."""

    REFUSED = "refused"
    ANSWERED = "answered"
    UNANSWERED = "accepted and ended without an answer"
    TIMED_OUT = "accepted and not answered in time"


class NewConnection(NamedTuple):
    """A connection with one request; times are monotonic seconds."""

    node: str
    boot: int
    opened_at: float
    ended_at: float
    end: ConnectionEnd


class NewConnections:
    """Opens connections and records how they end."""

    def __init__(self) -> None:
        self.connections: list[NewConnection] = []

    async def open(self, node: NodeProcess) -> None:
        """Open connections at a node until its process has ended."""
        boot = node.boot
        async with asyncio.TaskGroup() as group:
            while node.boot == boot and node.running:
                group.create_task(self._exchange(node, boot))
                await asyncio.sleep(1.0 / RATE)

    async def _exchange(self, node: NodeProcess, boot: int) -> None:
        opened_at, end, writer = time.monotonic(), ConnectionEnd.REFUSED, None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                reader, writer = await asyncio.open_connection(*node.outbound)
                opened_at, end = time.monotonic(), ConnectionEnd.UNANSWERED
                writer.write(REQUEST)
                await read_message(reader)
                end = ConnectionEnd.ANSWERED
        except TimeoutError:
            end = ConnectionEnd.TIMED_OUT if writer is not None else end
        except (OSError, asyncio.IncompleteReadError):
            pass  # recorded as `end`
        finally:
            if writer is not None:
                writer.close()
        ended_at = time.monotonic()
        self.connections.append(NewConnection(node.name, boot, opened_at, ended_at, end))


def cut_connections(observation: Observation, connections: list[NewConnection]) -> Iterator[str]:
    """Find connections at undisturbed nodes that were accepted and got no answer.

    One of each process is left out that may have come as the port was closed.
    """
    left_out: set[tuple[str, int]] = set()
    for conn in connections:
        if conn.end not in (ConnectionEnd.UNANSWERED, ConnectionEnd.TIMED_OUT):
            continue
        if not observation.undisturbed(conn.node, conn.opened_at, conn.ended_at):
            continue
        seconds, process = conn.ended_at - conn.opened_at, (conn.node, conn.boot)
        if seconds < ACCEPT_TIME and process not in left_out:
            left_out.add(process)
        else:
            yield (
                f"UNANSWERED: a new connection at {conn.node} (boot {conn.boot}) was "
                f"{conn.end.value}, {seconds:.2f} s after it was opened"
            )


def connection_summary(connections: list[NewConnection]) -> str:
    """Return one line with the ends of the connections, and the ages of those without answer."""
    counts = Counter(conn.end.value for conn in connections)
    ages = [c.ended_at - c.opened_at for c in connections if c.end is ConnectionEnd.UNANSWERED]
    text = ", ".join(f"{count} {end}" for end, count in counts.items())
    listed = " ".join(f"{1000 * age:.0f}" for age in sorted(ages))
    return f"new connections: {text}" + (f"; unanswered after ms: {listed}" if ages else "")

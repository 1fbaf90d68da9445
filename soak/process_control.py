"""Sends the signals of a plan to node processes, waits for their ends, and starts them again."""

import asyncio
import signal
import time
from contextlib import suppress

from soak.observation import Hangup, NodeStop
from standins.mesh_fleet import STOP_TIMEOUT, MeshFleet, NodeProcess

EXIT_POLL_PERIOD = 0.05  # seconds


class ProcessControl:
    """Records the planned stops and the SIGHUPs of a run."""

    def __init__(self, fleet: MeshFleet) -> None:
        self.stops: list[NodeStop] = []
        self.hangups: list[Hangup] = []
        self._fleet = fleet

    def terminate(self, node: NodeProcess, signum: int = signal.SIGTERM) -> None:
        """Tell a node to stop, by SIGTERM or SIGINT."""
        self.stops.append(NodeStop(node.name, node.boot, time.monotonic()))
        node.signal(signum)

    def hang_up(self, node: NodeProcess) -> None:
        """Send SIGHUP to a node."""
        self.hangups.append(Hangup(node.name, node.boot, time.monotonic()))
        node.signal(signal.SIGHUP)

    async def stop(self, node: NodeProcess) -> None:
        """Stop a node and wait until its process has ended."""
        if node.running:
            self.terminate(node)
        await wait_exit(node)

    async def restart(self, node: NodeProcess, delay: float) -> None:
        """Start a node again after its process, which has been told to end, and a delay."""
        await wait_exit(node)
        await self.start_later(node, delay)

    async def start_later(self, node: NodeProcess, delay: float) -> None:
        """Start a node after a delay in seconds, unless another fault has done so."""
        await asyncio.sleep(delay)
        self.start(node)

    def start(self, node: NodeProcess) -> None:
        """Start a node unless another fault has done so."""
        if not node.running:
            self._fleet.start_node(node)


async def wait_exit(node: NodeProcess) -> None:
    """Wait until the current process of a node has ended, and kill it after `STOP_TIMEOUT`."""
    process = node.process
    if process is None:
        return
    with suppress(TimeoutError):
        async with asyncio.timeout(STOP_TIMEOUT):
            while process.poll() is None:
                await asyncio.sleep(EXIT_POLL_PERIOD)
    if process.poll() is None:
        node.signal(signal.SIGKILL)
    while process.poll() is None:
        await asyncio.sleep(EXIT_POLL_PERIOD)

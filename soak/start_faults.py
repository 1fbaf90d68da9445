"""Faults of what a node process finds when it starts, and of the signals that it gets then.

Each begins with a planned stop. All draws are from generators of their own, so that the other draws
of a seed stay the same.
"""

import asyncio
import signal
import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from random import Random

from soak.new_connections import NewConnections
from soak.plan import Fault, FaultKind
from soak.process_control import ProcessControl
from standins.mesh_fleet import FIRST_PEER_PORT, MeshFleet, NodeProcess
from standins.worker import Endpoint

# All times are in seconds.
MIN_HOLD, MAX_HOLD = 0.5, 4.0  # of a port
MIN_CLOSED_TIME, MAX_CLOSED_TIME = 1.5, 4.0  # of a process without standard output or error
CLOSED_STREAMS = ((1,), (2,), (1, 2))
MAX_BROKEN_TIME = 0.8  # of the settings file
GONE_SHARE = 0.3  # of the broken settings files; the others are empty or half written
RUNNING_TIME = 1.5  # until the settings file is broken once more
SERIES_TIME, MAX_SIGNAL_GAP = 1.0, 0.06
HANGUPS_ONLY_SHARE = 0.5  # of the series
CONNECT_LEAD = 0.3  # seconds from the first new connections to SIGTERM
RESTART_DELAY = 0.5


class StartFaults:
    """Injects the faults of `START_KINDS`."""

    def __init__(self, fleet: MeshFleet, control: ProcessControl) -> None:
        self.new_connections = NewConnections()
        self._fleet = fleet
        self._control = control

    async def run(self, fault: Fault) -> None:
        """Inject one fault; returns after its end."""
        node, rng = self._fleet.nodes[fault.node], Random(f"start {fault!r}")
        if not node.running:
            return
        match fault.kind:
            case FaultKind.PORT_HELD:
                await self._hold_port(node, rng)
            case FaultKind.STREAMS_CLOSED:
                await self._close_streams(node, rng)
            case FaultKind.SETTINGS_BROKEN:
                await self._break_settings(node, rng)
            case FaultKind.SIGNAL_SERIES:
                await self._send_series(node, rng)
            case FaultKind.STOP_UNDER_NEW_CONNECTIONS:
                await self._stop_under_new_connections(node)

    async def _hold_port(self, node: NodeProcess, rng: Random) -> None:
        endpoint, seconds = rng.choice(node.listeners), rng.uniform(MIN_HOLD, MAX_HOLD)
        await self._control.stop(node)
        with held(endpoint):
            self._control.start(node)
            await asyncio.sleep(seconds)

    async def _close_streams(self, node: NodeProcess, rng: Random) -> None:
        streams = rng.choice(CLOSED_STREAMS)
        await self._control.stop(node)
        node.closed_streams = streams
        self._control.start(node)
        node.closed_streams = ()
        await asyncio.sleep(rng.uniform(MIN_CLOSED_TIME, MAX_CLOSED_TIME))
        await self._control.stop(node)
        await self._control.start_later(node, RESTART_DELAY)

    async def _break_settings(self, node: NodeProcess, rng: Random) -> None:
        """Start a node with a broken settings file; later break it again, and tell the node."""
        await self._control.stop(node)
        self._write_broken(node, rng)
        if not node.running:
            self._fleet.start_node(node, keep_settings=True)
        await asyncio.sleep(rng.uniform(0.0, MAX_BROKEN_TIME))
        self._fleet.write_settings(node)
        await asyncio.sleep(RUNNING_TIME)
        self._write_broken(node, rng)
        self._control.hang_up(node)
        await asyncio.sleep(rng.uniform(0.0, MAX_BROKEN_TIME))
        self._fleet.write_settings(node)
        self._control.hang_up(node)

    def _write_broken(self, node: NodeProcess, rng: Random) -> None:
        if rng.random() < GONE_SHARE:
            self._fleet.settings_file(node).unlink(missing_ok=True)
        else:
            self._fleet.write_settings(node, rng.choice([0.0, rng.uniform(0.1, 0.9)]))

    async def _send_series(self, node: NodeProcess, rng: Random) -> None:
        """Send signals to a process from its start on; start it again if it was told to stop."""
        hangups_only = rng.random() < HANGUPS_ONLY_SHARE
        signals = [signal.SIGHUP, signal.SIGTERM, signal.SIGINT][: 1 if hangups_only else 3]
        await self._control.stop(node)
        self._control.start(node)
        boot, loop = node.boot, asyncio.get_running_loop()
        end, stopped = loop.time() + SERIES_TIME, False
        while node.boot == boot and loop.time() < end:
            signum = rng.choice(signals)
            if signum == signal.SIGHUP:
                self._control.hang_up(node)
            else:
                self._control.terminate(node, signum)
                stopped = True
            await asyncio.sleep(rng.uniform(0.0, MAX_SIGNAL_GAP))
        if stopped and node.boot == boot:  # else it was started again for another reason
            await self._control.restart(node, RESTART_DELAY)

    async def _stop_under_new_connections(self, node: NodeProcess) -> None:
        opening = asyncio.create_task(self.new_connections.open(node))
        await asyncio.sleep(CONNECT_LEAD)
        await self._control.stop(node)
        await opening
        await self._control.start_later(node, RESTART_DELAY)


@contextmanager
def held(endpoint: Endpoint) -> Iterator[bool]:
    """Hold a port, and for peers that of datagrams, too; yields whether it was free.

    Connections to it are not accepted, and are reset at the end.
    """
    with ExitStack() as stack:
        free = False
        with suppress(OSError):
            listener = stack.enter_context(socket.create_server(tuple(endpoint)))
            free = bool(listener)
            if endpoint.port == FIRST_PEER_PORT:
                datagrams = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
                datagrams.bind(tuple(endpoint))
        yield free

"""The accepting side of links: the connections that peers open to this node."""

import asyncio
import socket

from thorntray.internal.connection.accept_queue import close_listener
from thorntray.internal.connection.link_connection import FrameHandler, LinkConnection
from thorntray.internal.connection.listening_sockets import accept_from, bind_tcp
from thorntray.internal.connection.receive_gate import ReceiveGate
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.memory_budget import MemoryBudget, Share

LISTEN_BACKLOG = 1024  # links waiting to be accepted; all peers may open theirs at the same time
CLOSE_POLL_PERIOD = 0.01  # seconds
FIRST_BYTE_TIME = 0.1  # seconds after which a peer has sent the first byte of a new link


class LinkListener:
    """Accepts the links that peers open.

    Calls that do not fit into the budget `memory` are left with their senders until they do.
    """

    def __init__(
        self,
        address: str,
        port: int,
        handler: FrameHandler,
        clock: Clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._address = address
        self._port = port
        self._handler = handler
        self._clock = clock
        self._gate = ReceiveGate(memory, Share.REQUEST)
        self._server: asyncio.Server | None = None
        self._connections: set[LinkConnection] = set()

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of frames to peers that the operating system has not yet taken.

        An exit of the process drops them.
        """
        return sum(connection.unsent_bytes for connection in self._connections)

    @property
    def received_bytes(self) -> int:
        """Return the bytes of incomplete frames."""
        return sum(connection.received_bytes for connection in self._connections)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def start(self) -> None:
        """Start listening; raises `OSError` when the port is in use."""
        await self.serve(bind_tcp(self._address, self._port))

    async def serve(self, sock: socket.socket) -> None:
        """Start listening on a bound socket; raises `OSError` if that fails, and closes it."""
        self._server = await accept_from(sock, self._accept, LISTEN_BACKLOG)

    def _accept(self) -> LinkConnection:
        return LinkConnection(
            self._handler, self._clock, registry=self._connections, gate=self._gate
        )

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def finish(self, seconds: float) -> None:
        """End all links after their last results; wait for the peers to close them.

        Peers end calls that arrive too late as never run. Waits for `seconds` at most.
        """
        server, self._server = self._server, None
        if server is not None:
            await close_listener(server, self._accept)
        await self._await_first_bytes()
        latest_end = self._clock.monotonic() + seconds
        for connection in list(self._connections):
            connection.go_away()
        while self._connections and self._clock.monotonic() < latest_end:
            await asyncio.sleep(CLOSE_POLL_PERIOD)

    async def _await_first_bytes(self) -> None:
        """Wait until the links that were accepted last tell whether they are compressed."""
        for _ in range(round(FIRST_BYTE_TIME / CLOSE_POLL_PERIOD)):
            await asyncio.sleep(CLOSE_POLL_PERIOD)
            if all(connection.mode_known for connection in self._connections):
                return

"""A TCP relay that injects connection faults between two processes.

It runs in threads, for tests without an event loop; `fault_proxy.py` is the asyncio counterpart.
"""

import socket
import threading

from standins.fleet import HOST, free_port

BUFFER_BYTES = 65536


class Relay:
    """Forwards TCP connections from its own loopback port to a target port of this machine."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._connections: list[tuple[socket.socket, socket.socket]] = []
        self.drop_responses = False  # discards all bytes from the target; connections stay open
        # Not a port that the system chooses: while the relay refuses connections, an outgoing
        # connection of any process could take it.
        self.port = free_port()
        self._listen()

    def close_connections(self) -> None:
        """Close all open connections."""
        connections, self._connections = self._connections, []
        for connection in connections:
            for side in connection:
                side.close()

    def refuse_connections(self) -> None:
        """Close the listener and all connections, so that new connections are refused."""
        # The shutdown wakes the accepting thread; a close alone would leave the port open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.close_connections()

    def heal(self) -> None:
        """Forward all bytes and accept connections again."""
        self.drop_responses = False
        if self._listener.fileno() == -1:
            self._listen()

    def close(self) -> None:
        """Stop the relay."""
        if self._listener.fileno() != -1:
            self.refuse_connections()

    def _listen(self) -> None:
        self._listener = socket.create_server((HOST, self.port))
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                upstream = socket.create_connection((HOST, self._target_port), timeout=5)
            except OSError:
                client.close()
                continue
            self._connections.append((client, upstream))
            threading.Thread(target=self._pump, args=(client, upstream, False), daemon=True).start()
            threading.Thread(target=self._pump, args=(upstream, client, True), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, from_target: bool) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                if not (from_target and self.drop_responses):
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for side in (source, sink):
                try:
                    side.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

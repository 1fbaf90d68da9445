"""A TCP relay between two processes, to cut, freeze or damage a link from a test."""

import socket
import threading

BUFFER_BYTES = 65536


class Relay:
    """Listens on its own port and passes bytes to a target port of this machine."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        self.drop_answers = False  # bytes from the target are swallowed
        self.port = 0
        self._listen()

    def close_connections(self) -> None:
        """Reset all open connections."""
        pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for side in pair:
                side.close()

    def cut_off(self) -> None:
        """Reset all connections and refuse new ones."""
        # A shutdown wakes the thread that accepts; a close alone would leave the port open.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.close_connections()

    def heal(self) -> None:
        """Pass everything on again."""
        self.drop_answers = False
        if self._listener.fileno() == -1:
            self._listen()

    def close(self) -> None:
        """End the relay."""
        if self._listener.fileno() != -1:
            self.cut_off()

    def _listen(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", self.port))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(("127.0.0.1", self._target_port), timeout=5)
            except OSError:
                near.close()
                continue
            self._pairs.append((near, far))
            threading.Thread(target=self._pump, args=(near, far, False), daemon=True).start()
            threading.Thread(target=self._pump, args=(far, near, True), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        try:
            while data := source.recv(BUFFER_BYTES):
                if not (answers and self.drop_answers):
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for side in (source, sink):
                try:
                    side.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

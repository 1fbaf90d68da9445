"""Test helpers for links under load: peers over plain sockets that read slowly, fake transports."""

import socket
import threading
import time

from tests.mesh_builders import HOST, make_call, make_result_frame
from thorntray.internal.connection.frame import CallFrame, FrameReader, Hello, encode_frame
from thorntray.internal.connection.link_connection import PLAIN_STREAM

RECEIVE_BUFFER = 256 * 1024  # bytes that the kernel of a slow reader takes
READ_BYTES = 100_000
READ_PERIOD = 0.01  # seconds between two reads


def read_slowly(sock: socket.socket) -> bytes:
    """Return some bytes from a socket, at about 10 MB a second."""
    time.sleep(READ_PERIOD)
    return sock.recv(READ_BYTES)


class SlowOwner:
    """Accepts one link in a thread, reads slowly, and answers when it has read `expected` calls."""

    def __init__(self, expected: int) -> None:
        self.calls = 0
        self._expected = expected
        self._server = socket.create_server((HOST, 0))
        self._server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.port = self._server.getsockname()[1]
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        link, _ = self._server.accept()
        link.recv(len(PLAIN_STREAM))
        reader = FrameReader()
        numbers: list[int] = []
        while len(numbers) < self._expected:
            data = read_slowly(link)
            if not data:
                return
            numbers += [f.number for f in reader.feed(data) if isinstance(f, CallFrame)]
            self.calls = len(numbers)
        for number in numbers:
            link.sendall(encode_frame(make_result_frame(number)))
        link.recv(READ_BYTES)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()


class SlowOrigin:
    """Opens a link in a thread, sends `calls`, and reads the results slowly or not at all."""

    def __init__(self, port: int, calls: int) -> None:
        self.results = 0
        self._calls = calls
        self._port = port
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        with socket.socket() as link:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            link.connect((HOST, self._port))
            frames = [Hello("origin", b"s"), *(make_call(number=n + 1) for n in range(self._calls))]
            link.sendall(PLAIN_STREAM + b"".join(map(encode_frame, frames)))
            reader = FrameReader()
            while self.results < self._calls:
                try:
                    data = read_slowly(link)
                except ConnectionResetError:
                    return
                if not data:
                    return
                self.results += len(reader.feed(data))


class RecordingTransport:
    """A transport without a socket; `sent` lists what was written, `paused` whether it reads."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.paused = False
        self.unsent = 0  # bytes reported as waiting
        self.closed = False

    def write(self, data: bytes) -> None:
        """Record a write."""
        self.sent.append(bytes(data))

    def is_closing(self) -> bool:
        """Return whether it was aborted."""
        return self.closed

    def abort(self) -> None:
        """Record the end."""
        self.closed = True

    def get_write_buffer_size(self) -> int:
        """Return `unsent`."""
        return self.unsent

    def get_extra_info(self, name: str) -> None:
        """Return None, as there is no socket."""
        return None

    def pause_reading(self) -> None:
        """Record the pause."""
        self.paused = True

    def resume_reading(self) -> None:
        """Record the end of the pause."""
        self.paused = False

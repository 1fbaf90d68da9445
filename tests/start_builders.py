"""Test fixtures of the start of a node process: held ports, and callers that try all the time."""

import errno
import re
import socket
import threading
import time
from enum import Enum
from itertools import count
from pathlib import Path
from typing import NamedTuple, Self

from standins.mesh_fleet import (
    CONTROL_PORT,
    FIRST_PEER_PORT,
    METRICS_PORT,
    OUTBOUND_PORT,
    READY_PORT,
)
from tests.process_builders import REQUEST, PlatformProcess
from thorntray.internal.connection.listening_sockets import bind_tcp

CALL_PERIOD = 0.005  # seconds between the connections of a caller
CALL_TIMEOUT = 15.0  # seconds; more than the time for which a node waits for a port
BACKLOG = 16


# Above those of the fleets that a run of tests starts, which number their nodes from 1 on.
FIRST_INDEX = 64
_indexes = count(FIRST_INDEX)


def make_node(folder: Path, **options) -> PlatformProcess:
    """Return a node at an address of its own, where no earlier process has left TIME_WAIT."""
    return PlatformProcess(folder, index=next(_indexes), **options)


class Purpose(NamedTuple):
    """A port of a node, and the kind of socket that it needs."""

    port: int
    kind: socket.SocketKind


PURPOSES = {
    "links": Purpose(FIRST_PEER_PORT, socket.SOCK_STREAM),
    "gossip": Purpose(FIRST_PEER_PORT, socket.SOCK_DGRAM),
    "readiness": Purpose(READY_PORT, socket.SOCK_STREAM),
    "announcements": Purpose(CONTROL_PORT, socket.SOCK_STREAM),
    "callers": Purpose(OUTBOUND_PORT, socket.SOCK_STREAM),
}


class Hold(Enum):
    """How another socket holds a port."""

    BOUND = "bound"
    REUSABLE = "bound with SO_REUSEADDR"
    LISTENING = "listening"


class HeldPort:
    """A port that another socket holds until `release`; use as a context manager."""

    def __init__(
        self,
        host: str,
        port: int,
        kind: socket.SocketKind = socket.SOCK_STREAM,
        hold: Hold = Hold.BOUND,
    ) -> None:
        self._socket = socket.socket(socket.AF_INET, kind)
        if hold is not Hold.BOUND:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        if hold is Hold.LISTENING:
            self.listen()

    def listen(self) -> None:
        """Begin to listen, without accepting."""
        self._socket.listen(BACKLOG)

    def release(self) -> None:
        """Free the port."""
        self._socket.close()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.release()


class LateAddress:
    """An address that a machine gets after some failed attempts to bind a port of it."""

    def __init__(self, attempts: int) -> None:
        self._attempts = attempts
        self.failures = 0

    def bind(self, host: str, port: int) -> socket.socket:
        """Bind as `bind_tcp` does once the address is there."""
        if self.failures < self._attempts:
            self.failures += 1
            raise OSError(errno.EADDRNOTAVAIL, "Cannot assign requested address")
        return bind_tcp(host, port)


class CallSeries:
    """Calls an address from another thread, each time on a new connection, until the block is left.

    A connection that nobody accepts is no call; `unanswered` counts those that were accepted and
    ended without a byte.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.answered = 0
        self.unanswered = 0

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join(CALL_TIMEOUT)

    def wait_answered(self, seconds: float) -> bool:
        """Return whether a call is answered within a time in seconds."""
        deadline = time.monotonic() + seconds
        while not self.answered and time.monotonic() < deadline:
            time.sleep(CALL_PERIOD)
        return self.answered > 0

    def _run(self) -> None:
        while not self._ended.wait(CALL_PERIOD):
            self._call()

    def _call(self) -> None:
        try:
            caller = socket.create_connection(self._address, timeout=CALL_TIMEOUT)
        except OSError:
            return
        with caller:
            try:
                caller.sendall(REQUEST)
                answer = caller.recv(1 << 16)
            except OSError:
                answer = b""
        if answer:
            self.answered += 1
        else:
            self.unanswered += 1


def read_metrics(node: PlatformProcess) -> bytes:
    """Return the beginning of the metrics of a node."""
    with socket.create_connection((node.host, METRICS_PORT), timeout=CALL_TIMEOUT) as reader:
        reader.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        return b"".join(iter(lambda: reader.recv(1 << 16), b""))


def set_port_range(node: PlatformProcess, first: int, last: int) -> None:
    """Give a node, which is not started yet, another range of ports for peers."""
    text = re.sub(r"PortRange = .*", f"PortRange = [{first},{last}]", node.text)
    node.settings.write_text(text, "utf-8")

"""Test fixture: one real `platform/run.py` process, controlled from its first lines on.

The node has no store and no worker: it serves callers, and answers that it has no policy.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from typing import Self

from standins.mesh_fleet import OUTBOUND_PORT, PACKAGES, READY_PORT, ROOT, MeshFleet, NodeProcess

START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 15.0  # seconds; more than the stop limit in the settings of the node
POLL_PERIOD = 0.001  # seconds
REQUEST = b"GET /prices/1 HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: id-1\r\n\r\n"

# A module that run.py imports, replaced by one that waits at a named pipe and then imports it.
GATED_MODULE = "uvloop"
GATE_SOURCE = f"""
import os, sys
sys.path.remove(os.path.dirname(__file__))
open(os.environ["IMPORT_GATE"]).read()
del sys.modules["{GATED_MODULE}"]
import {GATED_MODULE}
"""


class PlatformProcess:
    """A node process; use as a context manager, which kills the process at its end.

    `patch` is Python source that runs before the node's modules are imported. With `gated`, the
    process waits during its imports until `open_gate` is called.
    """

    def __init__(self, folder: Path, gated: bool = False, patch: str = "") -> None:
        fleet = MeshFleet([], {}, Random(0))
        self._node = NodeProcess("single-1", "single", "kalimati", 1)
        self._host = fleet._address(1, 1)
        self._folder = folder
        self._gate = folder / "gate"
        settings = folder / "boot.toml"
        settings.write_text(fleet._settings(self._node), "utf-8")
        modules = folder / "modules"
        modules.mkdir()
        if gated:
            os.mkfifo(self._gate)
            (modules / f"{GATED_MODULE}.py").write_text(GATE_SOURCE, "utf-8")
        if patch:
            (modules / "sitecustomize.py").write_text(patch, "utf-8")
        paths = [str(modules), *(str(ROOT / path) for path in PACKAGES)]
        self._env = {
            **os.environ,
            "THORNTRAY_BOOT": str(settings),
            "IMPORT_GATE": str(self._gate),
            "PYTHONPATH": os.pathsep.join(paths),
        }
        self.process: subprocess.Popen[bytes]

    def __enter__(self) -> Self:
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def start(self, stdout: int | None = None) -> None:
        """Start the process; its output goes to a file, or its stdout to `stdout`."""
        with (self._folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform/run.py")],
                stdout=log if stdout is None else stdout,
                stderr=log,
                env=self._env,
                cwd=ROOT,
            )

    @property
    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / "node.log").read_text("utf-8")

    def send_while_importing(self, signum: signal.Signals) -> None:
        """Send a signal while the process is importing its modules, and let it go on."""
        with self._gate.open("w"):  # blocks until the process has reached the gate
            self.process.send_signal(signum)

    def connect(self) -> socket.socket:
        """Return a caller's connection, opened as soon as the process listens."""
        return self._connect(OUTBOUND_PORT)

    def wait_listening(self) -> None:
        """Wait until the process listens for readiness checks."""
        self._connect(READY_PORT).close()

    def _connect(self, port: int) -> socket.socket:
        deadline = time.monotonic() + START_TIMEOUT
        while True:
            try:
                return socket.create_connection((self._host, port), timeout=START_TIMEOUT)
            except ConnectionRefusedError:
                if self.process.poll() is not None or time.monotonic() > deadline:
                    raise
                time.sleep(POLL_PERIOD)

    def wait_ended(self) -> int:
        """Wait until the process has ended; return its exit code."""
        return self.process.wait(STOP_TIMEOUT)

    def wait_for_log(self, text: str) -> None:
        """Wait until the process has written a text; raises `TimeoutError` if it does not."""
        deadline = time.monotonic() + START_TIMEOUT
        while text not in self.log:
            if time.monotonic() > deadline:
                raise TimeoutError(f"the node did not write {text!r}:\n{self.log}")
            time.sleep(0.01)

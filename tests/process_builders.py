"""Test fixture: one real `platform/run.py` process, controlled from its first lines on.

The node has no store and no worker: it serves callers, and answers that it has no policy.
"""

import os
import signal
import socket
import subprocess
import sys
import sysconfig
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Self

from standins.mesh_fleet import (
    OUTBOUND_PORT,
    PACKAGES,
    ROOT,
    Endpoint,
    MeshFleet,
    NodeProcess,
)

START_TIMEOUT = 20.0  # seconds
STOP_TIMEOUT = 15.0  # seconds; more than the stop limit in the settings of the node
POLL_PERIOD = 0.001  # seconds
REQUEST = b"GET /prices/1 HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: id-1\r\n\r\n"

# A module that run.py imports, replaced by one that waits at a named pipe and then imports it.
GATED_MODULE = "uvloop"
GATE_SOURCE = """
import os, sys
sys.path.remove(os.path.dirname(__file__))
open(os.environ["IMPORT_GATE"]).read()
del sys.modules["{module}"]
import {module}
"""

FAILURE = "RuntimeError('a fault of the test')"
FAILING_STEP_SOURCE = f"""
from thorntray_node.mesh_node import MeshNode
async def fail(*_):
    raise {FAILURE}
MeshNode.{{step}} = fail
"""
FAILING_ONCE_SOURCE = f"""
from thorntray.internal.telemetry.log_output import LogOutput
from thorntray_node.settings_reload import SettingsReload
sound = {{method}}
def fail_once(self):
    {{method}} = sound
    raise {FAILURE}
{{method}} = fail_once
"""


@contextmanager
def blocked_signal(signum: signal.Signals) -> Iterator[None]:
    """Have processes that are started meanwhile inherit a mask that blocks a signal."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {signum})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


@contextmanager
def ignored_signal(signum: signal.Signals) -> Iterator[None]:
    """Have processes that are started meanwhile inherit that a signal is ignored."""
    before = signal.signal(signum, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signum, before)


class PlatformProcess:
    """A node process; use as a context manager, which kills the process at its end.

    With `gated`, the process waits during the import of `gated_module` for `send_while_importing`.
    With `piped`, its stdout is a pipe. `failing_step` names a method of `MeshNode` that raises
    `FAILURE`, `failing_once` a method without arguments whose first call does. `options` are those
    of the interpreter. Processes that run at the same time need different values of `index`.
    """

    def __init__(
        self,
        folder: Path,
        gated: bool = False,
        piped: bool = False,
        failing_step: str = "",
        failing_once: str = "",
        gated_module: str = GATED_MODULE,
        options: tuple[str, ...] = (),
        index: int = 1,
    ) -> None:
        fleet = MeshFleet([], {}, Random(0))
        self._node = NodeProcess("single-1", "single", "kalimati", index)
        self._host = fleet._address(1, index)
        self.outbound = Endpoint(self._host, OUTBOUND_PORT)
        self._folder = folder
        self._piped = piped
        self._options = options
        self._gate = folder / "gate"
        settings = folder / "boot.toml"
        settings.write_text(fleet._settings(self._node), "utf-8")
        modules = folder / "modules"
        modules.mkdir()
        if gated:
            os.mkfifo(self._gate)
            source = GATE_SOURCE.format(module=gated_module)
            (modules / f"{gated_module}.py").write_text(source, "utf-8")
        if failing_step:
            source = FAILING_STEP_SOURCE.format(step=failing_step)
            (modules / "sitecustomize.py").write_text(source, "utf-8")
        if failing_once:
            source = FAILING_ONCE_SOURCE.format(method=failing_once)
            (modules / "sitecustomize.py").write_text(source, "utf-8")
        paths = [str(modules), *(str(ROOT / path) for path in PACKAGES)]
        if "-S" in options:  # the libraries are on the path, as `target/deps` is on the platform
            paths.append(sysconfig.get_path("purelib"))
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
        self._kill()

    @contextmanager
    def running(self) -> Iterator[None]:
        """Kill the process, which was started before, at the end of the context."""
        try:
            yield
        finally:
            self._kill()

    def _kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def start(self) -> None:
        """Start the process; unless it is piped, its output goes to the log."""
        with (self._folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self._options, str(ROOT / "platform/run.py")],
                stdout=subprocess.PIPE if self._piped else log,
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
        deadline = time.monotonic() + START_TIMEOUT
        while True:
            try:
                return socket.create_connection((self._host, OUTBOUND_PORT), timeout=START_TIMEOUT)
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

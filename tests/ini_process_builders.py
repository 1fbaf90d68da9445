"""Test fixture: one real `thorntray-node` process with a settings file of its own (INI)."""

import os
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Self

from standins.fleet import PACKAGES, ROOT, free_port

HOST = "127.0.0.1"
TIMEOUT = 20.0  # seconds
POLL_PERIOD = 0.01  # seconds


class IniProcess:
    """A node process without peers; use as a context manager, which kills the process at its end.

    `closed` are the descriptors that are closed when the process starts, `modules` the sources of
    modules that it imports in place of the installed ones, `host` the address of all its ports.
    """

    def __init__(
        self,
        folder: Path,
        closed: tuple[int, ...] = (),
        modules: dict[str, str] | None = None,
        arguments: tuple[str, ...] = (),
        host: str = HOST,
    ) -> None:
        self.settings = folder / "node.ini"
        self.host = host
        self.port = free_port()
        self.command = [
            *(sys.executable, "-c", "from thorntray_node.main import run; run()"),
            *(f"--config={self.settings}", *arguments),
        ]
        url_host = f"[{host}]" if ":" in host else host
        self.text = (
            f"[node]\nname = tariff-1\naddress = {host}\nhttp_port = {self.port}\n"
            f"peer_port = {free_port()}\ndocument_port = {free_port()}\n"
            f"gossip_port = {free_port()}\ndomain = kalimati\nregion = local\nservice = tariff\n"
            f"upstream = http://{url_host}:{free_port()}\n[platform]\n"
            f"endpoints = http://{url_host}:{free_port()}\n"
            f"[team himal]\npublic_keys = {'ab' * 32}\n"
        )
        self.settings.write_text(self.text, "utf-8")
        self._folder = folder
        self._closed = closed
        replaced = folder / "modules"
        replaced.mkdir()
        for name, source in (modules or {}).items():
            (replaced / f"{name}.py").write_text(source, "utf-8")
        paths = [str(replaced), *(str(ROOT / path) for path in PACKAGES)]
        self.env = {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}
        self.process: subprocess.Popen[bytes]

    def __enter__(self) -> Self:
        with (self._folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                stdout=log,
                stderr=log,
                preexec_fn=self._close_descriptors if self._closed else None,
                env=self.env,
            )
        return self

    def __exit__(self, *_: object) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def _close_descriptors(self) -> None:
        for descriptor in self._closed:
            os.close(descriptor)

    @property
    def log(self) -> str:
        """Return what the process has written."""
        return (self._folder / "node.log").read_text("utf-8")

    def wait_listening(self) -> None:
        """Wait until the process accepts callers; raises `OSError` if it does not."""
        deadline = time.monotonic() + TIMEOUT
        while True:
            try:
                socket.create_connection((self.host, self.port)).close()
                return
            except ConnectionRefusedError as exc:
                if self.process.poll() is not None or time.monotonic() > deadline:
                    raise ConnectionError(f"the node does not listen:\n{self.log}") from exc
                time.sleep(POLL_PERIOD)

    def wait_for_log(self, text: str) -> None:
        """Wait until the process has written a text; raises `TimeoutError` if it does not."""
        deadline = time.monotonic() + TIMEOUT
        while text not in self.log:
            if self.process.poll() is not None or time.monotonic() > deadline:
                raise TimeoutError(f"the node did not write {text!r}:\n{self.log}")
            time.sleep(POLL_PERIOD)

    def wait_ended(self) -> int:
        """Wait until the process has ended; return its exit code."""
        return self.process.wait(TIMEOUT)

"""Starts a small fleet of processes on this machine: platform stand-in, nodes, upstream instances.

All processes listen on free ports of the loopback address. The fleet kills only the processes that
it started.
"""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import Any, Self

from standins.claims import claim

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("packages/thorntray/src", "packages/thorntray-node/src", "packages/thorntrayctl/src")
START_TIMEOUT = 60.0  # seconds; default timeout of `wait_for`
HOST = "127.0.0.1"


# Blocks of ports below the ephemeral range of the system, one for each process that uses any.
FIRST_PORT, BLOCK_SIZE, BLOCKS = 12000, 250, 80
FIRST_GUARD_PORT = 11900  # port of the guard of the first block


@cache
def _port_cycle() -> Iterator[int]:
    """Claim a block for this process and return an endless iterator over its ports."""
    block = claim([(HOST, FIRST_GUARD_PORT + n) for n in range(BLOCKS)])
    first = FIRST_PORT + block * BLOCK_SIZE
    return itertools.cycle(range(first, first + BLOCK_SIZE))


def free_port() -> int:
    """Return a port that is free for TCP and UDP and is not returned again soon.

    The port is below the ephemeral range of the system, and in a block that only this process uses.
    Otherwise an outgoing connection, or another run, could take it before the intended process
    binds it.
    """
    for port in _port_cycle():
        try:
            with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
                return port
        except OSError:
            continue
    raise AssertionError("unreachable: the port iterator is infinite")


def wait_for(description: str, condition: Any, timeout: float = START_TIMEOUT) -> None:
    """Poll until `condition()` is true; raises `TimeoutError` after `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"waited {timeout:.0f} s for {description}")
        time.sleep(0.05)


def http(method: str, url: str, body: Any = None, headers: dict | None = None) -> tuple[int, Any]:
    """Send a request; return the status and the body, decoded from JSON or else as text."""
    data = json.dumps(body).encode() if body is not None else None
    req = urllib.request.Request(url, data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(req, timeout=10) as resp:
            status, raw = resp.status, resp.read()
    except urllib.error.HTTPError as exc:
        status, raw = exc.code, exc.read()
    try:
        return status, json.loads(raw)
    except ValueError:
        return status, raw.decode("utf-8", "replace")


@dataclass
class Site:
    """An upstream instance and its node, with their ports and processes."""

    name: str
    service: str
    domain: str
    slots: int
    service_time: float  # seconds
    http_port: int = field(default_factory=free_port)
    peer_port: int = field(default_factory=free_port)
    document_port: int = field(default_factory=free_port)
    gossip_port: int = field(default_factory=free_port)
    upstream_port: int = field(default_factory=free_port)
    node: subprocess.Popen | None = None
    upstream: subprocess.Popen | None = None

    @property
    def url(self) -> str:
        """Return the node's base URL."""
        return f"http://{HOST}:{self.http_port}"

    @property
    def upstream_url(self) -> str:
        """Return the base URL of the upstream instance."""
        return f"http://{HOST}:{self.upstream_port}"


class Fleet:
    """The processes of one run.

    Use as a context manager: leaving the context kills all processes that the fleet started. Each
    team in `teams` gets a key pair.
    """

    def __init__(self, teams: Iterable[str]) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="thorntray-"))
        self.platform_port = free_port()
        self.sites: list[Site] = []
        self.teams = list(teams)
        self.node_command = ("-c", "from thorntray_node.main import run; run()")
        self.public_keys: dict[str, str] = {}
        self._processes: list[subprocess.Popen] = []
        for team in self.teams:
            self.public_keys[team] = self.run_ctl("keygen", str(self.key_file(team))).strip()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform stand-in."""
        return f"http://{HOST}:{self.platform_port}"

    def key_file(self, team: str) -> Path:
        """Return the path of the private key of a team."""
        return self.folder / f"{team}.key"

    def run_ctl(self, *args: str, check: bool = True) -> str:
        """Run `thorntrayctl` and return its stdout.

        With `check`, a non-zero exit code raises `RuntimeError`.
        """
        command = [sys.executable, "-c", "from thorntrayctl.main import run; run()", *args]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=90)
        if check and completed.returncode:
            raise RuntimeError(
                f"thorntrayctl {args[0]}: exit {completed.returncode}: {completed.stderr}"
            )
        return completed.stdout

    def apply(self, team: str, path: Path, reason: str = "from files") -> str:
        """Apply the settings files of a team."""
        return self.run_ctl("apply", *self.store_args(team), str(path), "--reason", reason)

    def store_args(self, team: str) -> list[str]:
        """Return the `thorntrayctl` arguments for the team, the platform and the team's key."""
        return [team, "--platform", self.platform_url, "--key", str(self.key_file(team))]

    def start_platform(self) -> subprocess.Popen:
        """Start the platform stand-in and wait until it responds."""
        process = self._start("platform", "-m", "standins.platform", "--port", self.platform_port)
        wait_for("the platform", lambda: _is_reachable(f"{self.platform_url}/counts"))
        return process

    def set_faults(self, **faults: object) -> None:
        """Set faults of the platform stand-in; see `standins.platform`."""
        http("POST", f"{self.platform_url}/fault", faults)

    def add_site(self, site: Site, announce: bool = True) -> Site:
        """Start the node and the upstream instance of a site."""
        self.sites.append(site)
        self.start_node(site)
        self.start_upstream(site, announce)
        return site

    def start_node(self, site: Site) -> None:
        """Start or restart the node of a site."""
        file = self.folder / f"{site.name}.ini"
        file.write_text(self._node_ini(site), "utf-8")
        site.node = self._start(site.name, *self.node_command, f"--config={file}")

    def start_upstream(self, site: Site, announce: bool = True) -> None:
        """Start or restart the upstream instance of a site."""
        args = ["-m", "standins.upstream", "--port", site.upstream_port, "--node", site.url]
        args += ["--service", site.service, "--slots", site.slots, "--time", site.service_time]
        site.upstream = self._start(f"{site.name}-up", *args, *([] if announce else ["--silent"]))

    def wait_ready(self, sites: Iterable[Site] | None = None, members: int | None = None) -> None:
        """Wait until each node is ready and has enough live, ready members in its view.

        `sites` defaults to all sites and `members` to the number of sites.
        """
        sites = list(self.sites if sites is None else sites)
        expected = len(sites) if members is None else members
        for site in sites:
            wait_for(f"{site.name} ready", lambda s=site: self._is_ready(s, expected))

    def run_counts(self, sites: Iterable[Site] | None = None) -> dict[str, int]:
        """Return how often each request ran, summed over sites and keyed by `SERVICE:REQUEST`."""
        total: dict[str, int] = {}
        for site in self.sites if sites is None else sites:
            _, record = http("GET", f"{site.upstream_url}/record")
            for name, count in record["ran"].items():
                key = f"{site.service}:{name}"
                total[key] = total.get(key, 0) + count
        return total

    def _is_ready(self, site: Site, members: int) -> bool:
        if not _is_reachable(f"{site.url}/thorntray/status"):
            return False
        status, _ = http("GET", f"{site.url}/thorntray/status")
        _, dump = http("GET", f"{site.url}/thorntray/dump")
        ready = [m for m in dump["members"] if m["ready"] and m["health"] == "alive"]
        return status == 200 and len(ready) >= members

    def _node_ini(self, site: Site) -> str:
        teams = "\n".join(
            f"[team {team}]\npublic_keys = {key}" for team, key in self.public_keys.items()
        )
        return (
            f"[node]\nname = {site.name}\naddress = {HOST}\nhttp_port = {site.http_port}\n"
            f"peer_port = {site.peer_port}\ndocument_port = {site.document_port}\n"
            f"gossip_port = {site.gossip_port}\n"
            f"domain = {site.domain}\nregion = local\nservice = {site.service}\n"
            f"upstream = {site.upstream_url}\n[platform]\nendpoints = {self.platform_url}\n"
            f"{teams}\n"
        )

    def _start(self, name: str, *args: object) -> subprocess.Popen:
        log = (self.folder / f"{name}.log").open("ab")
        paths = os.pathsep.join(str(ROOT / path) for path in (".", *PACKAGES))
        env = {**os.environ, "PYTHONPATH": paths, "PYTHONUNBUFFERED": "1"}
        process = subprocess.Popen(
            [sys.executable, *map(str, args)], stdout=log, stderr=log, env=env, cwd=self.folder
        )
        self._processes.append(process)
        return process


def _is_reachable(url: str) -> bool:
    try:
        http("GET", url)
    except OSError:
        return False
    return True

"""Test fixture: three instances with nodes of their own, to stop one of the nodes."""

import socket
import time
import uuid
from email.message import Message
from http.client import parse_headers
from pathlib import Path
from typing import BinaryIO

from standins.fleet import HOST, ROOT, Fleet, Site, http
from thorntray.internal.request.grant import read_claims

DRAIN_LIMIT = 6  # seconds
SLOTS = 50
SERVICE_TIME = 0.005  # seconds
LOOKUP_PATH, PAYOUT_PATH = "haul/slots", "settle/payouts"
LONG_DEADLINE = {"thorntray-deadline-ms": "20000"}
ANSWER_TIMEOUT = 30.0  # seconds


class StopFleet(Fleet):
    """A platform stand-in and the sites `stopping` and `other` for payouts, `haul` for lookups."""

    def __init__(self) -> None:
        super().__init__(["himal"])
        self.stopping = Site("stopping", "settle", "kalimati", SLOTS, SERVICE_TIME)
        self.other = Site("other", "settle", "balaju", SLOTS, SERVICE_TIME)
        self.haul = Site("haul", "haul", "balaju", SLOTS, SERVICE_TIME)

    def start(self) -> None:
        """Start all processes and wait until the nodes are ready."""
        self.start_platform()
        self.apply("himal", ROOT / "demo/settings/himal")
        self.add_site(self.stopping)
        self.add_site(self.other)
        self.add_site(self.haul)
        self.wait_ready()

    def restart(self) -> None:
        """Start the stopped node again, and wait until the nodes are ready."""
        if self.stopping.node.poll() is not None:
            self.start_node(self.stopping)
        self.wait_ready()

    def log_file(self, site: Site) -> Path:
        """Return the file for stdout and stderr of a node."""
        return self.folder / f"{site.name}.log"

    def _node_ini(self, site: Site) -> str:
        limit = f"drain_limit = {DRAIN_LIMIT}\n[platform]"
        return super()._node_ini(site).replace("[platform]", limit)


def connect(site: Site) -> socket.socket:
    """Return a connection of a caller to the node of a site."""
    return socket.create_connection((HOST, site.http_port), timeout=ANSWER_TIMEOUT)


def connect_early(site: Site) -> socket.socket:
    """Return a connection to a node that is starting, opened as soon as the node listens."""
    deadline = time.monotonic() + ANSWER_TIMEOUT
    while True:
        try:
            return connect(site)
        except ConnectionRefusedError:
            if site.node.poll() is not None or time.monotonic() > deadline:
                raise
            time.sleep(0.001)


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a caller's request on a connection that is kept."""
    fields = {"host": "x", "content-length": str(len(body)), **headers}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} /call/{path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def read_answer(reader: BinaryIO) -> tuple[int, Message, bytes]:
    """Return status, headers and body of the next answer; raises `EOFError` if there is none."""
    status_line = reader.readline()
    if not status_line.endswith(b"\n"):
        raise EOFError(f"the connection ended before an answer: {status_line!r}")
    headers = parse_headers(reader)
    return int(status_line.split()[1]), headers, reader.read(int(headers["content-length"]))


def outcome(answer: tuple[int, Message, bytes]) -> tuple[int, str]:
    """Return the status and the outcome of an answer."""
    return answer[0], answer[1].get("thorntray-outcome", "")


def request_grant(ingress: Site, owner: Site) -> str:
    """Return a grant issued by the node of `owner`; raises `TimeoutError` if there is none.

    The idempotency key decides on the owner. Without one, a node of another failure domain is asked
    only when the grants of the ingress are used up, after 20,000 requests.
    """
    deadline = time.monotonic() + ANSWER_TIMEOUT
    while time.monotonic() < deadline:
        key = {"idempotency-key": uuid.uuid4().hex}
        with connect(ingress) as sock:
            sock.sendall(request_bytes("POST", PAYOUT_PATH, key, b"{}"))
            grant = read_answer(sock.makefile("rb"))[1]["thorntray-grant"]
        if read_claims(grant).ok.owner == owner.name:
            return grant
    raise TimeoutError(f"no grant of {owner.name}")


def pay(ingress: Site, grant: str, query: str = "") -> tuple[int, str]:
    """Send a payout and return the status and the outcome of its answer."""
    headers = {"thorntray-grant": grant, "thorntray-deadline-ms": "20000"}
    with connect(ingress) as sock:
        sock.sendall(request_bytes("POST", PAYOUT_PATH + query, headers, b"{}"))
        return outcome(read_answer(sock.makefile("rb")))


def running(site: Site) -> int:
    """Return how many requests the node of a site is running at its instance."""
    return http("GET", f"{site.url}/thorntray/dump")[1]["attempts"]["executing"]

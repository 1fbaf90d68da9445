"""Processor time of a call on the lean path: `python -m bench.lean_path [--away]`.

Two nodes, a client with eight connections and an instance that answers at once share one process
and one event loop, so the figure is an upper bound for two nodes. With `--away` the nodes stand in
different failure domains and compress their link.
"""

import argparse
import asyncio
import itertools
import time

import uvloop

from tests.mesh_builders import HOST, MeshFleet, make_announcement
from thorntray_node.mesh_node import MeshNode

CONNECTIONS = 8
CALLS = 1500  # on each connection
ROUNDS = 3  # the first one warms up
BODY = b"x" * 600
ID_FIELD = b"Thorntray-Request-Id: "


class Instance(asyncio.Protocol):
    """Answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer with the request's id."""
        start = data.index(ID_FIELD) + len(ID_FIELD)
        request_id = data[start : data.index(b"\r", start)]
        head = b"HTTP/1.1 200 OK\r\n%b%b\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n"
        self._transport.write(head % (ID_FIELD, request_id, len(BODY)) + BODY)


class Client(asyncio.Protocol):
    """Sends one request after the other."""

    def __init__(self, done: "asyncio.Future[None]") -> None:
        self._done = done
        self._sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Go on, or end; any other answer than a served one ends the measurement."""
        if not data.startswith(b"HTTP/1.1 200"):
            self._done.set_exception(RuntimeError(f"not served: {data[:80]!r}"))
        elif self._sent < CALLS:
            self._send()
        elif not self._done.done():
            self._done.set_result(None)

    def _send(self) -> None:
        self._sent += 1
        self._transport.write(
            b"GET /prices/%d HTTP/1.1\r\nHost: a.example\r\n%b%d\r\nThorntray-Deadline-Ms: 3000\r\n"
            b"Accept: */*\r\nUser-Agent: bench\r\n\r\n" % (self._sent, ID_FIELD, self._sent)
        )


async def announce(node: MeshNode) -> None:
    """Announce the instance each second, as instances do."""
    address = f"{HOST}:{node.cfg.instance.port}"
    for sequence in itertools.count(2):
        node.registration.apply(make_announcement(sequence=sequence, address=address))
        await asyncio.sleep(1)


async def measure(away: bool) -> list[float]:
    """Return the microseconds of processor time for each call, by round."""
    loop = asyncio.get_running_loop()
    fleet = MeshFleet()
    owner = await fleet.add("t1", "tariff")
    origin = await fleet.add("h1", "haul", domain="b" if away else "a")
    server = await loop.create_server(Instance, HOST, 0)
    owner.pool._port = server.sockets[0].getsockname()[1]
    await fleet.share_membership()
    rounds = []
    announcing = asyncio.ensure_future(announce(owner))
    for _ in range(ROUNDS):
        began = time.process_time()
        ends = [loop.create_future() for _ in range(CONNECTIONS)]
        for end in ends:
            await loop.create_connection(lambda end=end: Client(end), *origin.cfg.callers)
        await asyncio.gather(*ends)
        rounds.append((time.process_time() - began) / (CONNECTIONS * CALLS) * 1e6)
    announcing.cancel()
    await fleet.close()
    return rounds


def main() -> None:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--away", action="store_true", help="nodes in two failure domains")
    args = parser.parse_args()
    rounds = uvloop.run(measure(args.away))
    print("us of processor time a call, by round:", [round(us) for us in rounds])


if __name__ == "__main__":
    main()

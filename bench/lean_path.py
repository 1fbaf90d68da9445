"""Measures the CPU time of a call on the lean path: `python -m bench.lean_path [--away]`.

Two nodes, a client with eight connections and an instance that responds immediately share one
process and one event loop, so the result is an upper bound for two nodes. With `--away` the nodes
are in different failure domains and compress the traffic between them.
"""

import argparse
import asyncio
import itertools
import time

import uvloop

from tests.mesh_builders import HOST, MeshFleet, make_announcement
from thorntray_node.mesh_node import MeshNode

CONNECTIONS = 8
CALLS_PER_CONNECTION = 1500  # in each round
ROUNDS = 3  # the first one is a warm-up
BODY = b"x" * 600
REQUEST_ID_FIELD = b"Thorntray-Request-Id: "


class InstanceProtocol(asyncio.Protocol):
    """An instance that responds to each request immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Respond with the id of the request; expects a whole request in `data`."""
        start = data.index(REQUEST_ID_FIELD) + len(REQUEST_ID_FIELD)
        request_id = data[start : data.index(b"\r", start)]
        head = b"HTTP/1.1 200 OK\r\n%b%b\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n"
        self._transport.write(head % (REQUEST_ID_FIELD, request_id, len(BODY)) + BODY)


class ClientProtocol(asyncio.Protocol):
    """A client that sends its requests one after the other on one connection.

    `done` is resolved after the last response, or fails on a response other than 200.
    """

    def __init__(self, done: "asyncio.Future[None]") -> None:
        self._done = done
        self._sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and send the first request."""
        self._transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        """Send the next request or resolve `done`; expects a whole response in `data`."""
        if not data.startswith(b"HTTP/1.1 200"):
            self._done.set_exception(RuntimeError(f"call failed: {data[:80]!r}"))
        elif self._sent < CALLS_PER_CONNECTION:
            self._send()
        elif not self._done.done():
            self._done.set_result(None)

    def _send(self) -> None:
        self._sent += 1
        self._transport.write(
            b"GET /prices/%d HTTP/1.1\r\nHost: a.example\r\n%b%d\r\nThorntray-Deadline-Ms: 3000\r\n"
            b"Accept: */*\r\nUser-Agent: bench\r\n\r\n" % (self._sent, REQUEST_ID_FIELD, self._sent)
        )


async def announce(node: MeshNode) -> None:
    """Announce the instance to its node once a second, as real instances do."""
    address = f"{HOST}:{node.cfg.instance.port}"
    for sequence in itertools.count(2):
        node.registration.apply(make_announcement(sequence=sequence, address=address))
        await asyncio.sleep(1)


async def measure(cross_domain: bool) -> list[float]:
    """Return the CPU time per call in microseconds, one value for each round."""
    loop = asyncio.get_running_loop()
    fleet = MeshFleet()
    owner = await fleet.add("t1", "tariff")
    origin = await fleet.add("h1", "haul", domain="b" if cross_domain else "a")
    server = await loop.create_server(InstanceProtocol, HOST, 0)
    owner.pool._port = server.sockets[0].getsockname()[1]
    await fleet.share_membership()
    us_by_round = []
    announcer = asyncio.ensure_future(announce(owner))
    for _ in range(ROUNDS):
        began = time.process_time()
        done_futures = [loop.create_future() for _ in range(CONNECTIONS)]
        for done in done_futures:
            await loop.create_connection(
                lambda done=done: ClientProtocol(done), *origin.cfg.callers
            )
        await asyncio.gather(*done_futures)
        us_by_round.append(
            (time.process_time() - began) / (CONNECTIONS * CALLS_PER_CONNECTION) * 1e6
        )
    announcer.cancel()
    await fleet.close()
    return us_by_round


def main() -> None:
    """Print the CPU time per call of each round."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--away", action="store_true", help="nodes in two failure domains")
    args = parser.parse_args()
    us_by_round = uvloop.run(measure(args.away))
    print("us of processor time a call, by round:", [round(us) for us in us_by_round])


if __name__ == "__main__":
    main()

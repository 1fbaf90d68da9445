"""A loopback proxy for TCP and UDP that injects delay, resets, packet loss and partitions.

It runs in the event loop of the caller; `relay.py` is the simpler counterpart for tests that use
threads.
"""

import asyncio
from functools import partial
from random import Random

from standins.worker import Endpoint

CHUNK_BYTES = 65536


class FaultProxy:
    """Forwards one TCP port, and optionally the UDP port of the same number, to a target.

    The `spare_ports` ports above it are forwarded to the ones of the same distance from the target.
    A datagram of a host in `senders` is delivered from the address of that host's own proxy, so
    that a reply to its source comes back through that proxy. Other senders cannot be replied to.
    """

    def __init__(
        self, listen: Endpoint, target: Endpoint, rng: Random, spare_ports: int = 0
    ) -> None:
        self.delay = 0.0  # seconds, in each direction
        self.blackhole = False  # discards all data in both directions; connections stay open
        self.drop_responses = False  # discards TCP data from the target
        self.datagram_loss_rate = 0.0  # share of the datagrams that is discarded
        self.senders: dict[str, FaultProxy] = {}
        self._listen = listen
        self._target = target
        self._rng = rng
        self._offsets = range(spare_ports + 1)  # of the ports from the first one
        self._servers: list[asyncio.Server] = []
        self._datagrams: dict[int, asyncio.DatagramTransport] = {}  # by offset
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, datagrams: bool = False) -> None:
        """Listen for TCP connections and, with `datagrams`, for datagrams."""
        loop = asyncio.get_running_loop()
        host, port = self._listen
        for offset in self._offsets:
            accept = partial(self._accept, offset)
            self._servers.append(await asyncio.start_server(accept, host, port + offset))
            if datagrams:
                self._datagrams[offset], _ = await loop.create_datagram_endpoint(
                    partial(_DatagramRelay, self, offset), local_addr=(host, port + offset)
                )

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self._servers:
            server.close()
        for endpoint in self._datagrams.values():
            endpoint.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def forward_datagram(self, data: bytes, sender: tuple[str, int], offset: int = 0) -> None:
        """Forward a datagram of a sender after the delay, or drop it if a fault applies."""
        host, port = sender
        proxy = self.senders.get(host, self)
        endpoint = proxy._datagrams.get(port - proxy._target.port, proxy._datagrams.get(0))
        if self.blackhole or endpoint is None or self._rng.random() < self.datagram_loss_rate:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, endpoint.sendto, data, self._target_of(offset))

    def _target_of(self, offset: int) -> tuple[str, int]:
        return self._target.host, self._target.port + offset

    async def _accept(
        self, offset: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target_of(offset))
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        for source, sink, from_target in (
            (reader, target_writer, False),
            (target_reader, writer, True),
        ):
            task = asyncio.create_task(self._pump(source, sink, from_target))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, from_target: bool
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if self.blackhole or (from_target and self.drop_responses):
                    continue
                if self.delay:
                    await asyncio.sleep(self.delay)
                sink.write(data)
                await sink.drain()
        except OSError:
            pass  # one side was reset; the other side is closed below
        finally:
            self._writers.discard(sink)
            sink.close()


class _DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, proxy: FaultProxy, offset: int) -> None:
        self._proxy = proxy
        self._offset = offset

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram."""
        self._proxy.forward_datagram(data, addr, self._offset)

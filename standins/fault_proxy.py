"""A loopback proxy for TCP and UDP that injects delay, resets, packet loss and partitions.

It runs in the event loop of the caller; `relay.py` is the simpler counterpart for tests that use
threads.
"""

import asyncio
from random import Random

from standins.worker import Endpoint

CHUNK_BYTES = 65536


class FaultProxy:
    """Forwards one TCP port, and optionally the UDP port of the same number, to a target.

    A datagram of a host in `senders` is delivered from the address of that host's own proxy, so
    that a reply to its source comes back through that proxy. Other senders cannot be replied to.
    """

    def __init__(self, listen: Endpoint, target: Endpoint, rng: Random) -> None:
        self.delay = 0.0  # seconds, in each direction
        self.blackhole = False  # discards all data in both directions; connections stay open
        self.drop_responses = False  # discards TCP data from the target
        self.datagram_loss_rate = 0.0  # share of the datagrams that is discarded
        self.senders: dict[str, FaultProxy] = {}
        self._listen = listen
        self._target = target
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, datagrams: bool = False) -> None:
        """Listen for TCP connections and, with `datagrams`, for datagrams."""
        self._server = await asyncio.start_server(self._accept, *self._listen)
        if datagrams:
            loop = asyncio.get_running_loop()
            self._datagrams, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramRelay(self), local_addr=tuple(self._listen)
            )

    def reset(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def forward_datagram(self, data: bytes, host: str) -> None:
        """Forward a datagram of a host after the delay, or drop it if a fault applies."""
        endpoint = self.senders.get(host, self)._datagrams
        if self.blackhole or endpoint is None or self._rng.random() < self.datagram_loss_rate:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, endpoint.sendto, data, tuple(self._target))

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
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
    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a datagram."""
        self._proxy.forward_datagram(data, addr[0])

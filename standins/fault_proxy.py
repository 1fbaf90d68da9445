"""A loopback proxy that delays, resets, silences or cuts one way, for TCP and datagrams.

It runs in the event loop of its owner; `relay.py` is its plain kin for tests that use threads.
"""

import asyncio
from random import Random

from standins.worker import Place

CHUNK_BYTES = 65536


class FaultProxy:
    """Passes one TCP port, and the datagrams of the same port, on to a target."""

    def __init__(self, listen: Place, target: Place, rng: Random) -> None:
        self.delay = 0.0  # seconds, each way
        self.silent = False  # nothing passes, and nothing is closed
        self.one_way = False  # nothing comes back from the target
        self.lose_datagrams = 0.0  # share
        self._listen = listen
        self._target = target
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, datagrams: bool = False) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._take, *self._listen)
        if datagrams:
            loop = asyncio.get_running_loop()
            self._datagrams, _ = await loop.create_datagram_endpoint(
                lambda: _DatagramRelay(self), local_addr=tuple(self._listen)
            )

    def heal(self) -> None:
        """Pass everything on again."""
        self.delay, self.silent, self.one_way, self.lose_datagrams = 0.0, False, False, 0.0

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def pass_datagram(self, data: bytes) -> None:
        """Send a datagram on, unless it is lost."""
        if self.silent or self._datagrams is None or self._rng.random() < self.lose_datagrams:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, self._datagrams.sendto, data, tuple(self._target))

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(far_writer)
        for source, sink, back in ((reader, far_writer, False), (far_reader, writer, True)):
            task = asyncio.create_task(self._pump(source, sink, back))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, back: bool
    ) -> None:
        try:
            while data := await source.read(CHUNK_BYTES):
                if self.silent or (back and self.one_way):
                    continue
                if self.delay:
                    await asyncio.sleep(self.delay)
                sink.write(data)
                await sink.drain()
        except OSError:
            pass  # one end was reset: the other end is closed below
        finally:
            self._writers.discard(sink)
            sink.close()


class _DatagramRelay(asyncio.DatagramProtocol):
    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on."""
        self._proxy.pass_datagram(data)

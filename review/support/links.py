"""Relays in front of the nodes, through which their peers reach them; they can cut machines off.

Each node advertises the address of its relay. A datagram comes from the sender's own address, and
is passed on from the address of the sender's relay, so that an answer takes the same way back. A
TCP connection of a peer names the peer in its first frame, by which the relay knows its sender.
"""

import asyncio
import zlib
from contextlib import suppress
from typing import Any

CHUNK = 65536
COMPRESSED = 1  # first byte of a compressed connection between nodes
RAW_DEFLATE = -15


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, links: "Links", name: str) -> None:
        self._links, self._name = links, name

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on a datagram."""
        self._links.pass_datagram(data, addr[0], self._name)


class Links:
    """All relays of a fleet, and the machines that are cut off from all others."""

    def __init__(self) -> None:
        self.cut: set[str] = set()
        self._name_of: dict[str, str] = {}  # by the node's own address
        self._targets: dict[str, tuple[str, int]] = {}
        self._transports: dict[str, Any] = {}
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def add(self, name: str, relay_host: str, host: str, port: int) -> None:
        """Start the relay of a node."""
        self._name_of[host], self._targets[name] = name, (host, port)
        loop = asyncio.get_running_loop()
        self._transports[name], _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self, name), local_addr=(relay_host, port)
        )
        server = await asyncio.start_server(
            lambda reader, writer: self._accept(name, reader, writer), relay_host, port
        )
        self._servers.append(server)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Return whether nothing passes between two machines."""
        return sender != receiver and bool(self.cut & {sender, receiver})

    def pass_datagram(self, data: bytes, host: str, receiver: str) -> None:
        """Pass on a datagram unless the way is cut."""
        sender = self._name_of.get(host, "")
        if sender and not self.is_cut(sender, receiver):
            self._transports[sender].sendto(data, self._targets[receiver])

    async def _accept(
        self, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            self._writers.add(writer)
            first, sender = b"", ""
            while not sender:
                data = await reader.read(CHUNK)
                if not data:
                    writer.close()
                    return
                first += data
                sender = self._sender_of(first)
            while self.is_cut(sender, receiver):
                await asyncio.sleep(0.05)
            target_reader, target_writer = await asyncio.open_connection(*self._targets[receiver])
        except OSError:
            writer.close()
            return
        self._writers.add(target_writer)
        target_writer.write(first)
        for source, sink in ((reader, target_writer), (target_reader, writer)):
            task = asyncio.create_task(self._pump(source, sink, sender, receiver))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _sender_of(self, first: bytes) -> str:
        plain = first[1:]
        if first[:1] == bytes([COMPRESSED]):
            plain = zlib.decompressobj(RAW_DEFLATE).decompress(plain)
        found = [(plain.find(name.encode()), name) for name in self._targets]
        return min(((at, name) for at, name in found if at >= 0), default=(0, ""))[1]

    async def _pump(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        sender: str,
        receiver: str,
    ) -> None:
        with suppress(OSError):
            while data := await source.read(CHUNK):
                while self.is_cut(sender, receiver):  # held up, as behind a partition
                    await asyncio.sleep(0.05)
                sink.write(data)
                await sink.drain()
        self._writers.discard(sink)
        sink.close()

    def close(self) -> None:
        """Close all relays."""
        for server in self._servers:
            server.close()
        for transport in self._transports.values():
            transport.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

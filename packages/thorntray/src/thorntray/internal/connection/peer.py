"""Connections to other nodes for requests, over TCP with length-prefixed frames.

One connection for each peer that this node sends to, opened on first use and closed when idle
or when the peer has left. It carries many requests at once; a number in each frame brings the
reply back to its request, whatever the order. Nothing is ever sent twice: when the connection
ends, every request under way ends as `PeerLost`.

The project's usual transport between processes, `pynng`, carries documents but not requests:
a round trip through it wakes threads of its library several times, which alone costs more than
the time that a call may be delayed (docs/DESIGN.md has the figures).
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from absl import logging

from thorntray.errors import BadMessage, PeerLost, PeerUnreachable
from thorntray.internal.connection.message import (
    MAX_MESSAGE_BYTES,
    Message,
    Refusal,
    decode,
    encode,
)
from thorntray.internal.membership.member import Member
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.telemetry.events import Event, log_event

LENGTH_BYTES = 4
NUMBER_BYTES = 8
CONNECT_WAIT = 0.3  # seconds to wait for a connection before `PeerUnreachable`
IDLE_LIFETIME = 120.0  # seconds after which an unused connection is closed
MAX_CONNECTIONS = 2500  # from peers
MAX_UNDER_WAY = 4000  # requests of all peers together
WRITE_BUFFER_BYTES = 8 * 1024 * 1024  # beyond which a peer that does not read is cut off

Handler = Callable[[Message], Awaitable[Message]]


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return a frame's number and payload; raises `IncompleteReadError` at the end."""
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if not NUMBER_BYTES < length <= MAX_MESSAGE_BYTES:
        raise BadMessage(f"frame of {length} bytes; check what speaks on the peer port")
    frame = await reader.readexactly(length)
    return int.from_bytes(frame[:NUMBER_BYTES], "big"), frame[NUMBER_BYTES:]


def write_frame(writer: asyncio.StreamWriter, number: int, payload: bytes) -> None:
    """Write a frame; cuts off a peer that does not read."""
    if writer.is_closing():
        return
    length = NUMBER_BYTES + len(payload)
    head = length.to_bytes(LENGTH_BYTES, "big") + number.to_bytes(NUMBER_BYTES, "big")
    writer.write(head + payload)
    if writer.transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
        writer.transport.abort()


def _no_delay(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class PeerConnection:
    """One open connection to a peer, with the requests under way."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, session: bytes
    ) -> None:
        self.session = session
        self._reader = reader
        self._writer = writer
        self._number = 0
        self._waiting: dict[int, asyncio.Future[bytes]] = {}
        self._lost = False

    @property
    def usable(self) -> bool:
        """Return whether a request can be sent."""
        return not self._lost and not self._writer.is_closing()

    @property
    def idle(self) -> bool:
        """Return whether no request is under way."""
        return not self._waiting

    async def request(self, payload: bytes, timeout: float) -> bytes:
        """Send a request and return the reply's payload; raises `PeerLost`."""
        self._number += 1
        number = self._number
        reply = asyncio.get_running_loop().create_future()
        self._waiting[number] = reply
        write_frame(self._writer, number, payload)
        try:
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            raise PeerLost(f"the peer did not answer in {timeout:.3f} s") from None
        finally:
            del self._waiting[number]

    async def read_replies(self) -> None:
        """Bring replies to their requests until the connection ends."""
        try:
            while True:
                number, payload = await read_frame(self._reader)
                reply = self._waiting.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(payload)
        except (OSError, EOFError, BadMessage) as exc:
            self._lose(exc)
        finally:
            self._lose(ConnectionResetError())

    def close(self) -> None:
        """Close the connection; requests under way end as lost."""
        self._lose(ConnectionResetError())

    def _lose(self, exc: Exception) -> None:
        if self._lost:
            return
        self._lost = True
        self._writer.close()
        for reply in self._waiting.values():
            if not reply.done():
                reply.set_exception(PeerLost(f"the connection to the peer ended: {exc!r}"))


class PeerLinks:
    """The connections of this node to its peers, by name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._links: dict[str, PeerConnection] = {}
        self._used: dict[str, float] = {}
        self._opening: dict[str, asyncio.Lock] = {}
        self._tasks = BackgroundTasks()

    def __len__(self) -> int:
        return len(self._links)

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises `PeerUnreachable` when nothing was sent, `PeerLost` when the connection ended or
        the time was up after sending, `BadMessage` for a garbled reply.
        """
        link = self._links.get(member.name)
        if link is None or not link.usable or link.session != member.session:
            link = await self._connect(member, min(timeout, CONNECT_WAIT))
        self._used[member.name] = self._clock.monotonic()
        return decode(await link.request(encode(message), timeout))

    def close_idle(self) -> None:
        """Close the connections that have not been used lately."""
        horizon = self._clock.monotonic() - IDLE_LIFETIME
        for name, link in list(self._links.items()):
            if link.idle and self._used.get(name, 0.0) < horizon:
                self.forget(name)

    def forget(self, name: str) -> None:
        """Close the connection to a peer that has left or died."""
        link = self._links.pop(name, None)
        self._used.pop(name, None)
        self._opening.pop(name, None)
        if link is not None:
            link.close()

    async def close(self) -> None:
        """Close all connections."""
        for name in list(self._links):
            self.forget(name)
        await self._tasks.stop()

    async def _connect(self, member: Member, timeout: float) -> PeerConnection:
        lock = self._opening.setdefault(member.name, asyncio.Lock())
        try:
            async with asyncio.timeout(timeout), lock:
                link = self._links.get(member.name)
                if link is not None and link.usable and link.session == member.session:
                    return link  # opened by another request meanwhile
                return await self._open(member)
        except (TimeoutError, OSError) as exc:
            raise PeerUnreachable(
                f"no connection to {member.name} ({exc!r}); is its node running?"
            ) from None

    async def _open(self, member: Member) -> PeerConnection:
        self.forget(member.name)
        reader, writer = await asyncio.open_connection(member.address, member.peer_port)
        _no_delay(writer)
        link = PeerConnection(reader, writer, member.session)
        self._links[member.name] = link
        self._tasks.spawn(link.read_replies())
        return link


class PeerListener:
    """Takes requests of other nodes: one task for each connection, one for each request."""

    def __init__(self, address: str, port: int, handler: Handler) -> None:
        self._address = address
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._under_way = 0
        self.bad_messages = 0

    async def start(self) -> None:
        """Listen; raises `OSError` when the port is taken."""
        self._server = await asyncio.start_server(self._serve, self._address, self._port)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            writer.close()
            return
        _no_delay(writer)
        self._connections.add(writer)
        requests = BackgroundTasks()
        try:
            while True:
                number, payload = await read_frame(reader)
                requests.spawn(self._answer(writer, number, payload))
        except BadMessage as exc:
            self._refuse(exc)
        except (OSError, EOFError):
            pass  # the peer has closed, or died
        finally:
            self._connections.discard(writer)
            writer.close()
            # Nobody waits for these answers any more.
            await requests.stop()

    async def _answer(self, writer: asyncio.StreamWriter, number: int, payload: bytes) -> None:
        write_frame(writer, number, encode(await self._reply(payload)))

    async def _reply(self, payload: bytes) -> Message:
        if self._under_way >= MAX_UNDER_WAY:
            return Refusal("too many requests at this node; come back later")
        self._under_way += 1
        try:
            return await self._handler(decode(payload))
        except BadMessage as exc:
            return self._refuse(exc)
        except Exception as exc:  # one faulty request must not end the connection of others
            logging.exception("handler failed")
            log_event(Event.HANDLER_FAILED, detail=repr(exc))
            return Refusal("the node failed on this message; see its log")
        finally:
            self._under_way -= 1

    def _refuse(self, exc: BadMessage) -> Refusal:
        self.bad_messages += 1
        log_event(Event.BAD_MESSAGE, detail=str(exc))
        return Refusal(str(exc))

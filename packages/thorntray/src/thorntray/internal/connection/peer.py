"""Request connections of a `Node` to other nodes, over TCP with length-prefixed frames.

There is one connection to each peer that this node sends to. It is opened on first use and closed
when it is idle or the peer has left. It carries concurrent requests; a number in each frame matches
a reply to its request, in any order. Nothing is sent twice: when the connection ends, every pending
request fails with `PeerLost`.

`pynng`, the project's usual transport between processes, carries documents but not requests: each
round trip wakes its library threads several times, which alone takes longer than the delay allowed
for a call (docs/DESIGN.md has the figures).
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from absl import logging

from thorntray.errors import BadMessage, PeerLost, PeerUnreachable
from thorntray.internal.connection.connection_end import OutputProgress
from thorntray.internal.connection.listening_sockets import bind_tcp
from thorntray.internal.connection.message import (
    MAX_MESSAGE_BYTES,
    Message,
    Refusal,
    decode,
    encode,
)
from thorntray.internal.connection.peer_watch import LostReason
from thorntray.internal.membership.member import Member
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.telemetry.events import Event, log_event

LENGTH_BYTES = 4
NUMBER_BYTES = 8
CONNECT_TIMEOUT = 0.3  # seconds after which `PeerUnreachable` is raised
IDLE_LIFETIME = 120.0  # seconds without a request after which a connection is closed
MAX_CONNECTIONS = 2500  # accepted from peers
LISTEN_BACKLOG = 100  # connections waiting to be accepted
MAX_REQUESTS_IN_FLIGHT = 4000  # from all peers together
WRITE_BUFFER_LIMIT = 8 * 1024 * 1024  # unsent bytes of a connection; beyond it frames wait
WRITE_TIMEOUT = 10.0  # seconds in which a peer must take some of the bytes that wait
WRITE_CHECK_PERIOD = 1.0  # seconds

Handler = Callable[[Message], Awaitable[Message]]


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """Return the number and payload of the next frame.

    Raises `IncompleteReadError` at the end of the stream, `BadMessage` for an invalid length.
    """
    length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
    if not NUMBER_BYTES < length <= MAX_MESSAGE_BYTES:
        raise BadMessage(f"frame of {length} bytes; check what speaks on the peer port")
    frame = await reader.readexactly(length)
    return int.from_bytes(frame[:NUMBER_BYTES], "big"), frame[NUMBER_BYTES:]


class FrameWriter:
    """Writes the frames of one connection; a frame waits while many bytes are unsent.

    A connection that is full and whose peer takes nothing for `WRITE_TIMEOUT` is aborted.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._lock = asyncio.Lock()
        writer.transport.set_write_buffer_limits(WRITE_BUFFER_LIMIT)

    async def write(self, number: int, payload: bytes) -> None:
        """Write a frame; does nothing if the connection ends before."""
        if self._lock.locked() or self.unsent_bytes > WRITE_BUFFER_LIMIT:
            await self._wait_for_space()
        if self._writer.is_closing():
            return
        length = NUMBER_BYTES + len(payload)
        head = length.to_bytes(LENGTH_BYTES, "big") + number.to_bytes(NUMBER_BYTES, "big")
        self._writer.write(head + payload)

    @property
    def unsent_bytes(self) -> int:
        """Return how many written bytes the connection has not sent."""
        return self._writer.transport.get_write_buffer_size()

    async def _wait_for_space(self) -> None:
        try:
            async with self._lock:  # meanwhile nothing is written, so fewer bytes are progress
                await self._drain()
        except TimeoutError:
            log_event(
                Event.LINK_LOST,
                detail=f"the peer took nothing for {WRITE_TIMEOUT} s",
                reason=LostReason.NO_PROGRESS.value,
                unsent=self.unsent_bytes,
            )
            self._writer.transport.abort()
        except ConnectionError:
            pass  # the reader of the connection reports its end

    async def _drain(self) -> None:
        """Wait until few bytes are unsent; raises `TimeoutError` if the peer takes none."""
        loop = asyncio.get_running_loop()
        progress = OutputProgress(loop.time())
        while True:
            try:
                async with asyncio.timeout(WRITE_CHECK_PERIOD):
                    await self._writer.drain()
                return
            except TimeoutError:
                if progress.stalled_for(self.unsent_bytes, loop.time()) > WRITE_TIMEOUT:
                    raise


def _disable_nagle(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class PeerConnection:
    """One open connection to a peer, with the pending requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, session: bytes
    ) -> None:
        self.session = session
        self._reader = reader
        self._writer = writer
        self._frames = FrameWriter(writer)
        self._last_number = 0
        self._pending_replies: dict[int, asyncio.Future[bytes]] = {}
        self._lost = False

    @property
    def usable(self) -> bool:
        """Return whether a request can be sent."""
        return not self._lost and not self._writer.is_closing()

    @property
    def idle(self) -> bool:
        """Return whether no request is pending."""
        return not self._pending_replies

    async def request(self, payload: bytes, timeout: float) -> bytes:
        """Send a request and return the payload of the reply.

        Raises `PeerLost` if the connection ends or no reply arrives within `timeout` seconds.
        """
        self._last_number += 1
        number = self._last_number
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[number] = reply
        try:
            async with asyncio.timeout(timeout):
                await self._frames.write(number, payload)
                return await reply
        except TimeoutError:
            raise PeerLost(f"the peer did not answer in {timeout:.3f} s") from None
        finally:
            del self._pending_replies[number]

    async def read_replies(self) -> None:
        """Read replies and match them to their requests until the connection ends."""
        try:
            while True:
                number, payload = await read_frame(self._reader)
                reply = self._pending_replies.get(number)
                if reply is not None and not reply.done():
                    reply.set_result(payload)
        except (OSError, EOFError, BadMessage) as exc:
            self._fail_pending(exc)
        finally:
            self._fail_pending(ConnectionResetError())

    def close(self) -> None:
        """Close the connection; pending requests fail with `PeerLost`."""
        self._fail_pending(ConnectionResetError())

    def _fail_pending(self, exc: Exception) -> None:
        if self._lost:
            return
        self._lost = True
        self._writer.close()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(PeerLost(f"the connection to the peer ended: {exc!r}"))


class PeerLinks:
    """The connections of this node to its peers, by peer name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._links: dict[str, PeerConnection] = {}
        self._last_used_at: dict[str, float] = {}
        self._connect_locks: dict[str, asyncio.Lock] = {}
        self._tasks = BackgroundTasks()

    def __len__(self) -> int:
        return len(self._links)

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises `PeerUnreachable` when nothing was sent, `PeerLost` when the connection ended or
        the timeout passed after sending, `BadMessage` for a malformed reply.
        """
        link = self._links.get(member.name)
        if link is None or not link.usable or link.session != member.session:
            link = await self._connect(member, min(timeout, CONNECT_TIMEOUT))
        self._last_used_at[member.name] = self._clock.monotonic()
        return decode(await link.request(encode(message), timeout))

    def close_idle(self) -> None:
        """Close the connections that have been idle for `IDLE_LIFETIME`."""
        idle_cutoff = self._clock.monotonic() - IDLE_LIFETIME
        for name, link in list(self._links.items()):
            if link.idle and self._last_used_at.get(name, 0.0) < idle_cutoff:
                self.close_link(name)

    def close_link(self, name: str) -> None:
        """Close the connection to a peer that has left or died."""
        lock = self._connect_locks.get(name)
        if lock is not None and not lock.locked():
            del self._connect_locks[name]
        self._close_connection(name)

    def _close_connection(self, name: str) -> None:
        link = self._links.pop(name, None)
        self._last_used_at.pop(name, None)
        if link is not None:
            link.close()

    async def close(self) -> None:
        """Close all connections."""
        for name in list(self._links):
            self.close_link(name)
        await self._tasks.stop()

    async def _connect(self, member: Member, timeout: float) -> PeerConnection:
        lock = self._connect_locks.setdefault(member.name, asyncio.Lock())
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
        self._close_connection(member.name)
        reader, writer = await asyncio.open_connection(member.address, member.peer_port)
        _disable_nagle(writer)
        link = PeerConnection(reader, writer, member.session)
        self._links[member.name] = link
        self._tasks.spawn(link.read_replies())
        return link


class PeerListener:
    """Serves requests of other nodes, with one task for each connection and each request."""

    def __init__(self, address: str, port: int, handler: Handler) -> None:
        self._address = address
        self._port = port
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.StreamWriter] = set()
        self._in_flight = 0
        self._unwritten = 0
        self.bad_messages = 0

    @property
    def idle(self) -> bool:
        """Return whether all replies have been sent."""
        unsent = any(w.transport.get_write_buffer_size() for w in self._connections)
        return not (self._unwritten or unsent)

    async def start(self) -> None:
        """Start listening; raises `OSError` when the port is in use."""
        await self.serve(bind_tcp(self._address, self._port))

    async def serve(self, sock: socket.socket) -> None:
        """Start listening on a bound socket; raises `OSError` if that fails, and closes it."""
        try:
            sock.listen(LISTEN_BACKLOG)  # uvloop drops its error, and returns a server without one
            self._server = await asyncio.start_server(
                self._serve, sock=sock, backlog=LISTEN_BACKLOG
            )
        except BaseException:
            sock.close()
            raise

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
        _disable_nagle(writer)
        self._connections.add(writer)
        requests = BackgroundTasks()
        frames = FrameWriter(writer)
        try:
            while True:
                number, payload = await read_frame(reader)
                requests.spawn(self._answer(frames, number, payload))
        except BadMessage as exc:
            self._refuse_message(exc)
        except (OSError, EOFError):
            pass  # the peer closed the connection or crashed
        finally:
            self._connections.discard(writer)
            writer.close()
            # The replies can no longer be delivered.
            await requests.stop()

    async def _answer(self, frames: FrameWriter, number: int, payload: bytes) -> None:
        self._unwritten += 1
        try:
            await frames.write(number, encode(await self._handle(payload)))
        finally:
            self._unwritten -= 1

    async def _handle(self, payload: bytes) -> Message:
        if self._in_flight >= MAX_REQUESTS_IN_FLIGHT:
            return Refusal("too many requests at this node; come back later")
        self._in_flight += 1
        try:
            return await self._handler(decode(payload))
        except BadMessage as exc:
            return self._refuse_message(exc)
        except Exception as exc:  # a failing request must not close a shared connection
            logging.exception("message handler failed")
            log_event(Event.HANDLER_FAILED, detail=repr(exc))
            return Refusal("the node failed on this message; see its log")
        finally:
            self._in_flight -= 1

    def _refuse_message(self, exc: BadMessage) -> Refusal:
        self.bad_messages += 1
        log_event(Event.BAD_MESSAGE, detail=str(exc))
        return Refusal(str(exc))

"""Transfer of settings documents between nodes, over `pynng` request/reply sockets.

Documents are large, rarely fetched, and safe to request twice, which suits these sockets: they
frame messages of any size and reconnect automatically. The automatic resend of REQ sockets is
disabled nevertheless: by default they resend a request when the connection drops, and a request
other than a read could then be run by two processes. A test covers this.
"""

import asyncio
import errno
import socket

import pynng

from thorntray.errors import BadMessage, PeerLost
from thorntray.internal.connection.message import (
    MAX_MESSAGE_BYTES,
    FetchDocument,
    Message,
    Refusal,
    decode,
    encode,
)
from thorntray.internal.membership.member import Member, tcp_url
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.holder import SettingsHolder

NEVER_RESEND = -1
CONCURRENT_FETCHES = 4  # further fetches wait for one of these to finish


class DocumentClient:
    """Fetches documents. Each fetch opens its own socket, since fetches are rare."""

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises `PeerLost` on timeout or a closed connection, `BadMessage` for a malformed reply.
        """
        requests = pynng.Req0(resend_time=NEVER_RESEND, recv_max_size=MAX_MESSAGE_BYTES)
        with requests:
            requests.dial(member.document_url, block=False)
            try:
                async with asyncio.timeout(timeout):
                    await requests.asend(encode(message))
                    return decode(await requests.arecv())
            except TimeoutError:
                raise PeerLost(f"{member.name} sent no document within {timeout:.1f} s") from None
            except pynng.NNGException as exc:
                raise PeerLost(f"connection to {member.name} ended: {exc}") from None


class DocumentServer:
    """Serves the documents of this node to other nodes."""

    def __init__(self, address: str, port: int, holder: SettingsHolder) -> None:
        self._url = tcp_url(address, port)
        self._holder = holder
        self._socket: pynng.Rep0 | None = None
        self._tasks = BackgroundTasks()

    async def serve(self, sock: socket.socket) -> None:
        """Start listening on the address of a bound socket, which is closed.

        `pynng` binds a socket of its own, which SO_REUSEADDR permits while the other one holds the
        port. Raises `OSError` if another socket listens on it.
        """
        try:
            self._socket = pynng.Rep0(listen=self._url, recv_max_size=MAX_MESSAGE_BYTES)
        except pynng.AddressInUse as exc:
            raise OSError(errno.EADDRINUSE, str(exc)) from exc
        finally:
            sock.close()
        for _ in range(CONCURRENT_FETCHES):
            self._tasks.spawn(self._answer_fetches(self._socket))

    async def close(self) -> None:
        """Stop serving and close the socket."""
        await self._tasks.stop()
        if self._socket is not None:
            self._socket.close()

    async def _answer_fetches(self, replies: pynng.Rep0) -> None:
        with replies.new_context() as context:
            while True:
                try:
                    reply = self._handle(await context.arecv())
                    await context.asend(encode(reply))
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    continue  # the requesting node has disconnected

    def _handle(self, data: bytes) -> Message:
        try:
            message = decode(data)
        except BadMessage as exc:
            log_event(Event.BAD_MESSAGE, detail=str(exc))
            return Refusal(str(exc))
        if not isinstance(message, FetchDocument):
            return Refusal("only documents are served here; use the peer port")
        return self._holder.create_reply(message)

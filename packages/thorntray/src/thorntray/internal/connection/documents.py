"""Transfer of settings documents between nodes, over `pynng` request/reply sockets.

Documents are large, rarely fetched, and safe to request twice, which suits these sockets: they
frame messages of any size and reconnect automatically. The automatic resend of REQ sockets is
disabled nevertheless: by default they resend a request when the connection drops, and a request
other than a read could then be run by two processes. A test covers this.
"""

import asyncio

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
from thorntray.internal.membership.member import Member
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
        socket = pynng.Req0(resend_time=NEVER_RESEND, recv_max_size=MAX_MESSAGE_BYTES)
        with socket:
            socket.dial(member.document_url, block=False)
            try:
                async with asyncio.timeout(timeout):
                    await socket.asend(encode(message))
                    return decode(await socket.arecv())
            except TimeoutError:
                raise PeerLost(f"{member.name} sent no document within {timeout:.1f} s") from None
            except pynng.NNGException as exc:
                raise PeerLost(f"connection to {member.name} ended: {exc}") from None


class DocumentServer:
    """Serves the documents of this node to other nodes."""

    def __init__(self, address: str, port: int, holder: SettingsHolder) -> None:
        self._url = f"tcp://{address}:{port}"
        self._holder = holder
        self._socket: pynng.Rep0 | None = None
        self._tasks = BackgroundTasks()

    def start(self) -> None:
        """Start listening; raises `pynng.AddressInUse` when the port is in use."""
        self._socket = pynng.Rep0(listen=self._url, recv_max_size=MAX_MESSAGE_BYTES)
        for _ in range(CONCURRENT_FETCHES):
            self._tasks.spawn(self._serve(self._socket))

    async def close(self) -> None:
        """Stop serving and close the socket."""
        await self._tasks.stop()
        if self._socket is not None:
            self._socket.close()

    async def _serve(self, socket: pynng.Rep0) -> None:
        with socket.new_context() as context:
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

"""Transfer of settings documents between nodes, over `pynng` request/reply sockets.

Documents are large, rare, and safe to ask for twice, which is what these sockets are good at:
they frame messages of any size and connect again by themselves. The repetition of a REQ socket
is switched off all the same: by default it sends a request again when its connection drops,
which for anything but a read would reach two processes. A test shows it.
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
SERVING_CONTEXTS = 4  # fetches answered at once; the others wait their turn


class DocumentClient:
    """Fetches documents; a socket lives for one fetch, since fetches are rare."""

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Return the reply; `timeout` in seconds. Raises `PeerLost` or `BadMessage`."""
        socket = pynng.Req0(resend_time=NEVER_RESEND, recv_max_size=MAX_MESSAGE_BYTES)
        with socket:
            socket.dial(member.document_url, block=False)
            try:
                async with asyncio.timeout(timeout):
                    await socket.asend(encode(message))
                    return decode(await socket.arecv())
            except TimeoutError:
                raise PeerLost(f"{member.name} sent no document in {timeout:.1f} s") from None
            except pynng.NNGException as exc:
                raise PeerLost(f"connection to {member.name} ended: {exc}") from None


class DocumentServer:
    """Answers fetches from the documents held here."""

    def __init__(self, address: str, port: int, holder: SettingsHolder) -> None:
        self._url = f"tcp://{address}:{port}"
        self._holder = holder
        self._socket: pynng.Rep0 | None = None
        self._tasks = BackgroundTasks()

    def start(self) -> None:
        """Listen; raises `pynng.AddressInUse` when the port is taken."""
        self._socket = pynng.Rep0(listen=self._url, recv_max_size=MAX_MESSAGE_BYTES)
        for _ in range(SERVING_CONTEXTS):
            self._tasks.spawn(self._serve(self._socket))

    async def close(self) -> None:
        """Stop listening."""
        await self._tasks.stop()
        if self._socket is not None:
            self._socket.close()

    async def _serve(self, socket: pynng.Rep0) -> None:
        with socket.new_context() as context:
            while True:
                try:
                    reply = self._answer(await context.arecv())
                    await context.asend(encode(reply))
                except pynng.Closed:
                    return
                except pynng.NNGException:
                    continue  # the asker has gone

    def _answer(self, data: bytes) -> Message:
        try:
            message = decode(data)
        except BadMessage as exc:
            log_event(Event.BAD_MESSAGE, detail=str(exc))
            return Refusal(str(exc))
        if not isinstance(message, FetchDocument):
            return Refusal("only documents are served here; use the peer port")
        return self._holder.answer(message)

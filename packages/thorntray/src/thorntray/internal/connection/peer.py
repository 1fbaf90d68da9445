"""Connections to other nodes, over `pynng` request/reply sockets.

One socket for each peer that this node sends to, opened on first use and closed when idle or
when the peer has left; one context of it for each request under way.

The socket's own repetition is switched off. By default a REQ socket sends a request again when
its connection drops, and the same payout then reaches two processes. With `resend_time = -1`
the caller gets a connection reset instead, which ends as `PeerLost`.
"""

import asyncio
from dataclasses import dataclass

import pynng

from thorntray.errors import PeerLost, PeerUnreachable
from thorntray.internal.connection.message import MAX_MESSAGE_BYTES, Message, decode, encode
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.member import Member

NEVER_RESEND = -1
CONNECT_WAIT = 0.3  # seconds to wait for a connection before `PeerUnreachable`
IDLE_LIFETIME = 120.0  # seconds after which an unused connection is closed
RECONNECT_MIN = 50  # milliseconds
RECONNECT_MAX = 1000  # milliseconds


@dataclass(slots=True)
class _Link:
    socket: pynng.Req0
    session: bytes
    connected: asyncio.Event
    used: float
    under_way: int = 0


class PeerLinks:
    """The connections of this node to its peers, by name."""

    def __init__(self, clock: Clock, resend_time: int = NEVER_RESEND) -> None:
        self._clock = clock
        self._resend_time = resend_time
        self._links: dict[str, _Link] = {}

    def __len__(self) -> int:
        return len(self._links)

    async def request(self, member: Member, message: Message, timeout: float) -> Message:
        """Send a message and return the reply; `timeout` is in seconds.

        Raises `PeerUnreachable` when nothing was sent, `PeerLost` when the connection ended or
        the time was up after sending, `BadMessage` for a garbled reply.
        """
        link = self._link(member)
        link.used = self._clock.monotonic()
        link.under_way += 1
        try:
            await self._await_connection(link, member, min(timeout, CONNECT_WAIT))
            return await self._exchange(link, member, encode(message), timeout)
        finally:
            link.under_way -= 1

    def close_idle(self) -> None:
        """Close the connections that have not been used lately."""
        horizon = self._clock.monotonic() - IDLE_LIFETIME
        for name, link in list(self._links.items()):
            if link.used < horizon and not link.under_way:
                self._drop(name)

    def forget(self, name: str) -> None:
        """Close the connection to a peer that has left or died."""
        if name in self._links:
            self._drop(name)

    def close(self) -> None:
        """Close all connections."""
        for name in list(self._links):
            self._drop(name)

    async def _await_connection(self, link: _Link, member: Member, timeout: float) -> None:
        if link.connected.is_set():
            return
        try:
            async with asyncio.timeout(timeout):
                await link.connected.wait()
        except TimeoutError:
            raise PeerUnreachable(f"no connection to {member.name}; is its node running?") from None

    async def _exchange(self, link: _Link, member: Member, data: bytes, timeout: float) -> Message:
        try:
            with link.socket.new_context() as context:
                async with asyncio.timeout(timeout):
                    await context.asend(data)
                    return decode(await context.arecv())
        except TimeoutError:
            raise PeerLost(f"{member.name} did not answer in {timeout:.3f} s") from None
        except pynng.NNGException as exc:
            raise PeerLost(f"connection to {member.name} ended: {exc}") from None

    def _link(self, member: Member) -> _Link:
        link = self._links.get(member.name)
        if link is not None and link.session == member.session:
            return link
        if link is not None:
            self._drop(member.name)
        link = self._open(member)
        self._links[member.name] = link
        return link

    def _open(self, member: Member) -> _Link:
        loop = asyncio.get_running_loop()
        connected = asyncio.Event()
        socket = pynng.Req0(resend_time=self._resend_time, recv_max_size=MAX_MESSAGE_BYTES)
        socket.reconnect_time_min = RECONNECT_MIN
        socket.reconnect_time_max = RECONNECT_MAX
        # pynng runs these callbacks on its own threads.
        socket.add_post_pipe_connect_cb(lambda _: loop.call_soon_threadsafe(connected.set))
        socket.add_post_pipe_remove_cb(lambda _: loop.call_soon_threadsafe(connected.clear))
        socket.dial(member.peer_url, block=False)
        return _Link(socket, member.session, connected, self._clock.monotonic())

    def _drop(self, name: str) -> None:
        self._links.pop(name).socket.close()

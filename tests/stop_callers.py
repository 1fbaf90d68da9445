"""Callers that open new connections to a real node process until it no longer listens."""

import asyncio
import socket
from typing import NamedTuple

from standins.mesh_fleet import Endpoint

ANSWER_TIMEOUT = 10.0  # seconds
REQUEST = (
    b"GET /prices/1 HTTP/1.1\r\nHost: calls.example\r\nX-Request-Id: id-1\r\n"
    b"Connection: close\r\n\r\n"
)


class Outcomes(NamedTuple):
    """What became of the connections that a caller has opened."""

    answers: list[bytes]  # what was received, up to the end of the connection
    unanswered: list[str]  # how the connections without a whole head of an answer have ended


class NewConnections:
    """Opens `width` connections at a time, each for one request, until the port is closed.

    A request is sent `delay` seconds after its connection was opened, its second half `pause`
    seconds after the first one. Ends when a connection is refused or `ended` is set.
    """

    def __init__(
        self,
        address: Endpoint,
        width: int = 1,
        delay: float = 0.0,
        pause: float = 0.0,
        request: bytes = REQUEST,
    ) -> None:
        self._address = address
        self._width = width
        self._delay = delay
        self._pause = pause
        self._request = request
        self.ended = False
        self.outcomes = Outcomes([], [])

    async def run(self) -> Outcomes:
        """Open connections until one is refused; return what became of them."""
        await asyncio.gather(*(self._connect_repeatedly() for _ in range(self._width)))
        return self.outcomes

    async def _connect_repeatedly(self) -> None:
        while not self.ended:
            sock = socket.socket()
            sock.setblocking(False)
            try:
                await asyncio.get_running_loop().sock_connect(sock, self._address)
            except ConnectionError:  # nothing was sent
                self.ended = True
                sock.close()
                return
            await self._exchange(sock)

    async def _exchange(self, sock: socket.socket) -> None:
        loop, received = asyncio.get_running_loop(), b""
        half = len(self._request) // 2
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                if self._delay:
                    await asyncio.sleep(self._delay)
                await loop.sock_sendall(sock, self._request[:half])
                if self._pause:
                    await asyncio.sleep(self._pause)
                await loop.sock_sendall(sock, self._request[half:])
                while piece := await loop.sock_recv(sock, 1 << 16):
                    received += piece
        except (OSError, TimeoutError) as exc:
            ending = repr(exc)
        else:
            ending = "closed"
        finally:
            sock.close()
        if b"\r\n\r\n" in received:
            self.outcomes.answers.append(received)
        else:
            self.outcomes.unanswered.append(ending)

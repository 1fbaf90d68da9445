"""A process with one listening end of links that answers one call and stops, for tests.

Run as `python -m tests.stopping_owner PORT RESULT_BYTES`; it prints a line when it listens.
"""

import asyncio
import socket
import sys

import uvloop

from tests.mesh_builders import HOST, make_result_frame
from thorntray.internal.connection.frame import CallFrame, Frame
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.process.clock import SystemClock

SEND_BUFFER = 200_000  # bytes; the kernel doubles it
CLOSE_TIME = 2.0  # seconds


class OneAnswer:
    """Answers the first call with a body of `size` bytes."""

    def __init__(self, size: int) -> None:
        self.answered = asyncio.Event()
        self._size = size

    def on_frame(self, link: LinkConnection, frame: Frame) -> None:
        """Answer the first call; further ones get no answer."""
        if isinstance(frame, CallFrame) and not self.answered.is_set():
            sock = link._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
            link.send(make_result_frame(frame.number, body=bytes(self._size)))
            self.answered.set()

    def on_lost(self, link: LinkConnection) -> None:
        """Do nothing."""


async def serve(port: int, size: int) -> None:
    """Answer one call, wait until the kernel has the answer, and stop."""
    handler = OneAnswer(size)
    listener = LinkListener(HOST, port, handler, SystemClock())
    await listener.start()
    print("listening", flush=True)
    await handler.answered.wait()
    await asyncio.sleep(0)
    while listener.unsent_bytes:
        await asyncio.sleep(0.01)
    await listener.finish(CLOSE_TIME)


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1]), int(sys.argv[2])))

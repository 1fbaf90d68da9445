"""Opens outgoing connections of a process that may have no descriptor left.

A request that cannot be sent for want of a descriptor has not run, but it fails. Idle connections
of callers can be given up instead, so the connection is tried a second time after some are closed.
"""

import asyncio
import errno
from collections.abc import Callable
from typing import TypeVar

Protocol = TypeVar("Protocol", bound=asyncio.Protocol)

EXHAUSTED_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})  # of the process, of the machine
CLOSE_TIME = 0.01  # seconds in which the event loop closes the sockets that were given up


def is_exhausted(exc: BaseException) -> bool:
    """Return whether a connection failed only because no descriptor was left."""
    return isinstance(exc, OSError) and exc.errno in EXHAUSTED_ERRORS


class SocketOpener:
    """Opens connections; `free_descriptors` closes idle ones, and returns False if there are none.

    It is called with the error number.
    """

    def __init__(self) -> None:
        self.free_descriptors: Callable[[int], bool] = lambda number: False

    async def open(self, make_protocol: Callable[[], Protocol], host: str, port: int) -> Protocol:
        """Open a connection and return its protocol; raises `OSError`."""
        loop = asyncio.get_running_loop()
        try:
            _, protocol = await loop.create_connection(make_protocol, host, port)
            return protocol
        except OSError as exc:
            if not is_exhausted(exc) or not self.free_descriptors(exc.errno or 0):
                raise
        await asyncio.sleep(CLOSE_TIME)
        _, protocol = await loop.create_connection(make_protocol, host, port)
        return protocol

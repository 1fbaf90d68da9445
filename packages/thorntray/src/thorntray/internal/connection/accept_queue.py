"""The end of a listening socket: what the kernel has accepted is served, the rest is refused.

Closing a listening socket resets the connections that wait in its accept queue. Their callers have
connected and may have sent a request, and cannot know whether it has run. So the queue is emptied
first, and the socket is closed in the same step: the kernel refuses whoever comes afterwards.
Between the two nobody gets a connection (`handshake_filter`).
"""

import asyncio
import socket
from collections.abc import Callable

from thorntray.internal.connection.handshake_filter import ignore_new_connections
from thorntray.internal.telemetry.events import Event, log_event

RETRY_PERIOD = 0.01  # seconds until descriptors may have become free
MAX_RETRIES = 10


async def close_listener(server: asyncio.Server, factory: Callable[[], asyncio.Protocol]) -> None:
    """Accept the connections that wait, and close the listening sockets of a server.

    `factory` makes the protocol of a connection. If there is no descriptor for a connection, it is
    tried again for a short time; those that are left are reset, and logged.
    """
    loop = asyncio.get_running_loop()
    for attempt in range(MAX_RETRIES + 1):
        # No turn of the event loop, during which callers would connect, until the close.
        accepted, failure = _accept_waiting(server)
        last = failure is None or attempt == MAX_RETRIES
        if last:
            server.close()
        for conn in accepted:
            await _serve(loop, factory, conn)
        if last:
            break
        await asyncio.sleep(RETRY_PERIOD)
    if failure is not None:
        log_event(Event.CONNECTIONS_NOT_ACCEPTED, detail=repr(failure))


def _accept_waiting(server: asyncio.Server) -> tuple[list[socket.socket], OSError | None]:
    """Return the waiting connections, and why some of them could not be accepted."""
    accepted: list[socket.socket] = []
    for listening in server.sockets:
        # The transport sockets of event loops have no `accept`.
        listener = socket.socket(listening.family, socket.SOCK_STREAM, 0, listening.fileno())
        try:
            listener.setblocking(False)
            _accept_from(listener, accepted)
            ignore_new_connections(listener)
            _accept_from(listener, accepted)  # who has come before the kernel ignored them
        except OSError as exc:
            return accepted, exc
        finally:
            listener.detach()  # the server closes the descriptor
    return accepted, None


def _accept_from(listener: socket.socket, accepted: list[socket.socket]) -> None:
    while True:
        try:
            accepted.append(listener.accept()[0])
        except BlockingIOError:
            return
        except ConnectionAbortedError:  # this caller has left; others may wait
            continue


async def _serve(
    loop: asyncio.AbstractEventLoop, factory: Callable[[], asyncio.Protocol], conn: socket.socket
) -> None:
    conn.setblocking(False)
    try:
        await loop.connect_accepted_socket(factory, conn)
    except OSError:  # the caller has left
        conn.close()

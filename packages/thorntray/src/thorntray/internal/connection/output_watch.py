"""Whether the caller of a connection takes its output.

A limit that is lowered while output waits applies to later output: this answer is already owed.

The operating system takes more output only when a third of its own buffer is free, which may hold
megabytes. A peer that reads slowly all the time then seems to take nothing for seconds, unless the
bytes in that buffer are counted too.
"""

import asyncio
import fcntl
import struct
import termios

from thorntray.internal.connection.connection_end import OutputProgress

_QUEUED = struct.Struct("i")


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that wait in the process or in the operating system.

    Those in the operating system count as 0 where it does not tell them.
    """
    waiting = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None:
        return waiting
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_QUEUED.size))
    except OSError:
        return waiting
    return waiting + _QUEUED.unpack(queued)[0]


class OutputWatch:
    """Finds a caller that takes no output for longer than the idle timeout; in seconds."""

    def __init__(self, idle_timeout: float, now: float) -> None:
        self._limit = idle_timeout  # when the waiting output began to wait
        self._progress = OutputProgress(now)

    def is_stalled(self, transport: asyncio.Transport, idle_timeout: float, now: float) -> bool:
        """Return whether to give the caller up; call about twice a second."""
        if not transport.get_write_buffer_size():
            self._limit = idle_timeout
            self._progress.stalled_for(0, now)
            return False
        stalled_for = self._progress.stalled_for(unacknowledged_bytes(transport), now)
        return stalled_for > max(idle_timeout, self._limit)

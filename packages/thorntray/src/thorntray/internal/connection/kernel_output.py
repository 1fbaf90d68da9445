"""Output that the operating system holds because the other side has not acknowledged it."""

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct("i")


def kernel_output_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the unacknowledged bytes of a connection, None where the system does not tell."""
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return int(*_COUNT.unpack(fcntl.ioctl(descriptor, termios.TIOCOUTQ, bytes(_COUNT.size))))
    except (OSError, AttributeError, TypeError, ValueError):  # closed, or in memory only
        return None

"""What the operating system holds of a connection: unacknowledged output, and unread input."""

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct("i")


def kernel_output_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the unacknowledged bytes of a connection, None where the system does not tell."""
    return _query(transport, termios.TIOCOUTQ)


def kernel_input_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the bytes of input that have not been read, None where the system does not tell."""
    return _query(transport, termios.FIONREAD)


def _query(transport: asyncio.BaseTransport, request: int) -> int | None:
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return int(*_COUNT.unpack(fcntl.ioctl(descriptor, request, bytes(_COUNT.size))))
    except (OSError, AttributeError, TypeError, ValueError):  # closed, or in memory only
        return None

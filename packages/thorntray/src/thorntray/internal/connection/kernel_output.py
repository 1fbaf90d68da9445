"""What the operating system holds of a connection: unacknowledged output, and unread input."""

import asyncio
import fcntl
import os
import struct
import termios

_COUNT = struct.Struct("i")
_DISCARDED_AT_MOST = 1 << 20  # bytes of input of one connection


def kernel_output_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the unacknowledged bytes of a connection, None where the system does not tell."""
    return _query(transport, termios.TIOCOUTQ)


def kernel_input_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the bytes of input that have not been read, None where the system does not tell."""
    return _query(transport, termios.FIONREAD)


def discard_input(transport: asyncio.BaseTransport) -> None:
    """Discard the input that the kernel holds, with which a close would reset the connection.

    The transport must not read the connection afterwards.
    """
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        os.read(descriptor, _DISCARDED_AT_MOST)
    except (OSError, AttributeError, TypeError, ValueError):  # none, closed, or in memory only
        return


def _query(transport: asyncio.BaseTransport, request: int) -> int | None:
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        return int(*_COUNT.unpack(fcntl.ioctl(descriptor, request, bytes(_COUNT.size))))
    except (OSError, AttributeError, TypeError, ValueError):  # closed, or in memory only
        return None

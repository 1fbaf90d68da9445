"""Has the kernel ignore new connections to a listening socket that is about to be closed.

A connection that the kernel accepts after the last `accept` and before the close is reset, although
its caller has connected and may have sent a request. While the filter is in place, nobody connects:
the kernel of a caller repeats its attempt (after 1 s on Linux), which is refused then.
"""

import ctypes
import socket
import struct
import sys
from typing import Final

_SO_ATTACH_FILTER: Final = 26  # asm-generic/socket.h, as on x86-64 and arm64
_FLAGS_OFFSET = 13  # of the flags in a TCP header
_SYN, _ACK = 0x02, 0x10

# Instructions of the classic Berkeley Packet Filter: operation, jumps if true and false, operand.
_INSTRUCTIONS = (
    (0x30, 0, 0, _FLAGS_OFFSET),  # load byte
    (0x54, 0, 0, _SYN | _ACK),  # and
    (0x15, 0, 1, _SYN),  # jump if equal: the first segment of a new connection
    (0x06, 0, 0, 0),  # return: drop
    (0x06, 0, 0, 0xFFFFFFFF),  # return: keep
)
_INSTRUCTION = struct.Struct("HBBI")
_PROGRAM = ctypes.create_string_buffer(b"".join(_INSTRUCTION.pack(*i) for i in _INSTRUCTIONS))


def ignore_new_connections(listener: socket.socket) -> None:
    """Drop the first segment of every new connection; where that is not possible, do nothing.

    Connections whose handshake has begun are still accepted.
    """
    if sys.platform != "linux":
        return
    program = struct.pack("HP", len(_INSTRUCTIONS), ctypes.addressof(_PROGRAM))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError:  # the kernel has no packet filters
        return

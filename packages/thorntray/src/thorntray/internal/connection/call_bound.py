"""Which calls are put into a link: a decision without I/O.

A call that waits in a full link may be late, and ends as unknown if the link is lost. One that was
never put into it has certainly not run, and may be sent to another instance. Results, cancellations
and pings are always sent: results are owed, and the others are small.
"""

from thorntray.internal.connection.frame import MAX_FRAME_BYTES, CallFrame

CALL_BUFFER_LIMIT = 16 * 1024 * 1024  # unsent bytes of a link beyond which no call is added
# Unsent bytes up to which one call of any length is sent: a hello, pings, and a few small calls.
NEARLY_EMPTY = 64 * 1024
MAX_FRAME_OVERHEAD = 64 * 1024  # bytes of a call's frame beside its body, target and headers


def call_bytes(call: CallFrame) -> int:
    """Return the approximate length of a call's frame in bytes."""
    return len(call.body) + len(call.header_lines) + len(call.target)


def may_add_call(size: int, unsent: int, stalled: bool) -> bool:
    """Return whether to put a call of `size` bytes into a link with `unsent` bytes.

    `stalled` tells whether the peer currently takes nothing. A frame that the peer would refuse as
    too long is never sent, since it would end the link with every call on it.
    """
    if size > MAX_FRAME_BYTES - MAX_FRAME_OVERHEAD:
        return False
    return unsent <= NEARLY_EMPTY or (not stalled and unsent + size <= CALL_BUFFER_LIMIT)

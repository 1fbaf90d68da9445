"""Claims on ranges of loopback addresses and ports, so that concurrent processes share none.

A claim is a bound UDP socket, a guard: the system refuses a second one at the same address and
closes it when its process ends, also after a kill. Files would outlive their process, and would not
be seen by another user of the machine.
"""

import os
import socket
from collections.abc import Sequence

_guards: list[socket.socket] = []


def claim(guard_addresses: Sequence[tuple[str, int]]) -> int:
    """Bind a free one of the guard addresses until this process ends, and return its index.

    The search begins at an index that depends on the process id, so that a range is not claimed
    again soon. Raises `RuntimeError` if all are taken.
    """
    count = len(guard_addresses)
    for index in (n % count for n in range(os.getpid(), os.getpid() + count)):
        guard = socket.socket(type=socket.SOCK_DGRAM)
        try:
            guard.bind(guard_addresses[index])
        except OSError:
            guard.close()
            continue
        _guards.append(guard)
        return index
    raise RuntimeError(f"all {count} ranges are claimed by other processes")

"""Whether the caller of a connection takes its output.

A limit that is lowered while output waits applies to later output: this answer is already owed.

The operating system takes more output only when a third of its own buffer is free, which may hold
megabytes. A peer that reads slowly all the time then seems to take nothing for seconds, unless the
bytes in that buffer are counted too.
"""

import asyncio

from thorntray.internal.connection.connection_end import OutputProgress
from thorntray.internal.connection.kernel_output import kernel_output_bytes


class OutputWatch:
    """Finds a caller that takes no output for longer than the idle timeout; in seconds."""

    def __init__(self, idle_timeout: float, now: float) -> None:
        self._limit = idle_timeout  # when the waiting output began to wait
        self._progress = OutputProgress(now)

    def is_stalled(
        self, transport: asyncio.Transport, idle_timeout: float, now: float, ended: bool = False
    ) -> bool:
        """Return whether to give the caller up; call about twice a second.

        Once the output has `ended`, what the operating system alone holds is waited for too.
        """
        waiting = transport.get_write_buffer_size()
        untaken = waiting + (kernel_output_bytes(transport) or 0)
        if not (untaken if ended else waiting):
            self._limit = idle_timeout
            self._progress.stalled_for(0, now)
            return False
        return self._progress.stalled_for(untaken, now) > max(idle_timeout, self._limit)

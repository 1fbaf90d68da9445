"""Which links may go on reading a large frame: a decision without I/O.

What a peer has begun to send arrives as fast as this process reads it. A frame whose announced
length does not fit into the budget of the process is therefore left unread with its sender until it
does. Since results free memory only when they are complete, one frame is always read on, whatever
is held; one whose sender makes no progress does not count as that one.
"""

from collections.abc import Hashable
from typing import NamedTuple

from thorntray.internal.process.memory_budget import MemoryBudget, Share

LARGE_FRAME_BYTES = 64 * 1024  # shorter frames are always read
PROGRESS_TIMEOUT = 1.0  # seconds without data after which a further frame is read
RETRY_PERIOD = 0.05  # seconds between two questions for the same frame


class _Reading(NamedTuple):
    missing: int  # bytes
    received_at: float  # monotonic seconds


class ReceiveGate:
    """Admits the frames of all links of one direction; a budget of None admits all."""

    def __init__(self, budget: MemoryBudget | None, share: Share) -> None:
        self._budget = budget
        self._share = share
        self._reading: dict[Hashable, _Reading] = {}

    def admit(self, link: Hashable, missing: int, now: float) -> bool:
        """Return whether a link may read the `missing` bytes of its frame.

        To be called again when more of the frame has arrived; `now` is in monotonic seconds.
        """
        budget = self._budget
        if budget is None or budget.limit is None:
            return True
        if link not in self._reading:
            if missing <= LARGE_FRAME_BYTES:
                return True
            promised = sum(reading.missing for reading in self._reading.values())
            if self._progressing(now) and not budget.has_room(missing + promised, self._share):
                return False
        self._reading[link] = _Reading(missing, now)
        return True

    def release(self, link: Hashable) -> None:
        """Forget the frame of a link, as it is complete or the link has ended."""
        self._reading.pop(link, None)

    def _progressing(self, now: float) -> bool:
        """Return whether a frame that was admitted is arriving."""
        latest = max((reading.received_at for reading in self._reading.values()), default=None)
        return latest is not None and now - latest < PROGRESS_TIMEOUT

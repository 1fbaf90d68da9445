"""End of all requests of a stopping node, each with an answer.

The kernel closes all sockets when the process ends, so whoever still waits then sees a closed
connection and cannot tell whether the request ran. Therefore the process ends when nothing is owed.
What callers have not acknowledged is owed too, since later input would have the kernel discard it.
What is left when answers are due is ended with the answer that is true by then, and
`FINAL_FLUSH_TIME` is allowed for sending it.
"""

import asyncio
from typing import NamedTuple

from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.process.drain import Drain
from thorntray.internal.request.origin import Origin
from thorntray.internal.request.owner import Owner

POLL_PERIOD = 0.05  # seconds
# Seconds by which answers are overdue at the first look only if the process was paused.
PAUSE_LAG = 2 * POLL_PERIOD
ARRIVED_READ_TIME = 0.1  # seconds for reading and passing on what arrived during a pause
FINAL_FLUSH_TIME = 0.2  # seconds for sending the answers of the requests that were ended
# Seconds for which a stopping node reads its links after their last results. Peers close them at
# once; the most is for those that still receive a large result.
MIN_LINK_CLOSE_TIME = 0.1
MAX_LINK_CLOSE_TIME = 1.0


def time_for_links(drain: Drain, now: float) -> float:
    """Return the longest time in seconds for the end of the links, within the stop's limit."""
    return max(MIN_LINK_CLOSE_TIME, min(MAX_LINK_CLOSE_TIME, drain.answers_due - now))


class EndedRequests(NamedTuple):
    """Numbers of requests that were ended because answers were due."""

    of_callers: int
    at_instance: int  # requests of peers, and what the instance still runs for callers that left


class RequestDrain:
    """Waits for the requests of a node and ends those that are left when answers are due."""

    def __init__(
        self,
        drain: Drain,
        origin: Origin,
        owner: Owner,
        callers: HttpServer,
        peers: LinkListener,
    ) -> None:
        self._drain = drain
        self._origin = origin
        self._owner = owner
        self._callers = callers
        self._peers = peers

    async def run(self) -> EndedRequests:
        """Wait until nothing is owed or answers are due; end what is left, and send its answers."""
        while self._owes_answers and not self._drain.overdue:
            await asyncio.sleep(POLL_PERIOD)
        if self._drain.overdue_by > PAUSE_LAG:
            await self._read_arrived()
        self._drain.end()
        # Origins first: a request that its owner ends could be sent to another instance.
        ended = EndedRequests(self._origin.end_all(), self._owner.end_all())
        await self._flush()
        return ended

    @property
    def _owes_answers(self) -> bool:
        return bool(self._callers.active or self._owner.requests or self._unsent_bytes)

    @property
    def _unsent_bytes(self) -> int:
        return self._callers.unsent_bytes + self._peers.unsent_bytes

    async def _read_arrived(self) -> None:
        """Let the loop read the answers that came while the process was paused.

        After a pause the timers of the loop are due before it reads.
        """
        for _ in range(int(ARRIVED_READ_TIME / POLL_PERIOD)):
            if self._owes_answers:
                await asyncio.sleep(POLL_PERIOD)

    async def _flush(self) -> None:
        for _ in range(int(FINAL_FLUSH_TIME / POLL_PERIOD)):
            if not self._unsent_bytes:
                return
            await asyncio.sleep(POLL_PERIOD)

"""Refuses requests of callers for which the process has no memory, before they are taken in.

What is refused here has certainly not run. Requests that may be repeated are refused first, then
those that may not and the calls of requests that are already running.
"""

from collections.abc import Callable
from typing import NamedTuple

from thorntray.internal.connection.request_bodies import IncomingRequest
from thorntray.internal.process.hold_time import HoldTime
from thorntray.internal.process.memory_budget import MemoryBudget, Share
from thorntray.internal.request.origin import Origin


class MemoryRefusal(NamedTuple):
    """A request that was refused; `retry_after` is in seconds."""

    request_id: bytes
    route: str  # empty if none matches
    count: int  # bytes for which there was no room
    share: Share
    retry_after: float


class MemoryAdmission:
    """The `RequestGate` of the callers' server."""

    def __init__(
        self,
        memory: MemoryBudget,
        origin: Origin,
        hold_time: HoldTime,
        on_refused: Callable[[MemoryRefusal], None],
    ) -> None:
        self._memory = memory
        self._origin = origin
        self._hold_time = hold_time
        self._on_refused = on_refused

    @property
    def pressed(self) -> bool:
        """Return whether small requests are to ask for room, too."""
        return self._memory.pressed

    def refusal(self, request: IncomingRequest, count: int) -> bytes | None:
        """Return the header lines of a refusal, None if `count` more bytes may be held."""
        size = request.held_bytes + count
        if self._memory.has_room(count, Share.of_request(True, size)):
            return None
        found = self._origin.look_up(request.target, request.headers)
        repeatable = found is None or found.repeatable
        share = Share.of_request(repeatable, size)
        if not repeatable and self._memory.has_room(count, share):
            return None
        seconds = round(self._hold_time.seconds, 3)
        request_id, route = (
            (b"", "") if found is None else (found.head.request_id, found.route.name)
        )
        self._on_refused(MemoryRefusal(request_id, route, count, share, seconds))
        return self._origin.retry_after_line(seconds)

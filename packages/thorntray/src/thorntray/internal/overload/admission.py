"""Admission to one upstream instance: who gets a slot, who waits, who is refused at once.

Requests in flight are bounded by the limiter. A short queue absorbs bursts. The queue is kept
in shed order: a slot goes to the highest key, and when the queue is full the lowest key leaves,
be it the newcomer or one that waits. Whoever leaves is told at once. A request also leaves at
the moment when its remaining time no longer covers the usual service time, since running it
would be wasted work.

The admission level is what callers' nodes learn: the shed key below which requests have lately
been refused. Each refusal pulls it up towards the refused key, not to it, because one burst
may evict a high key; it falls by itself with time, faster while slots are free. Nobody has to
reset it.
"""

import asyncio
import bisect
from dataclasses import dataclass, field

from thorntray.errors import RequestRefused
from thorntray.internal.overload.limiter import Limiter
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.outcome import Reason

LEVEL_GAIN = 0.15  # share of the distance to a refused key that the level rises
MAX_LEVEL_RISE = 0.03  # shed keys; one refused payout must not close a whole class
LEVEL_FALL = 0.05  # shed keys per second while slots are full
LEVEL_FALL_IDLE = 1.0  # shed keys per second while slots are free
MIN_RETRY_AFTER = 0.05  # seconds
MAX_RETRY_AFTER = 5.0  # seconds


@dataclass(order=True, slots=True)
class _Waiter:
    shed_key: float
    sequence: int
    granted: "asyncio.Future[None]" = field(compare=False)


class AdmissionLevel:
    """The shed key below which requests have lately been refused."""

    __slots__ = ("_clock", "_level", "_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._level = 0.0
        self._at = clock.monotonic()

    def read(self, slots_free: bool) -> float:
        """Return the level now."""
        now = self._clock.monotonic()
        fall = LEVEL_FALL_IDLE if slots_free else LEVEL_FALL
        self._level = max(0.0, self._level - fall * (now - self._at))
        self._at = now
        return self._level

    def refused(self, shed_key: float) -> None:
        """Pull the level up towards a refused key."""
        if shed_key > self._level:
            self._level += min(MAX_LEVEL_RISE, LEVEL_GAIN * (shed_key - self._level))


class Admission:
    """Slots and queue of one upstream instance."""

    def __init__(self, limiter: Limiter, queue_bound: int, max_wait: float, clock: Clock) -> None:
        self.limiter = limiter
        self.queue_bound = queue_bound
        self.max_wait = max_wait  # seconds
        self._clock = clock
        self._level = AdmissionLevel(clock)
        self._waiters: list[_Waiter] = []  # sorted, lowest key first
        self._sequence = 0
        self.in_flight = 0

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._waiters)

    @property
    def load(self) -> float:
        """Return requests here, in flight or queued, as a share of the limit."""
        return (self.in_flight + len(self._waiters)) / self.limiter.limit

    def level(self) -> float:
        """Return the admission level that is reported to callers' nodes."""
        return self._level.read(self.in_flight < self.limiter.limit)

    def retry_after(self) -> float:
        """Return the estimated seconds until the present queue has drained."""
        service_time = self.limiter.baseline
        drain_time = service_time * (1 + len(self._waiters) / self.limiter.limit)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, drain_time))

    async def enter(self, shed_key: float, deadline: Deadline, expected_time: float) -> None:
        """Take a slot, waiting in the queue if need be; pair with `leave`.

        `expected_time` is the seconds that the request will take once it has a slot.

        Raises `RequestRefused` at the moment when the request is given up.
        """
        spare = deadline.remaining(self._clock) - expected_time
        if spare <= 0:
            raise self._refusal(Reason.HOPELESS)
        self._level.read(self.in_flight < self.limiter.limit)
        if self.in_flight < self.limiter.limit and not self._waiters:
            self._take_slot()
            return
        waiter = self._enqueue(shed_key)
        # A fixed wait would be too short for a service that has become slower: a burst of the
        # highest class would be turned away although the next slot comes in time.
        longest = max(self.max_wait, expected_time)
        await self._wait(waiter, min(spare, longest), spare <= longest)

    def leave(self) -> None:
        """Give the slot back and hand it to the highest waiting key."""
        self.in_flight -= 1
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Hand free slots to the highest waiting keys; call when the limit may have risen."""
        while self._waiters and self.in_flight < self.limiter.limit:
            waiter = self._waiters.pop()
            if not waiter.granted.done():
                self._take_slot()
                waiter.granted.set_result(None)

    def _take_slot(self) -> None:
        self.in_flight += 1
        self.limiter.started(self.in_flight)

    def _enqueue(self, shed_key: float) -> _Waiter:
        if len(self._waiters) >= self.queue_bound:
            self._evict_below(shed_key)
        self._sequence += 1
        # Negative, so that among equal keys the earliest has the highest place.
        waiter = _Waiter(shed_key, -self._sequence, asyncio.get_running_loop().create_future())
        bisect.insort(self._waiters, waiter)
        return waiter

    def _evict_below(self, shed_key: float) -> None:
        if not self._waiters or self._waiters[0].shed_key >= shed_key:
            self._level.refused(shed_key)
            raise self._refusal(Reason.SHED)
        lowest = self._waiters.pop(0)
        self._level.refused(lowest.shed_key)
        if not lowest.granted.done():
            lowest.granted.set_exception(self._refusal(Reason.SHED))

    async def _wait(self, waiter: _Waiter, seconds: float, hopeless: bool) -> None:
        reason = Reason.HOPELESS if hopeless else Reason.QUEUE_TIMEOUT
        timer = asyncio.get_running_loop().call_later(seconds, self._give_up, waiter, reason)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise
        finally:
            timer.cancel()

    def _give_up(self, waiter: _Waiter, reason: Reason) -> None:
        if waiter.granted.done():
            return
        self._waiters.remove(waiter)
        self._level.refused(waiter.shed_key)
        waiter.granted.set_exception(self._refusal(reason))

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.granted.done() and not waiter.granted.cancelled():
            if waiter.granted.exception() is None:
                self.leave()

    def _refusal(self, reason: Reason) -> RequestRefused:
        return RequestRefused(reason.value, self.retry_after())

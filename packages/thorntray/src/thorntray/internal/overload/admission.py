"""Admission to one upstream instance: which requests get a slot, wait, or are refused at once.

Requests in flight are bounded by the limiter. A short queue absorbs bursts. The queue is ordered
by shed key: a free slot goes to the highest key, and when the queue is full the lowest key is
evicted, whether it belongs to the new request or to a waiting one. An evicted request is refused
immediately. A request is also refused as soon as its remaining time no longer covers the usual
service time, since running it would be wasted work.

The admission level is reported to the callers' nodes: it is the shed key below which requests
have recently been refused. Each refusal moves it only part of the way towards the refused key,
because one burst may evict a high key. It decays with time, faster while slots are free, so it
needs no explicit reset.
"""

import asyncio
import bisect
from dataclasses import dataclass, field

from thorntray.errors import RequestRefused
from thorntray.internal.overload.limiter import Limiter
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.outcome import Reason

LEVEL_GAIN = 0.15  # share of the distance to a refused key by which the level rises
# Largest rise for one refusal, in shed keys; one refused payout must not close a whole class.
MAX_LEVEL_RISE = 0.03
LEVEL_FALL = 0.05  # shed keys per second while all slots are in use
LEVEL_FALL_IDLE = 1.0  # shed keys per second while slots are free
MIN_RETRY_AFTER = 0.05  # seconds
MAX_RETRY_AFTER = 5.0  # seconds


@dataclass(order=True, slots=True)
class _Waiter:
    shed_key: float
    sequence: int
    granted: "asyncio.Future[None]" = field(compare=False)


class AdmissionLevel:
    """The shed key below which requests have recently been refused."""

    __slots__ = ("_clock", "_level", "_updated_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._level = 0.0
        self._updated_at = clock.monotonic()

    def read(self, slots_free: bool) -> float:
        """Decay the level by the time since the last call and return it."""
        now = self._clock.monotonic()
        fall = LEVEL_FALL_IDLE if slots_free else LEVEL_FALL
        self._level = max(0.0, self._level - fall * (now - self._updated_at))
        self._updated_at = now
        return self._level

    def record_refusal(self, shed_key: float) -> None:
        """Raise the level towards the key of a refused request."""
        if shed_key > self._level:
            self._level += min(MAX_LEVEL_RISE, LEVEL_GAIN * (shed_key - self._level))


class Admission:
    """Slots and wait queue of one upstream instance."""

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
        """Return the number of requests waiting for a slot."""
        return len(self._waiters)

    @property
    def load(self) -> float:
        """Return requests in flight or queued as a share of the limit; above 1 when overloaded."""
        return (self.in_flight + len(self._waiters)) / self.limiter.limit

    def level(self) -> float:
        """Return the admission level to report to the callers' nodes."""
        return self._level.read(self.in_flight < self.limiter.limit)

    def retry_after(self) -> float:
        """Return the estimated seconds until the current queue has drained."""
        service_time = self.limiter.baseline
        drain_time = service_time * (1 + len(self._waiters) / self.limiter.limit)
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, drain_time))

    async def acquire(self, shed_key: float, deadline: Deadline, expected_time: float) -> None:
        """Take a slot, waiting in the queue if necessary; pair with `release`.

        `expected_time` is how many seconds the request will take once it has a slot.

        Raises `RequestRefused` when the request is shed, or as soon as a wait would leave too
        little time or exceeds the longest wait allowed.
        """
        slack = deadline.remaining(self._clock) - expected_time
        if slack <= 0:
            raise self._refusal(Reason.DEADLINE_TOO_NEAR)
        self._level.read(self.in_flight < self.limiter.limit)
        if self.in_flight < self.limiter.limit and not self._waiters:
            self._take_slot()
            return
        waiter = self._enqueue(shed_key)
        # A fixed limit would be too short once the service has become slower: a burst of the
        # highest class would be refused although the next slot becomes free in time.
        wait_limit = max(self.max_wait, expected_time)
        await self._wait(waiter, min(slack, wait_limit), slack <= wait_limit)

    def release(self) -> None:
        """Return a slot and give it to the waiting request with the highest key."""
        self.in_flight -= 1
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Give free slots to the highest waiting keys; call when the limit may have risen."""
        while self._waiters and self.in_flight < self.limiter.limit:
            waiter = self._waiters.pop()
            if not waiter.granted.done():
                self._take_slot()
                waiter.granted.set_result(None)

    def _take_slot(self) -> None:
        self.in_flight += 1
        self.limiter.record_start(self.in_flight)

    def _enqueue(self, shed_key: float) -> _Waiter:
        if len(self._waiters) >= self.queue_bound:
            self._evict_lowest(shed_key)
        self._sequence += 1
        # Negative, so that the earliest of equal keys sorts highest.
        waiter = _Waiter(shed_key, -self._sequence, asyncio.get_running_loop().create_future())
        bisect.insort(self._waiters, waiter)
        return waiter

    def _evict_lowest(self, shed_key: float) -> None:
        if not self._waiters or self._waiters[0].shed_key >= shed_key:
            self._level.record_refusal(shed_key)
            raise self._refusal(Reason.SHED)
        lowest = self._waiters.pop(0)
        self._level.record_refusal(lowest.shed_key)
        if not lowest.granted.done():
            lowest.granted.set_exception(self._refusal(Reason.SHED))

    async def _wait(self, waiter: _Waiter, seconds: float, deadline_bound: bool) -> None:
        reason = Reason.DEADLINE_TOO_NEAR if deadline_bound else Reason.QUEUE_TIMEOUT
        timer = asyncio.get_running_loop().call_later(seconds, self._refuse_waiter, waiter, reason)
        try:
            await waiter.granted
        except asyncio.CancelledError:
            self._remove_cancelled(waiter)
            raise
        finally:
            timer.cancel()

    def _refuse_waiter(self, waiter: _Waiter, reason: Reason) -> None:
        if waiter.granted.done():
            return
        self._waiters.remove(waiter)
        self._level.record_refusal(waiter.shed_key)
        waiter.granted.set_exception(self._refusal(reason))

    def _remove_cancelled(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        elif waiter.granted.done() and not waiter.granted.cancelled():
            if waiter.granted.exception() is None:
                self.release()

    def _refusal(self, reason: Reason) -> RequestRefused:
        return RequestRefused(reason.value, self.retry_after())

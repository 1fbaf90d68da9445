"""Requests that wait for their turn at the instance: when they can start, and which cannot in time.

Two things make a request wait: all slots are in use, or the rate limit that the instance names is
used up. In the first case the wait is an estimate, and the request may wait for as long as its
origin allows. In the second it is known, so a request that cannot start in time is refused at
once, together with the time after which it could start. That holds also for requests that are
already waiting when more valued ones go before them, or when the limit becomes lower.
"""

import asyncio
from collections.abc import Iterable
from typing import Protocol

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.overload.rate_limit import RateLimit
from thorntray.internal.overload.slot_queue import SlotQueue, Ticket
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.result import Cause, Result, not_run

MOVING_AVERAGE_WEIGHT = 0.1  # weight of the newest service time
MIN_CAPACITY = 0.05  # requests in flight, for an instance with a small rate limit
RATE_TIMER_MARGIN = 0.001  # seconds; timers fire at times slightly early
MIN_MEMORY_RETRY_AFTER = 0.25  # seconds; short services still need time to read bodies


class WaitingRequest(Protocol):
    """A request that has been submitted to the slot queue."""

    call: CallFrame
    ticket: Ticket
    arrived_at: float  # monotonic seconds

    @property
    def waiting(self) -> bool:
        """Return whether it waits for a slot."""
        ...

    @property
    def longest_wait(self) -> float:
        """Return the seconds after its arrival for which it may wait."""
        ...

    def finish(self, result: Result) -> None:
        """End it with a result."""
        ...


class WaitingRequests:
    """Decides how long requests may wait, and starts them when the rate limit allows."""

    def __init__(self, queue: SlotQueue, rate_limit: RateLimit, clock: Clock) -> None:
        self._queue = queue
        self._rate_limit = rate_limit
        self._clock = clock
        self._service_time = 0.0  # seconds, moving average
        self._refused_wait = 0.0  # seconds that refused requests could have waited
        self._refused_since = clock.monotonic()
        self._rate_timer: asyncio.TimerHandle | None = None

    def record_service_time(self, seconds: float) -> None:
        """Record how long the instance took for a request."""
        self._service_time += MOVING_AVERAGE_WEIGHT * (seconds - self._service_time)

    def admit(self, request: WaitingRequest, others: Iterable[WaitingRequest]) -> bool:
        """Return whether a queued request can start in time; refuse those that no longer can."""
        if self._expected_wait(request) > request.longest_wait:
            return False
        self.refuse_displaced(others)
        self._wake_when_rate_allows()
        return True

    def full(self, request: WaitingRequest) -> Result:
        """Return the refusal of a request that cannot start in time, with a retry time.

        For the price it counts as if it had waited its time: while a rate limit is in force,
        requests are refused before they have waited.
        """
        if self._rate_limit.rate is None:
            return not_run(Cause.FULL)
        waited = self._clock.monotonic() - request.arrived_at
        self._refused_wait += max(0.0, request.longest_wait - waited)
        ahead = self._queue.count_ahead(request.ticket)
        return not_run(Cause.FULL, self._rate_limit.delay(ahead))

    def refuse_displaced(self, requests: Iterable[WaitingRequest]) -> None:
        """Refuse the requests that cannot start in time any more."""
        if self._rate_limit.rate is None:
            return
        now = self._clock.monotonic()
        for request in [r for r in requests if r.waiting]:
            waited = now - request.arrived_at
            # The end of an earlier one may have ended this one, too.
            if request.waiting and waited + self._expected_wait(request) > request.longest_wait:
                request.finish(self.full(request))

    def take_refused(self) -> float:
        """Return how many refused requests would have waited on average since the last call."""
        now = self._clock.monotonic()
        elapsed, self._refused_since = now - self._refused_since, now
        refused_wait, self._refused_wait = self._refused_wait, 0.0
        return refused_wait / elapsed if elapsed > 0 else 0.0

    @property
    def memory_retry_after(self) -> float:
        """Return the seconds after which requests that are held now will have ended."""
        return max(MIN_MEMORY_RETRY_AFTER, self._service_time)

    @property
    def capacity(self) -> float:
        """Return the requests that can be in flight at once, by slots and by the rate limit."""
        slots, rate = self._queue.limit, self._rate_limit.rate
        if rate is None or not slots:
            return slots
        return min(slots, max(MIN_CAPACITY, rate * self._service_time))

    def _expected_wait(self, request: WaitingRequest) -> float:
        """Return the seconds until a request starts; infinite if it could not end in time."""
        ahead = self._queue.count_ahead(request.ticket)
        for_slot = self._service_time * ahead / max(1, self._queue.limit)
        if self._rate_limit.rate is None:
            return for_slot
        for_rate = self._rate_limit.delay(ahead)
        if for_rate + self._service_time > request.call.budget:
            return float("inf")
        return max(for_slot, for_rate)

    def _wake_when_rate_allows(self) -> None:
        """Start waiting requests when the rate limit allows the next one."""
        if self._rate_limit.rate is None or self._rate_timer is not None:
            return
        delay = self._rate_limit.delay() + RATE_TIMER_MARGIN
        self._rate_timer = asyncio.get_running_loop().call_later(delay, self._on_rate_timer)

    def _on_rate_timer(self) -> None:
        self._rate_timer = None
        self._queue.start_waiting()
        if self._queue.waiting:
            self._wake_when_rate_allows()

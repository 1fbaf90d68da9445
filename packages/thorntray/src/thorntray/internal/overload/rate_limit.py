"""Rate of requests that an instance in need takes, as it names it in its answers.

Load pattern: an instance is in trouble and names the requests a second that it can still take, from
all nodes together. Demand is several times as high, and slots are free, so that nothing else slows
the requests down. Only the node in front of the instance sends to it, and that node reads all its
answers, so the limit is kept there, for first sends, retries and nested calls alike.

Answers may be read in another order than they were written. A lower limit therefore applies at
once, while a higher one, or the end of the limit, needs an answer to a request that was sent after
the newest answer with the limit in force.

A node that has just started knows nothing of its instance, which may have named a limit before.
Until the first answer it sends few requests. Peers tell it the limit that they know of
(`membership.instance_notices`); it holds until an answer shows another one.

An instance that takes no requests would never be heard of again. One request in `PROBE_PERIOD` is
therefore sent whatever the limit. At a limit below that rate it is an idempotent one, which can be
repeated elsewhere, unless none has come for `MAX_PROBE_DELAY`.
"""

import re
from typing import NamedTuple

from thorntray.internal.process.clock import Clock

BURST_TIME = 0.2  # seconds of unused rate that may be saved up
PROBE_PERIOD = 5.0  # seconds
MAX_PROBE_DELAY = 3 * PROBE_PERIOD  # seconds without a request, after which any may be the probe
MIN_RATE = 1 / PROBE_PERIOD  # requests a second
# Requests that may be sent before the first answer, at once and for each second of waiting.
FIRST_SENDS = 4
LEAVING_VALUE = b"1"
_DECIMAL_NUMBER = re.compile(rb"\d{1,18}(\.\d{0,18})?|\.\d{1,18}")


def parse_rate_limit(value: bytes) -> float | None:
    """Return the requests a second that a header value names, None if it is no decimal number."""
    text = value.strip()
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else None


class InstanceState(NamedTuple):
    """What an instance says of itself in one answer."""

    rate_limit: float | None = None  # requests a second that it takes, None if it names no limit
    rate_limit_readable: bool = True
    leaving: bool = False  # it will stop, and takes no further requests

    @classmethod
    def from_fields(cls, limits: list[bytes], leaving: list[bytes]) -> "InstanceState":
        """Return the state that header values name; of several readable limits the lowest holds."""
        rates = [parse_rate_limit(value) for value in limits]
        readable = [rate for rate in rates if rate is not None]
        return cls(
            rate_limit=min(readable, default=None),
            rate_limit_readable=bool(readable) or not limits,
            leaving=any(value.strip() == LEAVING_VALUE for value in leaving),
        )


class RateLimit:
    """The limit of one boot of the instance, and what may be sent to it now."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.reset()

    def reset(self) -> None:
        """Forget all, because a new boot of the instance has begun."""
        self.rate: float | None = None  # requests a second, None without a limit
        self._answered = False  # whether this boot has answered a request
        self._named_at = float("-inf")  # monotonic seconds of the newest answer with this limit
        self._tokens = 0.0  # requests that may be sent at once; valid at `_refilled_at`
        self._refilled_at = self._clock.monotonic()
        self._first_sent_at: float | None = None
        self._last_sent_at = self._refilled_at
        self._sends = 0

    def record_answer(self, state: InstanceState, sent_at: float) -> bool:
        """Learn from an answer; return whether the limit has changed.

        `sent_at` is when the answered request was sent, in monotonic seconds. An unreadable limit
        changes nothing.
        """
        self._answered = True
        if not state.rate_limit_readable:
            return False
        before, named = self.rate, state.rate_limit
        if before is None and named is None:
            return False
        lower = named is not None and (before is None or named <= before)
        if lower or sent_at >= self._named_at:
            self._set_rate(named)
            if named is not None:
                self._named_at = self._clock.monotonic()
        return self.rate != before

    def adopt(self, rate: float) -> bool:
        """Adopt a limit that a peer knows of, unless the instance itself has answered already."""
        if self._answered or (self.rate is not None and self.rate <= rate):
            return False
        self._set_rate(rate)
        self._named_at = self._clock.monotonic()
        return True

    def may_send(self, idempotent: bool) -> bool:
        """Return whether a request may be sent now."""
        if self.rate is None:
            return self._answered or self._sends < self._allowed_unanswered()
        self._refill()
        if self._tokens < 1.0:
            return False
        return idempotent or self.rate >= MIN_RATE or self._probe_overdue()

    def record_send(self, now: float) -> None:
        """Record that a request is sent at `now`, within the limit; in monotonic seconds."""
        self._sends += 1
        self._last_sent_at = now
        if self._first_sent_at is None:
            self._first_sent_at = now
        if self.rate is not None:
            self._refill()
            self._tokens -= 1.0

    def delay(self, ahead: int = 0) -> float:
        """Return the seconds until a request may be sent that has `ahead` others before it."""
        if self.rate is None:
            return 0.0
        self._refill()
        return max(0.0, ahead + 1 - self._tokens) / self._effective_rate

    @property
    def _effective_rate(self) -> float:
        return max(MIN_RATE, self.rate or 0.0)

    def _set_rate(self, rate: float | None) -> None:
        if self.rate is not None:
            self._refill()
        else:  # what was sent before the limit was known has used up what it allows now
            self._tokens = 0.0
            self._refilled_at = self._clock.monotonic()
        self.rate = rate
        self._tokens = min(self._tokens, self._max_tokens())

    def _refill(self) -> None:
        now = self._clock.monotonic()
        gain = self._effective_rate * (now - self._refilled_at)
        self._tokens = min(self._max_tokens(), self._tokens + gain)
        self._refilled_at = now

    def _max_tokens(self) -> float:
        return max(1.0, self._effective_rate * BURST_TIME)

    def _allowed_unanswered(self) -> int:
        if self._first_sent_at is None:
            return FIRST_SENDS
        waited = self._clock.monotonic() - self._first_sent_at
        return int(FIRST_SENDS * (1.0 + waited))

    def _probe_overdue(self) -> bool:
        return self._clock.monotonic() - self._last_sent_at >= MAX_PROBE_DELAY

"""Rate of requests that an instance in need takes, as it names it in its answers.

Load pattern: an instance is in trouble and names the requests a second that it can still take, from
all nodes together. Only the node in front of it sends to it, and that node reads all its answers,
so the limit is kept there.

Answers may be read in another order than they were written. A lower limit therefore applies at
once, while a higher one, or the end of the limit, needs an answer to a request that was sent after
the newest answer with the limit in force.
"""

import re
from typing import NamedTuple

_DECIMAL_NUMBER = re.compile(rb"\d{1,18}(\.\d{0,18})?|\.\d{1,18}")


class InstanceState(NamedTuple):
    """What an instance says of itself in one answer."""

    rate_limit: float | None = None  # requests a second that it takes, None if it names no limit
    rate_limit_readable: bool = True
    leaving: bool = False  # it will stop, and takes no further requests


def parse_rate_limit(value: bytes) -> float | None:
    """Return the requests a second that a header value names, None if it is no decimal number."""
    text = value.strip()
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else None


class RateLimit:
    """The limit that one boot of the instance names."""

    def __init__(self) -> None:
        self.rate: float | None = None  # requests a second, None without a limit
        self._named_at = float("-inf")  # monotonic seconds of the newest answer with this limit

    def record_answer(self, state: InstanceState, sent_at: float, now: float) -> bool:
        """Learn from an answer; return whether the limit has changed.

        `sent_at` is when the answered request was sent, in monotonic seconds like `now`. An
        unreadable limit changes nothing.
        """
        if not state.rate_limit_readable:
            return False
        before, named = self.rate, state.rate_limit
        if before is None or (named is not None and named <= before):
            self.rate = named
            self._named_at = now
        elif sent_at >= self._named_at:
            self.rate = named
            self._named_at = now
        return self.rate != before

    def reset(self) -> None:
        """Forget the limit, because a new boot of the instance has begun."""
        self.rate = None
        self._named_at = float("-inf")

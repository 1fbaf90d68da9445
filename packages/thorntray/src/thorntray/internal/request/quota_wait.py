"""What one workspace with a quota has at a node: its tokens, and the requests that wait for one.

A request that waits is decided once: with a token, or with a refusal that says when to return.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from thorntray.internal.overload.quota_tokens import TokenAccount
from thorntray.internal.telemetry.events import log_handler_failure


class QuotaReason(Enum):
    """Why a request is refused; the names appear in logs and metrics."""

    OVER_QUOTA = "the quota is used up"
    QUOTA_UNKNOWN = "this node cannot know what is left of the quota"


class QuotaRefusal(NamedTuple):
    """A refusal and the seconds after which the request may be sent again."""

    reason: QuotaReason
    retry_after: float


class WaitingRequest:
    """A request that waits for a token. `decided` is called once, unless it is cancelled."""

    __slots__ = ("_entry", "_decided", "ends_at", "timer")

    def __init__(
        self, entry: "QuotaEntry", decided: Callable[[QuotaRefusal | None], None], ends_at: float
    ) -> None:
        self._entry = entry
        self._decided: Callable[[QuotaRefusal | None], None] | None = decided
        self.ends_at = ends_at  # boot time
        self.timer: asyncio.TimerHandle | None = None
        entry.waiting.append(self)
        entry.waiting_count += 1

    @property
    def over(self) -> bool:
        """Return whether the request no longer waits."""
        return self._decided is None

    def cancel(self) -> None:
        """End the wait without a decision, as the caller has left."""
        if self.over:
            return
        self._decided = None
        self._entry.waiting_count -= 1
        if self.timer is not None:
            self.timer.cancel()

    def decide(self, refusal: QuotaRefusal | None) -> None:
        """End the wait, with a token if `refusal` is None. A failure concerns this request only."""
        decided = self._decided
        self.cancel()
        if decided is None:
            return
        try:
            decided(refusal)
        except Exception:  # the other waiting requests are not to be stopped by it
            log_handler_failure()


class QuotaEntry:
    """One workspace with a quota at this node: its tokens and the requests that wait for one."""

    __slots__ = ("account", "waiting", "waiting_count", "timer")

    def __init__(self, account: TokenAccount) -> None:
        self.account = account
        self.waiting: deque[WaitingRequest] = deque()  # also some whose wait is over
        self.waiting_count = 0
        self.timer: asyncio.TimerHandle | None = None  # to repeat a query or to ask again

    def stop_timer(self) -> None:
        """Stop the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

"""Retry decisions for attempts.

Retries have three limits. The escrow limits the retries in the call tree of one request (see
`request.escrow`). The retry ratio limits the retries of one node to one service, which prevents
retry storms across many requests. The deadline prevents retries that cannot finish in time.

Whether an attempt is retryable depends on its outcome and on the settings, not on the HTTP
method: `NotRun` is retryable unless other instances would refuse the request too, `Unknown` only
for an idempotent route, and an answer of the upstream instance (`Done` or `Failed`) never.
"""

from dataclasses import dataclass
from typing import assert_never

from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.order import HIGHEST_PRIORITY
from thorntray.internal.request.outcome import Done, Failed, NotRun, Outcome, Reason, Unknown

MAX_RETRY_TOKENS = 10.0  # bucket capacity; limits a burst of retries after a quiet period

# Other instances of the service would refuse the request for the same reason.
_NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.DEADLINE_TOO_NEAR,
        Reason.DEADLINE_PASSED,
        Reason.NO_INSTANCE,
        Reason.GRANT_NEEDED,
        Reason.GRANT_REJECTED,
        Reason.UNKNOWN_SERVICE,
        Reason.UNKNOWN_ROUTE,
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.CALLER_FINISHED,
        Reason.IDEMPOTENT_PARENT,
        Reason.DEPENDENCY_CLOSED,
    }
)


class RetryTokenBucket:
    """Retry budget for one service: a first attempt adds `ratio` tokens, a retry costs one."""

    __slots__ = ("ratio", "_tokens")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = MAX_RETRY_TOKENS if ratio > 0 else 0.0

    def record_first_attempt(self) -> None:
        """Add the tokens of one first attempt, up to `MAX_RETRY_TOKENS`."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + self.ratio)

    def record_client_retry(self) -> None:
        """Deduct a token for a retry made by the client, down to an empty bucket."""
        self._tokens = max(0.0, self._tokens - 1.0)

    def spend(self, priority: int) -> bool:
        """Take the token for one retry; returns False if none is available at this priority.

        Up to half of the bucket is reserved for higher priorities; the reserve grows as the
        priority of the request falls. Otherwise the retries of many lookups would use up the
        tokens for a few payouts.
        """
        reserve = MAX_RETRY_TOKENS / 2 * (1 - priority / HIGHEST_PRIORITY)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryContext:
    """Properties of a request that the retry decision depends on."""

    idempotent: bool
    priority: int
    deadline: Deadline
    expected_time: float  # expected duration of one attempt in seconds


def is_retryable(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether the request may be sent to another instance after this outcome.

    `idempotent` is the setting of the route; it decides whether `Unknown` is retryable.
    """
    match outcome:
        case NotRun(reason):
            return reason not in _NON_RETRYABLE_REASONS
        case Unknown():
            return idempotent
        case Done() | Failed():
            return False
    assert_never(outcome)


def take_retry(
    outcome: Outcome, ctx: RetryContext, escrow: Escrow, bucket: RetryTokenBucket, clock: Clock
) -> bool:
    """Return whether to retry; if so, deduct the retry from the escrow and the bucket."""
    if not is_retryable(outcome, ctx.idempotent):
        return False
    if ctx.deadline.remaining(clock) <= ctx.expected_time:
        return False
    if escrow.balance == 0 or not bucket.spend(ctx.priority):
        return False
    return escrow.spend()

"""Whether an attempt is repeated: the one place that decides on retries.

Three bounds hold together. The escrow bounds one request's tree (`request.escrow`). The retry
ratio bounds one node's retries against one service, so that many requests together cannot form
a storm. The deadline bounds the rest: a retry that cannot finish is not started.

What may be repeated at all is decided by the outcome and the settings, never by the HTTP
method: `NotRun` may be repeated always, `Unknown` only for an idempotent route, and an answer
of the upstream instance, be it `Done` or `Failed`, never.
"""

from dataclasses import dataclass
from typing import assert_never

from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.order import HIGHEST_PRIORITY
from thorntray.internal.request.outcome import Done, Failed, NotRun, Outcome, Reason, Unknown

MAX_BANKED_RETRIES = 10.0  # retries one service may spend in a burst after quiet times

# Another instance of the same service would refuse these as well.
_FINAL_REASONS = frozenset(
    {
        Reason.HOPELESS,
        Reason.DEADLINE,
        Reason.NO_INSTANCE,
        Reason.GRANT_NEEDED,
        Reason.GRANT_REJECTED,
        Reason.UNKNOWN_SERVICE,
        Reason.UNKNOWN_ROUTE,
        Reason.BAD_REQUEST,
        Reason.BODY_TOO_LARGE,
        Reason.CALLER_GONE,
        Reason.IDEMPOTENT_PARENT,
        Reason.DEPENDENCY_CLOSED,
    }
)


class RetryRatio:
    """Token bucket of one service: a first attempt earns `ratio` tokens, a retry costs one."""

    __slots__ = ("ratio", "_tokens")

    def __init__(self, ratio: float) -> None:
        self.ratio = ratio
        self._tokens = MAX_BANKED_RETRIES if ratio > 0 else 0.0

    def first_attempt(self) -> None:
        """Earn the share of one first attempt."""
        self._tokens = min(MAX_BANKED_RETRIES, self._tokens + self.ratio)

    def client_repeat(self) -> None:
        """Count a client's own repeat as a retry; it may use up the tokens of ours."""
        self._tokens = max(0.0, self._tokens - 1.0)

    def spend(self, priority: int) -> bool:
        """Take the token of one retry; False when there is none for this priority.

        Half of the bank is kept for the higher priorities, the more the lower the request's
        own is: retries of many lookups must not use up those of a few payouts.
        """
        reserve = MAX_BANKED_RETRIES / 2 * (1 - priority / HIGHEST_PRIORITY)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class RetryContext:
    """What the decision needs to know of a request besides the outcome."""

    idempotent: bool
    priority: int
    deadline: Deadline
    expected_time: float  # seconds that one attempt is expected to take


def may_repeat(outcome: Outcome, idempotent: bool) -> bool:
    """Return whether repeating the request elsewhere cannot run it a second time unwanted."""
    match outcome:
        case NotRun(reason):
            return reason not in _FINAL_REASONS
        case Unknown():
            return idempotent
        case Done() | Failed():
            return False
    assert_never(outcome)


def take_retry(
    outcome: Outcome, ctx: RetryContext, escrow: Escrow, ratio: RetryRatio, clock: Clock
) -> bool:
    """Decide on one retry and, if it is allowed, pay for it from both bounds."""
    if not may_repeat(outcome, ctx.idempotent):
        return False
    if ctx.deadline.remaining(clock) <= ctx.expected_time:
        return False
    if escrow.balance == 0 or not ratio.spend(ctx.priority):
        return False
    return escrow.spend()

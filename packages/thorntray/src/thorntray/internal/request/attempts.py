"""Attempts that this node was asked to run, and revocations of them.

An ingress whose time is up may ask the owner to revoke an attempt. The acknowledgement is what
turns `Unknown` into a true `NotRun`, so it must bind the future as well as the past: a
revocation may overtake the attempt itself. The table therefore keeps a revoked identity until
no message with it can still be valid, and refuses the attempt when it arrives late.

An identity is dispatched at most once, which covers non-idempotent nested calls, whose only
sender is the node beside their caller.
"""

from collections import OrderedDict
from enum import Enum, auto

from thorntray.internal.process.clock import Clock

MAX_REMEMBERED = 50_000  # attempts; the oldest revoked ones give way first
LATE_MESSAGE_GRACE = 1.0  # seconds after its deadline in which an attempt may still arrive


class AttemptState(Enum):
    """What is known of one attempt."""

    WAITING = auto()
    DISPATCHED = auto()
    REVOKED = auto()


class AttemptTable:
    """The attempts of one node incarnation, by identity."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: OrderedDict[bytes, tuple[AttemptState, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._states)

    def arrive(self, attempt_id: bytes, deadline: float) -> bool:
        """Register an attempt; False when it was revoked or has arrived before."""
        self._expire()
        if attempt_id in self._states or len(self._states) >= MAX_REMEMBERED:
            return False
        self._states[attempt_id] = (AttemptState.WAITING, deadline + LATE_MESSAGE_GRACE)
        return True

    def dispatch(self, attempt_id: bytes) -> bool:
        """Mark as dispatched, before the first byte is written; False when it was revoked."""
        state, until = self._states.get(attempt_id, (AttemptState.REVOKED, 0.0))
        if state is not AttemptState.WAITING:
            return False
        self._states[attempt_id] = (AttemptState.DISPATCHED, until)
        return True

    def hold(self, attempt_id: bytes) -> bool:
        """Keep a refused attempt from being revoked, to move it elsewhere; False if it was."""
        state, until = self._states.get(attempt_id, (AttemptState.REVOKED, 0.0))
        if state is AttemptState.REVOKED:
            return False
        self._states[attempt_id] = (AttemptState.DISPATCHED, until)
        return True

    def revoke(self, attempt_id: bytes, deadline: float) -> bool:
        """Revoke; True proves that the attempt has not run and never will."""
        self._expire()
        state, until = self._states.get(attempt_id, (AttemptState.WAITING, 0.0))
        if state is AttemptState.DISPATCHED:
            return False
        if attempt_id not in self._states and len(self._states) >= MAX_REMEMBERED:
            return False  # a promise that cannot be remembered must not be given
        keep = max(until, deadline + LATE_MESSAGE_GRACE)
        self._states[attempt_id] = (AttemptState.REVOKED, keep)
        return True

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._states:
            attempt_id, (_, until) = next(iter(self._states.items()))
            if until > now:
                return
            del self._states[attempt_id]

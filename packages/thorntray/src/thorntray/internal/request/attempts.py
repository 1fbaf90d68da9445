"""State of the attempts that this node was asked to run, including revoked ones.

An ingress whose deadline has passed may ask the owner to revoke an attempt. The owner's
acknowledgement lets the ingress report `NotRun` instead of `Unknown`, so it must also hold for the
future: a revocation may arrive before the attempt itself. The table therefore keeps a revoked
attempt ID until no message with that ID can still be valid, and refuses the attempt when it
arrives late.

Each attempt ID is dispatched at most once. This also covers non-idempotent nested calls, which
are only sent by the node in front of their caller.
"""

from collections import OrderedDict
from enum import Enum, auto

from thorntray.internal.process.clock import Clock

MAX_TRACKED_ATTEMPTS = 50_000  # a full table refuses new attempts and new revocations
LATE_MESSAGE_GRACE = 1.0  # seconds after its deadline during which an attempt may still arrive


class AttemptState(Enum):
    """State of one attempt."""

    WAITING = auto()
    DISPATCHED = auto()
    REVOKED = auto()


class AttemptTable:
    """The attempts of one node incarnation, keyed by attempt ID."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: OrderedDict[bytes, tuple[AttemptState, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._states)

    def register(self, attempt_id: bytes, deadline: float) -> bool:
        """Register an attempt; `deadline` is in monotonic seconds.

        Returns False if the attempt was revoked or registered before, or if the table is full.
        """
        self._expire()
        if attempt_id in self._states or len(self._states) >= MAX_TRACKED_ATTEMPTS:
            return False
        self._states[attempt_id] = (AttemptState.WAITING, deadline + LATE_MESSAGE_GRACE)
        return True

    def mark_dispatched(self, attempt_id: bytes) -> bool:
        """Mark an attempt as dispatched, before its first byte is written to the instance.

        Returns False if the attempt was revoked, was dispatched before or is not registered.
        """
        state, until = self._states.get(attempt_id, (AttemptState.REVOKED, 0.0))
        if state is not AttemptState.WAITING:
            return False
        self._states[attempt_id] = (AttemptState.DISPATCHED, until)
        return True

    def block_revocation(self, attempt_id: bytes) -> bool:
        """Make later revocations of a refused attempt fail, before another instance tries it.

        Returns False if the attempt is already revoked or is not registered.
        """
        state, until = self._states.get(attempt_id, (AttemptState.REVOKED, 0.0))
        if state is AttemptState.REVOKED:
            return False
        self._states[attempt_id] = (AttemptState.DISPATCHED, until)
        return True

    def revoke(self, attempt_id: bytes, deadline: float) -> bool:
        """Revoke an attempt; True guarantees that it has not run and never will."""
        self._expire()
        state, until = self._states.get(attempt_id, (AttemptState.WAITING, 0.0))
        if state is AttemptState.DISPATCHED:
            return False
        if attempt_id not in self._states and len(self._states) >= MAX_TRACKED_ATTEMPTS:
            return False  # without an entry, the attempt could still run when it arrives
        remember_until = max(until, deadline + LATE_MESSAGE_GRACE)
        self._states[attempt_id] = (AttemptState.REVOKED, remember_until)
        return True

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._states:
            attempt_id, (_, until) = next(iter(self._states.items()))
            if until > now:
                return
            del self._states[attempt_id]

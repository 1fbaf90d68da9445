"""Decides for how long a node may serve requests with API keys on the policy that it holds.

Fault: a node that is partitioned from the store, paused, restarted, or served by a store or peers
with an older copy does not see that a key has been withdrawn, and would serve it for ever. So keys
need evidence: a version, and the boot time at which no newer version had been acknowledged. All
times are those at which a query was sent, in the time that also counts while a machine is
suspended, so that neither a late reply nor a pause makes evidence look newer than it is.

Evidence for a version above the one in force counts once that version is in force. A store that was
restored gives none for `RESTORE_SILENCE`, as it may lack the version that withdrew a key. A process
does not know for how long the first epoch that it sees has lasted, so that one counts as new too.
"""

from math import inf, isfinite
from typing import NamedTuple

from thorntray.internal.process.clock import Clock
from thorntray.internal.version.policy import Policy

EVIDENCE_SHARE = 0.8  # share of the revocation bound for which evidence is valid
STORE_LAG = 1.0  # seconds for which the store's answers may omit an acknowledged change
RESTORE_SILENCE = 1.0  # seconds until operators have repeated the writes that a restore lost
# Bound in seconds from which on the periods of the exchange apply in full; they shrink below it.
FULL_PERIODS_BOUND = 5.0
MIN_PERIOD_SCALE = 0.2  # bounds the calls to the store; so short a bound allows no keys anyway


class Evidence(NamedTuple):
    """No version above `version` had been acknowledged at `at`, a boot time in seconds."""

    version: int
    at: float


class Freshness:
    """Whether the policy in force is recent enough for its API keys to be served.

    `max_policy_age` is the time in seconds after which a withdrawn key must be refused; with None,
    keys are always served.
    """

    def __init__(self, clock: Clock, max_policy_age: float | None) -> None:
        self._clock = clock
        self._bound = max_policy_age
        # Ordered by version and by time; evidence that is neither newer than another one nor for a
        # lower version is dropped.
        self._evidence: list[Evidence] = []
        self._epoch = 0
        self._silent_until = -inf  # boot time; store calls sent before it are no evidence

    @property
    def strict(self) -> bool:
        """Return whether there is a bound for the withdrawal of keys."""
        return self._bound is not None

    @property
    def lifetime(self) -> float:
        """Return for how many seconds evidence is valid."""
        if self._bound is None:
            return inf
        return max(0.0, min(EVIDENCE_SHARE * self._bound, self._bound - STORE_LAG))

    @property
    def period_scale(self) -> float:
        """Return the factor for the periods of the exchange with store and peers."""
        bound = FULL_PERIODS_BOUND if self._bound is None else self._bound
        return min(1.0, max(MIN_PERIOD_SCALE, bound / FULL_PERIODS_BOUND))

    def is_needed(self, policy: Policy | None) -> bool:
        """Return whether keys of this policy need evidence."""
        return self.strict and policy is not None and bool(policy.workspaces)

    def allows_keys(self, policy: Policy) -> bool:
        """Return whether requests with a key of this policy may be served now."""
        return not self.is_needed(policy) or self.age(policy.version) < self.lifetime

    def age(self, version: int) -> float:
        """Return the age in seconds of the newest evidence for a version in force, or infinity."""
        return self._clock.boottime() - self.newest(version)

    def newest(self, version: int) -> float:
        """Return the boot time of the newest evidence for a version in force, or minus infinity."""
        return max((e.at for e in self._evidence if e.version <= version), default=-inf)

    def record(self, evidence: Evidence) -> None:
        """Add evidence that a peer has given."""
        version, at = evidence
        if not isfinite(at) or any(e.version <= version and e.at >= at for e in self._evidence):
            return
        oldest = self._clock.boottime() - self.lifetime
        kept = [e for e in self._evidence if e.at > oldest and e.version < version]
        newer = [e for e in self._evidence if e.version >= version and e.at > at]
        self._evidence = [*kept, evidence, *newer]

    def record_from_store(self, evidence: Evidence, epoch: int) -> None:
        """Add evidence from an answer of the store, which was in `epoch` then."""
        if epoch != self._epoch:
            self._epoch = epoch
            self._silent_until = self._clock.boottime() + RESTORE_SILENCE
        if evidence.at >= self._silent_until:
            self.record(evidence)

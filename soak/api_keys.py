"""API keys and quotas of the callers' workspaces, and the checks that nodes keep to them.

A withdrawn key must not run anywhere, whatever faults there are; a valid one must not be refused as
unknown. The quota is a bound over all nodes, which no fault excuses either.
"""

import time
from collections import defaultdict
from collections.abc import Iterator
from random import Random

from soak.observation import Observation
from standins.mesh_fleet import REVOCATION_BOUND, WorkspaceConfig

WITHDRAWN_SHARE = 0.1  # of the requests, once a key has been withdrawn
APPLY_LIMIT = 2.0  # seconds from the confirmation of a change until a new key must be known
QUOTA_WINDOW = 5.0  # seconds
QUOTA_OVERSHOOT, QUOTA_SLACK = 1.1, 20  # factor and requests beyond the quota in a window
UNAUTHORIZED = 401
FREE, LIMITED = "free", "limited"  # names of the workspaces
LIMITED_RATE, LIMITED_BURST = 6.0, 6.0  # requests a second, requests


class KeyRing:
    """The workspaces of a run; times are monotonic seconds of the store's confirmation."""

    def __init__(self) -> None:
        self._keys = {name: [f"{name}-0"] for name in (FREE, LIMITED)}
        self.workspace_of = {f"{name}-0": name for name in (FREE, LIMITED)}
        self.added_at: dict[str, float] = {}
        self.withdrawn_at: dict[str, float] = {}

    def workspaces(self) -> list[WorkspaceConfig]:
        """Return the workspaces as the operators configure them now."""
        rates = {FREE: (0.0, 0.0), LIMITED: (LIMITED_RATE, LIMITED_BURST)}
        return [WorkspaceConfig(name, tuple(self._keys[name]), *rates[name]) for name in rates]

    def unlimited_key(self) -> str:
        """Return the valid key of the workspace that has no quota."""
        return self._keys[FREE][0]

    def replace_key(self, rng: Random) -> list[str]:
        """Replace the key of a workspace by a new one; return the old and the new key."""
        name = rng.choice(list(self._keys))
        old = self._keys[name][0]
        new = f"{name}-{len(self.workspace_of)}"
        self._keys[name] = [new]
        self.workspace_of[new] = name
        return [old, new]

    def confirm(self, old: str, new: str) -> None:
        """Record that the store has acknowledged the replacement of a key."""
        self.withdrawn_at[old] = self.added_at[new] = time.monotonic()

    @property
    def refusable_keys(self) -> frozenset[str]:
        """Return the keys that were withdrawn, and those of the workspace beyond its quota."""
        limited = {key for key, name in self.workspace_of.items() if name == LIMITED}
        return frozenset(limited | self.withdrawn_at.keys())

    def draw(self, rng: Random) -> str:
        """Return a key for a request; some callers go on using one that was withdrawn."""
        if self.withdrawn_at and rng.random() < WITHDRAWN_SHARE:
            return rng.choice(list(self.withdrawn_at))
        return rng.choice([key for keys in self._keys.values() for key in keys])


def key_violations(observation: Observation, ring: KeyRing) -> Iterator[str]:
    """Return the violations of keys and quotas in a completed run."""
    yield from _runs_with_withdrawn_keys(observation, ring)
    yield from _valid_keys_refused(observation, ring)
    yield from _wrong_workspaces(observation, ring)
    yield from _beyond_quota(observation, ring)


def _runs_with_withdrawn_keys(observation: Observation, ring: KeyRing) -> Iterator[str]:
    sent = {attempt.request_id: attempt for attempt in observation.attempts}
    for arrival in observation.record.arrivals:
        attempt = sent.get(arrival.request_id)
        withdrawn_at = ring.withdrawn_at.get(attempt.key) if attempt is not None else None
        if attempt is None or withdrawn_at is None or not arrival.executed:
            continue
        delay = attempt.sent_at - withdrawn_at
        if delay > REVOCATION_BOUND:
            yield (
                f"REVOKED: {arrival.request_id} ran at {arrival.node}, sent to {attempt.node} "
                f"{delay:.1f} s after its key was withdrawn"
            )


def _valid_keys_refused(observation: Observation, ring: KeyRing) -> Iterator[str]:
    for attempt in observation.attempts:
        added_at = ring.added_at.get(attempt.key, float("-inf"))
        withdrawn_at = ring.withdrawn_at.get(attempt.key, float("inf"))
        valid = added_at + APPLY_LIMIT < attempt.sent_at and attempt.ended_at < withdrawn_at
        if attempt.status != UNAUTHORIZED or not valid:
            continue
        stable = observation.node_stable(attempt.node, added_at, attempt.sent_at)
        if added_at == float("-inf") or (
            stable and observation.store_stable(added_at, attempt.sent_at)
        ):
            yield f"DENIED: {attempt.request_id} at {attempt.node} has a valid key and got 401"


def _wrong_workspaces(observation: Observation, ring: KeyRing) -> Iterator[str]:
    sent = {attempt.request_id: attempt for attempt in observation.attempts}
    for arrival in observation.record.arrivals:
        attempt = sent.get(arrival.request_id)
        if attempt is not None and arrival.workspace != ring.workspace_of[attempt.key]:
            yield f"WORKSPACE: {arrival.request_id} reached {arrival.node} as {arrival.workspace!r}"


def _beyond_quota(observation: Observation, ring: KeyRing) -> Iterator[str]:
    """Find windows in which too many requests of a workspace were both sent and run."""
    runs = {a.request_id: a.received_at for a in observation.record.arrivals if a.executed}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for attempt in observation.attempts:
        if attempt.request_id in runs:
            span = (attempt.sent_at, runs[attempt.request_id])
            spans[ring.workspace_of[attempt.key]].append(span)
    allowed = (LIMITED_RATE * QUOTA_WINDOW + LIMITED_BURST) * QUOTA_OVERSHOOT + QUOTA_SLACK
    limited = spans[LIMITED]
    for start, _ in limited:
        count = sum(sent >= start and run < start + QUOTA_WINDOW for sent, run in limited)
        if count > allowed:
            yield f"QUOTA: {count} requests of {LIMITED} ran in {QUOTA_WINDOW:.0f} s, {allowed:.0f}"
            return

"""The soak's checks of API keys and quotas."""

from random import Random

from soak.api_keys import (
    FREE,
    LIMITED,
    LIMITED_BURST,
    LIMITED_RATE,
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    QUOTA_WINDOW,
    KeyRing,
    key_violations,
)
from soak.clients import Attempt, AttemptEnd
from soak.observation import Observation
from standins.mesh_fleet import REVOCATION_BOUND, RouteConfig
from standins.worker import Arrival, FleetRecord

ROUTE = RouteConfig("prices", "tariff")
ALLOWED = int((LIMITED_RATE * QUOTA_WINDOW + LIMITED_BURST) * QUOTA_OVERSHOOT + QUOTA_SLACK)


def attempt_with(key, at, number=0, status=200):
    return Attempt(
        at,
        at + 0.1,
        at + 0.1,
        f"r-{number}",
        ROUTE,
        "n1",
        1,
        status,
        status == 200,
        AttemptEnd.ANSWERED,
        reused=False,
        position=0,
        time_limit=1.5,
        key=key,
    )


def found(ring, attempts, workspace=None):
    """Return the kinds of violations; requests with status 200 have run."""
    record = FleetRecord()
    for attempt in attempts:
        if attempt.status == 200:
            named = ring.workspace_of[attempt.key] if workspace is None else workspace
            record.arrivals.append(
                Arrival(attempt.sent_at, attempt.request_id, "n2", 1, "t", "/p", True, named)
            )
    observation = Observation(0.0, attempts, record, [], [], [])
    return {line.partition(":")[0] for line in key_violations(observation, ring)}


def ring_with_withdrawn_key(at):
    ring = KeyRing()
    old, new = ring.replace_key(Random(1))
    ring.withdrawn_at[old] = ring.added_at[new] = at
    return ring, old, new


def test_a_run_long_after_its_key_was_withdrawn_is_a_violation():
    ring, old, _ = ring_with_withdrawn_key(at=10.0)
    assert found(ring, [attempt_with(old, 10.0 + REVOCATION_BOUND - 0.1)]) == set()
    assert found(ring, [attempt_with(old, 10.0 + REVOCATION_BOUND + 0.1)]) == {"REVOKED"}


def test_a_401_for_a_key_that_was_always_valid_is_a_violation():
    ring, old, new = ring_with_withdrawn_key(at=10.0)
    assert found(ring, [attempt_with(old, 1.0, status=401)]) == {"DENIED"}
    assert found(ring, [attempt_with(old, 10.1, status=401)]) == set()
    assert found(ring, [attempt_with(new, 10.1, status=401)]) == set()
    assert found(ring, [attempt_with(new, 13.0, status=401)]) == {"DENIED"}


def test_a_wrong_workspace_at_the_worker_is_a_violation():
    ring = KeyRing()
    assert found(ring, [attempt_with(f"{FREE}-0", 1.0)]) == set()
    assert found(ring, [attempt_with(f"{FREE}-0", 1.0)], workspace=LIMITED) == {"WORKSPACE"}
    assert found(ring, [attempt_with(f"{FREE}-0", 1.0)], workspace="") == {"WORKSPACE"}


def test_more_runs_in_a_window_than_the_quota_allows_are_a_violation():
    ring, key = KeyRing(), f"{LIMITED}-0"
    attempts = [attempt_with(key, 1.0 + n / 1000, n) for n in range(ALLOWED + 1)]
    assert found(ring, attempts[:ALLOWED]) == set()
    assert found(ring, attempts) == {"QUOTA"}
    unlimited = [attempt._replace(key=f"{FREE}-0") for attempt in attempts]
    assert found(ring, unlimited) == set()

"""For how long API keys are served on which evidence. The decision alone, without a network."""

from math import inf, nan

import pytest

from tests.builders import ManualClock
from tests.mesh_builders import make_key_policy, make_policy
from thorntray.internal.version.freshness import RESTORE_SILENCE, Evidence, Freshness

BOUND = 5.0
START = 100.0  # seconds, the first reading of `ManualClock`


class TwoClocks(ManualClock):
    """A clock whose machine was suspended for `suspended` seconds."""

    suspended = 0.0

    def boottime(self):
        return self.now + self.suspended


def make_freshness(bound=BOUND):
    clock = TwoClocks()
    return Freshness(clock, bound), clock


def test_without_evidence_no_key_is_served():
    """Guards against a node that has just started and serves keys of a version it was given."""
    freshness, _ = make_freshness()
    assert not freshness.allows_keys(make_key_policy(1))
    assert freshness.age(1) == inf


def test_keys_are_served_until_four_fifths_of_the_bound_after_the_evidence():
    freshness, clock = make_freshness()
    freshness.record(Evidence(1, START))
    clock.now = START + 3.99
    assert freshness.allows_keys(make_key_policy(1))
    clock.now = START + 4.0
    assert not freshness.allows_keys(make_key_policy(1))


@pytest.mark.parametrize(("bound", "lifetime"), [(2.0, 1.0), (3.0, 2.0), (10.0, 8.0)])
def test_a_short_bound_also_leaves_time_for_an_answer_that_omits_the_newest_change(bound, lifetime):
    """The store's answer may omit a change of the last second, however short the bound is."""
    freshness, clock = make_freshness(bound)
    freshness.record(Evidence(1, START))
    clock.now = START + lifetime - 0.01
    assert freshness.allows_keys(make_key_policy(1))
    clock.now = START + lifetime
    assert not freshness.allows_keys(make_key_policy(1))


def test_a_bound_below_the_delay_of_the_store_allows_no_keys():
    freshness, _ = make_freshness(0.5)
    freshness.record(Evidence(1, START))
    assert not freshness.allows_keys(make_key_policy(1))


def test_the_time_for_which_a_machine_was_suspended_counts():
    freshness, clock = make_freshness()
    freshness.record(Evidence(1, START))
    clock.suspended = 10.0
    assert not freshness.allows_keys(make_key_policy(1))


def test_evidence_for_a_newer_version_counts_from_when_that_is_in_force():
    """Guards against keys that the newer version has withdrawn."""
    freshness, _ = make_freshness()
    freshness.record(Evidence(2, START))
    assert not freshness.allows_keys(make_key_policy(1))
    assert freshness.allows_keys(make_key_policy(2))


def test_evidence_for_a_newer_version_does_not_end_the_older_evidence():
    """A version that is still being fetched must not refuse the keys of the one in force."""
    freshness, clock = make_freshness()
    freshness.record(Evidence(1, START))
    clock.now = START + 2.0
    freshness.record(Evidence(2, START + 2.0))
    assert freshness.age(1) == 2.0
    assert freshness.age(2) == 0.0
    clock.now = START + 4.0
    assert not freshness.allows_keys(make_key_policy(1))
    assert freshness.allows_keys(make_key_policy(2))


def test_evidence_of_an_older_version_counts_for_a_newer_one():
    """The store may answer from before a change that a peer has already passed on."""
    freshness, _ = make_freshness()
    freshness.record(Evidence(1, START))
    assert freshness.allows_keys(make_key_policy(2))


def test_older_evidence_does_not_replace_newer():
    """Answers arrive in any order."""
    freshness, clock = make_freshness()
    clock.now = START + 3.0
    freshness.record(Evidence(1, START + 3.0))
    freshness.record(Evidence(1, START))
    freshness.record(Evidence(2, START))
    assert freshness.age(1) == freshness.age(2) == 0.0


@pytest.mark.parametrize("at", [nan, inf, -inf])
def test_a_time_that_is_no_number_is_no_evidence(at):
    freshness, _ = make_freshness()
    freshness.record(Evidence(1, at))
    assert not freshness.allows_keys(make_key_policy(1))


def test_a_store_in_a_new_epoch_gives_no_evidence_until_lost_writes_are_repeated():
    freshness, clock = make_freshness()
    freshness.record_from_store(Evidence(1, START), 1)
    clock.now = START + RESTORE_SILENCE
    freshness.record_from_store(Evidence(1, clock.now - 0.01), 1)
    assert not freshness.allows_keys(make_key_policy(1)), "the first epoch may just have begun"
    freshness.record_from_store(Evidence(1, clock.now), 1)
    assert freshness.allows_keys(make_key_policy(1))
    clock.now += 2.0
    freshness.record_from_store(Evidence(1, clock.now), 2)
    assert freshness.age(1) == 2.0, "evidence from before the restore stays, and is not renewed"
    clock.now += RESTORE_SILENCE
    freshness.record_from_store(Evidence(1, clock.now), 2)
    assert freshness.age(1) == 0.0


def test_a_store_without_an_epoch_gives_evidence_at_once():
    freshness, _ = make_freshness()
    freshness.record_from_store(Evidence(1, START), 0)
    assert freshness.allows_keys(make_key_policy(1))


def test_without_a_bound_or_without_workspaces_no_evidence_is_needed():
    unbounded, _ = make_freshness(None)
    assert unbounded.allows_keys(make_key_policy(1)) and not unbounded.strict
    bounded, _ = make_freshness()
    assert bounded.allows_keys(make_policy(1))
    assert bounded.is_needed(make_key_policy(1)) and not bounded.is_needed(None)


def test_memory_for_evidence_is_bounded_through_many_versions_and_times():
    freshness, clock = make_freshness()
    for step in range(1000):
        clock.now += 0.1
        freshness.record(Evidence(1 + step, clock.now))
        freshness.record(Evidence(1 + step // 2, clock.now - 0.05))
    assert len(freshness._evidence) < 100


def test_evidence_that_adds_nothing_takes_no_memory():
    """A peer that is behind may answer each query with a higher version of an older time."""
    freshness, _ = make_freshness()
    freshness.record(Evidence(1, START))
    for version in range(1, 50):
        freshness.record(Evidence(version, START - 0.1 / version))
    assert len(freshness._evidence) == 1

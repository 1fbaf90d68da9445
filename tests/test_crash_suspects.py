"""Decision on requests that crash instances: the culprit is found, and nothing else is refused."""

from itertools import count
from random import Random

from tests.builders import ManualClock
from thorntray.internal.overload.crash_suspects import (
    BLOCK_TIME,
    CLEAR_TIME,
    MAX_CRASHES,
    MAX_SUSPECTS,
    REPORT_LIFETIME,
    WATCH_TIME,
    Crash,
    CrashSuspects,
    choose_reported,
)

CULPRIT, OTHER_CULPRIT, POPULAR = 1, 2, 3
STEP = 2.0  # seconds between crashes, longer than WATCH_TIME


class Evidence:
    """The evidence of one node, with crashes that happen now."""

    def __init__(self):
        self.clock = ManualClock()
        self.blocks = []  # (fingerprint, crashes) as reported by the decision
        self.suspects = CrashSuspects(self.clock, lambda f, n, _: self.blocks.append((f, n)))
        self._ids = count(1000)
        self._innocents = count(10_000)

    def crash(self, *fingerprints, beside=0, step=STEP):
        """Record a crash with the fingerprints and `beside` others, then let `step` pass."""
        others = [next(self._innocents) for _ in range(beside)]
        ran = frozenset([*fingerprints, *others])
        self.suspects.add_crash(Crash(next(self._ids), self.clock.now, len(ran), ran))
        self.suspects.update()
        self.wait(step)
        return others

    def wait(self, seconds):
        self.clock.now += seconds
        self.suspects.update()

    @property
    def blocked(self):
        return set(self.suspects.blocked)


def test_a_lone_culprit_is_blocked_from_the_third_crash_on():
    evidence = Evidence()
    evidence.crash(CULPRIT)
    evidence.crash(CULPRIT)
    assert not evidence.suspects.blocked_for(CULPRIT)
    evidence.crash(CULPRIT, step=0.0)
    assert evidence.suspects.blocked_for(CULPRIT) == BLOCK_TIME
    assert evidence.blocks == [(CULPRIT, 3)]


def test_a_quick_culprit_is_blocked_before_the_time_for_gossip_is_used_up():
    """Guards against a decision that leaves no time to tell all nodes within 3 s."""
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(CULPRIT, step=0.4)
    evidence.wait(WATCH_TIME - 0.8)
    assert evidence.blocked == {CULPRIT}


def test_a_culprit_among_a_hundred_is_the_only_one_blocked():
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(CULPRIT, beside=99)
    assert evidence.blocked == {CULPRIT}


def test_a_power_loss_of_a_domain_blocks_nothing():
    """Guards against a power loss that is taken for many crashes of what ran everywhere."""
    evidence = Evidence()
    for number in range(20):
        rare = [50] if number < 3 else []
        evidence.crash(POPULAR, *rare, beside=5, step=0.01)
    evidence.wait(WATCH_TIME)
    assert not evidence.blocked
    evidence.crash(50, beside=5)  # one crash of another cause later
    assert not evidence.blocked


def test_crashes_at_one_moment_alone_block_nothing():
    """Guards against a power loss of three instances that all ran one slow request."""
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(POPULAR, step=0.01)
    evidence.wait(WATCH_TIME)
    assert not evidence.blocked
    evidence.crash(POPULAR)
    assert evidence.blocked == {POPULAR}


def test_two_culprits_are_both_blocked():
    evidence = Evidence()
    evidence.crash(CULPRIT, beside=3)
    evidence.crash(OTHER_CULPRIT, beside=3)
    evidence.crash(CULPRIT, OTHER_CULPRIT, beside=3)
    evidence.crash(CULPRIT, beside=3)
    evidence.crash(OTHER_CULPRIT, beside=3)
    assert evidence.blocked == {CULPRIT, OTHER_CULPRIT}


def test_a_popular_request_beside_a_culprit_is_cleared_by_one_success():
    """Guards against the refusal of a request that happens to run beside each crash."""
    evidence = Evidence()
    evidence.crash(CULPRIT, POPULAR, beside=10, step=0.3)
    evidence.crash(CULPRIT, POPULAR, beside=10, step=0.3)
    evidence.crash(CULPRIT, POPULAR, beside=10, step=0.3)
    assert evidence.suspects.record_success(POPULAR)
    evidence.wait(WATCH_TIME)
    for _ in range(5):
        evidence.crash(CULPRIT, POPULAR, beside=10)
    assert {fingerprint for fingerprint, _ in evidence.blocks} == {CULPRIT}
    assert not evidence.suspects.is_suspected(POPULAR)


def test_requests_of_the_same_three_crashes_are_not_blocked_before_they_are_told_apart():
    """Guards against the refusal of an innocent request that cannot succeed while refused."""
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(CULPRIT, POPULAR, beside=2, step=0.15)
    evidence.wait(WATCH_TIME)
    assert not evidence.blocked
    evidence.crash(CULPRIT, beside=2)
    assert evidence.blocked == {CULPRIT}


def test_a_success_of_one_of_two_that_ran_in_three_crashes_blocks_the_other():
    """Guards against a culprit that needs a further crash though nothing else is suspected."""
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(CULPRIT, POPULAR)
    assert not evidence.blocked
    evidence.suspects.record_success(POPULAR)
    evidence.wait(0.0)
    assert evidence.blocked == {CULPRIT}


def test_a_culprit_of_three_crashes_at_nearly_one_moment_is_told_apart_by_their_number():
    """Guards against further sends of a culprit when crashes at one moment count as one."""
    evidence = Evidence()
    for other in (POPULAR, OTHER_CULPRIT, POPULAR):
        evidence.crash(CULPRIT, other, step=0.15)
    evidence.wait(WATCH_TIME)
    assert evidence.blocked == {CULPRIT}


def test_a_clear_from_another_node_ends_a_block():
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(POPULAR)
    assert evidence.blocked == {POPULAR}
    assert evidence.suspects.add_clear(POPULAR, evidence.clock.now + CLEAR_TIME)
    assert not evidence.suspects.blocked_for(POPULAR)
    assert not evidence.suspects.add_block(POPULAR, evidence.clock.now + BLOCK_TIME)


def test_a_frequent_request_stays_cleared_while_it_succeeds():
    evidence = Evidence()
    evidence.crash(POPULAR)
    assert evidence.suspects.record_success(POPULAR)
    assert not evidence.suspects.record_success(POPULAR)  # no news, so nothing is gossiped
    evidence.wait(CLEAR_TIME - 10)
    assert evidence.suspects.record_success(POPULAR)
    evidence.wait(CLEAR_TIME - 10)
    evidence.crash(POPULAR)
    assert not evidence.suspects.is_suspected(POPULAR)


def test_processes_killed_one_after_the_other_block_no_frequent_request():
    """Guards against kills by operators that add up: what runs often succeeds in between."""
    evidence = Evidence()
    for _ in range(10):
        evidence.crash(*range(10, 16), beside=2, step=0.5)
        for fingerprint in range(10, 16):
            evidence.suspects.record_success(fingerprint)
        evidence.wait(1.0)
    assert not evidence.blocked


def test_many_requests_with_the_same_evidence_are_not_blocked():
    """Guards against a block of all that a service usually runs, after three kills in a row."""
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(*range(10, 20))
    assert not evidence.blocked


def test_a_block_ends_and_one_further_crash_renews_it():
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(CULPRIT)
    evidence.wait(BLOCK_TIME)
    assert not evidence.blocked
    evidence.crash(CULPRIT)
    assert evidence.blocked == {CULPRIT}


def test_crashes_are_forgotten_after_their_lifetime():
    evidence = Evidence()
    evidence.crash(CULPRIT)
    evidence.crash(CULPRIT)
    evidence.wait(REPORT_LIFETIME)
    assert not evidence.suspects.active
    evidence.crash(CULPRIT)
    assert not evidence.blocked
    old = Crash(1, evidence.clock.now - REPORT_LIFETIME, 1, frozenset([CULPRIT]))
    assert not evidence.suspects.add_crash(old)


def test_the_same_crash_counts_once_however_often_it_is_reported():
    """Guards against gossip, and a node that has restarted, which report a crash again."""
    evidence = Evidence()
    crash = Crash(7, evidence.clock.now, 1, frozenset([CULPRIT]))
    assert evidence.suspects.add_crash(crash)
    for _ in range(5):
        evidence.wait(STEP)
        assert not evidence.suspects.add_crash(crash)
    assert not evidence.blocked


def test_a_thousand_different_culprits_use_bounded_memory_and_hide_no_repeated_one():
    evidence = Evidence()
    evidence.crash(CULPRIT, beside=2)
    evidence.crash(CULPRIT, beside=2)
    for _ in range(1000):
        evidence.crash(beside=20, step=0.5)
        assert len(evidence.suspects.crashes) <= MAX_CRASHES
        assert evidence.suspects.suspect_count <= MAX_SUSPECTS
    evidence.crash(CULPRIT, beside=2)
    assert evidence.blocked == {CULPRIT}


def test_a_report_of_a_crash_with_too_many_requests_keeps_those_already_suspected():
    evidence = Evidence()
    evidence.crash(CULPRIT)
    ran = [*range(500, 900), CULPRIT]
    assert choose_reported(ran, 1, evidence.suspects, Random(1).random) == {CULPRIT}
    assert len(choose_reported(ran, 50, evidence.suspects, Random(1).random)) == 50

"""Which requests run apart after a crash: the decision of one node, without a network."""

from tests.builders import ManualClock
from thorntray.internal.overload.crash_isolation import (
    ISOLATION_TIME,
    SECOND_CRASH_PAUSE,
    CrashIsolation,
)
from thorntray.internal.overload.crash_suspects import BLOCK_TIME, Crash, CrashSuspects

CULPRIT, OTHER = 1, 2


class Evidence:
    """The evidence and the decisions of one node, with crashes that happen now."""

    def __init__(self):
        self.clock = ManualClock()
        self.suspects = CrashSuspects(self.clock, lambda *_: None)
        self.isolation = CrashIsolation(self.suspects, self.clock)
        self._crashes = 0

    def crash(self, *fingerprints):
        """Record a crash, a second after the one before."""
        self.clock.now += 1.0
        self._crashes += 1
        ran = frozenset(fingerprints)
        self.suspects.add_crash(Crash(self._crashes, self.clock.now, len(ran), ran))

    def start_all(self, fingerprints):
        """Start the requests that may start now; return them."""
        started = []
        for fingerprint in fingerprints:
            if self.isolation.may_start(fingerprint):
                self.isolation.begin(fingerprint)
                started.append(fingerprint)
        return started


def test_without_a_crash_all_requests_run():
    evidence = Evidence()
    assert not evidence.isolation.active
    assert evidence.start_all(range(100)) == list(range(100))


def test_few_of_the_requests_of_a_crash_run_together():
    """Guards against a second crash that leaves as many suspects as the first."""
    for ran, together in ((1, 1), (16, 4), (64, 8), (100, 10)):
        evidence = Evidence()
        evidence.crash(*range(ran))
        assert len(evidence.start_all(range(ran))) == together


def test_two_or_three_suspects_run_one_at_a_time():
    """Guards against a second crash of the only request that ran beside a culprit."""
    for ran in (2, 3):
        evidence = Evidence()
        evidence.crash(*range(ran))
        assert len(evidence.start_all(range(ran))) == 1


def test_a_suspect_starts_when_another_one_ends():
    evidence = Evidence()
    evidence.crash(1, 2, 3, 4)
    limits = [evidence.isolation.begin(fingerprint) for fingerprint in (1, 2)]
    assert not evidence.isolation.may_start(3)
    evidence.isolation.end(limits[0])
    assert evidence.isolation.may_start(3)


def test_a_success_ends_the_isolation():
    evidence = Evidence()
    evidence.crash(CULPRIT, OTHER, 3, 4)
    evidence.suspects.record_success(OTHER)
    assert evidence.isolation.group_limit(OTHER) == 0
    assert evidence.isolation.group_limit(CULPRIT) > 0


def test_requests_that_a_suspect_of_two_crashes_explains_run_as_usual():
    """Guards against a second crash that holds back all that the second instance ran."""
    evidence = Evidence()
    evidence.crash(CULPRIT, *range(10, 20))
    evidence.crash(CULPRIT, *range(20, 30))
    assert evidence.start_all(range(10, 30)) == list(range(10, 30))


def test_a_suspect_of_two_crashes_waits_until_the_instances_are_back_and_then_runs_alone():
    evidence = Evidence()
    evidence.crash(CULPRIT, OTHER, 3)
    evidence.crash(CULPRIT, OTHER, 4)
    assert evidence.isolation.refused_for(CULPRIT) == SECOND_CRASH_PAUSE
    evidence.clock.now += SECOND_CRASH_PAUSE
    assert evidence.isolation.refused_for(CULPRIT) == 0.0
    assert evidence.start_all([CULPRIT, OTHER]) == [CULPRIT]


def test_nothing_suspected_starts_beside_a_suspect_of_two_crashes():
    """Guards against a third crash that could have had another cause."""
    evidence = Evidence()
    evidence.crash(*range(10, 26))
    evidence.crash(CULPRIT)
    evidence.crash(CULPRIT)
    evidence.clock.now += SECOND_CRASH_PAUSE
    evidence.isolation.begin(CULPRIT)
    assert not evidence.isolation.may_start(10)


def test_a_suspect_of_one_crash_is_never_refused():
    evidence = Evidence()
    evidence.crash(CULPRIT, OTHER)
    assert evidence.isolation.refused_for(CULPRIT) == 0.0


def test_isolation_ends_some_time_after_the_newest_crash():
    evidence = Evidence()
    evidence.crash(CULPRIT, OTHER)
    evidence.clock.now += ISOLATION_TIME
    assert evidence.isolation.group_limit(CULPRIT) == 0
    evidence.crash(CULPRIT, OTHER)
    evidence.clock.now += ISOLATION_TIME
    assert evidence.isolation.refused_for(CULPRIT) == 0.0


def test_suspects_of_three_crashes_that_are_not_told_apart_run_alone_as_long_as_a_block_lasts():
    """Guards against a culprit that comes back later, and beside the same request again."""
    evidence = Evidence()
    for _ in range(3):
        evidence.crash(CULPRIT, OTHER)
    evidence.clock.now += BLOCK_TIME - 1.0
    assert evidence.isolation.refused_for(OTHER) == 0.0
    assert evidence.start_all([CULPRIT, OTHER]) == [CULPRIT]
    evidence.clock.now += 1.0
    assert evidence.isolation.group_limit(CULPRIT) == 0


def test_a_power_loss_of_many_instances_isolates_nothing():
    evidence = Evidence()
    for number in range(6):
        ran = frozenset(range(number * 10, number * 10 + 10))
        evidence.suspects.add_crash(Crash(number, evidence.clock.now, 10, ran))
    assert all(evidence.isolation.group_limit(fingerprint) == 0 for fingerprint in range(60))


def test_blocked_requests_are_refused_for_the_time_of_the_block():
    evidence = Evidence()
    evidence.suspects.add_block(CULPRIT, evidence.clock.now + 60.0)
    assert evidence.isolation.refused_for(CULPRIT) == 60.0

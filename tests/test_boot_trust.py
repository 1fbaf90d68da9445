"""Which boots may get work after a start of the node, when departures may have been forgotten."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import ManualClock
from thorntray.internal.process.boot_order import Boot
from thorntray.internal.process.boot_trust import (
    MAX_GAP,
    MS_PER_SECOND,
    PROMPT_TIME,
    PROOF,
    PROOF_ALONE,
    RENEWAL_TIME,
    BootTrust,
)

OLD_BOOT = Boot("i-1", 1000)


def make_trust(*, requires_proof=False):
    clock = ManualClock()
    trust = BootTrust(clock)
    trust.hold()
    trust.set_uncertain(requires_proof=requires_proof)
    return trust, clock


def announce_after(trust, clock, *gaps):
    for gap in gaps:
        clock.now += gap
        trust.record(OLD_BOOT)


def test_nothing_is_trusted_before_anybody_has_answered():
    trust = BootTrust(ManualClock())
    trust.hold()
    trust.record(OLD_BOOT)
    assert not trust.trusts(OLD_BOOT)


def test_a_boot_that_is_announced_at_once_loses_its_work_unless_it_goes_on():
    trust, clock = make_trust()
    announce_after(trust, clock, PROMPT_TIME)
    assert trust.trusts(OLD_BOOT)
    clock.now += RENEWAL_TIME + 0.01
    assert not trust.trusts(OLD_BOOT)
    announce_after(trust, clock, 0.1)
    assert not trust.trusts(OLD_BOOT)


def test_a_boot_that_is_announced_later_has_to_go_on_first():
    trust, clock = make_trust()
    announce_after(trust, clock, PROMPT_TIME + 0.1, *[1.5] * (PROOF.announcements - 2))
    assert not trust.trusts(OLD_BOOT)
    announce_after(trust, clock, 1.5)
    assert trust.trusts(OLD_BOOT)
    clock.now += 60.0
    assert trust.trusts(OLD_BOOT)


def test_an_instance_with_a_long_period_is_trusted_in_the_end():
    """Guards against an instance that goes on reporting and stays unused for good."""
    trust, clock = make_trust(requires_proof=True)
    announce_after(trust, clock, *[MAX_GAP - 0.1] * PROOF_ALONE.announcements)
    assert trust.trusts(OLD_BOOT)


def test_a_boot_that_started_later_is_trusted_unless_the_clock_was_set_back():
    trust, clock = make_trust(requires_proof=True)
    now_ms = int(clock.time() * MS_PER_SECOND)
    assert trust.trusts(Boot("i-2", now_ms))
    assert not trust.trusts(Boot("i-2", now_ms - 1))
    assert not trust.trusts(Boot("i-2", now_ms + 1000 * MS_PER_SECOND))


def test_complete_knowledge_is_not_taken_back():
    trust, _ = make_trust()
    trust.set_complete()
    trust.set_uncertain(requires_proof=True)
    assert trust.trusts(OLD_BOOT)


@given(st.lists(st.floats(0.01, 10.0), max_size=PROOF_ALONE.announcements - 1), st.booleans())
def test_fewer_announcements_than_a_proof_bring_no_work_after_the_renewal_time(gaps, proof):
    trust, clock = make_trust(requires_proof=proof)
    announce_after(trust, clock, *gaps)
    clock.now += RENEWAL_TIME + 0.01
    assert not trust.trusts(OLD_BOOT)


@given(st.lists(st.floats(0.01, MAX_GAP), min_size=PROOF.announcements, max_size=9), st.booleans())
def test_a_boot_that_goes_on_for_the_proof_time_is_trusted(gaps, proof):
    trust, clock = make_trust(requires_proof=proof)
    announce_after(trust, clock, *gaps)
    if sum(gaps[1:]) >= PROOF.seconds + 0.001:
        assert trust.trusts(OLD_BOOT)


@pytest.mark.parametrize("gap", [0.3, 1.5, 2.5])
def test_four_announcements_that_were_held_up_bring_no_work(gap):
    """Guards against a boot that has left and of which several announcements are late."""
    trust, clock = make_trust()
    clock.now += PROMPT_TIME + 0.1
    for _ in range(4):
        announce_after(trust, clock, gap)
        assert not trust.trusts(OLD_BOOT)

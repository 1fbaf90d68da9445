"""What a watcher concludes from the ages of the store's answers, and when it acts on them."""

from random import Random

import pytest

from tests.builders import ManualClock, make_member
from thorntray.internal.store.store_contact import AGE_KEY, HOP_TIME, StoreContact
from thorntray.internal.store.watch_check import (
    FIRST_TURNS,
    LATER_DELAY,
    LATER_STEP,
    MAX_AGE,
    PROBE_AGE,
    RENEWAL_SPREAD,
    TURN_STEP,
    WatchCheck,
)

STEP = 0.005  # seconds by which the clock is advanced
NAMES = tuple(f"w{n}" for n in range(10))  # in the order of the duty
FIRST = ("w0", "w2", "w4", "w6")  # the first ones of the first domains


class FakeMembership:
    def __init__(self, own):
        self.own = make_member(own)
        self.told, self.probed = [], []

    def tell_revisions(self, members):
        self.told.append([member.name for member in members])

    def probe_now(self, name):
        self.probed.append(name)


class FakeDuty:
    """All of `NAMES` watch, two in each of five domains; the first one is checked."""

    def __init__(self, own, dead=()):
        self.is_first = own == NAMES[0]
        self._dead = dead

    def on_duty(self):
        return True

    def watchers(self):
        members = [make_member(n, domain=f"d{i // 2}") for i, n in enumerate(NAMES)]
        return [member for member in members if member.name not in self._dead]

    def precedes(self, name, other):
        return NAMES.index(name) < NAMES.index(other)


def make_check(own, dead=()):
    clock, membership = ManualClock(), FakeMembership(own)
    return WatchCheck(membership, FakeDuty(own, dead), clock, Random(1)), membership, clock


def told(age):
    return {AGE_KEY: int(age * 1000)}


def test_an_age_that_is_passed_on_grows_by_more_than_the_time_of_a_datagram():
    """Guards against an answer that never grows old, as each hop takes its transit time off."""
    clock = ManualClock()
    contact = StoreContact(clock)
    contact.answered()
    for _ in range(100):
        revisions = contact.revisions()
        clock.now += HOP_TIME / 5
        contact = StoreContact(clock)
        contact.hear(revisions)
    assert contact.age >= 100 * HOP_TIME / 5


def test_the_sender_of_an_answer_tells_no_age_and_others_tell_more():
    clock = ManualClock()
    own, other = StoreContact(clock), StoreContact(clock)
    own.answered()
    assert own.revisions() == {AGE_KEY: 0}
    other.hear(own.revisions())
    assert other.revisions() == {AGE_KEY: int(HOP_TIME * 1000)}


@pytest.mark.parametrize("age", [-1, 2**62, 31_000])
def test_an_impossible_or_old_age_is_no_news(age):
    contact = StoreContact(ManualClock())
    assert contact.hear({AGE_KEY: age}) is None
    assert contact.hear({"policy": 3}) is None and contact.revisions() == {}


def test_an_older_answer_than_the_known_one_is_no_news():
    contact = StoreContact(ManualClock())
    contact.answered()
    assert contact.hear(told(0.5)) is None and contact.age == 0


def test_the_first_watcher_tells_all_others_of_an_answer_and_of_a_new_version_at_once():
    check, membership, clock = make_check("w0")
    check.answered(3)
    clock.now += 0.1
    check.answered(3)
    check.answered(4)
    assert membership.told == [list(NAMES[1:])] * 2


def test_a_watcher_that_is_not_checked_tells_nobody():
    check, membership, _ = make_check("w1")
    check.answered(3)
    assert membership.told == [] and not check.is_checked


def test_peers_are_asked_once_in_a_silence_and_before_the_store():
    check, membership, clock = make_check("w2")
    check.answered(3)
    clock.now += PROBE_AGE
    check.ask_peers()
    check.ask_peers()
    assert "w0" in membership.probed and len(membership.probed) <= 2
    assert not check.is_overdue and check.until_next_step <= MAX_AGE - PROBE_AGE + 1e-9


def overdue_after(own, dead=()):
    """Return the seconds from `MAX_AGE` until a watcher takes its call for lost."""
    check, _, clock = make_check(own, dead)
    check.answered(3)
    clock.now += MAX_AGE
    waited = 0.0
    while not check.is_overdue:
        clock.now += STEP
        waited += STEP
        assert waited < 60.0
    return waited


def test_the_first_watchers_of_the_domains_take_turns_at_once():
    waits = {own: overdue_after(own) for own in FIRST}
    assert len(FIRST) == FIRST_TURNS and sorted(waits, key=waits.get) == list(FIRST)
    assert max(waits.values()) <= 3 * TURN_STEP + 3 * STEP


def test_the_others_wait_for_the_first_ones_so_that_a_long_silence_costs_few_calls():
    waits = [overdue_after(own) for own in ("w8", "w1", "w9")]
    assert min(waits) >= LATER_DELAY and max(waits) - min(waits) >= 3 * LATER_STEP


def test_where_the_first_ones_are_known_to_be_dead_the_next_ones_take_their_turns():
    assert overdue_after("w9", dead=NAMES[:9]) <= 3 * STEP
    assert overdue_after("w1", dead=("w0", *FIRST[1:])) <= 3 * TURN_STEP + 3 * STEP


def test_a_node_whose_place_is_not_known_takes_its_turn_too():
    assert overdue_after("w1", dead=("w1",)) <= LATER_DELAY + 10 * LATER_STEP


def test_the_one_answered_after_a_silence_is_checked_until_an_earlier_one_is_answered():
    check, membership, clock = make_check("w1")
    check.answered(3)
    clock.now += MAX_AGE + 0.1
    check.answered(3)
    assert check.is_checked and len(membership.told) == 1
    check.hear(make_member("w2"), told(0.0))
    clock.now += 0.5
    check.hear(make_member("w2"), told(0.0))
    assert check.is_checked
    check.hear(make_member("w0"), told(0.4))  # passed on
    assert check.is_checked
    clock.now += 0.5
    check.hear(make_member("w0"), told(0.0))
    assert not check.is_checked


@pytest.mark.parametrize("own", ["w2", "w9"])
def test_a_first_watcher_renews_a_call_that_was_open_in_a_silence_and_the_others_do_not(own):
    """Guards against two calls of each watcher after each silence."""
    check, _, clock = make_check(own)
    check.answered(3)
    clock.now += MAX_AGE + 1.0
    check.hear(make_member("w0"), told(0.0))
    clock.now += RENEWAL_SPREAD
    check.hear(make_member("w0"), told(0.0))
    assert check.is_overdue == (own in FIRST)
    check.answered(3)
    assert not check.is_overdue


def test_a_call_is_not_renewed_while_answers_come():
    check, _, clock = make_check("w3")
    check.answered(3)
    for _ in range(20):
        clock.now += 1.0
        check.hear(make_member("w0"), told(0.0))
        assert not check.is_overdue

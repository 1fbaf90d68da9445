"""What may be sent to an instance that names a rate limit, in virtual time."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import ManualClock
from thorntray.internal.overload.rate_limit import (
    BURST_TIME,
    FIRST_SENDS,
    MAX_PROBE_DELAY,
    PROBE_PERIOD,
    InstanceState,
    RateLimit,
    parse_rate_limit,
)


def make_limit():
    clock = ManualClock()
    return clock, RateLimit(clock)


def send_for(clock, limit, seconds, step=0.01, idempotent=True):
    """Send whenever it is allowed; return the times of the sends."""
    sends, end = [], clock.now + seconds
    while clock.now < end:
        while limit.may_send(idempotent):
            limit.record_send(clock.now)
            sends.append(clock.now)
            if limit.rate is None and len(sends) > 1000:
                return sends
        clock.now += step
    return sends


@pytest.mark.parametrize("text, rate", [(b"5", 5.0), (b" 0.25 ", 0.25), (b"0", 0.0), (b".5", 0.5)])
def test_a_decimal_number_is_a_limit(text, rate):
    assert parse_rate_limit(text) == rate


@pytest.mark.parametrize("text", [b"", b"x", b"-1", b"nan", b"inf", b"1e9", b"5 6", b"9" * 40])
def test_anything_else_is_unreadable(text):
    assert parse_rate_limit(text) is None


@given(st.floats(0.3, 500.0), st.floats(0.1, 20.0))
def test_no_window_holds_more_than_the_limit_and_a_short_burst(rate, window):
    clock, limit = make_limit()
    limit.record_answer(InstanceState(rate), clock.now)
    sends = send_for(clock, limit, min(30.0, 400 / rate), step=min(0.01, 0.1 / rate))
    most = max((sum(at <= t < at + window for t in sends) for at in sends), default=0)
    assert most <= rate * window + max(1.0, rate * BURST_TIME) + 1


@given(st.lists(st.tuples(st.floats(0.0, 50.0), st.floats(0.05, 2.0)), max_size=20))
def test_a_changing_limit_is_never_exceeded_by_more_than_a_burst(steps):
    clock, limit = make_limit()
    allowed, sent = 0.0, 0
    for rate, seconds in steps:
        limit.record_answer(InstanceState(rate), clock.now)
        allowed += max(rate, 1 / PROBE_PERIOD) * (seconds + 0.01)
        sent += len(send_for(clock, limit, seconds))
    assert sent <= allowed + 1 + 50.0 * BURST_TIME


def test_a_limit_that_rises_in_each_answer_is_followed():
    clock, limit = make_limit()
    for step in range(200):  # answers to requests that were sent half a second before
        limit.record_answer(InstanceState(5.0 + step / 10), clock.now - 0.5)
        clock.now += 0.05
    assert limit.rate >= 20.0


def test_a_late_answer_of_the_time_before_the_limit_does_not_lift_it():
    clock, limit = make_limit()
    sent_before = clock.now
    clock.now += 1.0
    limit.record_answer(InstanceState(2.0), clock.now)
    clock.now += 0.1
    limit.record_answer(InstanceState(None), sent_before)
    limit.record_answer(InstanceState(50.0), sent_before)
    assert limit.rate == 2.0


def test_an_answer_to_a_later_request_lifts_the_limit():
    clock, limit = make_limit()
    limit.record_answer(InstanceState(2.0), clock.now)
    clock.now += 0.1
    assert limit.record_answer(InstanceState(None), clock.now)
    assert limit.rate is None and len(send_for(clock, limit, 0.1)) > 1000


def test_an_unreadable_limit_changes_nothing():
    clock, limit = make_limit()
    limit.record_answer(InstanceState(2.0), clock.now)
    clock.now += 1.0
    assert not limit.record_answer(InstanceState(rate_limit_readable=False), clock.now)
    assert limit.rate == 2.0


def test_nothing_is_saved_up_while_the_limit_was_unknown():
    clock, limit = make_limit()
    clock.now += 60.0
    limit.record_answer(InstanceState(10.0), clock.now)
    assert not limit.may_send(idempotent=True)
    assert limit.delay() == pytest.approx(0.1)


def test_the_delay_counts_those_that_go_before():
    clock, limit = make_limit()
    limit.record_answer(InstanceState(4.0), clock.now)
    assert limit.delay(ahead=3) == pytest.approx(1.0)
    clock.now += 0.5
    assert limit.delay(ahead=3) == pytest.approx(0.75)


def test_a_limit_of_zero_lets_an_idempotent_probe_through():
    clock, limit = make_limit()
    limit.record_answer(InstanceState(0.0), clock.now)
    assert len(send_for(clock, limit, 3 * PROBE_PERIOD + 0.1)) == 3


def test_a_request_that_must_not_run_twice_is_a_probe_only_after_a_long_silence():
    clock, limit = make_limit()
    limit.record_answer(InstanceState(0.0), clock.now)
    assert not send_for(clock, limit, MAX_PROBE_DELAY - 0.1, idempotent=False)
    assert len(send_for(clock, limit, 1.0, idempotent=False)) == 1


def test_few_requests_are_sent_before_the_first_answer():
    clock, limit = make_limit()
    assert len(send_for(clock, limit, 0.02)) == FIRST_SENDS
    assert len(send_for(clock, limit, 1.0)) <= FIRST_SENDS
    limit.record_answer(InstanceState(), clock.now)
    assert len(send_for(clock, limit, 0.1)) > 1000


def test_the_limit_of_a_peer_holds_until_the_instance_answers():
    clock, limit = make_limit()
    assert limit.adopt(3.0) and limit.rate == 3.0
    assert not limit.adopt(9.0)
    clock.now += 0.5
    limit.record_answer(InstanceState(None), clock.now)
    assert limit.rate is None and not limit.adopt(3.0)

"""How long a request may take, from the durations of recent ones."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import ManualClock
from thorntray.internal.overload.call_durations import MARGIN, MIN_SAMPLES, WINDOW, CallDurations

TARGET, LIMIT = 0.8, 5.0  # seconds


def durations_of(seconds, clock=None):
    durations = CallDurations(clock or ManualClock())
    for each in seconds:
        durations.record("calls", each)
    return durations


def likely(durations, ages=()):
    return durations.likely_longest("calls", TARGET, LIMIT, ages)


def test_a_route_of_which_too_little_is_known_may_take_its_time_limit():
    assert likely(durations_of([0.1] * (MIN_SAMPLES - 1))) == LIMIT


def test_a_request_may_take_longer_than_all_recent_ones():
    assert likely(durations_of([0.1, 1.2, *[0.1] * MIN_SAMPLES])) == pytest.approx(1.2 * MARGIN)


def test_a_running_request_that_is_older_than_all_recent_ones_counts():
    """Guards against calls that are accepted while the service has just become slow."""
    assert likely(durations_of([0.1] * 10), ages=[0.2, 1.6]) == pytest.approx(1.6 * MARGIN)


def test_a_slow_time_is_forgotten_after_two_windows():
    clock = ManualClock()
    durations = durations_of([3.0] * MIN_SAMPLES, clock)
    clock.now += 1.5 * WINDOW
    for _ in range(MIN_SAMPLES):
        durations.record("calls", 0.1)
    assert likely(durations) == pytest.approx(3.0 * MARGIN)
    for _ in range(2):
        clock.now += WINDOW
        for _ in range(MIN_SAMPLES):
            durations.record("calls", 0.1)
    assert likely(durations) == TARGET


@given(st.lists(st.floats(0.0, 10.0), max_size=20), st.lists(st.floats(0.0, 10.0), max_size=3))
def test_the_result_lies_between_the_target_and_the_time_limit(seconds, ages):
    assert TARGET <= likely(durations_of(seconds), ages) <= LIMIT

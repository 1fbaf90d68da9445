"""Decisions of a stopping node about new requests."""

import pytest

from tests.builders import ManualClock
from thorntray.internal.process.drain import (
    CLOSE_TIME_RESERVE,
    NESTED_CALL_RESERVE,
    READINESS_PROPAGATION_DELAY,
    Drain,
)

LIMIT = 6.0  # seconds


def begun_drain(limit=LIMIT):
    clock = ManualClock()
    drain = Drain(limit, clock)
    drain.begin()
    return drain, clock


def test_a_node_that_is_not_stopping_accepts_everything():
    drain = Drain(LIMIT, ManualClock())
    assert drain.admits(nested=False) and not drain.refusing and not drain.overdue


def test_callers_that_never_stop_sending_are_refused_once_they_could_have_noticed():
    drain, clock = begun_drain()
    admitted = []
    while not drain.overdue:
        if drain.admits(nested=False):
            admitted.append(clock.monotonic())
        clock.now += 0.05
    assert max(admitted) - min(admitted) == pytest.approx(READINESS_PROPAGATION_DELAY, abs=0.06)


def test_nested_calls_of_running_requests_are_accepted_as_long_as_they_can_finish():
    drain, clock = begun_drain()
    clock.now += LIMIT - CLOSE_TIME_RESERVE - NESTED_CALL_RESERVE - 0.1
    assert drain.admits(nested=True) and not drain.admits(nested=False)
    clock.now += 0.2
    assert not drain.admits(nested=True) and not drain.overdue


def test_a_stop_limit_shorter_than_the_delay_leaves_time_for_answers():
    drain, clock = begun_drain(limit=1.0)
    assert drain.accepting_for == pytest.approx(1.0 - CLOSE_TIME_RESERVE)
    clock.now += 1.0 - CLOSE_TIME_RESERVE
    assert drain.overdue and not drain.admits(nested=False)

"""Decisions of a stopping node about new requests."""

import pytest

from tests.builders import ManualClock
from thorntray.internal.process.drain import (
    ACCEPTING_SHARE,
    CLOSE_TIME_RESERVE,
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
    assert drain.admits(has_parent=False, expected_seconds=60.0) and not drain.overdue


def test_callers_that_never_stop_sending_are_refused_once_they_could_have_noticed():
    drain, clock = begun_drain()
    admitted = []
    while not drain.overdue:
        if drain.admits(has_parent=False, expected_seconds=0.1):
            admitted.append(clock.monotonic())
        clock.now += 0.05
    assert max(admitted) - min(admitted) == pytest.approx(READINESS_PROPAGATION_DELAY, abs=0.06)


def test_calls_of_running_requests_are_accepted_as_long_as_they_can_be_answered():
    drain, clock = begun_drain()
    due = clock.now + LIMIT - CLOSE_TIME_RESERVE
    clock.now = due - 1.0
    assert drain.admits(has_parent=True, expected_seconds=0.9)
    assert not drain.admits(has_parent=True, expected_seconds=1.1)
    assert not drain.admits(has_parent=False, expected_seconds=0.0)


def test_nothing_is_accepted_once_the_drain_has_ended():
    drain, clock = begun_drain()
    clock.now += READINESS_PROPAGATION_DELAY
    assert drain.admits(has_parent=True, expected_seconds=0.1)
    drain.end()
    assert not drain.admits(has_parent=True, expected_seconds=0.1)


@pytest.mark.parametrize("limit", [1.0, 2.0, 3.0])
def test_a_stop_limit_shorter_than_the_delay_leaves_time_for_answers(limit):
    """Guards against a request that is accepted just before answers are due, and broken off."""
    drain, clock = begun_drain(limit=limit)
    due = clock.now + limit - CLOSE_TIME_RESERVE
    assert drain.accepting_for == pytest.approx(ACCEPTING_SHARE * (limit - CLOSE_TIME_RESERVE))
    clock.now += drain.accepting_for
    assert not drain.admits(has_parent=False, expected_seconds=0.0) and not drain.overdue
    clock.now = due
    assert drain.overdue and not drain.admits(has_parent=True, expected_seconds=0.0)

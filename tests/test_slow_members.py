"""Instances that were slow get requests again, and those that stay slow cost few requests."""

from math import sqrt
from random import Random
from typing import NamedTuple

import pytest

from tests.builders import ManualClock, make_member
from thorntray.internal.overload import placement
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.member_times import MAX_RETRY_PAUSE, RETRY_INTERVAL
from thorntray.internal.overload.placement import Placement
from thorntray.internal.request.result import LoadReport

FAST = 0.05  # seconds
SLOW = 0.4  # seconds
LIMIT = 50  # slots
SETTLING_TIME = 10.0  # seconds from a recovery until its instance gets its share
TIME_LEFT = 5.0  # seconds


class Choice(NamedTuple):
    """One choice of an instance."""

    at: float  # seconds since the start
    name: str


class CallerReplay:
    """Requests of one node, evenly spaced, to instances that serve them without queues."""

    def __init__(
        self, count: int, per_second: float, time_left: float = TIME_LEFT, remote: str = ""
    ) -> None:
        self.placement = Placement("home", Ejection(ManualClock()), Random(1))
        names = [f"s-{number}" for number in range(count)]
        domains = {name: "away" if name == remote else "home" for name in names}
        self.members = [make_member(n, domain=domains[n], service="s", ready=True) for n in names]
        self.seconds = dict.fromkeys(names, FAST)
        self._period = 1.0 / per_second
        self._time_left = time_left
        self._now = 0.0
        self._rng = Random(2)
        self._pending: list[tuple[float, str, float]] = []  # end, instance, service time

    def play(self, seconds: float, spread: float = 0.0) -> list[Choice]:
        """Send requests for `seconds`; service times differ by a factor of up to 1 + `spread`."""
        choices, end = [], self._now + seconds
        while self._now < end:
            self._record_ended()
            member = self.placement.pick(self.members, "r", set(), self._now, self._time_left)
            self.placement.record_dispatch(member.name)
            taken = self.seconds[member.name] * (1 + spread * self._rng.random())
            self._pending.append((self._now + taken, member.name, taken))
            choices.append(Choice(self._now, member.name))
            self._now += self._period
        return choices

    def _record_ended(self) -> None:
        for end, name, taken in sorted(p for p in self._pending if p[0] <= self._now):
            report = LoadReport(0.0, taken, 1, LIMIT)
            self.placement.record_result(name, "r", report, end)
        self._pending = [p for p in self._pending if p[0] > self._now]


def share(choices, name):
    return sum(choice.name == name for choice in choices) / len(choices)


@pytest.mark.parametrize("slow_for", [1.0, 5.0, 20.0])
def test_an_instance_that_was_slow_gets_its_share_again_soon_after(slow_for):
    """Failure: it stayed idle for good, since nothing showed that it had recovered."""
    replay = CallerReplay(count=3, per_second=20)
    replay.play(5.0)
    replay.seconds["s-1"] = SLOW
    slow = replay.play(slow_for + 5.0)
    assert share(slow[-100:], "s-1") < 0.1
    replay.seconds["s-1"] = FAST
    replay.play(SETTLING_TIME)
    assert share(replay.play(10.0), "s-1") > 0.2


def test_an_instance_that_stays_slow_gets_few_requests():
    """Guards against retries that callers notice at the 99th percentile."""
    replay = CallerReplay(count=3, per_second=20)
    replay.seconds["s-1"] = SLOW
    replay.play(20.0)
    choices = replay.play(80.0)
    assert 1 <= sum(c.name == "s-1" for c in choices) <= 80.0 / MAX_RETRY_PAUSE + 1


def play_large_fleet():
    """Return the number of choices, and that of slow instances among them."""
    replay = CallerReplay(count=53, per_second=4)
    slow = {f"s-{number}" for number in range(0, 53, 3)}
    replay.seconds.update(dict.fromkeys(slow, SLOW))
    replay.play(120.0, spread=1.0)
    choices = replay.play(1000.0, spread=1.0)
    return len(choices), sum(choice.name in slow for choice in choices)


def test_in_a_large_fleet_slow_members_are_retried_by_a_bounded_share_of_requests(monkeypatch):
    """Guards against choosing slow members always, where each has only old samples."""
    count, with_retries = play_large_fleet()
    monkeypatch.setattr(placement, "RETRY_INTERVAL", count)
    _, without_retries = play_large_fleet()  # samples of slow members only
    assert 0 < without_retries < with_retries
    chance = 3 * sqrt(without_retries)  # three standard deviations
    assert with_retries - without_retries <= count / RETRY_INTERVAL + chance


@pytest.mark.parametrize("time_left", [SLOW / 2, 2 * SLOW])
def test_a_request_that_must_not_be_cut_tries_no_member_that_is_too_slow_for_it(time_left):
    replay = CallerReplay(count=3, per_second=20, time_left=time_left)
    replay.seconds["s-1"] = SLOW
    replay.play(20.0)
    assert any(c.name == "s-1" for c in replay.play(20.0)) == (time_left > SLOW)


def test_a_slow_instance_of_another_domain_is_not_tried_beside_fast_ones_of_the_own_domain():
    """Guards against traffic between domains that tells nothing of use."""
    replay = CallerReplay(count=3, per_second=20, remote="s-1")
    replay.placement.record_result("s-1", "r", LoadReport(0.0, SLOW, 1, LIMIT), 0.0)
    assert share(replay.play(40.0), "s-1") == 0


def test_a_further_attempt_of_a_request_goes_to_no_slow_member():
    """Guards against a retry that has little time left and waits for a slow instance."""
    replay = CallerReplay(count=3, per_second=20)
    replay.seconds["s-1"] = SLOW
    replay.play(20.0)
    names = {
        replay.placement.pick(replay.members, "r", {"s-0"}, 40.0 + number).name
        for number in range(3 * RETRY_INTERVAL)
    }
    assert names == {"s-2"}

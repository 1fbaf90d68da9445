"""Tests of the order in which waiting requests of several workspaces are started."""

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.builders import ManualClock
from tests.workspace_replay import usual_time
from thorntray.internal.overload.rate_limit import InstanceState, RateLimit
from thorntray.internal.overload.slot_queue import NESTED_FACTOR, SlotQueue, Ticket

MAX_DECISION_TIME = 50e-6  # seconds


class Instance:
    """An instance with one slot, which is in use at first, and a log of what it starts."""

    def __init__(self, rate_limit=None):
        self.queue = SlotQueue(rate_limit)
        self.queue.set_slots(1)
        self.log = []
        self.running = Ticket(9.0, False, lambda: None)
        assert self.queue.submit(self.running)

    def add(self, name, workspace="", **fields):
        """Let a request wait and return its ticket."""
        fields = {"worth": 1.0, "nested": False, "expiry": 0.0, "idempotent": True, **fields}
        ticket = Ticket(start=lambda: self._start(name, ticket), workspace=workspace, **fields)
        assert not self.queue.submit(ticket)
        return ticket

    def _start(self, name, ticket):
        self.log.append(name)
        self.running = ticket

    def run(self, count):
        """Let the running request and its followers end, so that `count` further ones start."""
        for _ in range(count):
            self.queue.release(self.running)
        return self.log


def test_the_backlog_of_one_workspace_does_not_delay_the_requests_of_others():
    """Load pattern: a workspace queues a burst of ten, with earlier expiries than all others."""
    instance = Instance()
    for index in range(10):
        instance.add(f"hot {index}", "hot", expiry=1.0 + index)
    instance.add("a", "a", expiry=50.0)
    instance.add("b", "b", expiry=40.0)
    assert instance.run(5) == ["hot 0", "a", "b", "hot 1", "hot 2"]


def test_a_workspace_that_sends_again_after_each_start_gets_no_more_than_its_turns():
    """Guards against a workspace that keeps one waiting request, and so joins anew each time."""
    instance = Instance()
    for index in range(4):
        instance.add(f"a {index}", "a")
    instance.add("b 0", "b")
    for index in range(1, 4):
        instance.run(2)
        instance.add(f"b {index}", "b")
    assert instance.run(2) == ["a 0", "b 0", "a 1", "b 1", "a 2", "b 2", "a 3", "b 3"]


def test_requests_of_one_workspace_are_started_by_expiry():
    instance = Instance()
    for name, workspace, expiry in (("a2", "a", 2.0), ("b9", "b", 9.0), ("a1", "a", 1.0)):
        instance.add(name, workspace, expiry=expiry)
    instance.add("b8", "b", expiry=8.0)
    assert instance.run(4) == ["a1", "b8", "a2", "b9"]


def test_rank_and_nested_bonus_go_before_the_turn_of_a_workspace():
    """Guards against round-robin across ranks: a payout waits for no turn of a lower rank."""
    instance = Instance()
    instance.add("a fresh", "a", expiry=1.0)
    instance.add("b fresh", "b", expiry=2.0)
    instance.add("a call", "a", nested=True, expiry=9.0)
    instance.add("a payout", "a", worth=8.0, expiry=9.0)
    instance.add("a payout 2", "a", worth=8.0, expiry=10.0)
    assert instance.run(5) == ["a payout", "a payout 2", "a call", "a fresh", "b fresh"]


def test_a_withdrawn_request_uses_no_turn_of_its_workspace():
    """Guards against a workspace that loses its turn since one of its requests timed out."""
    instance = Instance()
    first = instance.add("a 0", "a", expiry=1.0)
    instance.add("a 1", "a", expiry=2.0)
    instance.add("b 0", "b")
    assert instance.queue.withdraw(first) and not instance.queue.withdraw(first)
    assert instance.run(2) == ["a 1", "b 0"]


def test_a_rate_limit_that_takes_only_repeatable_requests_keeps_the_turns_of_the_others():
    """Load pattern: the instance names a rate of 0, so that only an idempotent probe is sent."""
    clock = ManualClock()
    limit = RateLimit(clock)
    limit.record_answer(InstanceState(rate_limit=1000.0), clock.now)
    clock.now += 1
    instance = Instance(limit)
    instance.add("payout", "a", idempotent=False)
    instance.add("lookup b", "b")
    instance.add("lookup c", "c")
    limit.record_answer(InstanceState(rate_limit=0.0), clock.now)
    clock.now += 5.0
    instance.run(1)
    limit.record_send(clock.now)
    instance.run(1)
    assert instance.log == ["lookup b"]
    limit.record_answer(InstanceState(rate_limit=1000.0), clock.now)
    clock.now += 1
    instance.queue.start_waiting()
    assert instance.run(1) == ["lookup b", "payout", "lookup c"]


requests = st.lists(
    st.tuples(
        st.sampled_from([1.0, 2.0, 8.0]),
        st.booleans(),
        st.integers(0, 5),
        st.sampled_from(["", "a", "b", "c"]),
    ),
    max_size=40,
)


def _rank(ticket):
    return ticket.worth * (NESTED_FACTOR if ticket.nested else 1.0)


def _add_all(instance, fields):
    return [
        instance.add(index, workspace, worth=worth, nested=nested, expiry=float(expiry))
        for index, (worth, nested, expiry, workspace) in enumerate(fields)
    ]


@given(requests)
def test_without_workspaces_the_order_is_by_rank_expiry_and_arrival(fields):
    instance = Instance()
    tickets = _add_all(instance, [(*field[:3], "") for field in fields])
    key = [(-_rank(ticket), ticket.expiry, index) for index, ticket in enumerate(tickets)]
    expected = sorted(range(len(tickets)), key=key.__getitem__)
    assert [instance.queue.count_ahead(tickets[index]) for index in expected] == list(
        range(len(expected))
    )
    assert instance.run(len(fields)) == expected


@given(requests, st.sets(st.integers(0, 39)))
def test_each_waiting_request_starts_after_as_many_as_are_counted_ahead(fields, withdrawn):
    """Guards against a wrong expected wait, by which requests are refused that could start."""
    instance = Instance()
    tickets = _add_all(instance, fields)
    for index in withdrawn & set(range(len(fields))):
        assert instance.queue.withdraw(tickets[index])
    waiting = [index for index in range(len(fields)) if index not in withdrawn]
    ahead = {index: instance.queue.count_ahead(tickets[index]) for index in waiting}
    assert instance.queue.waiting == len(waiting)
    log = instance.run(len(waiting))
    assert sorted(log) == waiting, "each request of any rank and workspace is started once"
    assert {index: log.index(index) for index in waiting} == ahead
    assert not instance.queue.waiting


@given(requests)
def test_no_workspace_is_started_twice_while_another_of_equal_rank_waits(fields):
    instance = Instance()
    tickets = _add_all(instance, [(1.0, False, *field[2:]) for field in fields])
    log = instance.run(len(tickets))
    for position, index in enumerate(log):
        own = tickets[index].workspace
        later = [tickets[i].workspace for i in log[position + 1 :]]
        until_own = later[: later.index(own)] if own in later else later
        assert set(later) - {own} <= set(until_own)


@given(st.lists(st.sampled_from(["", "a", "b", "c", "run", "withdraw"]), max_size=80))
def test_a_request_waits_for_at_most_one_of_each_other_workspace_for_each_of_its_own(steps):
    """Guards against starvation while the others keep sending."""
    instance = Instance()
    waiting: dict[int, Ticket] = {}
    longest: dict[int, int] = {}  # starts after which it must have been started
    for number, step in enumerate(steps):
        if step == "run" and waiting:
            instance.run(1)
            for index in list(waiting):
                if waiting[index].holds_slot:
                    del waiting[index]
                else:
                    longest[index] -= 1
                    assert longest[index] > 0
        elif step == "withdraw" and waiting:
            assert instance.queue.withdraw(waiting.popitem()[1])
        elif step not in ("run", "withdraw"):
            own = sum(ticket.workspace == step for ticket in waiting.values())
            waiting[number] = instance.add(number, step, expiry=float(number))
            longest[number] = (own + 1) * 4 + 1


def test_workspaces_without_waiting_requests_are_forgotten():
    """Guards against memory that grows with each of ten thousand workspaces."""
    instance = Instance()
    for index in range(10_000):
        instance.add(index, f"w{index}")
        instance.run(1)
    instance.add("a", "a")
    instance.add("b", "b")
    instance.run(1)
    assert list(instance.queue._waiting._turns._by_rank[-1.0]._by_workspace) == ["b"]
    instance.run(1)
    assert instance.queue._waiting._turns is None, "the queue is kept as one list again"


@pytest.mark.parametrize("workspaces", [1, 100])
def test_queueing_and_starting_stay_cheap_with_a_long_backlog(workspaces):
    """Load pattern: a thousand requests wait, of one workspace or of a hundred."""
    instance = Instance()
    for index in range(1000):
        instance.add(index, f"w{index % workspaces}", expiry=float(index))
    decisions = {
        "submit": lambda n: instance.add(n, f"w{n % workspaces}", expiry=float(n)),
        "count": lambda n: instance.queue.count_ahead(last),
        "start": lambda n: instance.run(1),
    }
    times = {name: [] for name in decisions}
    last = instance.add(1000, "w0", expiry=1000.0)
    for number in range(1001, 1501):
        for name, decide in decisions.items():
            began = time.perf_counter()
            decide(number)
            times[name].append(time.perf_counter() - began)
    for name, measured in times.items():
        assert usual_time(measured) < MAX_DECISION_TIME, name

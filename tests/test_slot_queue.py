"""Tests of the slots of one instance and the queue for them."""

import functools

from hypothesis import given
from hypothesis import strategies as st

from thorntray.internal.overload.slot_queue import (
    NESTED_SLOTS,
    USUAL_NESTED_SHARE,
    SlotQueue,
    Ticket,
)


class StartLog:
    """Makes tickets and records the order in which they start."""

    def __init__(self):
        self.started = []

    def ticket(self, name, worth=1.0, nested=False, expiry=0.0):
        return Ticket(worth, nested, lambda: self.started.append(name), expiry)


def full_queue(slots=16):
    queue = SlotQueue()
    queue.set_slots(slots)
    tickets = [Ticket(1.0, False, lambda: None) for _ in range(queue.limit)]
    for ticket in tickets:
        queue.submit(ticket)
    return queue, tickets


def test_an_instance_never_gets_more_requests_than_its_usable_slots():
    queue, tickets = full_queue(16)
    assert queue.in_flight == queue.limit == 15
    assert not queue.submit(Ticket(9.0, True, lambda: None))


def test_an_instance_with_three_slots_runs_three_requests_at_once():
    """Load pattern: a service of many small instances is short of slots throughout a surge."""
    queue = SlotQueue()
    queue.set_slots(3)
    assert [queue.submit(Ticket(1.0, False, lambda: None)) for _ in range(4)] == [True] * 3 + [
        False
    ]


def test_short_nested_calls_do_not_wait_until_a_long_request_ends():
    """Load pattern: three slots; views take half a second, nested calls a thirtieth of it.

    A lookup makes eight nested calls one after the other, so each wait counts eight times.
    """
    queue = SlotQueue()
    queue.set_slots(3)
    for _ in range(10):
        call = Ticket(1.0, True, lambda: None)
        assert queue.submit(call)
        queue.release(call)
    views = [queue.submit(Ticket(1.0, False, lambda: None)) for _ in range(3)]
    assert views == [True, True, False]
    call = Ticket(1.0, True, lambda: None)
    assert queue.submit(call)
    queue.release(call)
    assert queue.in_flight == 2 and queue.waiting == 1


def test_without_nested_calls_other_requests_get_every_slot():
    queue = SlotQueue()
    queue.set_slots(3)
    queue.submit(Ticket(1.0, True, lambda: None))
    for _ in range(30):
        ticket = Ticket(1.0, False, lambda: None)
        queue.submit(ticket)
        queue.release(ticket)
        queue.withdraw(ticket)
    assert [queue.submit(Ticket(1.0, False, lambda: None)) for _ in range(3)] == [
        True,
        True,
        False,
    ]


@given(st.integers(min_value=1, max_value=1000))
def test_at_most_a_tenth_of_the_slots_stays_unused(slots):
    queue = SlotQueue()
    queue.set_slots(slots)
    assert 0.9 * slots <= queue.limit <= slots


def test_free_slots_go_to_payouts_first_then_to_nested_calls_then_to_new_requests():
    queue, tickets = full_queue()
    start_log = StartLog()
    for name, worth, nested in (
        ("fresh", 1.0, False),
        ("call", 1.0, True),
        ("payout", 3.0, False),
        ("payout call", 3.0, True),
    ):
        queue.submit(start_log.ticket(name, worth, nested))
    for ticket in tickets[:4]:
        queue.release(ticket)
    assert start_log.started == ["payout call", "payout", "call", "fresh"]


def test_the_next_call_of_an_older_tree_goes_before_the_first_calls_of_newer_ones():
    """Load pattern: trees of eight calls in turn; newer trees fill the queue between two calls."""
    queue, tickets = full_queue()
    start_log = StartLog()
    newer = [start_log.ticket(f"newer {n}", 1.0, True, expiry=10.0 + n) for n in range(3)]
    older = start_log.ticket("older", 1.0, True, expiry=9.5)
    for ticket in [*newer, older]:
        queue.submit(ticket)
    assert [queue.count_ahead(ticket) for ticket in [older, *newer]] == [0, 1, 2, 3]
    queue.release(tickets[0])
    assert start_log.started == ["older"]


def test_a_withdrawn_request_never_starts_and_frees_no_slot():
    queue, tickets = full_queue()
    start_log = StartLog()
    waiting = start_log.ticket("gone")
    queue.submit(waiting)
    assert queue.withdraw(waiting) and not queue.withdraw(waiting)
    queue.release(tickets[0])
    assert start_log.started == []
    assert queue.in_flight == queue.limit - 1


@given(st.lists(st.sampled_from(["enter", "release", "withdraw"]), max_size=60))
def test_slots_in_use_equal_the_requests_that_hold_one(steps):
    queue = SlotQueue()
    queue.set_slots(4)
    tickets = []
    for index, step in enumerate(steps):
        if step == "enter":
            ticket = Ticket(float(index % 3), bool(index % 2), lambda: None)
            tickets.append(ticket)
            queue.submit(ticket)
        elif tickets and step == "release":
            queue.release(tickets[index % len(tickets)])
        elif tickets:
            queue.withdraw(tickets[index % len(tickets)])
        assert queue.in_flight == sum(t.holds_slot for t in tickets) <= queue.limit
        waiting = [t for t in tickets if t in queue._waiting]
        if any(t.nested for t in waiting):
            assert queue.in_flight == queue.limit
        if waiting:
            assert queue.in_flight >= queue.limit - NESTED_SLOTS
        if waiting and queue._nested_share <= USUAL_NESTED_SHARE:
            assert queue.in_flight == queue.limit


@given(st.lists(st.sampled_from(["enter", "release", "withdraw"]), max_size=60))
def test_without_nested_calls_no_request_waits_while_a_slot_is_free(steps):
    queue = SlotQueue()
    queue.set_slots(4)
    tickets = []
    for index, step in enumerate(steps):
        if step == "enter":
            tickets.append(Ticket(float(index % 3), False, lambda: None))
            queue.submit(tickets[-1])
        elif tickets and step == "release":
            queue.release(tickets[index % len(tickets)])
        elif tickets:
            queue.withdraw(tickets[index % len(tickets)])
        assert not queue.waiting or queue.in_flight == queue.limit


def test_many_waiting_requests_that_are_refused_as_they_start_all_end():
    """Guards against requests that the end of the stack leaves without a result.

    An instance that refuses connections ends each waiting request in its start, which returns the
    slot that starts the next one.
    """
    queue, ended = SlotQueue(), []
    queue.set_slots(1)
    tickets = []

    def start(index):
        ended.append(index)
        queue.release(tickets[index])

    running = Ticket(1.0, False, lambda: None)
    assert queue.submit(running)
    for index in range(3000):
        tickets.append(Ticket(1.0, False, functools.partial(start, index)))
        queue.submit(tickets[-1])
    queue.release(running)
    assert sorted(ended) == list(range(3000)) and queue.in_flight == 0

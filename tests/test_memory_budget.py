"""A node takes in no bytes for which its process has no memory."""

from thorntray.internal.process.memory_budget import COPIES, PROGRAM_BYTES, MemoryBudget, Share

MEGABYTE = 1_000_000


def make_budget(held, process_limit=300 * MEGABYTE):
    budget = MemoryBudget(process_limit)
    budget.add_source("requests", lambda: held)
    return budget


def test_without_a_limit_everything_fits():
    assert make_budget(10**12, process_limit=None).has_room(10**12, Share.REPEATABLE_REQUEST)


def test_what_is_held_and_its_copies_stay_below_the_limit_of_the_process():
    limit = make_budget(0).limit
    assert limit * COPIES + PROGRAM_BYTES <= 300 * MEGABYTE
    assert make_budget(0).has_room(limit, Share.ANSWER)
    assert not make_budget(1).has_room(limit, Share.ANSWER)


def test_repeatable_requests_are_refused_first_and_answers_last():
    held = int(make_budget(0).limit * 0.6)
    assert not make_budget(held).has_room(1, Share.REPEATABLE_REQUEST)
    assert make_budget(held).has_room(1, Share.REQUEST)
    held = int(make_budget(0).limit * 0.8)
    assert not make_budget(held).has_room(1, Share.REQUEST)
    assert make_budget(held).has_room(1, Share.ANSWER)


def test_a_limit_below_the_size_of_the_program_still_leaves_room_for_small_requests():
    assert make_budget(0, process_limit=50 * MEGABYTE).has_room(MEGABYTE, Share.REQUEST)


def test_bytes_are_told_by_kind():
    budget = make_budget(5)
    budget.add_source("answers", lambda: 7)
    assert budget.held_by_kind() == {"requests": 5, "answers": 7}
    assert budget.held == 12

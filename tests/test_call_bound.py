"""Replays of load patterns on the decision which calls are put into a link."""

from thorntray.internal.connection.call_bound import (
    CALL_BUFFER_LIMIT,
    NEARLY_EMPTY,
    may_add_call,
)
from thorntray.internal.connection.frame import MAX_FRAME_BYTES

BODY = 900_000  # bytes


def test_a_burst_of_bodies_is_held_to_the_bound_and_taken_again_as_the_peer_reads():
    """Load pattern: 150 bodies of 900 KB at once, and a peer that reads 5 MB a second."""
    # Failure: 135 MB are held for one link.
    unsent, added, most = 0, 0, 0
    for _ in range(150):
        if may_add_call(BODY, unsent, stalled=False):
            unsent, added = unsent + BODY, added + 1
        most = max(most, unsent)
    assert most <= CALL_BUFFER_LIMIT and added == CALL_BUFFER_LIMIT // BODY
    assert may_add_call(BODY, unsent - 5_000_000, stalled=False)


def test_a_peer_that_takes_nothing_gets_no_further_call():
    # Failure: calls wait behind a frozen peer's output and end as unknown with it.
    assert not may_add_call(500, NEARLY_EMPTY + 1, stalled=True)
    assert may_add_call(500, NEARLY_EMPTY + 1, stalled=False)


def test_the_bound_does_not_refuse_a_long_call_on_an_idle_link_forever():
    assert may_add_call(CALL_BUFFER_LIMIT * 4, NEARLY_EMPTY, stalled=False)
    assert not may_add_call(CALL_BUFFER_LIMIT * 4, NEARLY_EMPTY + 1, stalled=False)


def test_a_frame_that_no_peer_accepts_is_not_sent():
    # Failure: the peer closes the link with every call on it.
    assert not may_add_call(MAX_FRAME_BYTES, 0, stalled=False)

"""Replays of load patterns on the decision whether the peer of a link is given up."""

from thorntray.internal.connection.peer_watch import (
    FULL_BUFFER_BYTES,
    FULL_BUFFER_TIMEOUT,
    MAX_STALL_TIME,
    OUTPUT_CHECK_PERIOD,
    PING_AFTER_SILENCE,
    SILENCE_TIMEOUT,
    PeerWatch,
    Step,
)

FULL = FULL_BUFFER_BYTES + 1


def given_up_after(
    taken_at, received_at=lambda now: False, seconds=60.0, stall_at=None, waiting=FULL
):
    """Return when the peer is given up that has taken `taken_at(now)` bytes, None if never."""
    watch, now = PeerWatch(0.0), 0.0
    watch.restart_output(taken_at(0.0), now)
    while now < seconds:
        now += OUTPUT_CHECK_PERIOD
        if stall_at is not None and now > stall_at:
            now, stall_at = now + 5.0, None
        if received_at(now):
            watch.record_receipt(now)
        watch.record_output(taken_at(now), True, now)
        if watch.output_stalled(waiting, now):
            return now
    return None


def test_a_peer_that_takes_a_window_twice_a_second_is_never_given_up():
    # Failure: the buffer stays above its limit for minutes, and the link is aborted.
    assert given_up_after(lambda now: int(now / 0.45) * 100_000) is None


def test_a_peer_that_takes_nothing_is_given_up_after_the_timeout():
    given_up = given_up_after(lambda now: 0)
    assert FULL_BUFFER_TIMEOUT < given_up <= FULL_BUFFER_TIMEOUT + 2 * OUTPUT_CHECK_PERIOD


def test_a_peer_that_pauses_its_reading_and_says_that_it_lives_is_kept_for_a_while():
    # Failure: a peer that waits for memory loses all that it has asked for.
    given_up = given_up_after(lambda now: 0, received_at=lambda now: True)
    assert MAX_STALL_TIME < given_up <= MAX_STALL_TIME + 2 * OUTPUT_CHECK_PERIOD


def test_a_peer_that_pauses_for_seconds_keeps_the_results_that_wait_for_it():
    """Load pattern: the process of the peer gets no processor time for three seconds."""

    # Failure: the results of its calls are discarded although memory is no concern.
    def taken_at(now):
        return int(max(now - 3.0, 0.0) * 1e6)

    assert given_up_after(taken_at, waiting=FULL_BUFFER_BYTES, seconds=8.0) is None


def test_a_peer_that_never_takes_a_small_backlog_is_given_up_in_the_end():
    given_up = given_up_after(lambda now: 0, waiting=1)
    assert MAX_STALL_TIME < given_up <= MAX_STALL_TIME + 2 * OUTPUT_CHECK_PERIOD


def test_a_stall_of_this_process_is_not_taken_for_one_of_its_peer():
    # Failure: after five seconds without processor time every busy link is aborted.
    assert given_up_after(lambda now: int(now / 0.3), stall_at=2.0, seconds=20.0) is None


def steps(watch, seconds, taken=lambda now: 0, backlog=False):
    """Return the steps other than none, with their times, of a check each 0.1 s."""
    found, now = [], 0.0
    while now < seconds:
        now = round(now + 0.1, 3)
        watch.record_output(taken(now), backlog, now)
        step = watch.next_step(now)
        if step is Step.PING:
            watch.record_ping(now)
        if step is not Step.NONE:
            found.append((step, now))
    return found


def test_a_ping_behind_a_backlog_that_drains_does_not_end_the_link():
    # Failure: the pong is late because of the frames before the ping; all calls end as unknown.
    found = steps(PeerWatch(0.0), 10.0, taken=lambda now: int(now * 1e6), backlog=True)
    assert Step.GIVE_UP not in [step for step, _ in found]


def test_a_frozen_peer_whose_kernel_acknowledges_the_ping_is_given_up():
    # Failure: the bytes of a ping count as progress, so that a frozen process is never detected.
    found = steps(PeerWatch(0.0), 2.0, taken=lambda now: int(now * 1e6), backlog=False)
    (ping, ping_at), (give_up, end_at) = found[:2]
    assert (ping, give_up) == (Step.PING, Step.GIVE_UP)
    assert PING_AFTER_SILENCE < ping_at < PING_AFTER_SILENCE + 0.2
    assert end_at - ping_at < SILENCE_TIMEOUT + 0.2

"""Replays of overload with a hot workspace, through root admission and the slot queue together."""

import pytest

from tests.workspace_replay import Replay, play

MAX_CHANGE = 0.02  # of the share of the others' requests that are answered in time
MIN_RELATIVE_SHARE = 0.25  # of each workspace's requests answered, in relation to all
SEVENTY = {f"w{i}": 1 + 9 * (i / 69) ** 2 for i in range(70)}  # relative sizes, 1 to 10
LOAD = Replay(SEVENTY)  # 1.5 times the capacity


@pytest.fixture(scope="module")
def usual():
    """The same load without a hot workspace."""
    return play(LOAD)


@pytest.mark.parametrize("hot", ["w5", "w30", "w45"])
def test_ten_times_the_load_of_one_workspace_changes_the_others_by_two_hundredths(usual, hot):
    """Load pattern: 1.5 times the capacity; a workspace of 0.4 to 1.7 % of it sends tenfold."""
    answered = play(LOAD._replace(hot=hot))
    before, after = usual.share(without=hot), answered.share(without=hot)
    print(f"{hot}: others {before:.3f} -> {after:.3f}, hot {answered.share_of(hot):.3f}")
    assert before - after <= MAX_CHANGE
    assert answered.share_of(hot) >= MIN_RELATIVE_SHARE * answered.share()


def test_the_others_keep_their_share_in_the_seconds_after_a_workspace_becomes_hot(usual):
    """Guards against a demand that follows the load slowly: the hot one would get a long burst."""
    load = LOAD._replace(hot="w45", hot_from=LOAD.warm_up, seconds=LOAD.warm_up + 20.0)
    before, after = play(load._replace(factor=1.0)), play(load)
    print(f"first 20 s: others {before.share('w45'):.3f} -> {after.share('w45'):.3f}")
    assert before.share("w45") - after.share("w45") <= MAX_CHANGE


def test_the_others_lose_several_times_the_bound_if_all_are_admitted_the_same_share():
    """Shows that the load needs the distribution: the replay as it was before workspaces."""
    plain = LOAD._replace(fair_admission=False, fair_queue=False)
    before = play(plain).share(without="w45")
    after = play(plain._replace(hot="w45")).share(without="w45")
    print(f"without fair shares: others {before:.3f} -> {after:.3f}")
    assert before - after > 3 * MAX_CHANGE


def test_no_workspace_is_served_less_than_a_quarter_as_often_as_all(usual):
    """Guards against max-min fairness that leaves the largest workspaces next to nothing."""
    worst = min(SEVENTY, key=usual.share_of)
    print(f"all {usual.share():.3f}, least {worst} {usual.share_of(worst):.3f}")
    assert usual.share_of(worst) >= MIN_RELATIVE_SHARE * usual.share()


def test_in_the_queue_alone_a_burst_of_one_workspace_does_not_displace_the_others():
    """Load pattern: a burst passes admission before the price rises, and fills the queue."""
    load = LOAD._replace(fair_admission=False, overload=0.9, hot="w69", seconds=4.0, warm_up=0.0)
    fair, plain = play(load), play(load._replace(fair_queue=False))
    print(f"burst: others {plain.share('w69'):.3f} by expiry, {fair.share('w69'):.3f} in turn")
    assert fair.share(without="w69") > plain.share(without="w69") + 0.02

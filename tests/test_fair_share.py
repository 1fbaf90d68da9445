"""Tests of the distribution of a route's admitted share over workspaces, at one entry node."""

import time
from collections import Counter
from heapq import merge
from random import Random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.workspace_replay import usual_time
from thorntray.internal.overload.fair_share import (
    MIN_RELATIVE_SHARE,
    FairShare,
    LevelPass,
    admitted_part,
)
from thorntray.internal.overload.root_admission import RootAdmission, admitted_share
from thorntray.internal.request.result import SlotUse
from thorntray.internal.version.workspaces import Workspace

CAPACITY = 1 / 1.5  # of the usual demand
MAX_DECISION_TIME = 50e-6  # seconds
GROUP = ("prices>tariff", 2)
SEVENTY = {f"w{i}": 1 + 9 * (i / 69) ** 2 for i in range(70)}  # relative sizes, 1 to 10


def rates_of(sizes, total):
    """Return the rates of workspaces with relative sizes, in sum `total` requests a second."""
    scale = total / sum(sizes.values())
    return {name: size * scale for name, size in sizes.items()}


def arrivals(name, rate, begin, end, group=1, seed=0):
    """Yield the times at which a workspace sends, at random or in groups at random times."""
    rng = Random(f"{name} {begin} {seed}")
    now = begin + rng.expovariate(rate / group)
    while now < end:
        for index in range(group):
            yield now + 0.05 * index, name
        now += rng.expovariate(rate / group)


class Played(Counter):
    """Requests sent (key: name) and admitted (key: (name,)) by workspace."""

    def share(self, names):
        names = list(names)
        return sum(self[(name,)] for name in names) / sum(self[name] for name in names)


def play(fair_share, streams, share, count_from=0.0, workspaces=None):
    """Send requests in order of time and return what was admitted; `share` may be a function."""
    played = Played()
    share_at = share if callable(share) else lambda now: share
    known = {**(workspaces or {})}
    for now, name in merge(*streams):
        workspace = known.setdefault(name, Workspace(name))
        admitted = fair_share.admits(GROUP, workspace, share_at(now), now)
        if now >= count_from:
            played[name] += 1
            played[(name,)] += admitted
    return played


@pytest.mark.parametrize("hot", ["w0", "w20", "w40"])
def test_a_hot_workspace_among_seventy_of_unequal_size_changes_the_others_by_two_hundredths(hot):
    """Load pattern: 1.5 times the capacity, then one workspace sends ten times its usual load."""
    rates = rates_of(SEVENTY, 60.0)
    total = sum(rates.values())
    others = [name for name in rates if name != hot]
    with_hot = total + 9 * rates[hot]
    usual = [arrivals(name, rate, 0.0, 300.0) for name, rate in rates.items()]
    before = play(FairShare(), usual, CAPACITY, 60.0).share(others)
    later = [arrivals(n, r * (10 if n == hot else 1), 200.0, 300.0) for n, r in rates.items()]
    usual = [arrivals(n, r, 0.0, 200.0) for n, r in rates.items()]
    streams = [*usual, *later]
    capacity = CAPACITY * total

    def share(now):
        return CAPACITY if now < 200.0 else capacity / with_hot

    after = play(FairShare(), streams, share, 200.0)
    assert before - after.share(others) <= 0.02
    assert after.share([hot]) >= 0.25 * after.share(rates)


def test_the_others_lose_more_than_the_bound_without_a_distribution():
    """Shows that the load above is one that needs it: all would be admitted the same share."""
    rates = rates_of(SEVENTY, 60.0)
    with_hot = 60.0 + 9 * rates["w40"]
    assert CAPACITY - CAPACITY * 60.0 / with_hot > 0.05


def test_when_all_workspaces_are_hot_each_gets_a_part_and_the_sum_is_the_share():
    """Load pattern: all send ten times their usual load, so that no one is below the level."""
    rates = rates_of({f"w{i}": 1.0 for i in range(70)}, 600.0)
    streams = [arrivals(name, rate, 0.0, 40.0) for name, rate in rates.items()]
    played = play(FairShare(), streams, 0.07, 10.0)
    assert abs(played.share(rates) - 0.07) < 0.005
    shares = [played.share([name]) for name in rates]
    assert min(shares) > 0.04 and max(shares) < 0.12


def test_a_new_workspace_is_admitted_in_full_while_others_are_cut():
    """Guards against a start at the level of nobody: the first requests of a customer refused."""
    rates = rates_of({f"w{i}": 1.0 for i in range(20)}, 40.0)
    streams = [arrivals(name, rate, 0.0, 120.0) for name, rate in rates.items()]
    played = play(FairShare(), [*streams, arrivals("new", 0.5, 60.0, 120.0)], 0.6)
    assert played.share(["new"]) >= 0.97
    assert abs(played.share(rates) - 0.6) < 0.03


def test_a_new_workspace_with_a_high_demand_is_cut_within_seconds():
    """Guards against a free burst for names without a history."""
    rates = rates_of({f"w{i}": 1.0 for i in range(20)}, 40.0)
    streams = [arrivals(name, rate, 0.0, 60.0) for name, rate in rates.items()]
    played = play(FairShare(), [*streams, arrivals("new", 40.0, 50.0, 60.0)], 0.4, 50.0)
    assert played[("new",)] <= 0.4 * 400 * 0.5
    assert played.share(rates) > 0.5


def test_the_part_of_a_workspace_that_stops_goes_to_the_others():
    """Load pattern: the largest workspace, a third of the demand, stops; the share is still cut."""
    rates = {f"w{i}": 1.0 for i in range(20)}
    streams = [arrivals(name, rate, 0.0, 160.0) for name, rate in rates.items()]
    fair_share = FairShare()
    played = play(fair_share, [*streams, arrivals("big", 10.0, 0.0, 100.0)], 0.6, 115.0)
    assert abs(played.share(rates) - 0.6) < 0.03
    assert len(fair_share) == 20


def test_groups_of_requests_of_a_small_workspace_are_admitted_at_a_node_with_few_requests():
    """Load pattern: a workspace with a few requests a second over sixty nodes.

    This node gets one each twelve seconds on average, four at once.
    """
    rates = rates_of(SEVENTY, 12.0)
    streams = [arrivals(name, rate, 0.0, 900.0) for name, rate in rates.items()]
    small = [arrivals(f"s{i}", 1 / 12, 0.0, 900.0, group=4) for i in range(5)]
    played = play(FairShare(), [*streams, *small], CAPACITY, 60.0)
    assert played.share([f"s{i}" for i in range(5)]) >= 0.93
    assert abs(played.share([*rates, *(f"s{i}" for i in range(5))]) - CAPACITY) < 0.01


def test_no_workspace_is_admitted_less_than_a_quarter_as_often_as_all():
    """Load pattern: one workspace sends ninety of a hundred requests, from nine clients."""
    rates = {"hot": 90.0, **{f"w{i}": 0.2 for i in range(50)}}
    streams = [arrivals(name, rate, 0.0, 60.0) for name, rate in rates.items()]
    played = play(FairShare(), streams, 0.3, 20.0)
    assert played.share(["hot"]) >= 0.25 * played.share(rates)
    rates = {"hot": 30.0, **{f"w{i}": 1.0 for i in range(70)}}
    streams = [arrivals(name, rate, 0.0, 60.0) for name, rate in rates.items()]
    played = play(FairShare(), streams, 0.3, 20.0)
    assert played.share(["hot"]) >= 0.25 * played.share(rates)


def test_unequal_quotas_weight_the_parts_of_workspaces_that_demand_the_same():
    """Guards against a customer that has bought four times the quota and gets the same part."""
    workspaces = {"one": Workspace("one", rate=10.0), "four": Workspace("four", rate=40.0)}
    workspaces["none"] = Workspace("none")
    streams = [arrivals(name, 40.0, 0.0, 60.0) for name in workspaces]
    played = play(FairShare(), streams, 0.5, 20.0, workspaces)
    # Weights 0.5, 2 and 1, so that 60 a second are divided into 8.6, 34.3 and 17.1 of 40 each.
    assert abs(played.share(["four"]) - 34.3 / 40) < 0.03
    assert 1.6 < played.share(["none"]) / played.share(["one"]) < 2.4
    assert abs(played.share(workspaces) - 0.5) < 0.02


def test_a_changed_quota_takes_effect_with_the_next_requests():
    fair_share = FairShare()
    names = ("a", "b")
    equal = {name: Workspace(name, rate=10.0) for name in names}
    play(fair_share, [arrivals(n, 20.0, 0.0, 30.0) for n in names], 0.4, 0.0, equal)
    changed = {"a": Workspace("a", rate=10.0), "b": Workspace("b", rate=30.0)}
    streams = [arrivals(n, 20.0, 30.0, 60.0) for n in names]
    played = play(fair_share, streams, 0.4, 31.0, changed)
    assert 2.5 < played.share(["b"]) / played.share(["a"]) < 3.5


def test_one_workspace_alone_is_admitted_exactly_the_share():
    streams = [arrivals("only", 50.0, 0.0, 60.0)]
    assert abs(play(FairShare(), streams, 0.6).share(["only"]) - 0.6) < 0.005


def test_all_are_admitted_as_soon_as_the_share_is_whole_again():
    """Guards against requests refused for an earlier excess after the shortage has ended."""
    rates = rates_of(SEVENTY, 100.0)
    streams = [arrivals(name, rate, 0.0, 60.0) for name, rate in rates.items()]
    played = play(FairShare(), streams, lambda now: 0.4 if now < 30.0 else 1.0, 30.0)
    assert played.share(rates) == 1.0


def test_a_shortage_takes_effect_with_the_first_requests():
    """Guards against admission of all until a level is known: the queues would overflow."""
    rates = rates_of({f"w{i}": 1.0 for i in range(2000)}, 2000.0)
    streams = [arrivals(name, rate, 0.0, 12.0) for name, rate in rates.items()]
    played = play(FairShare(), streams, lambda now: 1.0 if now < 10.0 else 0.5, 10.0)
    assert abs(played.share(rates) - 0.5) < 0.05


def test_without_workspaces_each_decision_is_as_before():
    """Guards against a change for deployments whose policy has no workspaces."""
    admission, rng = RootAdmission(), Random(3)
    admission.costs.record_success("a", {"stock": SlotUse(0.4, 1)})
    admission.costs.record_success("b", {"stock": SlotUse(0.1, 1)})
    for _ in range(30):
        admission.prices.update("stock", {"stock": 5.0}, 1.0)
    credit = {"a": 0.5, "b": 0.5}
    for _ in range(2000):
        route, priority = rng.choice("ab"), rng.choice((0, 1, 2))
        worth = (8.0, 2.0, 1.0)[priority]
        credit[route] += admitted_share(admission.tree_price(route, 1.0), worth)
        expected = credit[route] >= 1.0
        credit[route] -= expected
        assert admission.admit(route, worth, 1.0) == expected
    assert not len(admission.fair_share)


def test_workspaces_of_each_worth_share_what_is_admitted_of_that_worth():
    """Guards against one level for requests of different worth.

    The workspace that sends less would be admitted in full, at the cost of the other's priority.
    """
    admission = RootAdmission()
    admission.costs.record_success("a", {"stock": SlotUse(0.4, 1)})
    for _ in range(30):
        admission.prices.update("stock", {"stock": 5.0}, 1.0)
    price = admission.tree_price("a", 1.0)
    shares = {2.0: admitted_share(price, 2.0), 1.0: admitted_share(price, 1.0)}
    assert shares[1.0] + 0.2 < shares[2.0] < 1.0
    admitted, sent = Counter(), Counter()
    for index in range(6000):  # within the time for which a price holds
        worth = 2.0 if index % 10 == 0 else 1.0
        workspace = Workspace(f"w{worth}")
        sent[worth] += 1
        admitted[worth] += admission.admit("a", worth, 1.0 + index / 50_000, workspace)
    for worth, share in shares.items():
        assert abs(admitted[worth] / sent[worth] - share) < 0.03


def test_a_share_that_changes_faster_than_a_pass_is_followed():
    """Load pattern: the price changes with each result, and a pass over 500 takes 40 decisions."""

    def share(now):
        return 0.9 if int(now / 0.02) % 2 else 0.5

    fair_share, rng = FairShare(), Random(5)
    workspaces = [Workspace(f"w{i}") for i in range(500)]
    admitted, sent = Counter(), Counter()
    for index in range(30_000):
        now = index / 1000
        accepted = fair_share.admits(GROUP, rng.choice(workspaces), share(now), now)
        if now > 10.0:
            sent[share(now)] += 1
            admitted[share(now)] += accepted
    assert abs(admitted[0.5] / sent[0.5] - 0.5) < 0.1
    assert abs(admitted[0.9] / sent[0.9] - 0.9) < 0.1


def test_ten_thousand_workspaces_cost_little_time_and_are_forgotten():
    """Load pattern: ten thousand workspaces, each with a request every ten seconds."""
    fair_share, rng, now = FairShare(), Random(1), 0.0
    workspaces = [Workspace(f"w{i}", rate=1.0 + i % 3) for i in range(10_000)]
    times, admitted = [], 0
    for _ in range(40_000):
        now += 0.001
        workspace = rng.choice(workspaces)
        began = time.perf_counter()
        admitted += fair_share.admits(GROUP, workspace, 0.6, now)
        times.append(time.perf_counter() - began)
    assert usual_time(times) < MAX_DECISION_TIME
    assert abs(admitted / 40_000 - 0.6) < 0.02
    assert len(fair_share) <= 10_000
    now += 600.0
    for _ in range(10_000):  # requests of one workspace only
        now += 0.001
        fair_share.admits(GROUP, workspaces[0], 1.0, now)
    assert len(fair_share) == 1


def test_workspaces_of_a_route_without_further_requests_are_forgotten():
    """Guards against memory held for routes that a new policy version has removed."""
    fair_share, now = FairShare(), 0.0
    for index in range(1000):
        fair_share.admits(("removed", 2), Workspace(f"w{index}"), 0.6, now)
    now += 600.0
    for _ in range(2000):
        now += 0.01
        fair_share.admits(GROUP, Workspace("a"), 0.6, now)
    assert len(fair_share) == 1 and len(fair_share._groups) == 1


demands = st.lists(
    st.tuples(st.floats(0.01, 1000.0), st.floats(0.1, 10.0)), min_size=1, max_size=40
)


def settled_level(flows, share):
    """Return the level after as many passes as it takes to admit the share in sum."""
    level, target = 0.0, share * sum(demand for demand, _ in flows)
    for _ in range(2000):
        level_pass = LevelPass(level, share)
        for demand, weight in flows:
            level_pass.add(demand, weight)
        if level_pass.error(target) < 1e-6:
            break
        level = level_pass.next_level(target)
    return level


@settings(deadline=None)
@given(demands, st.floats(0.01, 0.99))
def test_the_level_distributes_the_share_by_weighted_max_min_fairness(flows, share):
    """None can get more without less for one that gets no more for its weight, or the least."""
    level = settled_level(flows, share)
    parts = [admitted_part(demand, weight, level, share) for demand, weight in flows]
    admitted = sum(part * demand for part, (demand, _) in zip(parts, flows, strict=True))
    assert admitted == pytest.approx(share * sum(demand for demand, _ in flows), rel=1e-5)
    for part, (demand, weight) in zip(parts, flows, strict=True):
        least = MIN_RELATIVE_SHARE * share
        assert least <= part <= 1.0
        if part < 1.0 and part > least:
            assert part * demand == pytest.approx(level * weight)
        elif part == least and part < 1.0:
            assert part * demand >= level * weight * (1 - 1e-9)
        else:
            assert demand <= level * weight * (1 + 1e-9)


@settings(deadline=None, max_examples=25, phases=[Phase.generate])
@given(st.lists(st.floats(1.0, 20.0), min_size=2, max_size=12), st.floats(0.2, 0.95))
def test_what_workspaces_are_admitted_at_steady_rates_is_close_to_the_max_min_fair_part(
    rates, share
):
    streams = [
        [(0.01 * index + n / rate, f"w{index}") for n in range(int(150 * rate))]
        for index, rate in enumerate(rates)
    ]
    played = play(FairShare(), streams, share, 50.0)
    level = settled_level([(rate, 1.0) for rate in rates], share)
    names = [f"w{index}" for index in range(len(rates))]
    for name, rate in zip(names, rates, strict=True):
        fair = admitted_part(rate, 1.0, level, share)
        assert abs(played[(name,)] - fair * played[name]) <= 0.1 * played[name] + 1
    sent = sum(played[name] for name in names)
    assert abs(played.share(names) * sent - share * sent) <= 0.03 * sent + len(names)

"""Tests of prices, admission, placement and retry budgets under their load patterns."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from tests.builders import ManualClock, make_member
from thorntray.internal.overload.call_parents import NestedRoutes, RunningRequests
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.failing_share import FailingShare
from thorntray.internal.overload.placement import Placement
from thorntray.internal.overload.retry_budget import RetryBudget, RetryBudgetSettings
from thorntray.internal.overload.root_admission import (
    CLOSED_PRICE,
    FLOOR_SHARE,
    PriceTable,
    RootAdmission,
    admitted_share,
)
from thorntray.internal.overload.slot_price import MIN_PRICE, SlotPrice
from thorntray.internal.overload.worth import Priority
from thorntray.internal.request.result import (
    Cause,
    LoadReport,
    Result,
    ResultKind,
    SlotUse,
    unknown,
)


def test_the_price_rises_within_a_second_of_a_surge_and_falls_when_the_queue_has_drained():
    """Load pattern: a burst fills the queue to three times the slots, then ends."""
    price, now = SlotPrice(0.0), 0.0
    for _ in range(10):
        now += 0.1
        price.update(45, 15, now)
    surge_price = price.price
    assert surge_price > 5 * MIN_PRICE
    now += 0.1
    price.update(12, 15, now)
    assert price.price < surge_price / 3
    for _ in range(80):
        now += 0.1
        price.update(3, 15, now)
    assert price.price < 2 * MIN_PRICE


def test_a_single_waiting_request_at_a_small_instance_does_not_raise_the_price():
    """Load pattern: three slots, nearly always in use, and now and then a request that waits."""
    price, now = SlotPrice(0.0), 0.0
    for step in range(100):
        now += 0.1
        price.update(4 if step % 2 else 3, 3, now)
    assert price.price == MIN_PRICE
    for _ in range(20):
        now += 0.1
        price.update(7, 3, now)
    assert price.price > 5 * MIN_PRICE


def measured_share(admission, route, priority, count, now):
    worth = Priority(priority).worth
    return sum(admission.admit(route, worth, now) for _ in range(count)) / count


def test_a_shortage_deep_in_the_graph_sheds_the_least_worth_per_slot_first_and_payouts_last():
    """Load pattern: the stock service is short of slots; three routes use it at different costs."""
    admission = RootAdmission()
    admission.costs.record_success("prices", {"tariff": SlotUse(0.4, 1), "stock": SlotUse(0.24, 8)})
    admission.costs.record_success(
        "payouts", {"settle": SlotUse(0.3, 1), "stock": SlotUse(0.12, 4)}
    )
    admission.costs.record_success("stock-view", {"stock": SlotUse(0.48, 1)})
    admission.costs.record_success("pickups", {"haul": SlotUse(0.3, 1)})
    for _ in range(30):
        admission.prices.update("stock", {"stock": 5.0, "haul": MIN_PRICE}, 1.0)
    views = measured_share(admission, "stock-view", 2, 200, 1.0)
    prices = measured_share(admission, "prices", 2, 200, 1.0)
    payouts = measured_share(admission, "payouts", 0, 200, 1.0)
    assert views < prices < payouts
    assert payouts == 1.0
    assert measured_share(admission, "pickups", 2, 200, 1.0) == 1.0


def test_a_route_whose_requests_all_fail_is_priced_out_after_a_restart_under_overload():
    """Load pattern of incident 2e1b: all nodes restart while the stock service is short of slots.

    Every lookup failed after two of its eight calls there, so none was ever served.
    """
    admission = RootAdmission()
    for _ in range(30):
        admission.prices.update("stock", {"stock": 20.0}, 1.0)
    assert measured_share(admission, "prices", 2, 50, 1.0) == 1.0
    admission.costs.record_failure("prices", {"tariff": (0.5, 1), "stock": (0.12, 2)})
    assert measured_share(admission, "prices", 2, 200, 1.0) < 0.5


def test_failures_never_lower_the_known_costs_of_a_route():
    admission = RootAdmission()
    admission.costs.record_success("prices", {"stock": SlotUse(0.24, 8)})
    for _ in range(50):
        admission.costs.record_failure("prices", {"stock": (0.03, 1)})
    assert admission.costs.get("prices")["stock"] == SlotUse(0.24, 8)


def test_a_service_without_instances_blocks_its_call_trees_and_reopens_at_its_old_price():
    """Load pattern of run trouble-1: the only instance of a service is gone for a second."""
    admission = RootAdmission()
    admission.costs.record_success("prices", {"haul": SlotUse(0.2, 1)})
    admission.prices.update("haul", {"haul": MIN_PRICE}, 1.0)
    admission.prices.update("haul", {"haul": CLOSED_PRICE}, 1.1)
    assert measured_share(admission, "prices", 2, 100, 1.2) < 0.1
    assert measured_share(admission, "prices", 2, 100, 1.6) > 0.9
    admission.prices.update("haul", {"haul": CLOSED_PRICE}, 1.7)
    admission.prices.update("haul", {"haul": MIN_PRICE}, 1.75)
    assert measured_share(admission, "prices", 2, 100, 1.8) > 0.9


def test_scarce_slots_go_to_the_route_that_still_succeeds():
    """Load pattern of a cold start: lookups make many calls and all time out, views do not."""
    admission = RootAdmission()
    for _ in range(30):
        admission.prices.update("stock", {"stock": 3.0}, 1.0)
        admission.costs.record_success("views", {"stock": SlotUse(0.24, 1)})
        admission.costs.record_success("prices", {"stock": SlotUse(0.24, 8)})
    before = measured_share(admission, "prices", 2, 200, 1.0)
    for _ in range(40):
        admission.costs.record_failure("prices", {"stock": SlotUse(0.24, 8)})
    assert measured_share(admission, "prices", 2, 200, 1.0) < before / 1.5
    assert measured_share(admission, "views", 2, 200, 1.0) == before


def test_failures_do_not_reduce_admission_while_slots_are_idle():
    admission = RootAdmission()
    admission.prices.update("stock", {"stock": MIN_PRICE}, 1.0)
    for _ in range(40):
        admission.costs.record_failure("prices", {"stock": SlotUse(0.24, 8)})
    assert measured_share(admission, "prices", 2, 200, 1.0) == 1.0


def test_a_price_without_new_reports_decays_so_that_its_routes_are_admitted_again():
    table = PriceTable()
    for _ in range(30):
        table.update("stock", {"stock": 20.0}, 0.0)
    assert table.price("stock", 0.1) > 15
    assert table.price("stock", 6.0) == MIN_PRICE


@given(st.floats(0.001, 1e6), st.floats(0.1, 10))
def test_every_route_keeps_its_floor_share_and_a_higher_price_never_admits_more(price, worth):
    share = admitted_share(price, worth)
    assert FLOOR_SHARE <= share <= 1.0
    assert admitted_share(price * 2, worth) <= share


def pick_members(placement, members, count, now=0.0):
    names = []
    for _ in range(count):
        member = placement.pick(members, "r", set(), now)
        placement.record_dispatch(member.name)
        names.append(member.name)
    return names


def test_an_idle_remote_instance_is_used_when_the_local_one_is_full():
    """Load pattern of run scale-2: 15 of 15 local slots in use and a queue, 1 of 15 remote ones."""
    ejection = Ejection(ManualClock())
    placement = Placement("home", ejection, Random(1))
    local = make_member("h", domain="home", service="s", ready=True)
    remote = make_member("a", domain="away", service="s", ready=True)
    placement.record_result("h", "r", LoadReport(0.0, 0.03, 4, 15), 0.0)
    placement.record_result("a", "r", LoadReport(0.0, 0.05, 1, 15), 0.0)
    assert set(pick_members(placement, [local, remote], 4)) == {"h"}
    placement.record_result("h", "r", LoadReport(0.0, 0.03, 15, 15), 0.0)
    assert pick_members(placement, [local, remote], 1) == ["a"]


def test_a_slow_instance_gets_fewer_requests_than_a_fast_one():
    ejection = Ejection(ManualClock())
    placement = Placement("home", ejection, Random(1))
    members = [make_member(n, domain="home", service="s", ready=True) for n in ("fast", "slow")]
    for _ in range(20):
        placement.record_result("fast", "r", LoadReport(0.0, 0.1, 1, 50), 0.0)
        placement.record_result("slow", "r", LoadReport(0.0, 0.5, 1, 50), 0.0)
    assert pick_members(placement, members, 20).count("slow") == 0


def test_only_failures_of_the_instance_itself_count_in_its_failing_share():
    failing = FailingShare()
    for _ in range(20):
        failing.record(Result(ResultKind.ANSWERED, status=500), made_nested_calls=True)
        failing.record(unknown(Cause.EXPIRED), made_nested_calls=False)
    assert failing.share == 0.0
    for _ in range(40):
        failing.record(unknown(Cause.LOST), made_nested_calls=True)
        failing.record(Result(ResultKind.ANSWERED, status=200), made_nested_calls=True)
    assert 0.4 < failing.share < 0.6


def test_all_nodes_together_stay_within_the_retry_budget():
    """Load pattern: for a minute, every node retries as often as its budget allows."""
    budget_settings = RetryBudgetSettings(ratio=0.2, slack=48.0, window=10.0)
    budgets = [RetryBudget(budget_settings, 0.0) for _ in range(12)]
    retries, requests = [], []
    for step in range(600):
        now = step * 0.1
        for budget in budgets:
            budget.set_nodes(12)
            budget.refill(["s"], now)
            budget.deposit("s")
            requests.append(now)
            while budget.try_spend("s", {}):
                retries.append(now)
    for start in range(0, 50):
        retry_count = sum(start <= at < start + 10 for at in retries)
        request_count = sum(start <= at < start + 10 for at in requests)
        assert retry_count <= budget_settings.ratio * request_count + budget_settings.slack


def test_a_retry_is_charged_at_every_service_of_its_call_tree():
    budget = RetryBudget(RetryBudgetSettings(0.2, 48.0, 10.0), 0.0)
    budget.refill(["top", "deep"], 5.0)
    tree = {"top": SlotUse(0.1, 1), "deep": SlotUse(0.2, 8)}
    assert budget.try_spend("top", tree)
    assert not budget.try_spend("top", tree)
    assert budget.try_spend("top", {})


def test_a_restarted_node_begins_without_slack():
    assert not RetryBudget(RetryBudgetSettings(0.2, 48.0, 10.0), 0.0).try_spend("s", {})


def test_a_nested_call_is_matched_to_the_running_request_with_its_expiry():
    running = RunningRequests()
    payout = running.begin(10.0, 3.0)
    running.begin(10.5, 1.0)
    assert running.parent_of(10.003) is payout
    assert running.parent_of(10.2) is None
    assert running.nearest_of_unmatched(9.0) is payout
    running.end(payout)
    assert running.parent_of(10.003) is None


def test_a_nested_call_with_a_shorter_time_limit_is_matched_by_the_id_it_extends():
    """Load pattern: calls that expire before their parents, so that no expiry matches."""
    running = RunningRequests()
    lookup = running.begin(10.0, 1.0, b"6f1c")
    inner = running.begin(9.0, 1.0, b"6f1c.02ab")
    assert running.parent_by_id(b"6f1c.77") is lookup
    assert running.parent_by_id(b"6f1c.02ab.9d") is inner
    assert running.parent_by_id(b"6f1c") is None
    assert running.parent_by_id(b"6f1c77") is None
    assert running.parent_by_id(b"other.77") is None
    running.end(lookup)
    assert running.parent_by_id(b"6f1c.77") is None


def test_a_request_id_that_comes_twice_is_matched_to_the_newer_run_until_that_ends():
    running = RunningRequests()
    first = running.begin(10.0, 1.0, b"6f1c")
    second = running.begin(11.0, 1.0, b"6f1c")
    running.end(first)
    assert running.parent_by_id(b"6f1c.77") is second
    running.end(second)
    assert running.parent_by_id(b"6f1c.77") is None


def test_a_route_counts_as_nested_once_its_requests_match_running_requests():
    routes = NestedRoutes()
    for _ in range(5):
        routes.record("inner", True)
        routes.record("root", False)
    assert routes.is_nested("inner") and not routes.is_nested("root")
    assert not routes.is_nested("unseen")

"""Tests of the worth of requests, from the priorities of workspaces and routes."""

from itertools import pairwise, product

from thorntray.internal.overload.root_admission import RootAdmission
from thorntray.internal.overload.slot_queue import NESTED_FACTOR, SlotQueue, Ticket
from thorntray.internal.overload.worth import Priority
from thorntray.internal.request.result import SlotUse
from thorntray.internal.version.workspaces import Workspace, Workspaces

SHORTAGE_PRICE = 30.0  # worth per slot-second of a service in a surge
STEPS, ROUTES = (-2, -1, 0, 1, 2), (0, 1, 2)


def make_workspaces(*priorities):
    entries = [(Workspace(f"w{n}", priority), [f"k{n}"]) for n, priority in enumerate(priorities)]
    return Workspaces.from_keys(entries)


def steps_of(workspaces):
    return [workspace.steps_above_usual for workspace in workspaces.by_name.values()]


def test_in_a_surge_payouts_of_workspaces_of_equal_priority_go_before_their_lookups():
    # Failure: a workspace's priority replaces the route's, and payouts are shed like look-ups.
    workspaces = make_workspaces(*[1] * 69, *[0] * 4)
    admission = RootAdmission()
    for route in ("payouts", "lookups"):
        admission.costs.record_success(route, {"stock": SlotUse(0.1, 4)})
    for _ in range(30):
        admission.prices.update("stock", {"stock": SHORTAGE_PRICE}, 1.0)
    steps = workspaces.find("w0").steps_above_usual

    def share(route, priority):
        worth = Priority(priority, steps).worth
        return sum(admission.admit(route, worth, 1.0) for _ in range(200)) / 200

    assert share("payouts", 0) == 1.0
    assert share("lookups", 2) < 0.5


def test_a_payout_that_waits_for_a_slot_goes_before_a_lookup_of_the_same_workspace():
    queue, started = SlotQueue(), []
    queue.set_slots(1)
    holder = Ticket(1.0, False, lambda: None)
    queue.submit(holder)
    for name, route in (("look-up", 2), ("payout", 0)):
        queue.submit(Ticket(Priority(route).worth, False, lambda name=name: started.append(name)))
    queue.release(holder)
    assert started == ["payout"]


def test_no_route_goes_before_one_of_a_workspace_with_a_higher_priority():
    # Failure: the workspace's priority does not take precedence over the route's.
    ordered = [Priority(route, steps).worth for steps, route in product(STEPS, ROUTES[::-1])]
    assert ordered == sorted(set(ordered))
    assert all(lower * NESTED_FACTOR < higher for lower, higher in pairwise(ordered))


def test_without_priorities_of_workspaces_the_worth_is_that_of_the_route():
    # Failure: deployments without such priorities are served in another order than before.
    assert [Priority(route).worth for route in ROUTES] == [8.0, 2.0, 1.0]
    assert steps_of(make_workspaces(None, None)) == [0, 0]
    assert steps_of(make_workspaces(3, 3, 3)) == [0, 0, 0]


def test_the_usual_priority_is_that_of_most_workspaces():
    assert steps_of(make_workspaces(1, 1, 0, 2, None)) == [0, 0, 1, -1, 0]
    assert steps_of(make_workspaces(0, 2)) == [0, -2]


def test_priorities_far_from_the_usual_one_count_like_the_last_that_matters():
    assert Priority(9, 7).worth == Priority(2, 2).worth
    assert Priority(-1, -7).worth == Priority(0, -2).worth

"""The soak's checks find what they are there for, and one short seed is played."""

import asyncio
from random import Random

import pytest

from soak.checks import (
    CONFIG_APPLY,
    DRAIN,
    RECOVERY,
    Change,
    Observation,
    strict_violations,
    violations,
)
from soak.clients import Attempt
from soak.plan import Fault, Kind, draw_plan
from soak.run import play_seed
from standins.mesh_fleet import RouteTerms
from standins.worker import Arrival, Record

LOOKUP = RouteTerms("prices", "tariff")
PAYOUT = RouteTerms("payouts", "settle", kind="non_idempotent")
MOVING = RouteTerms("moving", "tariff")
CI_SEED, CI_NODES, CI_SECONDS = 7, 6, 5.0


def attempt(request_id="r", route=LOOKUP, status=200, sent_at=1.0, taken=0.1, **changes):
    fields = {"node": "n1", "boot": 1, "whole": True, "unread": False}
    return Attempt(
        sent_at, sent_at + taken, request_id, route, status=status, **{**fields, **changes}
    )


def arrival(request_id="r", at=1.0, node="n1", service="tariff", boot=1):
    return Arrival(at, request_id, node, boot, service, "/prices/1", True)


AS_AT_FIRST = (Change(0.0, "tariff"),)


def observed(attempts, arrivals, faults=(), changes=AS_AT_FIRST, draining=None):
    record = Record(list(arrivals), draining or {})
    return Observation(0.0, list(attempts), record, list(faults), list(changes))


def kinds_of(seen):
    return {line.partition(":")[0] for line in violations(seen)}


def test_a_calm_run_has_no_violation():
    assert violations(observed([attempt()], [arrival()])) == []


def test_a_payout_that_ran_twice_is_found_at_once():
    seen = observed([attempt(route=PAYOUT)], [arrival(), arrival()])
    assert any(line.startswith("TWICE") for line in strict_violations(seen))
    assert violations(observed([attempt()], [arrival(), arrival()])) == []


def test_a_refusal_of_a_payout_that_ran_is_found():
    seen = observed([attempt(route=PAYOUT, status=503)], [arrival()])
    assert kinds_of(seen) == {"REFUSED"}
    assert kinds_of(observed([attempt(route=PAYOUT, status=502)], [arrival()])) == set()


def test_an_answer_of_another_request_is_found():
    assert kinds_of(observed([attempt(whole=False)], [arrival()])) == {"MIXED"}


def test_a_run_that_nobody_asked_for_is_found():
    seen = observed([attempt()], [arrival(), arrival("other"), arrival("r-c")])
    assert kinds_of(seen) == {"UNASKED"}


def test_a_request_to_a_worker_that_left_is_found_unless_its_node_was_disturbed():
    told = {("n1", 1): 1.0}
    late = arrival(at=1.0 + DRAIN + 0.1)
    assert kinds_of(observed([attempt()], [late], draining=told)) == {"DRAIN"}
    in_time = arrival(at=1.0 + DRAIN - 0.1)
    assert kinds_of(observed([attempt()], [in_time], draining=told)) == set()
    frozen = [Fault(1.5, Kind.NODE_FREEZE, "n1", 1.0)]
    seen = observed([attempt()], [late], faults=frozen, draining=told)
    assert "DRAIN" not in kinds_of(seen)


def test_a_request_held_past_its_time_out_is_found():
    assert kinds_of(observed([attempt(taken=2.2)], [arrival()])) == {"HELD"}


def test_more_repeats_than_the_bound_allows_are_found():
    arrivals = [arrival(str(n % 60), at=1.0 + n * 0.01) for n in range(120)]
    attempts = [attempt(str(n)) for n in range(60)]
    assert kinds_of(observed(attempts, arrivals)) == set()  # 60 repeats, 48 + 12 allowed
    arrivals += [arrival("0", at=2.5)]
    assert kinds_of(observed(attempts, arrivals)) == {"BUDGET"}


def test_a_node_that_goes_back_to_an_older_version_is_found():
    changes = [Change(0.0, "tariff"), Change(10.0, "settle")]
    attempts = [attempt("a", MOVING, sent_at=10.4), attempt("b", MOVING, sent_at=10.9)]
    runs = [arrival("a", at=10.4, service="settle"), arrival("b", at=10.9)]
    assert kinds_of(observed(attempts, runs, changes=changes)) == {"CONFIG"}


def test_a_change_that_is_not_in_force_in_time_is_found():
    changes = [Change(0.0, "tariff"), Change(10.0, "settle")]
    late = 10.0 + CONFIG_APPLY + 0.1
    seen = observed([attempt("a", MOVING, sent_at=late)], [arrival("a", at=late)], changes=changes)
    assert kinds_of(seen) == {"CONFIG"}
    down = [Fault(9.0, Kind.STORE_BUSY, "n2", 2.0)]
    seen = observed(
        [attempt("a", MOVING, sent_at=late)], [arrival("a", at=late)], down, changes=changes
    )
    assert kinds_of(seen) == set()


def test_a_fleet_that_does_not_recover_is_found():
    faults = [Fault(1.0, Kind.NODE_KILL, "n2", 1.0)]
    late = [attempt(str(n), status=503, sent_at=2.1 + RECOVERY) for n in range(5)]
    assert kinds_of(observed(late, [], faults)) == {"RECOVER"}


def test_a_seed_draws_the_same_plan_again():
    nodes = ["a", "b"]
    assert draw_plan(Random(5), nodes, 20.0) == draw_plan(Random(5), nodes, 20.0)
    assert draw_plan(Random(5), nodes, 20.0) != draw_plan(Random(6), nodes, 20.0)


@pytest.mark.process
def test_a_short_seed_keeps_every_promise():
    assert asyncio.run(play_seed(CI_SEED, CI_NODES, CI_SECONDS)) == []

"""The soak checks detect the violations that they are meant for, and one short seed runs."""

import asyncio
from itertools import pairwise
from random import Random

import pytest

from soak.checks import (
    CONFIG_APPLY_LIMIT,
    DRAIN_GRACE,
    RECOVERY_TIME,
    safety_violations,
    violations,
)
from soak.clients import Attempt, AttemptEnd
from soak.idle_workers import MIN_REQUESTS, RETURN_TIME
from soak.observation import Observation, RouteChange
from soak.plan import MAX_STOP_GAP, MAX_STRIKE_DELAY, Fault, FaultKind, draw_plan
from soak.run import run_seed
from standins.mesh_fleet import RouteConfig
from standins.worker import Arrival, Death, FleetRecord

LOOKUP = RouteConfig("prices", "tariff")
PAYOUT = RouteConfig("payouts", "settle", kind="non_idempotent")
REROUTED = RouteConfig("moving", "tariff")
# Seed 5722 has large bodies and answers, a burst of bodies, idle connections that take the sockets
# of a node, a SIGHUP in a start, and two stops in the same moment. Seed 140 has a stop under new
# connections, a series of signals and connections to the store that go silent twice; 7 and 5722
# have taken ports, closed streams and incomplete settings files.
CI_SEEDS, CI_NODES, CI_DURATION = (7, 140, 5722), 6, 5.0


def attempt(request_id="r", route=LOOKUP, status=200, sent_at=1.0, duration=0.1, **changes):
    ended_at = sent_at + duration
    fields = {
        "answered_at": ended_at,
        "node": "n1",
        "boot": 1,
        "matches_request": True,
        "end": AttemptEnd.ANSWERED if status else AttemptEnd.CLOSED,
        "reused": False,
        "position": 0,
        "time_limit": route.timeout,
    }
    return Attempt(
        sent_at=sent_at,
        ended_at=ended_at,
        request_id=request_id,
        route=route,
        status=status,
        **{**fields, **changes},
    )


def arrival(request_id="r", at=1.0, node="n1", service="tariff", boot=1):
    return Arrival(at, request_id, node, boot, service, "/prices/1", True)


INITIAL_CHANGES = (RouteChange(0.0, "tariff"),)


def observe(attempts, arrivals, faults=(), changes=INITIAL_CHANGES, draining=None, stops=()):
    record = FleetRecord(list(arrivals), draining or {})
    return Observation(0.0, list(attempts), record, list(faults), list(changes), list(stops))


def violation_kinds(observation):
    return {line.partition(":")[0] for line in violations(observation)}


def test_a_run_without_faults_has_no_violation():
    assert violations(observe([attempt()], [arrival()])) == []


def test_a_worker_that_is_never_used_again_is_a_violation():
    """Failure of incident 37, which broke no promise on any request."""
    crash = Fault(1.0, FaultKind.WORKER_CRASH, "n2", 1.0)
    late = crash.end + RETURN_TIME + 1.0
    runs = [arrival(f"r{number}", late) for number in range(MIN_REQUESTS)]
    attempts = [attempt(run.request_id, sent_at=late) for run in runs]
    workers = {"n1": "tariff", "n2": "tariff", "n3": "settle"}
    idle = observe(attempts, runs, [crash])._replace(running_workers=workers)
    assert violation_kinds(idle) == {"IDLE"}
    runs[-1] = arrival(runs[-1].request_id, late, node="n2")
    used = observe(attempts, runs, [crash])._replace(running_workers=workers)
    assert violations(used) == []


def test_a_payout_that_ran_twice_is_a_strict_violation():
    observation = observe([attempt(route=PAYOUT)], [arrival(), arrival()])
    assert any(line.startswith("TWICE") for line in safety_violations(observation))
    assert violations(observe([attempt()], [arrival(), arrival()])) == []


def test_a_refusal_of_a_payout_that_ran_is_detected():
    observation = observe([attempt(route=PAYOUT, status=503)], [arrival()])
    assert violation_kinds(observation) == {"REFUSED"}
    assert violation_kinds(observe([attempt(route=PAYOUT, status=502)], [arrival()])) == set()


def test_an_answer_to_another_request_is_detected():
    assert violation_kinds(observe([attempt(matches_request=False)], [arrival()])) == {"MIXED"}


def test_an_execution_without_a_client_request_is_detected():
    observation = observe([attempt()], [arrival(), arrival("other"), arrival("r-c")])
    assert violation_kinds(observation) == {"UNASKED"}


def test_a_request_to_a_drained_worker_is_detected_unless_its_node_had_a_fault():
    draining_since = {("n1", 1): 1.0}
    late = arrival(at=1.0 + DRAIN_GRACE + 0.1)
    assert violation_kinds(observe([attempt()], [late], draining=draining_since)) == {"DRAIN"}
    in_time = arrival(at=1.0 + DRAIN_GRACE - 0.1)
    assert violation_kinds(observe([attempt()], [in_time], draining=draining_since)) == set()
    freeze = [Fault(1.5, FaultKind.NODE_FREEZE, "n1", 1.0)]
    observation = observe([attempt()], [late], faults=freeze, draining=draining_since)
    assert "DRAIN" not in violation_kinds(observation)


def test_a_request_that_ends_after_its_timeout_is_detected():
    assert violation_kinds(observe([attempt(duration=2.2)], [arrival()])) == {"HELD"}


def test_more_repeats_than_the_budget_allows_are_detected():
    arrivals = [arrival(str(n % 60), at=1.0 + n * 0.01) for n in range(120)]
    attempts = [attempt(str(n)) for n in range(60)]
    assert violation_kinds(observe(attempts, arrivals)) == set()  # 60 repeats, 48 + 12 allowed
    arrivals += [arrival("0", at=2.5)]
    assert violation_kinds(observe(attempts, arrivals)) == {"BUDGET"}


def test_a_node_that_reverts_to_an_older_version_is_detected():
    changes = [RouteChange(0.0, "tariff"), RouteChange(10.0, "settle")]
    attempts = [attempt("a", REROUTED, sent_at=10.4), attempt("b", REROUTED, sent_at=10.9)]
    runs = [arrival("a", at=10.4, service="settle"), arrival("b", at=10.9)]
    assert violation_kinds(observe(attempts, runs, changes=changes)) == {"CONFIG"}


def test_a_change_that_takes_effect_too_late_is_detected():
    changes = [RouteChange(0.0, "tariff"), RouteChange(10.0, "settle")]
    late = 10.0 + CONFIG_APPLY_LIMIT + 0.1
    observation = observe(
        [attempt("a", REROUTED, sent_at=late)], [arrival("a", at=late)], changes=changes
    )
    assert violation_kinds(observation) == {"CONFIG"}
    outage = [Fault(9.0, FaultKind.STORE_BUSY, "n2", 2.0)]
    observation = observe(
        [attempt("a", REROUTED, sent_at=late)], [arrival("a", at=late)], outage, changes=changes
    )
    assert violation_kinds(observation) == set()


def test_a_fleet_that_does_not_recover_is_detected():
    faults = [Fault(1.0, FaultKind.NODE_KILL, "n2", 1.0)]
    late = [attempt(str(n), status=503, sent_at=2.1 + RECOVERY_TIME) for n in range(5)]
    assert violation_kinds(observe(late, [], faults)) == {"RECOVER"}


def test_a_deadly_request_that_goes_on_to_reach_workers_is_detected():
    def observe_deaths(times, faults=()):
        observation = observe([], [], faults)
        observation.record.deaths.extend(Death(at, "n1", b"deadly x", False) for at in times)
        return violation_kinds(observation)

    crashes, later = [10.0, 11.0, 12.0], [16.0, 17.0, 18.0]
    assert observe_deaths(crashes + later) == set()
    assert observe_deaths([*crashes, 14.9, *later]) == set()  # within the time to learn of it
    assert observe_deaths([*crashes, *later, 19.0]) == {"DEADLY"}
    reset = [Fault(10.0, FaultKind.APP_RESET, "n1", 1.0)]
    assert observe_deaths([*crashes, *later, 19.0], reset) == set()


def test_a_seed_always_gives_the_same_plan():
    nodes = ["a", "b"]
    assert draw_plan(Random(5), nodes, 20.0) == draw_plan(Random(5), nodes, 20.0)
    assert draw_plan(Random(5), nodes, 20.0) != draw_plan(Random(6), nodes, 20.0)


def test_half_of_the_plans_have_overlapping_stops_in_an_outage_of_the_store():
    nodes = [f"n{n}" for n in range(9)]
    plans = [draw_plan(Random(seed), nodes, 12.0) for seed in range(100)]
    assert sum(has_stops_in_an_outage(plan) for plan in plans) >= 50


def test_about_half_of_the_plans_kill_a_node_with_a_role_around_a_silence_of_the_store():
    """Guards against a soak that cannot show a role that passes on without its duty (issue 53)."""
    nodes = [f"n{n}" for n in range(9)]
    plans = [draw_plan(Random(seed), nodes, 12.0) for seed in range(100)]
    assert 35 <= sum(has_strike(plan) for plan in plans) <= 75


def has_strike(plan):
    silences = [f for f in plan if f.kind is FaultKind.STORE_SILENT]
    kills = [f for f in plan if f.kind is FaultKind.NODE_KILL]
    return any(
        silence.node == kill.node
        and silence.start <= kill.start <= silence.end + MAX_STRIKE_DELAY
        and any(f.kind is FaultKind.CHANGE and f.node == kill.node for f in plan)
        for silence in silences
        for kill in kills
    )


def has_stops_in_an_outage(plan):
    outages = [f for f in plan if f.kind in (FaultKind.STORE_BUSY, FaultKind.STORE_SILENT)]
    stops = [f for f in plan if f.kind is FaultKind.NODE_STOP]
    return any(
        outage.start <= first.start and second.start <= outage.end
        for outage in outages
        for first, second in pairwise(stops)
        if second.start - first.start <= MAX_STOP_GAP
    )


@pytest.mark.process
@pytest.mark.parametrize("seed", CI_SEEDS)
def test_a_short_run_has_no_violation(seed):
    assert asyncio.run(run_seed(seed, CI_NODES, CI_DURATION)) == []

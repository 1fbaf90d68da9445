"""The soak's checks of rate limits and leaving that workers name."""

from soak.clients import Attempt, AttemptEnd
from soak.named_states import beyond_named_limits, runs_after_named_leaving
from soak.observation import Observation
from soak.plan import Fault, FaultKind
from standins.mesh_fleet import RouteConfig
from standins.worker import Arrival, FleetRecord, NamedState

ROUTE = RouteConfig("prices", "tariff")


def make_attempt(request_id, sent_at, node="h1"):
    return Attempt(
        sent_at,
        sent_at + 0.1,
        sent_at + 0.1,
        request_id,
        ROUTE,
        node,
        1,
        200,
        True,
        AttemptEnd.ANSWERED,
        reused=False,
        position=0,
        time_limit=1.5,
    )


def make_observation(times, rate_limit=None, leaving=False, faults=()):
    """Return an observation of one worker that gets a request at each of the times."""
    record, attempts = FleetRecord(), []
    for number, at in enumerate(times):
        request_id = f"r-{number}"
        attempts.append(make_attempt(request_id, at))
        record.arrivals.append(Arrival(at, request_id, "t1", 1, "tariff", "/prices/1", True))
        record.named.append(NamedState(request_id, "t1", 1, rate_limit, leaving))
    return Observation(0.0, attempts, record, list(faults), [], [])


def steady(rate, seconds):
    return [number / rate for number in range(int(rate * seconds))]


def test_a_worker_that_gets_its_limit_is_no_violation():
    assert not list(beyond_named_limits(make_observation(steady(2, 10), rate_limit=2.0)))


def test_a_worker_that_gets_four_times_its_limit_is_a_violation():
    lines = list(beyond_named_limits(make_observation(steady(8, 10), rate_limit=2.0)))
    assert len(lines) == 1 and "got 32 in 4 s, allowed 17" in lines[0]


def test_what_arrives_before_a_caller_was_told_does_not_count():
    observation = make_observation([0.0] * 30 + [0.5, 3.0, 6.0], rate_limit=0.0)
    assert not list(beyond_named_limits(observation))


def test_a_request_sent_late_to_a_leaving_worker_is_a_violation():
    lines = list(runs_after_named_leaving(make_observation([0.0, 1.0, 3.0], leaving=True)))
    assert len(lines) == 1 and lines[0].startswith("DRAIN: r-2 reached t1 from h1")


def test_a_freeze_of_the_callers_node_excuses_a_late_request():
    freeze = Fault(1.5, FaultKind.NODE_FREEZE, "h1", 1.0)
    observation = make_observation([0.0, 1.0, 3.0], leaving=True, faults=[freeze])
    assert not list(runs_after_named_leaving(observation))

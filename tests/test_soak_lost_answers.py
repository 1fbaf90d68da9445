"""The soak's check for lost answers detects each kind, and lets each allowed case pass."""

import pytest

from soak.checks import violations
from soak.clients import Attempt, AttemptEnd
from soak.lost_answers import broken_off
from soak.observation import STABILIZATION_TIME, Hangup, NodeStop, Observation, RouteChange
from soak.plan import Fault, FaultKind
from soak.process_watch import MemoryKill
from standins.mesh_fleet import STOP_TIMEOUT, RouteConfig
from standins.worker import Arrival, FleetRecord, RunEnd

LOOKUP = RouteConfig("views", "stock")
SIGTERM_AT = 10.0  # seconds, on the clock of the observation
STOP = NodeStop("n1", 1, SIGTERM_AT)


def closed_attempt(sent_at=SIGTERM_AT + 1.0, duration=0.1, **changes):
    ended_at = sent_at + duration
    attempt = Attempt(
        sent_at=sent_at,
        answered_at=ended_at,
        ended_at=ended_at,
        request_id="r",
        route=LOOKUP,
        node="n1",
        boot=1,
        status=0,
        matches_request=False,
        end=AttemptEnd.CLOSED,
        reused=True,
        position=0,
        time_limit=LOOKUP.timeout,
    )
    return attempt._replace(**changes)


def lost_lines(attempt, **fields):
    """Return the lines of the check for one request that the worker of n2 received."""
    observation = observe(attempt, **fields)
    return [line for line in violations(observation) if line.startswith("LOST")]


def observe(attempt, stops=(STOP,), faults=(), run_end=None, reached=True, running=False, **fields):
    """Return the observation of one request that the worker of n2 received."""
    record = FleetRecord()
    if reached:
        arrived_at = attempt.sent_at + 0.01
        record.arrivals.append(Arrival(arrived_at, "r", "n2", 1, "stock", "/views/1", True))
        if not running:
            record.run_ends[0] = run_end or RunEnd(arrived_at + 0.02, broke_off=False)
    return Observation(
        0.0,
        [attempt, *fields.pop("others", [])],
        record,
        list(faults),
        fields.pop("changes", [RouteChange(0.0, "stock")]),
        list(stops),
        **fields,
    )


@pytest.mark.parametrize("reused", [True, False])
def test_a_request_closed_by_a_stopping_node_is_detected(reused):
    assert lost_lines(closed_attempt(reused=reused))


def test_a_request_sent_before_the_stop_and_closed_in_it_is_detected():
    assert lost_lines(closed_attempt(sent_at=SIGTERM_AT - 0.5, duration=0.6, reused=False))


def test_a_request_on_a_kept_connection_is_detected_outside_a_stop():
    assert lost_lines(closed_attempt(), stops=())
    assert not lost_lines(closed_attempt(reused=False), stops=())


def test_the_stop_of_an_earlier_process_of_the_node_does_not_count():
    assert not lost_lines(closed_attempt(reused=False, boot=2))


@pytest.mark.parametrize("kind", [FaultKind.STORE_BUSY, FaultKind.STORE_SILENT])
def test_a_fault_of_the_store_does_not_excuse(kind):
    assert lost_lines(closed_attempt(), faults=[Fault(8.0, kind, "n1", 9.0)])


@pytest.mark.parametrize("kind", [FaultKind.NODE_STOP, FaultKind.NODE_HANGUP, FaultKind.SURGE])
def test_planned_work_does_not_excuse(kind):
    assert lost_lines(closed_attempt(), faults=[Fault(SIGTERM_AT, kind, "n1", 2.0)])


@pytest.mark.parametrize("node", ["n1", "n2"])
@pytest.mark.parametrize(
    "kind",
    [
        FaultKind.NODE_KILL,
        FaultKind.NODE_FREEZE,
        FaultKind.LINK_RESET,
        FaultKind.APP_RESET,
        FaultKind.WORKER_CRASH,
    ],
)
def test_an_unplanned_fault_at_either_node_excuses(kind, node):
    attempt = closed_attempt()
    assert not lost_lines(attempt, faults=[Fault(9.0, kind, node, 1.0)])
    over = attempt.sent_at - STABILIZATION_TIME
    assert lost_lines(attempt, faults=[Fault(over - 1.1, kind, node, 1.0)])
    assert lost_lines(attempt, faults=[Fault(attempt.ended_at + 0.1, kind, node, 1.0)])
    assert lost_lines(attempt, faults=[Fault(9.0, kind, "n3", 1.0)])


@pytest.mark.parametrize("end", [AttemptEnd.TIMED_OUT, AttemptEnd.ANSWERED])
def test_a_request_that_the_caller_gave_up_or_that_was_answered_passes(end):
    assert not lost_lines(closed_attempt(end=end))


def test_a_request_that_its_worker_broke_off_passes():
    attempt = closed_attempt()
    assert not lost_lines(attempt, run_end=RunEnd(attempt.sent_at + 0.05, broke_off=True))


def test_a_pipelined_request_is_detected_only_if_a_worker_received_it():
    assert lost_lines(closed_attempt(position=1))
    assert not lost_lines(closed_attempt(position=1), reached=False)


@pytest.mark.parametrize("sent_after", [1.0, 2.9, 3.1])
def test_a_request_that_its_worker_runs_until_the_end_of_the_stop_is_detected(sent_after):
    run_end = RunEnd(SIGTERM_AT + STOP_TIMEOUT - 0.1, broke_off=False)
    attempt = closed_attempt(sent_at=SIGTERM_AT + sent_after, duration=5.7 - sent_after)
    assert lost_lines(attempt, run_end=run_end)
    assert lost_lines(attempt, running=True)


def test_a_long_run_is_detected_outside_a_stop_too():
    run_end = RunEnd(SIGTERM_AT + STOP_TIMEOUT - 0.1, broke_off=False)
    assert lost_lines(closed_attempt(duration=2.9), stops=(), run_end=run_end)


def test_the_line_names_the_times_from_the_recorded_sigterm():
    planned = Fault(SIGTERM_AT - 0.4, FaultKind.NODE_STOP, "n1", 1.0)
    (line,) = lost_lines(closed_attempt(), faults=[planned])
    assert "sent +1.00 s, ended +1.10 s from SIGTERM" in line


HANGUP = Hangup("n1", 1, 10.0)


def test_a_request_cut_after_a_hangup_of_its_node_is_detected():
    """Guards against a reload that closes connections on which answers are owed."""
    cut = closed_attempt(sent_at=11.9, reused=False)
    assert lost_lines(cut, stops=(), hangups=[HANGUP])
    assert lost_lines(closed_attempt(sent_at=9.9, duration=0.2, reused=False), hangups=[HANGUP])
    assert not lost_lines(cut._replace(sent_at=12.1), stops=(), hangups=[HANGUP])
    assert not lost_lines(cut, stops=(), hangups=[HANGUP._replace(sent_at=12.1)])
    assert not lost_lines(cut, stops=(), hangups=[HANGUP._replace(boot=2)])
    assert not lost_lines(cut, stops=(), hangups=[HANGUP._replace(node="n2")])


def test_a_request_on_a_kept_connection_that_reached_no_worker_is_detected_in_planned_work():
    """Guards against a node that reads a request and closes without passing it on."""
    cut = closed_attempt(duration=0.3)
    assert lost_lines(cut, reached=False)
    assert lost_lines(cut, stops=(), hangups=[HANGUP], reached=False)
    assert not lost_lines(cut, stops=(), reached=False)
    assert not lost_lines(closed_attempt(duration=0.15), reached=False)
    for change in ({"reused": False}, {"position": 1}, {"body_bytes": 900_000}):
        assert not lost_lines(cut._replace(**change), reached=False)
    assert not lost_lines(closed_attempt(duration=LOOKUP.timeout + 0.1), reached=False)


def own_answer(status=502, sent_after=1.0, duration=0.2):
    attempt = closed_attempt(sent_at=SIGTERM_AT + sent_after, duration=duration)
    return attempt._replace(status=status, end=AttemptEnd.ANSWERED)


def run_until(at):
    return {"run_end": RunEnd(at, broke_off=False)}


@pytest.mark.parametrize("status", [500, 502, 503, 504])
def test_an_answer_of_a_stopping_node_in_place_of_a_worker_at_work_is_detected(status):
    answer = own_answer(status)
    assert lost_lines(answer, **run_until(answer.answered_at + 0.5))
    assert not lost_lines(answer, **run_until(answer.answered_at - 0.05))
    assert not lost_lines(answer, stops=(), **run_until(answer.answered_at + 0.5))
    assert not lost_lines(answer, run_end=RunEnd(answer.answered_at + 0.5, broke_off=True))
    assert not lost_lines(answer, reached=False)
    assert not lost_lines(answer._replace(matches_request=True), running=True)


def test_an_answer_of_a_stopping_node_passes_at_the_end_of_the_time():
    late = own_answer(duration=LOOKUP.timeout)
    assert not lost_lines(late, **run_until(late.answered_at + 0.1))
    cut = own_answer(sent_after=2.9, duration=1.2)
    assert not lost_lines(cut, **run_until(SIGTERM_AT + STOP_TIMEOUT * 5 / 6 + 0.1))
    assert lost_lines(cut, **run_until(SIGTERM_AT + STOP_TIMEOUT * 5 / 6 - 0.1))
    cut = own_answer(sent_after=3.1, duration=1.2)
    assert lost_lines(cut, **run_until(SIGTERM_AT + STOP_TIMEOUT * 5 / 6 + 0.1))


def test_requests_cut_beside_a_change_are_detected_if_there_are_three_times_as_many():
    """Guards against a change of the policy that ends connections."""
    changes = [RouteChange(0.0, "stock"), RouteChange(11.0, "stock", sent_at=10.5)]
    cut = closed_attempt(sent_at=13.9, reused=False)
    served = closed_attempt(sent_at=20.0)._replace(end=AttemptEnd.ANSWERED)
    assert lost_lines(cut, stops=(), changes=changes, others=[served])
    assert not lost_lines(cut._replace(sent_at=14.1), stops=(), changes=changes)
    early = cut._replace(sent_at=10.2, ended_at=10.4)
    assert not lost_lines(early, stops=(), changes=changes)
    used = closed_attempt(sent_at=11.0, duration=LOOKUP.timeout * 0.75, reused=False)
    assert not lost_lines(used, stops=(), changes=changes)
    also_cut = closed_attempt(sent_at=20.0, reused=False)
    assert not lost_lines(cut, stops=(), changes=changes, others=[also_cut])


def test_a_request_that_ended_with_a_kill_for_memory_is_detected_and_named_so():
    """Guards against an excuse for a process that held too much (issue 56)."""
    kill = MemoryKill("n1", 1, 381, 300, 11.05)
    (line,) = lost_lines(closed_attempt(), stops=(), memory_kills=[kill])
    assert line.endswith("in a process that was killed for its memory")


def test_a_request_that_a_node_gave_up_while_its_worker_was_at_work_is_named():
    """Guards against a busy link that is aborted with its calls, as in incident 56."""
    answer = own_answer()
    at_work = run_until(answer.answered_at + 0.5)
    assert broken_off(observe(answer, stops=(), **at_work)) == ["r"]
    assert broken_off(observe(answer, stops=(), **run_until(answer.answered_at - 0.05))) == []
    for stopped in ("n1", "n2"):
        assert broken_off(observe(answer, stops=[STOP._replace(node=stopped)], **at_work)) == []
    reset = Fault(answer.sent_at, FaultKind.LINK_RESET, "n2", 1.0)
    assert broken_off(observe(answer, stops=(), faults=[reset], **at_work)) == []
    late = own_answer(duration=LOOKUP.timeout)
    assert broken_off(observe(late, stops=(), running=True)) == []


def test_a_slow_reader_counts_until_the_time_of_its_request_is_over():
    """The rule excepts a request whose time budget or route's timeout was reached."""
    slow = closed_attempt(duration=LOOKUP.timeout - 0.1, read_time=5.0)
    assert lost_lines(slow)
    over = closed_attempt(duration=LOOKUP.timeout + 0.1, read_time=5.0)
    assert not lost_lines(over)
    assert lost_lines(over._replace(read_time=0.0))

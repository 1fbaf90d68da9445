"""Planned stops of a node with an INI file: every request that it has taken gets its answer."""

import asyncio
import signal
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import pytest

from standins.fleet import HOST, http, wait_for
from standins.http_messages import Endpoint
from tests.process_builders import POLL_PERIOD, blocked_signal
from tests.stop_callers import NewConnections
from tests.stop_fleet import (
    DRAIN_LIMIT,
    LONG_DEADLINE,
    LOOKUP_PATH,
    StopFleet,
    connect,
    connect_early,
    outcome,
    pay,
    read_answer,
    request_bytes,
    request_grant,
    running,
)

pytestmark = pytest.mark.process
CALLERS = {  # arguments of `NewConnections`
    "at once": {"width": 64},
    "after a while": {"width": 40, "delay": 0.1},
    "in two parts": {"width": 40, "pause": 0.1},
}
EXIT_TIMEOUT = 2 * DRAIN_LIMIT + 10  # seconds


@pytest.fixture(scope="module")
def fleet():
    with StopFleet() as fleet:
        fleet.start()
        yield fleet


@pytest.fixture(autouse=True)
def restart_the_stopped_node(fleet):
    yield
    fleet.stopping.node.kill()
    fleet.stopping.node.wait()
    fleet.restart()


def in_background(function, *args):
    return ThreadPoolExecutor(1).submit(function, *args)


@contextmanager
def suspended(*processes):
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in processes:
            process.send_signal(signal.SIGCONT)


def lookup(query="", **headers):
    return request_bytes("GET", LOOKUP_PATH + query, {**LONG_DEADLINE, **headers})


def test_a_stop_during_a_drain_waits_for_the_payout_owed_to_a_peer(fleet):
    grant = request_grant(fleet.other, fleet.stopping)
    payout = in_background(pay, fleet.other, grant, "?time=2")
    wait_for("the payout to run", lambda: running(fleet.stopping))
    http("POST", f"{fleet.stopping.url}/thorntray/drain")
    fleet.stopping.node.terminate()
    assert payout.result() == (200, "done")
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_request_that_outlasts_the_stop_is_answered_as_unknown(fleet):
    with connect(fleet.stopping) as caller:
        caller.sendall(lookup("?time=60"))
        wait_for("the lookup to run", lambda: running(fleet.haul))
        began = time.monotonic()
        fleet.stopping.node.terminate()
        assert outcome(read_answer(caller.makefile("rb"))) == (504, "unknown")
        assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0
        assert time.monotonic() - began < DRAIN_LIMIT + 4


def test_a_request_whose_body_is_incomplete_at_the_end_of_a_stop_is_answered_as_not_run(fleet):
    with connect(fleet.stopping) as caller:
        caller.sendall(lookup(**{"content-length": "10"}) + b"half")
        time.sleep(0.2)
        fleet.stopping.node.terminate()
        assert outcome(read_answer(caller.makefile("rb"))) == (503, "not-run")
        assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_caller_of_a_peer_gets_an_outcome_when_the_owner_stops_before_the_result(fleet):
    grant = request_grant(fleet.other, fleet.stopping)
    payout = in_background(pay, fleet.other, grant, "?time=60")
    wait_for("the payout to run", lambda: running(fleet.stopping))
    fleet.stopping.node.terminate()
    assert payout.result() == (504, "unknown")
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_slow_reader_gets_its_whole_answer_from_a_stopping_node(fleet):
    size = 4_000_000
    with connect(fleet.stopping) as caller:
        caller.sendall(lookup(f"?size={size}"))
        time.sleep(0.5)
        fleet.stopping.node.terminate()
        time.sleep(DRAIN_LIMIT / 2 + 2)
        status, _, body = read_answer(caller.makefile("rb"))
        assert (status, len(body)) == (200, size)
        assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_requests_pipelined_at_a_stopping_node_are_all_answered(fleet):
    size = 1_000_000
    with connect(fleet.stopping) as caller:
        fleet.stopping.node.terminate()
        time.sleep(0.5)
        caller.sendall(lookup(f"?size={size}&time=0.3") + lookup(f"?size={size}"))
        time.sleep(1)
        reader = caller.makefile("rb")
        answers = [read_answer(reader) for _ in range(2)]
        assert [(status, len(body)) for status, _, body in answers] == [(200, size)] * 2
        assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_request_on_a_kept_connection_after_the_drain_is_answered(fleet):
    with connect(fleet.stopping) as caller:
        caller.sendall(lookup())
        assert read_answer(caller.makefile("rb"))[0] == 200
        fleet.stopping.node.terminate()
        log = fleet.log_file(fleet.stopping)
        ended = log.read_text("utf-8").count("graceful stop ended")
        wait_for("the drain", lambda: log.read_text("utf-8").count("graceful stop ended") > ended)
        caller.sendall(lookup())
        assert read_answer(caller.makefile("rb"))[0] == 200
        assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_peer_that_pauses_gets_its_large_results_from_a_stopping_node(fleet):
    grants = [request_grant(fleet.other, fleet.stopping) for _ in range(6)]
    payouts = [in_background(pay, fleet.other, g, "?time=1&size=4000000") for g in grants]
    wait_for("the payouts to run", lambda: running(fleet.stopping) == len(grants))
    fleet.other.node.send_signal(signal.SIGSTOP)
    fleet.stopping.node.terminate()
    time.sleep(DRAIN_LIMIT - 1.5)
    fleet.other.node.send_signal(signal.SIGCONT)
    assert [payout.result() for payout in payouts] == [(200, "done")] * len(grants)
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_stop_right_after_the_start_answers_the_connection_that_it_has_taken(fleet):
    fleet.stopping.node.kill()
    fleet.stopping.node.wait()
    # Suspended peers don't tell the node of instances for the lookup before the signal is sent.
    with suspended(fleet.haul.node, fleet.other.node):
        fleet.start_node(fleet.stopping)
        with connect_early(fleet.stopping) as caller:
            fleet.stopping.node.terminate()
            caller.sendall(lookup())
            assert read_answer(caller.makefile("rb"))[0] == 503
            assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_that_the_parent_has_blocked_drains_the_node(fleet, signum):
    fleet.stopping.node.kill()
    fleet.stopping.node.wait()
    with blocked_signal(signum):
        fleet.start_node(fleet.stopping)
    fleet.wait_ready()
    fleet.stopping.node.send_signal(signum)
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_signals_until_the_exit_do_not_change_the_exit_code(fleet):
    # The event loop's handlers end with the loop, some time before the process.
    deadline = time.monotonic() + EXIT_TIMEOUT
    while fleet.stopping.node.poll() is None and time.monotonic() < deadline:
        fleet.stopping.node.terminate()
        fleet.stopping.node.send_signal(signal.SIGINT)
        fleet.stopping.node.send_signal(signal.SIGUSR1)
        time.sleep(POLL_PERIOD)
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


@pytest.mark.parametrize("arrival", CALLERS)
def test_no_new_connection_ends_without_an_answer_when_a_node_stops(fleet, arrival):
    async def run():
        address = Endpoint(HOST, fleet.stopping.http_port)
        request = lookup(connection="close")
        callers = NewConnections(address, **CALLERS[arrival], request=request)
        running = asyncio.create_task(callers.run())
        await asyncio.sleep(0.1)
        fleet.stopping.node.terminate()
        return await running

    outcomes = asyncio.run(run())
    assert outcomes.unanswered == [], f"{len(outcomes.answers)} answers"
    assert outcomes.answers
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_request_whose_head_is_incomplete_at_the_end_of_a_stop_is_answered(fleet):
    with connect(fleet.stopping) as caller:
        caller.sendall(lookup()[:30])
        time.sleep(0.2)
        fleet.stopping.node.terminate()
        status, headers, _ = read_answer(caller.makefile("rb"))
        assert status == 503 and "retry-after" in headers
        assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0


def test_a_hangup_neither_ends_nor_drains_a_node(fleet):
    # Failure: a log rotation that sends SIGHUP to all services ends or drains the node.
    with connect(fleet.stopping) as caller:
        fleet.stopping.node.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        caller.sendall(lookup())
        status, headers, _ = read_answer(caller.makefile("rb"))
        assert status == 200 and headers.get("connection") != "close"
        with pytest.raises(subprocess.TimeoutExpired):
            fleet.stopping.node.wait(DRAIN_LIMIT)
        caller.sendall(lookup())
        assert read_answer(caller.makefile("rb"))[0] == 200
    fleet.stopping.node.terminate()
    assert fleet.stopping.node.wait(EXIT_TIMEOUT) == 0

"""The soak disturbs the starts of nodes as intended, and excuses no end of a process wrongly."""

import asyncio
import signal
import socket
import subprocess
import sys
from random import Random

import pytest

from soak import plan, process_control, process_watch, start_faults
from soak.checks import violations
from soak.plan import START_KINDS, Fault, FaultKind, draw_plan
from soak.process_control import ProcessControl, wait_exit
from soak.process_watch import OwnEnd, ProcessWatcher, ended_as_planned, killed_at_limit
from soak.start_faults import StartFaults, held
from standins.mesh_fleet import FIRST_PEER_PORT, STOP_TIMEOUT, SentSignal, without_streams
from standins.worker import Endpoint
from tests.soak_builders import ended_node, make_observation, small_fleet
from thorntray_node.process_end import ExitCode

NODES = [f"n{n}" for n in range(9)]
HOST = "127.0.0.1"
TERM, INT, HUP, KILL, STOP = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGHUP,
    signal.SIGKILL,
    signal.SIGSTOP,
)
IGNORES_STOPS = "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); time.sleep(60)"


def test_faults_of_the_start_leave_the_other_faults_of_a_seed_as_they_are(monkeypatch):
    """Guards against old seeds that no longer show what they were kept for."""
    drawn = [draw_plan(Random(seed), NODES, 12.0) for seed in range(60)]
    monkeypatch.setattr(plan, "ENVIRONMENT_SHARE", 0.0)
    for seed, faults in enumerate(drawn):
        before = draw_plan(Random(seed), NODES, 12.0)
        assert [fault for fault in faults if fault in before] == before


def test_about_half_of_the_plans_disturb_starts_and_some_kill_all_nodes_or_silence_the_store():
    plans = [draw_plan(Random(seed), NODES, 12.0) for seed in range(100)]
    disturbed = [faults for faults in plans if any(f.kind in START_KINDS for f in faults)]
    assert 35 <= len(disturbed) <= 65
    assert {f.kind for faults in disturbed for f in faults} >= set(START_KINDS)
    assert sum(kills_all_at_once(faults) for faults in disturbed) >= len(disturbed) * 0.15
    silences = [count_silences(faults) for faults in disturbed]
    assert silences.count(1) >= len(disturbed) * 0.1 <= silences.count(2)


def kills_all_at_once(faults):
    kills = [f for f in faults if f.kind is FaultKind.NODE_KILL]
    return any({f.node for f in kills if f.start == first.start} == set(NODES) for first in kills)


def count_silences(faults):
    return sum(f.kind is FaultKind.STORE_CONNECTIONS_SILENT for f in faults)


@pytest.mark.parametrize(
    "returncode, signals, has_started, planned",
    [
        (0, [(TERM, 9.0)], True, True),
        (0, [(INT, 9.0)], True, True),
        (0, [(HUP, 9.0)], True, False),
        (-TERM, [(TERM, 0.1)], False, True),
        (-INT, [(INT, 0.1)], False, True),
        (ExitCode.INTERRUPTED, [(INT, 0.1)], False, True),
        (ExitCode.INTERRUPTED, [(INT, 9.0)], False, False),
        (ExitCode.INTERRUPTED, [(INT, 0.5)], True, False),
        (ExitCode.INTERRUPTED, [(TERM, 0.1)], False, False),
        (-TERM, [(TERM, 9.0)], False, False),  # must have a handler by then
        (-TERM, [(TERM, 0.5)], True, False),  # the handler is gone again
        (-TERM, [(INT, 0.1)], False, False),
        (-signal.SIGABRT, [(TERM, 9.0)], True, False),
        (1, [(TERM, 0.1)], False, False),
        (2, [(TERM, 9.0)], True, False),
        (3, [(TERM, 9.0)], False, False),
        (-HUP, [(HUP, 9.0)], True, False),
        (-KILL, [(KILL, 9.0)], True, True),
        (-KILL, [], True, False),  # as by the kernel, for lack of memory
        (-signal.SIGSEGV, [(KILL, 9.0)], True, False),
    ],
)
def test_only_ends_that_follow_from_a_signal_of_the_plan_are_excused(
    returncode, signals, has_started, planned
):
    """Guards against ends that a signal of the plan hides, as SIGABRT after a clean stop."""
    node = ended_node(*signals)
    assert ended_as_planned(returncode, node, has_started) is planned


def test_a_process_without_a_log_must_handle_its_signals_sooner():
    node = ended_node((TERM, 2.0))
    assert ended_as_planned(-TERM, node, False)
    node.writes_log = False
    assert not ended_as_planned(-TERM, node, False)


@pytest.mark.parametrize(
    "signals, overdue",
    [
        ([(TERM, 9.0), (KILL, 9.0 + STOP_TIMEOUT)], True),
        ([(INT, 9.0), (HUP, 10.0), (KILL, 9.0 + STOP_TIMEOUT)], True),
        ([(TERM, 9.0), (KILL, 10.0)], False),
        ([(KILL, 9.0)], False),
        ([(STOP, 8.5), (TERM, 9.0), (KILL, 9.0 + STOP_TIMEOUT)], False),
    ],
)
def test_a_stop_that_was_killed_at_its_limit_is_told_from_a_kill_of_the_plan(signals, overdue):
    assert killed_at_limit(-KILL, ended_node(*signals).signals) is overdue


def test_a_stop_that_has_to_be_killed_is_a_violation(monkeypatch):
    for module in (process_control, process_watch):
        monkeypatch.setattr(module, "STOP_TIMEOUT", 0.6)
    monkeypatch.setattr(process_watch, "KILL_TOLERANCE", 0.1)

    async def work(fleet):
        watcher, control = ProcessWatcher(fleet), ProcessControl(fleet)
        await asyncio.sleep(0.5)  # the process ignores SIGTERM by now
        await control.stop(fleet.node)
        watcher.check_all()
        return watcher.own_ends

    with small_fleet(IGNORES_STOPS) as fleet:
        (end,) = asyncio.run(work(fleet))
    assert end.overdue and end.returncode == -KILL
    (line,) = violations(make_observation(own_ends=[end]))
    assert line.startswith("ENDED: n1") and "at the limit of its stop" in line


def test_an_end_is_judged_even_if_a_fault_starts_the_node_again_at_once():
    """Guards against exit codes that are not seen, as the next process is running already."""

    async def work(fleet):
        watcher = ProcessWatcher(fleet)
        fleet.node.process.wait()
        fleet.start_node(fleet.node)
        fleet.node.process.wait()
        return watcher.own_ends

    with small_fleet("print('why'); raise SystemExit(3)") as fleet:
        (end,) = asyncio.run(work(fleet))
    assert (end.boot, end.returncode, end.last_lines) == (1, 3, ("why",))


@pytest.mark.parametrize(
    ("event", "excused"), [("SETTINGS_AWAITED", 1), ("PORT_TAKEN", 0), ("PORTS_BOUND", 0)]
)
def test_a_process_that_waits_for_a_port_must_handle_a_stop(event, excused):
    """Guards against a start that is ended by a signal, with what it has logged as evidence."""
    code = f"import os, sys; print({event!r}, flush=True); os.kill(os.getpid(), {int(TERM)})"

    async def work(fleet):
        watcher = ProcessWatcher(fleet)
        fleet.node.process.wait()
        fleet.node.signals.append(SentSignal(TERM, fleet.node.started_at + 0.1))
        watcher.check_all()
        return watcher.own_ends

    with small_fleet(code) as fleet:
        assert len(asyncio.run(work(fleet))) == 1 - excused


def test_the_report_of_an_end_names_its_code_and_its_last_lines():
    (line,) = violations(make_observation(own_ends=[OwnEnd("n1", 2, 3, 4.0, ("a", "b"))]))
    assert "with exit code 3; 0 requests of callers ended with it; last lines: a | b" in line


def free_port():
    with socket.create_server((HOST, 0)) as sock:
        return sock.getsockname()[1]


def test_a_held_port_cannot_be_bound_until_it_is_released():
    endpoint = Endpoint(HOST, free_port())
    with held(endpoint) as free, held(endpoint) as free_again:
        assert free and not free_again
        with pytest.raises(OSError):
            socket.create_server(tuple(endpoint))
    socket.create_server(tuple(endpoint)).close()


def test_the_port_for_peers_is_held_for_datagrams_too(monkeypatch):
    endpoint = Endpoint(HOST, free_port())
    monkeypatch.setattr(start_faults, "FIRST_PEER_PORT", endpoint.port)
    assert FIRST_PEER_PORT != endpoint.port
    with held(endpoint), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
        with pytest.raises(OSError):
            datagrams.bind(tuple(endpoint))


@pytest.mark.parametrize("closed", [(), (1,), (2,), (1, 2)])
def test_a_process_starts_without_the_streams_that_are_closed(tmp_path, closed):
    found = tmp_path / "found"
    code = f"""
import os
def is_open(number):
    try:
        os.fstat(number)
    except OSError:
        return False
    return True
streams = [number for number in (1, 2) if is_open(number)]
open({str(found)!r}, "w").write(repr(streams))
"""
    command = without_streams([sys.executable, "-c", code], closed)
    subprocess.run(command, check=True, capture_output=True)
    assert found.read_text("utf-8") == repr([n for n in (1, 2) if n not in closed])


def inject(kind, fleet, fault_number=0):
    """Inject a fault of the start; return the control, with the signals that it has recorded."""

    async def work():
        control = ProcessControl(fleet)
        await fleet.wait_started()
        await StartFaults(fleet, control).run(Fault(fault_number, kind, "n1", 0.0))
        return control

    return asyncio.run(work())


def test_a_settings_file_is_broken_at_a_start_and_complete_at_the_end(monkeypatch):
    monkeypatch.setattr(start_faults, "RUNNING_TIME", 0.3)
    found = []
    for number in range(4):
        with small_fleet() as fleet:
            control = inject(FaultKind.SETTINGS_BROKEN, fleet, number)
            complete, broken = fleet.starts
            assert len(control.stops) == 1 and len(control.hangups) == 2
            assert fleet.settings_text() == complete
            assert broken is None or complete.startswith(broken) and broken != complete
            found.append(broken)
    assert None in found and len(set(found)) > 2


def test_series_of_signals_begin_with_the_start_and_a_stopped_node_is_started_again():
    kinds = set()
    for number in range(4):
        with small_fleet() as fleet:
            control = inject(FaultKind.SIGNAL_SERIES, fleet, number)
            sent = [*control.stops[1:], *control.hangups]
            first = min(getattr(s, "sigterm_at", None) or s.sent_at for s in sent)
            stopped = len(control.stops) > 1
            assert {s.boot for s in sent} == {2}
            if not stopped:
                assert first < fleet.node.started_at + start_faults.MAX_SIGNAL_GAP
            assert fleet.node.boot == (3 if stopped else 2) and fleet.node.running
            kinds.add(stopped)
    assert kinds == {True, False}


@pytest.mark.parametrize(
    "kind",
    [FaultKind.SIGNAL_SERIES, FaultKind.STOP_UNDER_NEW_CONNECTIONS, FaultKind.STREAMS_CLOSED],
)
def test_a_process_that_was_started_meanwhile_is_not_killed_for_being_late(monkeypatch, kind):
    """Guards against losses that the soak causes itself, by a kill that no check knows of."""
    monkeypatch.setattr(process_control, "STOP_TIMEOUT", 0.3)
    sent = []

    async def start_again(fleet):
        while True:
            await asyncio.sleep(0.02)
            if not fleet.node.running:
                fleet.start_node(fleet.node)

    async def work(fleet):
        await fleet.wait_started()
        starter = asyncio.create_task(start_again(fleet))
        fault = Fault(next(n for n in range(9) if stops(n)), kind, "n1", 0.0)
        await StartFaults(fleet, ProcessControl(fleet)).run(fault)
        starter.cancel()

    def stops(number):
        rng = Random(f"start {Fault(number, kind, 'n1', 0.0)!r}")
        return rng.random() >= start_faults.HANGUPS_ONLY_SHARE

    with small_fleet() as fleet:
        send = fleet.node.signal
        monkeypatch.setattr(
            fleet.node, "signal", lambda signum: (sent.append(signum), send(signum))
        )
        asyncio.run(work(fleet))
    assert TERM in sent and KILL not in sent


def test_streams_are_closed_for_one_process_only(monkeypatch):
    monkeypatch.setattr(start_faults, "MAX_CLOSED_TIME", 1.5)
    closed = []
    with small_fleet() as fleet:
        fleet.before_start = lambda node: closed.append(node.closed_streams)
        control = inject(FaultKind.STREAMS_CLOSED, fleet)
        assert fleet.node.running
    assert closed[0] in start_faults.CLOSED_STREAMS and closed[1:] == [()]
    assert [stop.boot for stop in control.stops] == [1, 2]


def test_a_port_is_held_while_the_node_starts(monkeypatch):
    monkeypatch.setattr(start_faults, "MAX_HOLD", 0.6)
    taken = []
    with small_fleet() as fleet:
        endpoint = Endpoint(HOST, free_port())
        fleet.node.listeners = [endpoint]
        fleet.before_start = lambda node: taken.append(is_taken(endpoint))
        inject(FaultKind.PORT_HELD, fleet)
        assert taken == [True] and not is_taken(endpoint)


def is_taken(endpoint):
    try:
        socket.create_server(tuple(endpoint)).close()
    except OSError:
        return True
    return False


def test_a_stop_ends_with_the_exit_of_its_process():
    async def work(fleet):
        await fleet.wait_started()
        await ProcessControl(fleet).stop(fleet.node)
        await wait_exit(fleet.node)

    with small_fleet() as fleet:
        asyncio.run(work(fleet))
        assert fleet.node.process.returncode == 0

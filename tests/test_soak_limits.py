"""The soak drives nodes to the limits of their process, and reports each end of a process."""

import asyncio
import signal
import subprocess
import sys
import time
from random import Random
from types import SimpleNamespace

import pytest
from aiohttp import web

from soak import faults, heavy_load, plan, process_watch
from soak.checks import violations
from soak.clients import AttemptEnd
from soak.faults import FaultInjector
from soak.heavy_load import BURST_BODY, MAX_BODY, MIN_BURST, HeavyLoad
from soak.observation import Observation, RouteChange
from soak.plan import HEAVY_KINDS, Fault, FaultKind, draw_plan
from soak.process_watch import MemoryKill, OwnEnd, ProcessWatcher
from soak.routes import SERVICES, build_routes
from standins.mesh_fleet import MeshFleet, NodeProcess, ProcessLimits
from standins.worker import (
    BODY_BYTES_HEADER,
    Arrival,
    Endpoint,
    FleetRecord,
    response_body,
    response_signature,
)

NODES = [f"n{n}" for n in range(9)]
LIMITS = ProcessLimits(memory_mb=40, descriptors=500)
PIPES = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE}
HOLD_MEMORY = "import time; held = b'x' * 80_000_000; print('held', flush=True); time.sleep(60)"


def test_heavy_load_leaves_the_other_faults_of_a_seed_as_they_are(monkeypatch):
    """Guards against old seeds that no longer show what they were kept for."""
    drawn = [draw_plan(Random(seed), NODES, 12.0) for seed in range(60)]
    monkeypatch.setattr(plan, "HEAVY_SHARE", 0.0)
    for seed, drawn_faults in enumerate(drawn):
        before = draw_plan(Random(seed), NODES, 12.0)
        assert [fault for fault in drawn_faults if fault in before] == before


def test_about_half_of_the_plans_have_heavy_load_and_some_stop_two_nodes_at_once():
    plans = [draw_plan(Random(seed), NODES, 12.0) for seed in range(100)]
    heavy = [faults for faults in plans if any(f.kind in HEAVY_KINDS for f in faults)]
    assert 35 <= len(heavy) <= 65
    assert {f.kind for faults in heavy for f in faults} >= set(HEAVY_KINDS)
    assert sum(stops_two_at_once(faults) for faults in heavy) >= len(heavy) * 0.4


def stops_two_at_once(faults):
    starts = [f.start for f in faults if f.kind is FaultKind.NODE_STOP]
    return len(set(starts)) < len(starts)


def handle_hangup():
    signal.signal(signal.SIGHUP, signal.SIG_DFL)


def watched_node(tmp_path, command):
    """Return a watcher, its node with a process of the command, and the list of starts."""
    node = NodeProcess("n1", "tariff", "a", 1)
    # Under `nohup`, a process inherits that SIGHUP is ignored, and would not end by it.
    node.process = subprocess.Popen(command, stdout=subprocess.PIPE, preexec_fn=handle_hangup)
    node.boot = 1
    node.started_at = time.monotonic()
    starts = []
    log = tmp_path / "n1.log"
    log.write_text("first\nsecond\nthird\nlast\n", "utf-8")
    fleet = SimpleNamespace(
        nodes={"n1": node}, limits=LIMITS, start_node=starts.append, log_file=lambda _: log
    )
    return ProcessWatcher(fleet), node, starts


def watch(watcher, node, monkeypatch, seconds=0.3):
    monkeypatch.setattr(process_watch, "WATCH_PERIOD", 0.05)
    monkeypatch.setattr(process_watch, "RESTART_DELAY", 0.1)

    async def work():
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0)  # the first step of the watcher judges the process
        await asyncio.gather(*asyncio.all_tasks() - {task, asyncio.current_task()})  # restarts
        await asyncio.sleep(seconds)
        task.cancel()

    try:
        asyncio.run(work())
    finally:
        node.process.kill()
        node.process.wait()
        node.process.stdout.close()


def test_a_node_above_its_memory_is_killed_and_started_again(monkeypatch, tmp_path):
    """Failure of incident 56: a process that holds too many bodies is killed by the platform."""
    watcher, node, starts = watched_node(tmp_path, [sys.executable, "-c", HOLD_MEMORY])
    assert node.process.stdout.readline() == b"held\n"
    watch(watcher, node, monkeypatch)
    (kill,) = watcher.memory_kills
    assert (kill.node, kill.boot, kill.limit_mb) == ("n1", 1, 40)
    assert kill.peak_mb > 76
    assert starts == [node] and watcher.own_ends == []


@pytest.mark.parametrize("code, ended", [("exit 3", 3), ("exit 0", 0), ("kill -ABRT $$", -6)])
def test_a_process_that_ends_by_itself_is_reported_with_its_last_lines(
    monkeypatch, tmp_path, code, ended
):
    watcher, node, starts = watched_node(tmp_path, ["sh", "-c", code])
    node.process.wait()
    watch(watcher, node, monkeypatch)
    (end,) = watcher.own_ends
    assert end.returncode == ended and end.last_lines == ("second", "third", "last")
    assert starts == [node]


@pytest.mark.parametrize("signum", [signal.SIGTERM, signal.SIGKILL])
def test_a_process_that_a_fault_ends_is_left_to_the_fault(monkeypatch, tmp_path, signum):
    watcher, node, starts = watched_node(tmp_path, ["sleep", "60"])
    node.signal(signum)
    node.process.wait()
    watch(watcher, node, monkeypatch)
    assert watcher.own_ends == [] and starts == []


@pytest.mark.parametrize("age, early", [(0.0, True), (5.0, False)])
def test_only_a_starting_process_may_be_ended_by_a_hangup(monkeypatch, tmp_path, age, early):
    watcher, node, starts = watched_node(tmp_path, ["sleep", "60"])
    monkeypatch.setattr(process_watch, "EARLY_HANGUP_AGE", 10.0 if early else 0.0)
    node.started_at = age
    node.signal(signal.SIGHUP)
    node.started_at = node.signals[0].sent_at - age
    node.process.wait()
    watch(watcher, node, monkeypatch)
    assert watcher.early_hangups == early and len(watcher.own_ends) == (not early)
    assert starts == [node]


def observe(record=None, **fields):
    changes = [RouteChange(0.0, "tariff")]
    return Observation(0.0, [], record or FleetRecord(), [], changes, [], **fields)


def test_ends_of_processes_are_violations():
    kills = [MemoryKill("n1", 2, 381, 300, 8.5)]
    (line,) = violations(observe(memory_kills=kills))
    assert line.startswith("MEMORY: n1 (boot 2) was killed at 8.5 s, with a peak of 381 MB")
    assert "0 requests of callers ended with it" in line
    (line,) = violations(observe(own_ends=[OwnEnd("n1", 1, 1, 4.0, ("a", "b"))]))
    assert line.startswith("ENDED: n1 (boot 1) ended by itself at 4.0 s with exit code 1")
    assert line.endswith("a | b")


def test_the_settings_and_the_process_of_a_node_have_its_limits():
    """Guards against a soak whose nodes may open more sockets than on the platform."""
    fleet = MeshFleet([], {}, Random(0))
    fleet.limits = LIMITS
    code = "import resource; print(resource.getrlimit(resource.RLIMIT_NOFILE))"
    with subprocess.Popen([sys.executable, "-c", f"input(); {code}"], **PIPES) as process:
        fleet.limit_process(process.pid)
        output, _ = process.communicate(b"go\n")
    assert output == b"(316, 316)\n"
    assert fleet.limit_settings() == "[Self.Limits]\nMemoryMb = 40\nMaxFds = 500\n"


def test_a_request_that_a_worker_gets_with_another_body_is_a_violation():
    arrival = Arrival(1.0, "r", "n1", 1, "tariff", "/prices/1", True, body_matches=False)
    lines = violations(observe(FleetRecord([arrival])))
    assert any("with another body" in line for line in lines)


async def send_heavy_load(kind, duration=0.5):
    """Return the attempts of one fault of heavy load at a node, and the bodies that it has got."""
    sizes = []

    async def serve(req):
        body, request_id = await req.read(), req.headers["X-Request-Id"]
        if BODY_BYTES_HEADER in req.headers:
            assert body == response_body(request_id, int(req.headers[BODY_BYTES_HEADER]))
            sizes.append((len(body), "Transfer-Encoding" in req.headers))
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": response_signature(request_id),
        }
        return web.Response(body=response_body(request_id, int(req.query["size"])), headers=headers)

    app = web.Application(client_max_size=2 * MAX_BODY)
    app.router.add_route("*", "/{path:.*}", serve)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    node = NodeProcess("n1", "tariff", "a", 1)
    node.outbound = Endpoint(*site._server.sockets[0].getsockname())
    fleet = SimpleNamespace(nodes={"n1": node}, routes=build_routes(SERVICES[0]), limits=LIMITS)
    callers = SimpleNamespace(attempts=[])
    load = HeavyLoad(fleet, callers, Random(2), "t", lambda: "")
    await load.run(Fault(0.0, kind, "n1", duration))
    await runner.cleanup()
    return callers.attempts, sizes


def test_callers_send_and_read_very_different_sizes(monkeypatch):
    monkeypatch.setattr(heavy_load, "SENDS_ON_SHARE", 1.0)
    attempts, sizes = asyncio.run(send_heavy_load(FaultKind.SIZES, duration=1.5))
    assert {a.end for a in attempts} == {AttemptEnd.ANSWERED}
    assert all(a.status == 200 and a.matches_request for a in attempts)
    lengths = [length for length, _ in sizes]
    assert min(lengths) < 1_000 and max(lengths) > 100_000
    assert {chunked for _, chunked in sizes} == {True, False}
    assert any(a.position > 0 for a in attempts)  # sent while the answer before was read


def test_a_burst_sends_its_bodies_at_once():
    attempts, sizes = asyncio.run(send_heavy_load(FaultKind.BODY_BURST))
    assert len(attempts) >= MIN_BURST and {length for length, _ in sizes} == {BURST_BODY}
    assert max(a.sent_at for a in attempts) - min(a.sent_at for a in attempts) < 5.0


def test_idle_connections_take_the_sockets_of_a_node_and_some_are_used_again():
    attempts, _ = asyncio.run(send_heavy_load(FaultKind.IDLE_CONNECTIONS))
    assert {a.status for a in attempts} == {200}
    assert sum(a.reused for a in attempts) * 2 == len(attempts) > 0


@pytest.mark.parametrize(
    "kind, ended_by",
    [
        (FaultKind.NODE_FROZEN_STOP, signal.SIGTERM),
        (FaultKind.NODE_EARLY_HANGUP, signal.SIGKILL),
    ],
)
def test_signals_around_a_start_and_a_stop_are_recorded(monkeypatch, kind, ended_by):
    """Guards against stops that the checks take for undisturbed, or don't know of."""
    monkeypatch.setattr(faults, "RESTART_DELAY", 0.1)
    node = NodeProcess("n1", "tariff", "a", 1)
    node.process, node.boot = subprocess.Popen(["sleep", "60"]), 3
    ends = []

    def start_node(node):
        ends.append(node.process.returncode)
        node.boot, node.process = node.boot + 1, subprocess.Popen(["sleep", "60"])

    async def work():
        fleet = SimpleNamespace(nodes={"n1": node}, start_node=start_node)
        injector = FaultInjector(fleet, SimpleNamespace(rate=1.0), Random(1))
        await injector.inject(Fault(0.0, kind, "n1", 0.2))
        return injector

    injector = asyncio.run(work())
    node.process.kill()
    node.process.wait()
    assert ends == [-ended_by]
    if kind is FaultKind.NODE_FROZEN_STOP:
        assert [(stop.node, stop.boot) for stop in injector.control.stops] == [("n1", 3)]
    else:
        assert [(hangup.node, hangup.boot) for hangup in injector.control.hangups] == [("n1", 4)]

"""One unexpected exception in a background task ends neither the task nor a request."""

import asyncio
import json
import signal

import pytest

from tests.mesh_builders import run_scenario
from tests.process_builders import PlatformProcess
from thorntray.internal.process.tasks import RESTART_PAUSE, BackgroundTasks

MAX_ROUND = 3.0  # seconds; longer than a period of each task below
FAULT = RuntimeError("a fault of the test")


class FailingOnce:
    """Replaces a method of an object by one that fails at its first call."""

    def __init__(self, owner, name):
        self._method = getattr(owner, name)
        self.calls = 0
        setattr(owner, name, self)

    def __call__(self, *args):
        self.calls += 1
        if self.calls == 1:
            raise FAULT
        return self._method(*args)


class FailingConnection:
    """A connection whose check always fails, or that counts its checks."""

    def __init__(self, fails=False):
        self.checks = 0
        self.pending = ()
        self.untaken_bytes = self.unsent_bytes = 0
        self._fails = fails

    def enforce_timeouts(self, now):
        self.checks += 1
        if self._fails:
            raise FAULT

    def close_if_idle(self):
        pass


# Each task of a node by a method that it calls in every round, and what ended with it before.
ROUNDS = {
    "price": lambda node: (node.owner, "update_price"),  # the slot price stays as it is
    "housekeeping": lambda node: (node.notices, "remove_expired"),  # no check of heartbeats
    "liveness of links": lambda node: (node.links._links["t1"], "check_liveness"),  # calls hang
    "crash reports": lambda node: (node.crash_reports, "_decide"),  # no reports to peers
    "kept entries": lambda node: (node.entries, "_write_all"),  # no departure is confirmed
    "policy": lambda node: (node.policy_watch, "_read_soon"),  # no change is noticed
    "probes": lambda node: (node.membership._prober, "probe_period"),  # dead members stay
    "gossip": lambda node: (node.membership, "_spread"),  # joins and deaths are not told
    "seed entry": lambda node: (node.seeds, "_hold_entry"),  # the entry expires
}


@pytest.mark.parametrize("task", ROUNDS)
def test_a_task_goes_on_after_a_round_that_failed(task):
    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        await fleet.send("h1", b"GET", "/prices/1", "opens a link")
        method = FailingOnce(*ROUNDS[task](node))
        async with asyncio.timeout(3 * MAX_ROUND):
            while method.calls < 2:
                if task == "kept entries":
                    node.entries.keep("any", b"", 10.0)
                await asyncio.sleep(0.05)
        return method.calls

    assert run_scenario(scenario) >= 2


def test_a_connection_whose_check_fails_does_not_keep_others_from_theirs():
    # Before, a caller that took no output or sent no request was never disconnected again.
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        faulty = [FailingConnection(fails=True) for _ in range(4)]
        sound = [FailingConnection() for _ in range(4)]
        node.callers.connections.update(faulty + sound)
        await asyncio.sleep(1.3)
        node.callers.connections.difference_update(faulty + sound)
        return [each.checks for each in faulty + sound]

    assert min(run_scenario(scenario)) >= 2


def test_a_request_whose_connection_to_the_instance_fails_oddly_is_answered_at_once():
    # Without an answer, it would keep its slot and its caller until its deadline.
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.share_membership()

        async def fail(*_args, **_kwargs):
            raise FAULT

        loop = asyncio.get_running_loop()
        create, loop.create_connection = loop.create_connection, fail
        try:
            results = []
            node.pool.send(b"", b"id-1", b"GET", True, results.append)
            await asyncio.sleep(0.1)
            return results
        finally:
            loop.create_connection = create

    assert [each.name for each in run_scenario(scenario)] == ["UNREACHABLE"]


def test_a_departure_whose_recording_failed_is_recorded_when_the_instance_asks_again():
    # Before, the failure was raised at each later announcement, which then got no answer.
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        failing = FailingOnce(node.departures, "_sleep_until_written")
        node.departures._start_recording()
        decisions = []
        node.departures.when_recorded(decisions.append)
        await asyncio.sleep(0.1)
        node.departures.when_recorded(decisions.append)
        async with asyncio.timeout(5):
            while len(decisions) < 2:
                await asyncio.sleep(0.05)
        return failing.calls, decisions[0]

    calls, first = run_scenario(scenario)
    assert calls >= 2 and first is False


def test_what_the_store_holds_is_read_again_after_a_read_that_failed_oddly():
    # Before, the failure counted as the store's answer: an instance that had left got requests.
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        entries = node.entries
        entries._recovered = None
        FailingOnce(entries._start_read, "read")
        recalling = node._tasks.supervise(node.departures._recall_from_store)
        await asyncio.sleep(RESTART_PAUSE / 2)
        early = recalling.done()
        async with asyncio.timeout(5):
            await recalling
        return early, entries._recovered.exception()

    assert run_scenario(scenario) == (False, None)


def test_a_supervised_task_runs_again_after_each_failure_until_it_ends():
    async def scenario():
        tasks, rounds = BackgroundTasks(), []

        async def work():
            rounds.append(asyncio.get_running_loop().time())
            if len(rounds) < 3:
                raise FAULT

        await tasks.supervise(work)
        return [later - earlier for earlier, later in zip(rounds, rounds[1:], strict=False)]

    pauses = asyncio.run(scenario())
    assert len(pauses) == 2 and min(pauses) >= RESTART_PAUSE - 0.01


def test_a_stopped_supervised_task_does_not_run_again():
    async def scenario():
        tasks = BackgroundTasks()
        task = tasks.supervise(lambda: asyncio.sleep(60))
        await asyncio.sleep(0)
        await tasks.stop()
        return task.cancelled()

    assert asyncio.run(scenario())


@pytest.mark.process
@pytest.mark.parametrize("method", ["SettingsReload.reload", "LogOutput.flush_ready"])
def test_a_node_process_follows_its_settings_and_logs_after_a_fault(tmp_path, method):
    with PlatformProcess(tmp_path, failing_once=method) as node:
        node.connect().close()
        node.wait_for_log("TASK_FAILED") if method.startswith("Log") else None
        node.process.send_signal(signal.SIGHUP)
        if method.startswith("Settings"):
            node.wait_for_log("TASK_FAILED")
            node.process.send_signal(signal.SIGHUP)
        node.wait_for_log("SETTINGS_CHANGED")
        rows = [json.loads(line) for line in node.log.splitlines() if "TASK_FAILED" in line]
        assert [row["runs_again"] for row in rows] == [True]
        node.process.terminate()
        assert node.wait_ended() == 0

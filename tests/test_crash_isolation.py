"""One request that crashes instances takes few of them, and what ran beside it is served.

Guards against nodes that send all requests of a crashed instance to the next one at once, the
culprit among them: in incident 37 a service of three lost all its instances within 0.3 seconds.
"""

import asyncio

import pytest

from tests.crash_fleet import (
    CULPRIT,
    KNOWN_TIME,
    OTHER_CULPRIT,
    Load,
    Restart,
    Run,
    get,
    report_crash,
    run_load,
    start_fleet,
)
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.overload.crash_isolation import SECOND_CRASH_PAUSE

MAX_FURTHER_SENDS = 3  # over all nodes, once all of them must know what is blocked
MAX_ROUND_CRASHES = 2  # instances that one culprit may take before the first one is back


@pytest.mark.parametrize("beside", [0, 1, 16, 64, 200])
def test_a_culprit_takes_at_most_two_instances_at_a_time(beside):
    run = run_load(Load(beside=beside))
    assert run.most_down() <= MAX_ROUND_CRASHES
    assert len(run.late_sends(CULPRIT)) <= MAX_FURTHER_SENDS


@pytest.mark.parametrize("seconds", [0.3, 3.0])
@pytest.mark.parametrize("new_id, names_start", [(True, True), (False, True), (False, False)])
def test_a_culprit_is_refused_however_its_instances_start_again(seconds, new_id, names_start):
    """Guards against crashes of one boot after the other that are taken for a single one."""
    run = run_load(Load(restart=Restart(seconds, new_id, names_start)))
    assert len(run.late_sends(CULPRIT)) <= MAX_FURTHER_SENDS
    assert run.statuses[CULPRIT][-1] == 503
    assert all(run.available)


@pytest.mark.parametrize("beside", [1, 16, 64])
def test_what_ran_beside_a_culprit_is_served(beside):
    run = run_load(Load(beside=beside))
    served = run.last_statuses("beside").count(200)
    assert served >= 0.9 * beside


def test_a_culprit_that_comes_often_leaves_an_instance_for_the_others():
    """Guards against the sends of many nodes in the moment before a crash is known."""
    run = run_load(Load(instances=4, period=0.05))
    assert run.most_down() < 4
    assert len(run.late_sends(CULPRIT)) <= MAX_FURTHER_SENDS
    others = run.last_statuses("after")
    assert others.count(200) >= 0.95 * len(others)


@pytest.mark.parametrize("known, age", [(1, 0.5), (2, SECOND_CRASH_PAUSE + 0.01)])
def test_a_suspect_that_comes_to_all_nodes_at_one_moment_takes_one_instance(known, age):
    """Guards against callers that repeat it together, as when a pause they were told of ends."""

    async def scenario(fleet):
        run = Run()
        await start_fleet(fleet, run, 4)
        for crash_id in range(known):
            report_crash(fleet, crash_id, [CULPRIT, f"{crash_id}"], age)
        sends = [get(fleet, run, name, CULPRIT, name) for name in [*fleet.nodes] * 3]
        await asyncio.gather(*sends)
        return run

    run = run_virtual_scenario(scenario)
    assert len({crash.instance for crash in run.crashes}) == 1


def test_suspects_wait_for_each_other_as_long_as_their_deadline_allows():
    """Guards against the refusal of innocent requests that only have to run one after the other."""
    paths = [f"/prices/beside-{number}" for number in range(64)]

    async def scenario(fleet):
        run = Run()
        await start_fleet(fleet, run, 2)
        report_crash(fleet, 1, paths)
        await asyncio.gather(*(get(fleet, run, "h1", path, path) for path in paths))
        return run

    run = run_virtual_scenario(scenario)
    assert all(run.statuses[path] == [200] for path in paths)


def test_a_request_that_ran_in_the_same_three_crashes_as_a_culprit_is_served_after_the_pause():
    """Guards against evidence that the refusal itself keeps away, for ten minutes."""
    beside = "/prices/beside"

    async def scenario(fleet):
        run = Run()
        await start_fleet(fleet, run, 4)
        for crash_id in range(3):
            report_crash(fleet, crash_id, [CULPRIT, beside], 0.3 - 0.15 * crash_id)
        entries = list(fleet.nodes)
        for number in range(int((SECOND_CRASH_PAUSE + 5.0) / 0.25)):
            name = entries[number % len(entries)]
            sends = (get(fleet, run, name, path, f"{path}{number}") for path in (CULPRIT, beside))
            await asyncio.gather(*sends)
            await asyncio.sleep(0.25)
        return run, [node.suspects.blocked for node in fleet.nodes.values()]

    run, blocked = run_virtual_scenario(scenario)
    assert run.statuses[beside][-10:] == [200] * 10
    assert run.statuses[CULPRIT][-1] == 503
    assert len(run.crashes) <= MAX_FURTHER_SENDS
    assert all(len(fingerprints) == 1 for fingerprints in blocked)


def test_a_frequent_request_is_served_all_the_time_after_the_third_crash_beside_it():
    """Guards against a refusal for what the request ran beside, where no load can refuse it."""
    path = "/prices/often"

    async def scenario(fleet):
        run = Run()
        await start_fleet(fleet, run, 3)
        entries = list(fleet.nodes)

        async def send_often(caller):
            for number in range(400):
                await get(fleet, run, entries[number % 5], path, f"{caller}-{number}")
                await asyncio.sleep(0.03)

        callers = [asyncio.ensure_future(send_often(caller)) for caller in range(6)]
        for number in range(24):
            if len(run.crashes) >= 3:
                break
            await asyncio.sleep(0.5)
            await get(fleet, run, entries[number % 5], CULPRIT, f"culprit-{number}")
        run.statuses[path].clear()  # in the first crashes, all instances may be down at one moment
        await asyncio.sleep(KNOWN_TIME)
        for caller in callers:
            caller.cancel()
        return run, [node.suspects.blocked for node in fleet.nodes.values()]

    run, blocked = run_virtual_scenario(scenario)
    statuses = run.statuses[path]
    assert len(run.crashes) == 3 and all(len(fingerprints) == 1 for fingerprints in blocked)
    assert statuses.count(200) >= 0.95 * len(statuses) and len(statuses) > 50


def test_two_culprits_at_once_are_both_refused():
    run = run_load(Load(instances=4, culprits=(CULPRIT, OTHER_CULPRIT), seconds=16.0))
    for culprit in (CULPRIT, OTHER_CULPRIT):
        assert len(run.late_sends(culprit)) <= MAX_FURTHER_SENDS
        assert run.statuses[culprit][-1] == 503


def test_all_instances_get_work_again_after_the_crashes():
    """Failure of incident 37: none of the three instances was used again."""
    run = run_load(Load())
    assert run.crashes
    assert all(run.available) and all(run.served_at_end)
    assert run.last_statuses("end") == [200] * 20

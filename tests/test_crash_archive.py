"""What nodes know of requests that crash instances outlives a kill of all nodes.

Guards against the failure of review/5: after all nodes were killed at once, a request that had been
refused crashed five instances more.
"""

import asyncio
from random import Random

import msgspec
import pytest

from tests.builders import ManualClock
from tests.crash_fleet import CULPRIT, Run, get, report_crash, start_fleet
from tests.outage_store import OutageStore
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.overload.crash_isolation import SECOND_CRASH_PAUSE
from thorntray.internal.overload.crash_suspects import Crash, CrashSuspects
from thorntray.internal.request.fingerprint import fingerprint
from thorntray.internal.store.kept_entries import KeptEntries
from thorntray.internal.store.start_read import StartRead

PERIOD = 1.0  # seconds between the sends of the culprit
MAX_RETRIES = 3  # of a culprit after its third crash, over all nodes and processes
INNOCENT = "/prices/innocent"
SINCE_START = 2.0  # seconds after which nodes know each other and what the store holds
COUNT = 4  # instances


def key_of(path):
    return fingerprint("prices", b"GET", path.encode(), "", b"")


async def send(fleet, run, path, seconds):
    """Send a request at all nodes in turn."""
    names = list(fleet.nodes)
    for number in range(int(seconds / PERIOD)):
        await get(fleet, run, names[number % len(names)], path, f"{path}-{fleet.clock.time()}")
        await asyncio.sleep(PERIOD)


async def kill_all(fleet):
    """Kill all nodes at one moment and start them again."""
    for name in list(fleet.nodes):
        await fleet.restart_node(name)
    await fleet.share_membership()
    await asyncio.sleep(SINCE_START)


async def start(fleet, run):
    fleet.store = OutageStore()
    fleet.store.entries["policy"] = b"document"
    await start_fleet(fleet, run, COUNT)


def is_blocked(fleet, path):
    return [node.suspects.blocked_for(key_of(path)) > 0 for node in fleet.nodes.values()]


def stored(fleet):
    return sorted(key for key in fleet.store.entries if key.startswith("kept/blocks/"))


def test_a_blocked_request_is_refused_after_a_kill_of_all_nodes():
    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        await send(fleet, run, CULPRIT, 10.0)
        before = len(run.crashes)
        blocked = is_blocked(fleet, CULPRIT)
        await kill_all(fleet)
        run.statuses.clear()
        await send(fleet, run, CULPRIT, 5.0)
        return before, blocked, len(run.crashes), run.statuses[CULPRIT]

    before, blocked, after, statuses = run_virtual_scenario(scenario)
    assert before >= 3 and all(blocked)
    assert after == before
    assert set(statuses) == {503}


def test_crashes_from_before_a_kill_of_all_nodes_count():
    """Guards against three further crashes of a request whose block was not decided yet."""

    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        while len(run.crashes) < 2:
            await send(fleet, run, CULPRIT, PERIOD)
        await kill_all(fleet)
        await send(fleet, run, CULPRIT, 12.0)
        return len(run.crashes), run.statuses[CULPRIT][-1]

    crashes, last_status = run_virtual_scenario(scenario)
    assert crashes <= 3
    assert last_status == 503


def test_a_block_of_a_time_without_the_store_is_written_when_the_store_is_back():
    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        fleet.store.up = False
        await send(fleet, run, CULPRIT, 12.0)
        before = len(run.crashes)
        fleet.store.up = True
        await asyncio.sleep(3.0)
        kept = stored(fleet)
        return before, kept, is_blocked(fleet, CULPRIT)

    before, kept, blocked = run_virtual_scenario(scenario)
    assert before >= 3 and all(blocked)
    assert kept == [f"kept/blocks/{key_of(CULPRIT):016x}"]


def test_a_node_that_starts_without_the_store_learns_of_blocks_when_the_store_is_back():
    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        await send(fleet, run, CULPRIT, 10.0)
        fleet.store.up = False
        await kill_all(fleet)
        unknown = is_blocked(fleet, CULPRIT)
        fleet.store.up = True
        await asyncio.sleep(4.0)
        return unknown, is_blocked(fleet, CULPRIT)

    unknown, known = run_virtual_scenario(scenario)
    assert not any(unknown)
    assert all(known)


@pytest.mark.parametrize("crashes", [1, 3])
def test_no_innocent_request_is_refused_because_all_nodes_were_killed(crashes):
    """Its successes, which cleared it, are known to nobody any more."""

    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        await asyncio.sleep(1.0)
        node = fleet.nodes["t0"]
        for number in range(crashes):
            ran = frozenset({key_of(INNOCENT), number})
            node._instance_crashed(Crash(number, fleet.clock.boottime(), 2, ran))
            await asyncio.sleep(0.3)
        await kill_all(fleet)
        await asyncio.sleep(SECOND_CRASH_PAUSE)  # longer than a block waits for successes
        for name in fleet.nodes:
            await get(fleet, run, name, INNOCENT, f"later-{name}")
        return run.statuses[INNOCENT]

    assert set(run_virtual_scenario(scenario)) == {200}


def test_a_block_that_a_success_has_ended_is_removed_from_the_store():
    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        await asyncio.sleep(1.0)
        for crash_id in range(3):
            report_crash(fleet, crash_id, [INNOCENT, f"{crash_id}"], age=0.9 - crash_id * 0.4)
        await asyncio.sleep(3.0)
        blocked, kept = is_blocked(fleet, INNOCENT), stored(fleet)
        fleet.nodes["t1"].crash_reports.report_success(key_of(INNOCENT))
        await asyncio.sleep(4.0)
        left = stored(fleet)
        await kill_all(fleet)
        return blocked, kept, left, is_blocked(fleet, INNOCENT)

    blocked, kept, left, after = run_virtual_scenario(scenario)
    assert all(blocked) and kept
    assert not left and not any(after)


@pytest.mark.parametrize("value", [b"", b"\xff", msgspec.msgpack.encode({"at": 1}), b"\x93\x01"])
@pytest.mark.parametrize("key", ["blocks/12", "crashes/12", "blocks/x", "other/12", ""])
def test_entries_of_another_writer_are_ignored(key, value):
    """Guards against a node that does not start because of one entry."""

    async def scenario(fleet):
        run = Run()
        await start(fleet, run)
        fleet.store.entries[f"kept/{key}"] = value
        await kill_all(fleet)
        return [node.suspects.active for node in fleet.nodes.values()]

    assert not any(run_virtual_scenario(scenario))


def test_reports_from_before_the_start_of_a_process_block_nothing_alone():
    clock = ManualClock()
    clock.now += 1000.0
    suspects = CrashSuspects(clock, lambda *block: None)
    for crash_id in range(3):
        suspects.add_crash(Crash(crash_id, clock.now - 10.0 + crash_id, 1, frozenset({7})))
    clock.now += 10.0
    assert suspects.update() == []
    suspects.add_crash(Crash(9, clock.now, 1, frozenset({7})))
    clock.now += 2.0
    assert suspects.update() == [7]


def run_entries(scenario):
    async def with_entries(fleet):
        store = OutageStore()
        entries = KeptEntries(store, StartRead(store, ""), "", fleet.clock, Random(3))
        task = asyncio.ensure_future(entries.run())
        try:
            return await scenario(store, entries)
        finally:
            task.cancel()

    return run_virtual_scenario(with_entries)


def test_an_entry_is_written_again_after_the_store_was_restored_from_an_older_copy():
    async def scenario(store, entries):
        entries.keep("a", b"1", 60.0)
        await asyncio.sleep(0.1)
        first = dict(store.entries)
        store.entries.clear()
        store.epoch.observe(2)
        await asyncio.sleep(0.1)
        return first, store.entries

    first, second = run_entries(scenario)
    assert first == second == {"a": b"1"}


def test_seeds_and_kept_entries_are_read_in_one_call_at_the_start():
    """Guards against a call more for each node when a whole fleet starts."""

    async def scenario(store, entries):
        store.entries.update({"a/1": b"1", "b/1": b"2"})
        read, calls = store.read, []

        async def count(key, *, prefix=False):
            calls.append(key)
            return await read(key, prefix=prefix)

        store.read = count
        start_read = StartRead(store, "")
        found = await asyncio.gather(start_read.read("a/"), start_read.read("b/"))
        again = await start_read.read("a/")
        return [[entry.key for entry in part] for part in [*found, again]], calls

    assert run_entries(scenario) == ([["a/1"], ["b/1"], ["a/1"]], ["", "a/"])


def test_an_entry_is_written_once_the_store_is_back_unless_it_has_expired():
    async def scenario(store, entries):
        store.up = False
        entries.keep("short", b"1", 1.0)
        entries.keep("long", b"2", 60.0)
        await asyncio.sleep(5.0)
        tries = store.failures
        store.up = True
        await asyncio.sleep(4.0)
        return tries, store.entries

    tries, kept = run_entries(scenario)
    assert kept == {"long": b"2"}
    assert tries < 20

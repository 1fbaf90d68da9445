"""An entry that the store has lost is written again, as long as it is kept.

Whole nodes in virtual time. Guards against the failure of review/8: the lease of a departure ran
out in an outage of the store, nothing was written again, and a kill of all nodes forgot the
leaving.
"""

import asyncio

import pytest

from tests.lapsing_store import LapsingStore
from tests.test_departures import PEERS, confirm_leaving, is_used_within, loop_time
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.process.boot_order import Boot
from thorntray.internal.store.kept_entries import RENEWAL_PERIOD, WATCH_WAIT

START_TIME = 1.5  # seconds after which the nodes know each other
REWRITE_TIME = 0.5  # seconds after the return of the store from a short outage
KEY = "kept/departures/t1"
LEFT_BOOT = Boot("i-1", 1000)


async def start_with_a_leaving(fleet):
    fleet.store = LapsingStore()
    fleet.store.entries["policy"] = b"document"
    await fleet.add("t1", "tariff")
    for name in PEERS:
        await fleet.add(name, "haul")
    await fleet.share_membership()
    await asyncio.sleep(START_TIME)
    fleet.recall = True
    confirmed, _ = await confirm_leaving(fleet)
    assert confirmed and KEY in fleet.store.entries
    await asyncio.sleep(0.5)


async def seconds_until_written(fleet, key=KEY):
    began = loop_time()
    while key not in fleet.store.entries:
        await asyncio.sleep(0.01)
    return loop_time() - began


@pytest.mark.parametrize("down", [0.0, 0.1, 0.5, 1.0])
def test_a_departure_is_written_again_soon_after_its_lease_ran_out_in_an_outage(down):
    async def scenario(fleet):
        await start_with_a_leaving(fleet)
        fleet.store.up = down == 0.0
        fleet.store.lapse()
        await asyncio.sleep(down)
        fleet.store.up = True
        return await seconds_until_written(fleet)

    assert run_virtual_scenario(scenario) <= REWRITE_TIME


def test_a_leaving_holds_after_a_lapse_and_a_kill_of_all_nodes():
    async def scenario(fleet):
        await start_with_a_leaving(fleet)
        fleet.store.up = False
        fleet.store.lapse()
        await asyncio.sleep(0.5)
        fleet.store.up = True
        await asyncio.sleep(0.5)
        await fleet.restart_all()
        await asyncio.sleep(1.0)
        has_left = fleet.nodes["t1"].registration.has_left(LEFT_BOOT)
        return has_left, await is_used_within(fleet, 4.0, sequence=8)

    assert run_virtual_scenario(scenario) == (True, False)


@pytest.mark.parametrize("foreign", [None, b"not an entry"])
def test_a_departure_that_another_writer_removed_or_replaced_is_written_again(foreign):
    async def scenario(fleet):
        await start_with_a_leaving(fleet)
        written = fleet.store.entries[KEY]
        fleet.store.write_foreign(KEY, foreign)
        await asyncio.sleep(REWRITE_TIME)
        return fleet.store.entries.get(KEY) == written

    assert run_virtual_scenario(scenario)


def test_an_entry_that_nothing_was_promised_of_is_written_again_within_a_renewal_period():
    """Guards against crash reports and blocks that a lapse of their leases has removed."""

    async def scenario(fleet):
        await start_with_a_leaving(fleet)
        fleet.nodes["h1"].entries.keep("crashes/01", b"report", 600.0)
        await asyncio.sleep(1.0)
        fleet.store.lapse()
        return await seconds_until_written(fleet, "kept/crashes/01")

    assert run_virtual_scenario(scenario) <= 1.5 * RENEWAL_PERIOD + 0.5


def test_a_kept_departure_costs_few_calls_in_calm():
    """Guards against a check that polls: a release may leave an entry at every node."""

    async def scenario(fleet):
        await start_with_a_leaving(fleet)
        before = fleet.store.count_calls(KEY)
        await asyncio.sleep(1.5 * WATCH_WAIT)
        return fleet.store.count_calls(KEY) - before

    assert run_virtual_scenario(scenario) <= 4

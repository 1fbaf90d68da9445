"""A leaving that was confirmed to an instance holds after its node has been killed.

Whole nodes in virtual time. The instance of t1 leaves, its node is killed and started again, and an
announcement from before the leaving arrives late. Guards against the failure of review/4: the new
process took it for the state of the instance, and sent payouts to it until it ended.
"""

import asyncio

import pytest

from tests.outage_store import OutageStore
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.membership.departures import CONFIRM_TIME, RECALL_TIME
from thorntray.internal.membership.gossip import (
    DepartureQuery,
    DepartureRecorded,
    DepartureReply,
    DepartureReport,
)
from thorntray.internal.process.boot_order import CLAIM_TIME
from thorntray.internal.process.registration import Phase

START_TIME = 1.5  # seconds after which the nodes know each other
CALM_CONFIRM_TIME = 0.2  # seconds; an instance waits for one second
CALM_RETURN_TIME = 1.0  # seconds from the start of a node until it uses its instance
PEERS = ("h1", "h2", "h3")
DEPARTURE_DATAGRAMS = (DepartureReport, DepartureRecorded, DepartureQuery, DepartureReply)


def loop_time():
    return asyncio.get_running_loop().time()


async def start_fleet(fleet, remote=()):
    """Start t1 and its peers; the peers in `remote` are in another failure domain."""
    fleet.store = OutageStore()
    fleet.store.entries["policy"] = b"document"
    await fleet.add("t1", "tariff")
    for name in PEERS:
        await fleet.add(name, "haul", domain="b" if name in remote else "a")
    await fleet.share_membership()
    await asyncio.sleep(START_TIME)
    fleet.recall = True


async def confirm_leaving(fleet, leave=None, **draining):
    """Let the instance of t1 leave; return whether it was confirmed, and after how many seconds."""
    node, began = fleet.nodes["t1"], loop_time()
    if leave is not None:
        leave(node.registration)
    else:
        fleet.announce("t1", sequence=9, phase=Phase.DRAINING, **draining)
    decided = asyncio.get_running_loop().create_future()
    node.departures.when_recorded(decided.set_result)
    return await decided, loop_time() - began


async def is_used_within(fleet, seconds, **announced):
    """Announce the instance of t1 once; return whether its node uses it at any time then."""
    fleet.announce("t1", **announced)
    end = loop_time() + seconds
    while loop_time() < end:
        if fleet.nodes["t1"].registration.available:
            return True
        await asyncio.sleep(0.02)
    return False


def cut_off(fleet, names):
    """Let no datagram pass to the named nodes, nor from them."""
    for name in names:
        fleet.nodes[name].udp.close()


def ignore_departures(fleet, names):
    """Let nodes drop the datagrams about departures, as those of the release before do."""
    for name in names:
        for kind in DEPARTURE_DATAGRAMS:
            del fleet.nodes[name].membership.handlers[kind]


LEAVINGS = {
    "draining": None,
    "deregistered": lambda registration: registration.deregister("i-1", 1000),
    "deregistered without a start time": lambda r: r.deregister("i-1", None),
}


@pytest.mark.parametrize("leaving", LEAVINGS)
def test_a_confirmed_leaving_holds_after_a_kill_of_the_node(leaving):
    async def scenario(fleet):
        await start_fleet(fleet)
        confirmed = await confirm_leaving(fleet, LEAVINGS[leaving])
        await fleet.restart_node("t1")
        used = [await is_used_within(fleet, 2.0, sequence=n) for n in (8, 7, 8)]
        return confirmed, used

    (confirmed, seconds), used = run_virtual_scenario(scenario)
    assert confirmed and seconds <= CALM_CONFIRM_TIME
    assert used == [False] * 3


def test_a_confirmed_leaving_holds_if_the_store_is_down_all_the_while():
    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        confirmed, _ = await confirm_leaving(fleet)
        await fleet.restart_node("t1")
        return confirmed, await is_used_within(fleet, 5.0, sequence=8)

    assert run_virtual_scenario(scenario) == (True, False)


def test_a_confirmed_leaving_holds_if_the_store_was_down_when_it_was_confirmed():
    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        confirmed, _ = await confirm_leaving(fleet)
        node = fleet.nodes["t1"]
        await fleet.restart_node("t1")
        fleet.store.up = True
        assert fleet.nodes["t1"] is not node
        return confirmed, await is_used_within(fleet, 5.0, sequence=8)

    assert run_virtual_scenario(scenario) == (True, False)


@pytest.mark.parametrize("store_up", [True, False])
def test_a_confirmed_leaving_holds_if_the_failure_domain_is_cut_off(store_up):
    async def scenario(fleet):
        await start_fleet(fleet, remote=("h3",))
        cut_off(fleet, ["h3"])
        fleet.store.up = store_up
        confirmed, _ = await confirm_leaving(fleet)
        await fleet.restart_node("t1")
        return confirmed, await is_used_within(fleet, 5.0, sequence=8)

    assert run_virtual_scenario(scenario) == (True, False)


def test_a_confirmed_leaving_holds_after_a_kill_of_all_nodes():
    async def scenario(fleet):
        await start_fleet(fleet)
        confirmed, _ = await confirm_leaving(fleet)
        for name in ("t1", *PEERS):
            await fleet.restart_node(name)
        return confirmed, await is_used_within(fleet, 5.0, sequence=8)

    assert run_virtual_scenario(scenario) == (True, False)


def test_a_confirmed_leaving_holds_beside_nodes_of_the_release_before():
    async def scenario(fleet):
        await start_fleet(fleet)
        ignore_departures(fleet, PEERS)
        confirmed, seconds = await confirm_leaving(fleet)
        await fleet.restart_node("t1")
        return confirmed, seconds, await is_used_within(fleet, 5.0, sequence=8)

    confirmed, seconds, used = run_virtual_scenario(scenario)
    assert confirmed and not used and seconds <= 2 * CALM_CONFIRM_TIME


def test_a_leaving_that_nobody_else_knows_of_is_confirmed_only_later():
    """A confirmation that the node alone knows of would be forgotten with its process."""

    async def scenario(fleet):
        await start_fleet(fleet)
        cut_off(fleet, PEERS)
        fleet.store.up = False
        first = await confirm_leaving(fleet)
        available = fleet.nodes["t1"].registration.available
        fleet.store.up = True
        await asyncio.sleep(3.0)
        return first, available, await confirm_leaving(fleet)

    first, available, second = run_virtual_scenario(scenario)
    assert not first[0] and first[1] <= CONFIRM_TIME + 0.1
    assert not available
    assert second[0]


@pytest.mark.parametrize("changes", [{"started_ms": 2000}, {"instance_id": "i-2"}])
def test_a_new_boot_is_used_soon_after_a_restart_of_the_node(changes):
    """Guards against a leaving that is taken for one of the next boot too."""

    async def scenario(fleet):
        await start_fleet(fleet)
        await confirm_leaving(fleet)
        await fleet.restart_node("t1")
        return await is_used_within(fleet, CALM_RETURN_TIME, **changes)

    assert run_virtual_scenario(scenario)


def test_a_restarted_node_uses_its_instance_soon():
    async def scenario(fleet):
        await start_fleet(fleet)
        await fleet.restart_node("t1")
        return await is_used_within(fleet, CALM_RETURN_TIME)

    assert run_virtual_scenario(scenario)


def test_a_node_that_can_ask_nobody_uses_an_instance_that_goes_on_announcing_itself():
    """Guards against a restarted node without work for as long as the store is down."""

    async def scenario(fleet):
        await start_fleet(fleet)
        cut_off(fleet, PEERS)
        fleet.store.up = False
        await fleet.restart_node("t1")
        late = await is_used_within(fleet, RECALL_TIME + CLAIM_TIME + 1.0, sequence=3)
        living = [await is_used_within(fleet, 1.5, sequence=n) for n in (4, 5, 6)]
        return late, living

    late, living = run_virtual_scenario(scenario)
    assert not late
    assert living[-1]


def test_a_leaving_holds_after_another_boot_has_left_and_the_node_was_killed_twice():
    """Guards against a record of the second process that replaces that of the first."""

    async def scenario(fleet):
        await start_fleet(fleet)
        await confirm_leaving(fleet)
        await fleet.restart_node("t1")
        await asyncio.sleep(CALM_RETURN_TIME)
        await confirm_leaving(fleet, lambda registration: registration.deregister("i-2", 2000))
        for name in ("t1", *PEERS):
            await fleet.restart_node(name)
        return await is_used_within(fleet, 3.0, sequence=8)

    assert not run_virtual_scenario(scenario)


def test_two_leavings_in_a_row_are_both_confirmed():
    """Guards against a confirmation that is lost when another boot leaves meanwhile."""

    async def scenario(fleet):
        await start_fleet(fleet)
        registration, departures = fleet.nodes["t1"].registration, fleet.nodes["t1"].departures
        decided = []
        registration.deregister("i-1", 1000)
        departures.when_recorded(decided.append)
        registration.deregister("i-2", 2000)
        departures.when_recorded(decided.append)
        await asyncio.sleep(1.0)
        await fleet.restart_node("t1")
        used = [await is_used_within(fleet, 1.5)]
        used.append(await is_used_within(fleet, 1.5, instance_id="i-2", started_ms=2000))
        return decided, used

    assert run_virtual_scenario(scenario) == ([True, True], [False, False])

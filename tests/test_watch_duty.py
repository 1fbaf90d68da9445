"""Few nodes watch the policy, and every node has a change in time. All in virtual time."""

import asyncio

from tests.builders import run_virtual
from tests.policy_fleet import KEY, PolicyFleet
from thorntray.internal.store.watch_duty import (
    CHECKED_WAIT,
    ISOLATION_HOLD,
    WATCHERS_PER_DOMAIN,
)

APPLY_LIMIT = 3.0  # seconds; the users' bound for a change to be in force
NODES = 100
PERIOD = 6.0  # seconds in which calls are counted
DOMAINS = 5
MAX_DETECTION_TIME = 30.0  # seconds until the sides of a partition take each other for dead


def watchers_of(fleet):
    return {name for name, node in fleet.nodes.items() if node.watch.duty.on_duty()}


def count_watch_calls(fleet):
    return sum(
        count
        for name, count in fleet.store.calls_of.items()
        if not fleet.nodes[name].seeds.holds_entry
    )


def test_the_calls_for_a_change_do_not_grow_with_the_fleet():
    """Load pattern: a change wakes every open watch of a fleet at the same moment."""

    async def scenario():
        fleet = PolicyFleet(NODES, DOMAINS)
        await fleet.start()
        fleet.store.calls_of.clear()
        await asyncio.sleep(PERIOD)
        calm_calls = count_watch_calls(fleet)
        seconds = await fleet.change(2, PERIOD)
        return calm_calls, count_watch_calls(fleet), max(seconds.values())

    calm_calls, calls, slowest = run_virtual(scenario())
    assert calm_calls <= PERIOD / CHECKED_WAIT + 1
    assert calls - calm_calls <= DOMAINS * WATCHERS_PER_DOMAIN
    assert slowest < APPLY_LIMIT


def test_a_node_cut_off_from_its_peers_has_a_change_that_the_store_confirms_during_the_cut():
    async def scenario(moment):
        fleet = PolicyFleet(50, DOMAINS)
        await fleet.start()
        names = sorted(set(fleet.nodes) - watchers_of(fleet))[:6]
        for index, name in enumerate(names):
            fleet.network.partition_of[name] = index + 1
        if moment:

            await asyncio.sleep(moment)
        seconds = await fleet.change(2)
        return max(seconds[name] for name in names), max(seconds.values())

    for moment in (0.0, 0.4, 1.0, 3.0, 8.0):
        cut_off, slowest = run_virtual(scenario(moment))
        assert cut_off < APPLY_LIMIT, moment
        assert slowest < APPLY_LIMIT, moment


def test_a_change_reaches_all_nodes_although_the_store_refuses_all_watchers_of_a_domain():
    async def scenario():
        fleet = PolicyFleet(60, DOMAINS)
        await fleet.start()
        domain = fleet.nodes["n0000"].membership.own.domain
        fleet.store.refused = {
            name for name in watchers_of(fleet) if fleet.nodes[name].membership.own.domain == domain
        }
        refused = len(fleet.store.refused)
        return refused, max((await fleet.change(2)).values())

    refused, slowest = run_virtual(scenario())
    assert refused == WATCHERS_PER_DOMAIN
    assert slowest < APPLY_LIMIT


def test_a_change_reaches_all_nodes_although_all_watchers_of_a_domain_have_just_been_killed():
    async def scenario():
        fleet = PolicyFleet(60, DOMAINS)
        await fleet.start()
        killed = watchers_of(fleet)
        killed = {n for n in killed if fleet.nodes[n].membership.own.domain == "d0"}
        for name in killed:
            fleet.nodes[name].running = False
            fleet.nodes[name]._task.cancel()
        seconds = await fleet.change(2)
        return max(s for name, s in seconds.items() if name not in killed)

    assert run_virtual(scenario()) < APPLY_LIMIT


def test_a_node_that_cannot_fetch_a_version_it_has_heard_of_reads_the_store():
    """Datagrams pass, but frames to peers are lost: the links are silent."""

    async def scenario():
        fleet = PolicyFleet(50, DOMAINS)
        await fleet.start()
        name = min(set(fleet.nodes) - watchers_of(fleet))
        node = fleet.nodes[name]

        class SilentLink:
            def send(self, frame):
                pass

        node.watch._links = type("SilentLinks", (), {"link_to": lambda self, m: SilentLink()})()
        return (await fleet.change(2))[name]

    assert run_virtual(scenario()) < APPLY_LIMIT


def test_in_a_small_domain_every_node_watches():
    async def scenario():
        fleet = PolicyFleet(12, 3)
        await fleet.start()
        return len(watchers_of(fleet)), max((await fleet.change(2)).values())

    watching, slowest = run_virtual(scenario())
    assert watching == 12
    assert slowest < 0.1


def test_a_restarted_node_reads_the_policy_at_once():
    async def scenario():
        fleet = PolicyFleet(50, DOMAINS)
        await fleet.start()

        node = fleet.nodes[min(set(fleet.nodes) - watchers_of(fleet))]
        node._task.cancel()
        node.holder.policy = None
        fleet.store.write(KEY, b"2")
        began = asyncio.get_running_loop().time()
        node._task = asyncio.ensure_future(node.watch.run())
        await asyncio.sleep(1)
        return node.applied_at[2] - began

    assert run_virtual(scenario()) < 0.1


async def sides_are_dead_to_each_other(fleet, cut_off):
    """Wait until no node holds one of the other side for alive; how long depends on the probes."""
    async with asyncio.timeout(MAX_DETECTION_TIME):
        while any(
            (member.name in cut_off) != (name in cut_off)
            for name, node in fleet.nodes.items()
            for member in node.membership.alive()
        ):
            await asyncio.sleep(0.5)


def test_one_watcher_of_each_side_of_a_partition_notices_a_lost_watch_soon():
    """Guards against watches that are all lost for half a minute, and against calls by all."""

    async def scenario():
        fleet = PolicyFleet(NODES, DOMAINS)
        await fleet.start()
        duties = {name: node.watch.duty for name, node in fleet.nodes.items()}
        short = [name for name in watchers_of(fleet) if duties[name].watch_wait() is not None]
        cut_off = {n for n, node in fleet.nodes.items() if node.membership.own.domain == "d0"}
        fleet.network.partition_of = dict.fromkeys(cut_off, 1)
        await sides_are_dead_to_each_other(fleet, cut_off)
        await asyncio.sleep(ISOLATION_HOLD + 1.0)
        later = [name for name in watchers_of(fleet) if duties[name].watch_wait() is not None]
        return len(short), [len(cut_off & {*later}), len({*later} - cut_off)]

    assert run_virtual(scenario()) == (1, [1, 1])

"""Membership and settings spread under packet loss, partitions, restarts and platform outages.

All tests run in virtual time.
"""

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import make_member, run_virtual
from tests.fleet_builders import (
    KEY,
    TEAM,
    MemoryFleet,
    MemoryPlatform,
    make_document,
)
from thorntray.internal.membership.member import Health
from thorntray.internal.membership.member_view import MemberView
from thorntray.internal.store.roles import settings_key
from thorntray.internal.version.document import encode_document

SETTINGS_SPREAD_LIMIT = 3.0  # seconds; the current target for settings changes
DEAD_REMOVAL_LIMIT = 5.0  # seconds until a dead member is removed from routing


async def _start_fleet(count, seed=1, domains=3, platform=None):
    fleet = MemoryFleet(Random(seed), platform)
    for i in range(count):
        node = fleet.add(f"n{i:03}", f"d{i % domains}", f"s{i % 4}")
        node.start(seeds=[fleet.nodes["n000"].address])
    for _ in range(60):
        await asyncio.sleep(1)
        if all(len(node.member_names()) == count for node in fleet.nodes.values()):
            return fleet
    raise AssertionError("the members did not discover each other within 60 s")


def _running_nodes(fleet):
    return [node for node in fleet.nodes.values() if node.running]


def _routed_to(fleet, name):
    """Return the running nodes that would still route to a member."""
    return [
        node.name
        for node in _running_nodes(fleet)
        if (member := node.membership.find(name)) is not None and member.routable
    ]


def test_members_discover_each_other_from_one_seed():
    async def scenario():
        fleet = await _start_fleet(30)
        return [len(node.member_names()) for node in fleet.nodes.values()]

    assert run_virtual(scenario()) == [30] * 30


@settings(max_examples=10)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.1, 0.25]))
def test_a_dead_member_is_removed_from_routing_within_five_seconds(seed, loss):
    async def scenario():
        fleet = await _start_fleet(20, seed)
        fleet.loss = loss
        await fleet.nodes["n007"].kill()
        await asyncio.sleep(DEAD_REMOVAL_LIMIT)
        return _routed_to(fleet, "n007")

    assert run_virtual(scenario()) == []


@settings(max_examples=10)
@given(st.integers(0, 2**32))
def test_a_dead_member_is_suspected_by_some_node_within_two_seconds(seed):
    async def scenario():
        fleet = await _start_fleet(20, seed)
        await fleet.nodes["n007"].kill()
        await asyncio.sleep(2)
        return [n for n in _running_nodes(fleet) if "n007" in n.member_names(Health.SUSPECT)]

    assert run_virtual(scenario())


@settings(max_examples=10)
@given(st.integers(0, 2**32))
def test_a_slow_member_is_not_declared_dead(seed):
    async def scenario():
        fleet = await _start_fleet(12, seed)
        slow = fleet.nodes["n003"]
        receive = slow.receive

        def receive_late(data, address):
            asyncio.get_running_loop().call_later(1.2, receive, data, address)

        slow.receive = receive_late
        worst = 0
        for _ in range(60):
            await asyncio.sleep(1)
            dead = [n for n in _running_nodes(fleet) if "n003" in n.member_names(Health.DEAD)]
            worst = max(worst, len(dead))
        return worst

    assert run_virtual(scenario()) == 0


def test_a_paused_member_rejoins_after_it_was_declared_dead():
    async def scenario():
        fleet = await _start_fleet(12)
        paused = fleet.nodes["n003"]
        receive, paused.receive = paused.receive, lambda data, address: None
        await asyncio.sleep(10)
        routed_while_paused = _routed_to(fleet, "n003")
        paused.receive = receive
        await asyncio.sleep(20)
        return [n for n in routed_while_paused if n != "n003"], len(_routed_to(fleet, "n003"))

    assert run_virtual(scenario()) == ([], 12)


@settings(max_examples=10)
@given(st.integers(0, 2**32), st.booleans())
def test_a_restarted_member_replaces_its_predecessor_in_all_views(seed, clock_stepped_back):
    async def scenario():
        fleet = await _start_fleet(10, seed)
        await fleet.nodes["n004"].kill()
        await asyncio.sleep(1.5)
        successor = fleet.add("n004", "d1", "s0", version=1 if clock_stepped_back else None)
        successor.start(seeds=[fleet.nodes["n000"].address])
        await asyncio.sleep(15)
        session = successor.membership.own.session
        return [n.membership.find("n004") for n in _running_nodes(fleet)], session

    members, session = run_virtual(scenario())
    assert all(m is not None and m.routable and m.session == session for m in members)


def test_a_leaving_member_is_removed_from_routing_within_three_seconds():
    async def scenario():
        fleet = await _start_fleet(30)
        fleet.loss = 0.1
        fleet.nodes["n009"].membership.announce(ready=False)
        await asyncio.sleep(3)
        return [n for n in _routed_to(fleet, "n009")]

    assert run_virtual(scenario()) == []


def test_a_restarted_member_without_seeds_rejoins_through_old_peers_within_two_seconds():
    """Load pattern of trouble-3: nodes restart one after the other while the store is down."""

    async def scenario():
        fleet = await _start_fleet(12)
        old = fleet.nodes["n004"]
        old.membership.leave()
        await asyncio.sleep(0.5)
        await old.kill()
        successor = fleet.add("n004", "d1", "s0", port=old.address.port)
        successor.start()
        await asyncio.sleep(2)
        return len(successor.member_names()), _routed_to(fleet, "n004")

    seen, routed = run_virtual(scenario())
    assert seen == 12 and len(routed) == 12


def test_partitioned_halves_keep_running_and_merge_without_the_platform():
    async def scenario():
        fleet = await _start_fleet(10)
        fleet.partition_of = {f"n{i:03}": i % 2 for i in range(10)}
        await asyncio.sleep(3600)
        sizes_when_partitioned = {len(node.member_names()) for node in fleet.nodes.values()}
        fleet.partition_of = {}
        await asyncio.sleep(60)
        return sizes_when_partitioned, {len(node.member_names()) for node in fleet.nodes.values()}

    assert run_virtual(scenario()) == ({5}, {10})


def test_views_converge_for_any_order_of_updates():
    updates = [
        make_member("a", version=2),
        make_member("a", version=2, health=Health.SUSPECT),
        make_member("a", version=3),
        make_member("a", version=2, health=Health.DEAD),
    ]
    for seed in range(20):
        view = MemberView(make_member("me"))
        order = list(updates)
        Random(seed).shuffle(order)
        for update in order:
            view.apply(update)
        assert view.get("a").version == 3 and view.get("a").health is Health.ALIVE


@settings(max_examples=8)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.2]), st.booleans())
def test_a_settings_change_is_in_force_on_all_nodes_within_three_seconds(seed, loss, duplicate):
    async def scenario():
        fleet = await _start_fleet(40, seed)
        fleet.loss, fleet.duplication = loss, 0.3 if duplicate else 0.0
        fleet.nodes["n000"].offer(make_document(1))
        await asyncio.sleep(SETTINGS_SPREAD_LIMIT)
        return {node.holder.revision(TEAM) for node in fleet.nodes.values()}

    assert run_virtual(scenario()) == {1}


def test_a_settings_change_spreads_from_the_platform_with_few_platform_calls():
    async def scenario():
        platform = MemoryPlatform()
        fleet = await _start_fleet(40, platform=platform)
        await asyncio.sleep(30)
        platform.calls_by_second.clear()
        platform.write(settings_key(TEAM), encode_document(make_document(1)))
        await asyncio.sleep(SETTINGS_SPREAD_LIMIT)
        revisions = {node.holder.revision(TEAM) for node in fleet.nodes.values()}
        await asyncio.sleep(57)
        roles = [node.roles.state for node in fleet.nodes.values()]
        watchers = sum(state["watcher"] for state in roles)
        seeds = sum(state["seed"] for state in roles)
        return revisions, watchers, seeds, sum(platform.calls_by_second.values()) / 60

    revisions, watchers, seeds, calls = run_virtual(scenario())
    assert revisions == {1}
    assert (watchers, seeds) == (6, 9), "two watchers and three seeds in each of three domains"
    assert calls < 5


failures = st.lists(
    st.tuples(
        st.sampled_from(["outage", "back", "cut", "heal", "restart", "write", "old", "pause"]),
        st.integers(0, 11),
    ),
    min_size=1,
    max_size=10,
)


@settings(max_examples=25)
@given(st.integers(0, 2**32), failures)
def test_no_node_reverts_and_all_converge_to_the_newest_settings(seed, failures):
    async def scenario():
        platform = MemoryPlatform()
        fleet = await _start_fleet(12, seed, platform=platform)
        all_nodes = list(fleet.nodes.values())
        revision = 1
        platform.write(settings_key(TEAM), encode_document(make_document(revision)))
        for kind, node_index in failures:
            await asyncio.sleep(2)
            name = f"n{node_index:03}"
            match kind:
                case "outage":
                    platform.down = True
                case "back":
                    platform.down = False
                case "cut":
                    fleet.partition_of = {n: int(n[1:]) % 2 for n in fleet.nodes}
                case "heal":
                    fleet.partition_of = {}
                case "restart":
                    await fleet.nodes[name].kill()
                    successor = fleet.add(name, f"d{node_index % 3}", "s")
                    all_nodes.append(successor)
                    successor.start(seeds=[fleet.nodes[f"n{(node_index + 1) % 12:03}"].address])
                case "write":
                    revision += 1
                    document = encode_document(make_document(revision))
                    platform.write(settings_key(TEAM), document)
                case "old":  # a lagging read gives a former watcher an old document
                    fleet.nodes[name].offer(make_document(max(1, revision - 1)))
                case "pause":
                    fleet.nodes[name].running = False
                    await asyncio.sleep(2)
                    fleet.nodes[name].running = True
        platform.down, fleet.partition_of = False, {}
        await asyncio.sleep(90)
        in_force = {n.holder.revision(TEAM) for n in fleet.nodes.values()}
        return revision, in_force, [node.revisions for node in all_nodes]

    revision, in_force, histories = run_virtual(scenario())
    assert in_force == {revision}
    for history in histories:
        assert history == sorted(set(history)), "a node reverted to an older revision"


def test_a_new_node_joins_while_the_platform_is_down():
    async def scenario():
        platform = MemoryPlatform()
        fleet = await _start_fleet(8, platform=platform)
        fleet.nodes["n000"].offer(make_document(1))
        platform.down = True
        newcomer = fleet.add("new", "d1", "s")
        newcomer.start(seeds=[fleet.nodes["n000"].address])
        await asyncio.sleep(5)
        return len(newcomer.member_names()), newcomer.holder.revision(TEAM)

    assert run_virtual(scenario()) == (9, 1)


def test_a_document_signed_with_an_unknown_key_does_not_spread():
    async def scenario():
        fleet = await _start_fleet(6)
        fleet.nodes["n000"].offer(make_document(1))
        await asyncio.sleep(3)
        forged = make_document(2, key=type(KEY)(b"x" * 32))
        assert not fleet.nodes["n001"].offer(forged)
        await asyncio.sleep(5)
        return {n.holder.revision(TEAM) for n in fleet.nodes.values()}

    assert run_virtual(scenario()) == {1}


def test_the_sides_of_a_partition_together_count_each_member_on_both_sides():
    """Guards against slack of the retry budget that each side of a partition hands out whole."""

    async def scenario():
        fleet = await _start_fleet(9)
        for index in range(3):
            fleet.partition_of[f"n00{index}"] = 1
        await asyncio.sleep(20)
        counts = [node.membership.count_possible() for node in fleet.nodes.values()]
        alive = [len(node.membership.alive()) for node in fleet.nodes.values()]
        fleet.nodes["n008"].membership.leave()
        await asyncio.sleep(3)
        return counts, alive, fleet.nodes["n005"].membership.count_possible()

    counts, alive, after_leave = run_virtual(scenario())
    assert alive == [3] * 3 + [6] * 6
    assert counts == [9] * 9
    assert after_leave == 8

"""Each failure of the page's table that concerns API keys, for a fleet in virtual time.

`LATEST` counts from the moment at which the store acknowledged the version that withdrew a key, and
`SERVED_AFTER_LOSS` from the loss of the store.
"""

import asyncio
from collections import Counter

import pytest

from tests.builders import run_virtual
from tests.freshness_fleet import BOUND, SAMPLE_PERIOD, FreshFleet, FreshNode
from tests.policy_fleet import KEY
from thorntray.internal.membership.gossip import Ping, PolicyCheck, decode_datagram
from thorntray.internal.store.freshness_check import PERIOD_JITTER, WATCH_WAIT
from thorntray.internal.store.watch_duty import EVIDENCE_WATCHERS

NODES, DOMAINS = 24, 3
LATEST = BOUND
SERVED_AFTER_LOSS = 0.6 * BOUND
STORE_DELAY = 1.0  # seconds for which the store's answers may omit a change
REACTION_TIME = 2.0  # seconds until keys are served again after a failure has ended
OPEN_WATCH_TIME = (
    0.5  # seconds until the store has answered all calls from before it refuses a node
)
SETTLE_TIME = 3.0  # seconds until a new node has joined and knows the members
SEED_CALLS = 0.6  # calls a second of a node that holds a seed entry, at rest
SEEDS_PER_DOMAIN = 3
# Calls a second of a node that does its best while the store refuses it: the retries of its watch
# (0.5 s to 1.5 s), its own checks (up to 2 s), and the renewals of its seed entry (3 s).
CALLS_WHILE_DOWN = 3.0


def run_fleet(scenario, nodes=NODES, domains=DOMAINS, fleet_type=FreshFleet):
    async def work():
        fleet = fleet_type(nodes, domains)
        await fleet.start()
        assert all(node.serves("key-1") for node in fleet.nodes.values())
        return await scenario(fleet)

    return run_virtual(work())


def others(fleet, excluded):
    return [node for name, node in fleet.nodes.items() if name not in excluded]


@pytest.mark.parametrize("nodes", [60, 90])
def test_the_calls_to_the_store_at_rest_grow_with_the_watchers_and_not_with_the_nodes(nodes):
    async def scenario(fleet):
        fleet.store.calls_of.clear()
        oldest = []
        await fleet.sample(
            10.0, lambda _: oldest.append(max(n.evidence_age for n in fleet.nodes.values()))
        )
        callers = {name for name, count in fleet.store.calls_of.items() if count > 10}
        return fleet.store.calls_of.total() / 10.0, callers <= fleet.watchers(), max(oldest)

    calls, only_watchers, oldest = run_fleet(scenario, nodes)
    per_watcher = 1 / (WATCH_WAIT * (1 - PERIOD_JITTER))
    watchers = EVIDENCE_WATCHERS * DOMAINS
    assert calls <= watchers * per_watcher + SEEDS_PER_DOMAIN * DOMAINS * SEED_CALLS
    assert only_watchers
    assert oldest < BOUND * 0.8 - SERVED_AFTER_LOSS, "a node that loses the store serves for 3 s"


def count_datagrams(fleet):
    """Return a counter of the datagrams between nodes by their type, from now on."""
    kinds = Counter()
    send = fleet.network.send

    def counting_send(sender, data, address):
        kinds[type(decode_datagram(data))] += 1
        send(sender, data, address)

    fleet.network.send = counting_send
    return kinds


class UnboundedNode(FreshNode):
    bound = None


class UnboundedFleet(FreshFleet):
    node_type = UnboundedNode


def test_without_a_bound_there_are_no_queries_and_the_calls_to_the_store_are_as_before():
    async def scenario(fleet):
        fleet.store.calls_of.clear()
        kinds = count_datagrams(fleet)
        await asyncio.sleep(10.0)
        return fleet.store.calls_of.total() / 10.0, kinds

    calls, kinds = run_fleet(scenario, fleet_type=UnboundedFleet)
    assert calls <= SEEDS_PER_DOMAIN * DOMAINS * SEED_CALLS
    assert kinds[Ping] and not kinds[PolicyCheck]


def test_a_watcher_that_the_store_refuses_serves_by_the_evidence_of_the_others():
    async def scenario(fleet):
        fleet.store.refused = {min(fleet.watchers("d0"))}
        return await fleet.refusals("key-1", 20.0)

    assert run_fleet(scenario) == set()


def test_one_watcher_that_reaches_the_store_is_enough_for_its_domain():
    """The others are silent towards the store, and all other domains are cut off."""

    async def scenario(fleet):
        watchers = fleet.watchers("d0")
        fleet.store.silent = watchers - {min(watchers)}
        for node in fleet.nodes.values():
            if node.membership.own.domain != "d0":
                fleet.network.partition_of[node.name] = 1
                fleet.store.refused.add(node.name)
        refusing = await fleet.refusals("key-1", 20.0)
        return {fleet.nodes[name].membership.own.domain for name in refusing}

    assert "d0" not in run_fleet(scenario)


def test_one_node_that_reaches_the_store_is_enough_for_its_domain_also_if_it_is_no_watcher():
    """The store refuses all others, and the domain is cut off from the other domains."""

    async def scenario(fleet):
        local = {n for n, node in fleet.nodes.items() if node.membership.own.domain == "d0"}
        fleet.store.refused = set(fleet.nodes) - {min(local - fleet.watchers())}
        for name in local:
            fleet.network.partition_of[name] = 1
        return await fleet.refusals("key-1", 20.0) & local, len(local)

    refusing, local = run_fleet(scenario, nodes=60)
    assert local == 20
    assert refusing == set()


@pytest.mark.parametrize("failure", ["refused", "silent"])
def test_a_domain_whose_watchers_all_fail_serves_by_the_evidence_of_other_domains(failure):
    async def scenario(fleet):
        setattr(fleet.store, failure, fleet.watchers("d0"))
        fleet.store.calls_of.clear()
        refusing = await fleet.refusals("key-1", 30.0)
        calls = [fleet.store.calls_of[name] for name in fleet.nodes if name not in fleet.watchers()]
        return refusing, max(calls) / 30.0

    refusing, calls = run_fleet(scenario)
    assert refusing == set()
    assert calls < SEED_CALLS, "evidence from other domains spares the store"


def test_a_domain_serves_although_all_its_watchers_have_just_been_killed():
    async def scenario(fleet):
        for name in fleet.watchers("d0"):
            await fleet.nodes[name].kill()
        return await fleet.refusals("key-1", 20.0)

    assert run_fleet(scenario) == set()


def test_a_domain_without_watchers_that_is_cut_off_from_the_others_checks_the_store_itself():
    async def scenario(fleet):
        fleet.store.refused = fleet.watchers("d0")
        for node in fleet.nodes.values():
            fleet.network.partition_of[node.name] = int(node.membership.own.domain == "d0")
        return await fleet.refusals("key-1", 30.0)

    assert run_fleet(scenario) == set()


def test_while_the_store_is_down_for_all_keys_are_refused_in_time_at_a_bounded_rate_of_calls():
    async def scenario(fleet):
        fleet.store.down = True
        last = await fleet.last_served("key-1", 8.0)
        fleet.store.calls_of.clear()
        await asyncio.sleep(20.0)
        calls = max(fleet.store.calls_of.values()) / 20.0
        fleet.store.down = False
        await asyncio.sleep(REACTION_TIME)
        return last.values(), calls, await fleet.refusals("key-1", 5.0)

    last, calls, refusing_afterwards = run_fleet(scenario)
    assert min(last) >= SERVED_AFTER_LOSS - SAMPLE_PERIOD
    assert max(last) <= BOUND
    assert calls <= CALLS_WHILE_DOWN
    assert refusing_afterwards == set()


def test_a_node_cut_off_from_store_and_peers_stops_while_the_others_go_on():
    async def scenario(fleet):
        node = max(others(fleet, fleet.watchers()), key=lambda n: n.name)
        fleet.network.partition_of[node.name] = 1
        fleet.store.refused = {node.name}
        last = await fleet.last_served("key-1", 8.0)
        return last.pop(node.name), min(last.values())

    last, least_of_others = run_fleet(scenario)
    assert SERVED_AFTER_LOSS - SAMPLE_PERIOD <= last <= BOUND
    assert least_of_others > 7.0


def test_nodes_with_an_older_version_do_not_keep_each_other_serving_a_withdrawn_key():
    """One side of a partition has lost the store, and its peers all hold the older version."""

    async def scenario(fleet):
        for node in fleet.nodes.values():
            if node.membership.own.domain == "d0":
                fleet.network.partition_of[node.name] = 1
                fleet.store.refused.add(node.name)
        await asyncio.sleep(OPEN_WATCH_TIME)
        fleet.withdraw_key()
        last = await fleet.last_served("key-1", 15.0)
        stale = {node.holder.version for node in fleet.nodes.values()}
        fleet.network.partition_of.clear()
        await asyncio.sleep(REACTION_TIME + 10.0)  # until the views have merged
        refusing = await fleet.refusals("key-2", 5.0)
        return stale, max(last.values()), refusing

    versions, latest, refusing_afterwards = run_fleet(scenario)
    assert versions == {1, 2}
    assert latest <= LATEST
    assert refusing_afterwards == set(), "peers alone are enough afterwards"


def test_a_withdrawn_key_is_refused_everywhere_through_answers_that_omit_the_change():
    """The store may answer for a second without a change that it has just acknowledged."""

    async def scenario(fleet):
        acknowledged_at = asyncio.get_running_loop().time()
        for node in fleet.nodes.values():
            if node.membership.own.domain == "d0":
                fleet.network.partition_of[node.name] = 1
        await asyncio.sleep(STORE_DELAY)  # the answers until now are without the change
        for node in fleet.nodes.values():
            if node.membership.own.domain == "d0":
                fleet.store.refused.add(node.name)
        await asyncio.sleep(OPEN_WATCH_TIME)
        fleet.withdraw_key()
        last = await fleet.last_served("key-1", 10.0)
        return asyncio.get_running_loop().time() - 10.0 - acknowledged_at, max(last.values())

    delay, latest = run_fleet(scenario)
    assert delay + latest <= LATEST + SAMPLE_PERIOD


def test_a_suspended_machine_refuses_keys_when_it_resumes_and_serves_again_soon():
    async def scenario(fleet):
        node = max(others(fleet, fleet.watchers()), key=lambda n: n.name)
        watcher = fleet.nodes[min(fleet.watchers())]
        for resumed in (node, watcher):
            resumed.clock.suspended += 10.0
        at_once = (node.serves("key-1"), watcher.serves("key-1"))
        await asyncio.sleep(REACTION_TIME)
        return at_once, (node.serves("key-1"), watcher.serves("key-1"))

    at_once, later = run_fleet(scenario)
    assert at_once == (False, False)
    assert later == (True, True)


def test_a_restarted_node_serves_no_key_until_it_has_evidence_of_its_own():
    async def scenario(fleet):
        old = max(others(fleet, fleet.watchers()), key=lambda n: n.name)
        await old.kill()
        node = fleet.add("restarted", old.membership.own.domain)
        before = node.evidence_age
        node.watch.offer(b"1", "a peer")
        without = node.serves("key-1")
        node.start()
        await asyncio.sleep(SETTLE_TIME)
        return before, without, await fleet.refusals("key-1", 3.0)

    before, without, refusing = run_fleet(scenario)
    assert before == float("inf") and not without
    assert refusing == set()


def test_a_restarted_node_that_reaches_neither_store_nor_peers_serves_no_key():
    async def scenario(fleet):
        node = fleet.add("restarted", "d0")
        fleet.network.partition_of["restarted"] = 1
        fleet.store.refused.add("restarted")
        node.start()
        node.watch.offer(b"1", "a peer")
        last = await fleet.last_served("key-1", 15.0)
        return last["restarted"]

    assert run_fleet(scenario) == -1.0


def test_a_key_that_a_lost_write_withdrew_is_not_served_by_a_node_that_starts_after_the_restore():
    """The node knows no earlier epoch, and no peer that could tell it of the newer version."""

    async def scenario(fleet):
        copy = dict(fleet.store.values)
        fleet.withdraw_key()
        await asyncio.sleep(LATEST)
        fleet.store.restore(copy)
        node = fleet.add("restarted", "d0")
        fleet.network.partition_of["restarted"] = 1
        node.start()
        served = []
        await fleet.sample(0.95, lambda _: served.append(node.serves("key-1")))
        version_of_copy = node.holder.version
        fleet.withdraw_key()  # the operators repeat the lost write within a second
        await fleet.sample(10.0, lambda _: served.append(node.serves("key-1")))
        return version_of_copy, any(served), node.serves("key-2")

    version_of_copy, served, serves_again = run_fleet(scenario)
    assert version_of_copy == 1
    assert not served
    assert serves_again


def test_a_restore_alone_refuses_no_key():
    """Evidence from before it stays valid for longer than the store's answers do not count."""

    async def scenario(fleet):
        fleet.store.restore(dict(fleet.store.values))
        return await fleet.refusals("key-1", 15.0)

    assert run_fleet(scenario) == set()


def test_a_fleet_without_watchers_after_a_restart_of_all_nodes_serves_within_seconds():
    async def scenario():
        fleet = FreshFleet(NODES, DOMAINS)
        for node in fleet.nodes.values():
            node.start()
        fleet.store.calls_of.clear()
        await asyncio.sleep(5.0)
        return await fleet.refusals("key-1", 5.0), fleet.store.calls_of.total()

    refusing, _ = run_virtual(scenario())
    assert refusing == set()


def test_a_version_with_workspaces_after_one_without_is_served_soon_by_all():
    """All watch calls in progress were made with the long wait."""

    async def scenario(fleet):
        fleet.store.write(KEY, b"2")
        await asyncio.sleep(REACTION_TIME)
        return await fleet.refusals("key-2", 10.0)

    class LateNode(FreshNode):
        def decode(self, document):
            policy = super().decode(document)
            return policy if policy.version > 1 else policy._replace(workspaces={})

    class LateFleet(FreshFleet):
        node_type = LateNode

    async def work():
        fleet = LateFleet(NODES, DOMAINS)
        await fleet.start()
        return await scenario(fleet)

    assert run_virtual(work()) == set()


def test_lost_datagrams_delay_no_node_beyond_its_evidence():
    async def scenario(fleet):
        fleet.network.loss = 0.2
        return await fleet.refusals("key-1", 20.0)

    assert run_fleet(scenario) == set()

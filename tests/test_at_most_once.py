"""A non-idempotent request runs at most once, and "not run" is true."""

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import MemoryNetwork, header, make_settings, run_virtual
from thorntray.internal.connection.message import Revoke
from thorntray.internal.request.grant import GRANT_LIFETIME, MAX_GRANTS, RECORD_LIFETIME
from thorntray.internal.request.outcome import NotRun, Reason

SERVICES = {"pay": {"slots": 2, "queue": 2}}


async def _grant(network, entry, request):
    answer = await network.nodes[entry].call("pay", "POST", x_request=request)
    return header(answer, "thorntray-grant")


async def _copy(network, entry, request, grant, pause):
    await asyncio.sleep(pause)
    node = network.nodes[entry]
    if node.dead:
        return "unknown"
    headers = {"x_request": request, "thorntray_grant": grant, "thorntray_deadline_ms": "600"}
    answer = await node.call("pay", "POST", **headers)
    return header(answer, "thorntray-outcome")


async def _failure(network, kind, name, pause):
    await asyncio.sleep(pause)
    match kind:
        case "kill":
            network.kill(name)
        case "restart":
            network.restart(name)
        case "drain":
            network.nodes[name].instance.drain()
        case "shed":
            network.nodes[name].upstream.refuse = lambda: NotRun(Reason.UPSTREAM_SHED)
        case "cut":
            for other in network.nodes:
                network.unreachable |= {(other, name), (name, other)}
        case "heal":
            network.unreachable.clear()


pauses = st.floats(0, 0.8).map(lambda x: round(x, 3))
nodes = st.sampled_from(["a", "b", "c"])
copies = st.lists(st.tuples(st.integers(0, 2), nodes, pauses), min_size=1, max_size=12)
failures = st.lists(
    st.tuples(st.sampled_from(["kill", "restart", "drain", "shed", "cut", "heal"]), nodes, pauses),
    max_size=4,
)


async def _scenario(seed, loss, copies, failures):
    network = MemoryNetwork(Random(seed), make_settings(SERVICES))
    for name in "abc":
        network.add(name, "pay", slots=2)
    network.lose_request = network.lose_reply = loss
    grants = [await _grant(network, "abc"[i], f"r{i}") for i in range(3)]
    told = {f"r{i}": [] for i in range(3)}

    async def one(which, entry, pause):
        request = f"r{which}"
        if grants[which]:
            told[request].append(await _copy(network, entry, request, grants[which], pause))

    await asyncio.gather(
        *(one(*copy) for copy in copies), *(_failure(network, *f) for f in failures)
    )
    await asyncio.sleep(10)
    return network, told


@settings(max_examples=300)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.1, 0.4]), copies, failures)
def test_copies_under_one_grant_run_once_at_most_and_not_run_is_true(seed, loss, copies, failures):
    network, told = run_virtual(_scenario(seed, loss, copies, failures))
    for request, outcomes in told.items():
        assert network.ran(request) <= 1, (request, outcomes)
        if "not-run" in outcomes:
            assert network.ran(request) == 0, (request, outcomes)
        if "done" in outcomes:
            assert network.ran(request) == 1, (request, outcomes)


def test_fifty_parallel_copies_run_once_and_none_hears_not_run():
    copies = [(0, "abc"[i % 3], 0.0) for i in range(50)]
    network, told = run_virtual(_scenario(1, 0.0, copies, []))
    assert network.ran("r0") == 1
    assert set(told["r0"]) <= {"done", "unknown"} and "done" in told["r0"]


def test_a_refused_grant_is_moved_on_by_its_owner_and_copies_still_run_once():
    async def scenario():
        network = MemoryNetwork(Random(3), make_settings(SERVICES))
        for name in "abc":
            network.add(name, "pay")
        grant = await _grant(network, "a", "r")
        for node in network.nodes.values():
            owner = len(node.grants) == 1
            if owner:
                node.upstream.refuse = lambda: NotRun(Reason.UPSTREAM_SHED)
        found = await asyncio.gather(
            *(_copy(network, entry, "r", grant, i / 1000) for i, entry in enumerate("abcabc"))
        )
        return network.ran("r"), found

    ran, found = run_virtual(scenario())
    assert ran == 1 and set(found) == {"done"}


def test_an_ingress_that_refuses_a_copy_says_unknown_because_another_copy_may_run():
    async def scenario():
        network = MemoryNetwork(Random(4), make_settings(SERVICES))
        network.add("a", "pay")
        grant = await _grant(network, "a", "r")
        await _copy(network, "a", "r", grant, 0)
        bad = {"x_request": "r", "thorntray_grant": grant, "thorntray_deadline_ms": "soon"}
        return await network.nodes["a"].call("pay", "POST", **bad)

    answer = run_virtual(scenario())
    assert (answer.status, header(answer, "thorntray-outcome")) == (400, "unknown")


def test_a_frozen_owner_that_wakes_after_the_deadline_runs_nothing():
    async def scenario():
        network = MemoryNetwork(Random(5), make_settings(SERVICES))
        node = network.add("a", "pay", slots=1)
        grant = await _grant(network, "a", "late")
        holder = asyncio.ensure_future(network.nodes["a"].call("pay", x_request="first"))
        node.upstream.service_time = 0.05
        await asyncio.sleep(0.001)
        waiting = asyncio.ensure_future(_copy(network, "a", "late", grant, 0))
        await asyncio.sleep(0.001)
        frozen = node.inbound._parts.clock
        frozen.monotonic = lambda: asyncio.get_event_loop().time() + 30  # it was frozen for 30 s
        await asyncio.gather(holder, waiting)
        return network.ran("late")

    assert run_virtual(scenario()) == 0


def test_a_revocation_that_overtakes_its_attempt_keeps_it_from_running():
    from tests.builders import ManualClock
    from thorntray.internal.request.attempts import AttemptTable

    clock = ManualClock()
    table = AttemptTable(clock)
    assert table.revoke(b"x", clock.now + 1)
    assert not table.register(b"x", clock.now + 1)
    assert not table.mark_dispatched(b"x")
    assert table.register(b"y", clock.now + 1) and table.mark_dispatched(b"y")
    assert not table.revoke(b"y", clock.now + 1)
    clock.now += 100
    assert table.register(b"z", clock.now + 1) and len(table) == 1


def test_a_restarted_node_does_not_vouch_for_its_predecessor():
    async def scenario():
        network = MemoryNetwork(Random(6), make_settings(SERVICES))
        old = network.add("a", "pay")
        new = network.restart("a")
        return new.inbound.revoke(Revoke(old.member.session, b"attempt", 1.0))

    assert not run_virtual(scenario()).not_run


def _pay(node, grant):
    return node.call("pay", "POST", x_request="r", thorntray_grant=grant)


def test_an_expired_grant_runs_nothing_and_a_forgotten_one_is_unknown():
    async def scenario():
        network = MemoryNetwork(Random(7), make_settings(SERVICES))
        node = network.add("a", "pay")
        grants = [await _grant(network, "a", "r") for _ in range(2)]
        await asyncio.sleep(GRANT_LIFETIME + 1)
        expired = await _pay(node, grants[0])
        await asyncio.sleep(RECORD_LIFETIME)
        forgotten = await _pay(node, grants[1])
        found = [header(answer, "thorntray-outcome") for answer in (expired, forgotten)]
        return found, network.ran("r")

    assert run_virtual(scenario()) == (["not-run", "unknown"], 0)


def test_a_node_that_remembers_as_many_grants_as_it_may_gives_no_more():
    async def scenario():
        network = MemoryNetwork(Random(8), make_settings(SERVICES))
        node = network.add("a", "pay")
        first = await _grant(network, "a", "r")
        for _ in range(MAX_GRANTS - 1):
            node.grants.issue("pay", "pay")
        refused = await node.call("pay", "POST", x_request="r")
        done = await _pay(node, first)
        return header(refused, "thorntray-reason"), header(done, "thorntray-outcome")

    assert run_virtual(scenario()) == ("grants-full", "done")

"""A non-idempotent request runs at most once, and the outcome "not-run" is always correct."""

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import MemoryNetwork, header, make_settings, run_virtual
from thorntray.internal.connection.message import Revoke
from thorntray.internal.request.grant import GRANT_LIFETIME, MAX_GRANTS, RECORD_LIFETIME
from thorntray.internal.request.outcome import NotRun, Reason

SERVICES = {"pay": {"slots": 2, "queue": 2}}


async def _request_grant(network, ingress, request):
    answer = await network.nodes[ingress].call("pay", "POST", x_request=request)
    return header(answer, "thorntray-grant")


async def _send_copy(network, ingress, request, grant, pause):
    await asyncio.sleep(pause)
    node = network.nodes[ingress]
    if node.dead:
        return "unknown"
    headers = {"x_request": request, "thorntray_grant": grant, "thorntray_deadline_ms": "600"}
    answer = await node.call("pay", "POST", **headers)
    return header(answer, "thorntray-outcome")


async def _inject_failure(network, kind, name, pause):
    await asyncio.sleep(pause)
    match kind:
        case "kill":
            network.kill(name)
        case "restart":
            network.restart(name)
        case "drain":
            network.nodes[name].instance.drain()
        case "shed":
            network.nodes[name].upstream.make_refusal = lambda: NotRun(Reason.UPSTREAM_SHED)
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


async def _run_scenario(seed, loss, copies, failures):
    network = MemoryNetwork(Random(seed), make_settings(SERVICES))
    for name in "abc":
        network.add(name, "pay", slots=2)
    network.request_loss = network.reply_loss = loss
    grants = [await _request_grant(network, "abc"[i], f"r{i}") for i in range(3)]
    outcomes_by_request = {f"r{i}": [] for i in range(3)}

    async def send(index, ingress, pause):
        request = f"r{index}"
        if grants[index]:
            outcomes_by_request[request].append(
                await _send_copy(network, ingress, request, grants[index], pause)
            )

    await asyncio.gather(
        *(send(*copy) for copy in copies), *(_inject_failure(network, *f) for f in failures)
    )
    await asyncio.sleep(10)
    return network, outcomes_by_request


@settings(max_examples=300)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.1, 0.4]), copies, failures)
def test_copies_under_one_grant_run_at_most_once_and_not_run_is_correct(
    seed, loss, copies, failures
):
    network, outcomes_by_request = run_virtual(_run_scenario(seed, loss, copies, failures))
    for request, outcomes in outcomes_by_request.items():
        assert network.execution_count(request) <= 1, (request, outcomes)
        if "not-run" in outcomes:
            assert network.execution_count(request) == 0, (request, outcomes)
        if "done" in outcomes:
            assert network.execution_count(request) == 1, (request, outcomes)


def test_fifty_parallel_copies_run_once_and_none_gets_not_run():
    copies = [(0, "abc"[i % 3], 0.0) for i in range(50)]
    network, outcomes_by_request = run_virtual(_run_scenario(1, 0.0, copies, []))
    assert network.execution_count("r0") == 1
    assert (
        set(outcomes_by_request["r0"]) <= {"done", "unknown"}
        and "done" in outcomes_by_request["r0"]
    )


def test_an_owner_sends_a_refused_grant_elsewhere_and_copies_still_run_once():
    async def scenario():
        network = MemoryNetwork(Random(3), make_settings(SERVICES))
        for name in "abc":
            network.add(name, "pay")
        grant = await _request_grant(network, "a", "r")
        for node in network.nodes.values():
            owner = len(node.grants) == 1
            if owner:
                node.upstream.make_refusal = lambda: NotRun(Reason.UPSTREAM_SHED)
        outcomes = await asyncio.gather(
            *(
                _send_copy(network, ingress, "r", grant, i / 1000)
                for i, ingress in enumerate("abcabc")
            )
        )
        return network.execution_count("r"), outcomes

    executions, outcomes = run_virtual(scenario())
    assert executions == 1 and set(outcomes) == {"done"}


def test_a_copy_refused_at_the_ingress_is_unknown_because_another_copy_may_run():
    async def scenario():
        network = MemoryNetwork(Random(4), make_settings(SERVICES))
        network.add("a", "pay")
        grant = await _request_grant(network, "a", "r")
        await _send_copy(network, "a", "r", grant, 0)
        bad = {"x_request": "r", "thorntray_grant": grant, "thorntray_deadline_ms": "soon"}
        return await network.nodes["a"].call("pay", "POST", **bad)

    answer = run_virtual(scenario())
    assert (answer.status, header(answer, "thorntray-outcome")) == (400, "unknown")


def test_a_frozen_owner_that_resumes_after_the_deadline_runs_nothing():
    async def scenario():
        network = MemoryNetwork(Random(5), make_settings(SERVICES))
        node = network.add("a", "pay", slots=1)
        grant = await _request_grant(network, "a", "late")
        blocking_call = asyncio.ensure_future(network.nodes["a"].call("pay", x_request="first"))
        node.upstream.service_time = 0.05
        await asyncio.sleep(0.001)
        waiting = asyncio.ensure_future(_send_copy(network, "a", "late", grant, 0))
        await asyncio.sleep(0.001)
        node_clock = node.inbound._parts.clock
        # Simulates a node that was frozen for 30 s.
        node_clock.monotonic = lambda: asyncio.get_event_loop().time() + 30
        await asyncio.gather(blocking_call, waiting)
        return network.execution_count("late")

    assert run_virtual(scenario()) == 0


def test_a_revocation_that_arrives_before_its_attempt_prevents_the_run():
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


def test_a_restarted_node_does_not_confirm_not_run_for_its_predecessor():
    async def scenario():
        network = MemoryNetwork(Random(6), make_settings(SERVICES))
        old = network.add("a", "pay")
        new = network.restart("a")
        return new.inbound.revoke(Revoke(old.member.session, b"attempt", 1.0))

    assert not run_virtual(scenario()).not_run


def _send_payout(node, grant):
    return node.call("pay", "POST", x_request="r", thorntray_grant=grant)


def test_an_expired_grant_runs_nothing_and_a_forgotten_one_is_unknown():
    async def scenario():
        network = MemoryNetwork(Random(7), make_settings(SERVICES))
        node = network.add("a", "pay")
        grants = [await _request_grant(network, "a", "r") for _ in range(2)]
        await asyncio.sleep(GRANT_LIFETIME + 1)
        expired = await _send_payout(node, grants[0])
        await asyncio.sleep(RECORD_LIFETIME)
        forgotten = await _send_payout(node, grants[1])
        outcomes = [header(answer, "thorntray-outcome") for answer in (expired, forgotten)]
        return outcomes, network.execution_count("r")

    assert run_virtual(scenario()) == (["not-run", "unknown"], 0)


def test_a_node_at_its_grant_limit_issues_no_more_grants():
    async def scenario():
        network = MemoryNetwork(Random(8), make_settings(SERVICES))
        node = network.add("a", "pay")
        first = await _request_grant(network, "a", "r")
        for _ in range(MAX_GRANTS - 1):
            node.grants.issue("pay", "pay")
        refused = await node.call("pay", "POST", x_request="r")
        done = await _send_payout(node, first)
        return header(refused, "thorntray-reason"), header(done, "thorntray-outcome")

    assert run_virtual(scenario()) == ("grants-full", "done")

"""Quotas at real nodes over loopback: responses, callers that leave, nested calls, a stop."""

import asyncio
import time

import pytest

from tests.mesh_builders import (
    HOST,
    PAYOUT_ROUTE_5S_TIMEOUT,
    header_of,
    make_policy,
    make_route,
    run_scenario,
)
from thorntray.internal.overload.quota_ledger import QUIET_TIME
from thorntray.internal.request.quota_wait import QuotaReason
from thorntray.internal.request.quotas import START_TIME, Quotas
from thorntray.internal.request.refusal_counts import NAMED_WORKSPACES
from thorntray.internal.version.workspaces import Workspace, Workspaces

CLIENT_HOST = "127.0.0.9"  # a caller other than the instance of the node
LIMITED = Workspace("himal", None, 2.0, 4.0)
SPARE = 3  # tokens beyond the burst that a bucket of a small quota may hold


def policy_of(*workspaces):
    """Return a policy whose workspaces have their name as their key."""
    held = Workspaces.from_keys([(w, [f"key-{w.name}"]) for w in workspaces])
    policy = make_policy(routes=[make_route(), PAYOUT_ROUTE_5S_TIMEOUT])
    return policy._replace(workspaces=held)


async def start_nodes(fleet, filling=1.3):
    """Start two nodes and wait until buckets have filled for some seconds."""
    for name in ("a", "b"):
        await fleet.add(name, "tariff")
    await fleet.share_membership()
    async with asyncio.timeout(10):
        while not all(n.quotas._members.known for n in fleet.nodes.values()):
            await asyncio.sleep(0.05)
    await asyncio.sleep(QUIET_TIME + filling)


async def open_client(fleet, name, host=CLIENT_HOST):
    return await asyncio.open_connection(*fleet.nodes[name].cfg.callers, local_addr=(host, 0))


def request_of(request_id, key="key-himal", deadline_ms=3000):
    auth = f"Authorization: Bearer {key}\r\n" if key else ""
    return (
        f"GET /prices/1 HTTP/1.1\r\nHost: a.example\r\nThorntray-Request-Id: {request_id}\r\n"
        f"Thorntray-Deadline-Ms: {deadline_ms}\r\n{auth}Connection: close\r\n\r\n"
    ).encode()


async def send(fleet, name, request_id, host=CLIENT_HOST, **options):
    reader, writer = await open_client(fleet, name, host)
    writer.write(request_of(request_id, **options))
    answer = await reader.read(1 << 20)
    writer.close()
    return answer


def status_of(answer):
    return int(answer.split(b" ", 2)[1])


def coordinator_of(fleet, workspace="himal"):
    return next(iter(fleet.nodes.values())).quotas._members.coordinator(workspace)


def other_than(fleet, name):
    return next(n for n in fleet.nodes if n != name)


@pytest.mark.parametrize("at_coordinator", [True, False])
def test_requests_beyond_the_quota_get_429_and_run_when_the_retry_time_is_over(at_coordinator):
    # Failure: the quota is not kept, the refused run, or Retry-After is a guess.
    async def scenario(fleet):
        await start_nodes(fleet, filling=4.0)
        coordinator = coordinator_of(fleet)
        node = coordinator if at_coordinator else other_than(fleet, coordinator)
        answers = [await send(fleet, node, f"r{i}") for i in range(15)]
        statuses = [status_of(a) for a in answers]
        served = statuses.count(200)
        assert 4 <= served <= 4 + SPARE + 2 and statuses.count(429) == 15 - served
        runs = sum(len(i.run_ids) for i in fleet.instances.values())
        assert runs == served
        retry_after = header_of(answers[-1], b"Retry-After")
        assert b"." in retry_after and 0 < float(retry_after) <= 0.5 * 1.5 + 0.1
        await asyncio.sleep(float(retry_after))
        assert status_of(await send(fleet, node, "later")) == 200
        exposed = fleet.nodes[node].metrics.exposition().decode()
        refused = 15 - served
        assert f'thorntray_quota_refusals{{workspace="himal"}} {refused}.0' in exposed
        assert f'thorntray_refused_callers_total{{reason="OVER_QUOTA"}} {refused}.0' in exposed

    run_scenario(scenario, policy_of(LIMITED))


def test_the_coordinator_asks_itself_without_a_datagram():
    # Failure: each request at the coordinator costs a datagram to itself.
    async def scenario(fleet):
        await start_nodes(fleet)
        node = coordinator_of(fleet)
        assert status_of(await send(fleet, node, "r1")) == 200
        assert fleet.nodes[node].quotas.asks_sent == 0
        other = other_than(fleet, node)
        assert status_of(await send(fleet, other, "r2")) == 200
        assert fleet.nodes[other].quotas.asks_sent > 0

    run_scenario(scenario, policy_of(LIMITED))


def test_calls_of_the_own_instance_need_no_token():
    # Failure: nested calls use up the quota of the client whose request runs.
    async def scenario(fleet):
        await start_nodes(fleet)
        node = coordinator_of(fleet)
        running = fleet.nodes[node].running
        running.begin(asyncio.get_running_loop().time() + 10, 1.0, b"r-1")
        nested = [await send(fleet, node, f"r-1.{i}", HOST, key="") for i in range(20)]
        assert {status_of(a) for a in nested} == {200}
        assert status_of(await send(fleet, node, "root")) == 200

    run_scenario(scenario, policy_of(LIMITED))


def test_a_workspace_without_a_limit_needs_no_token():
    # Failure: quota code delays or refuses requests of unlimited workspaces.
    async def scenario(fleet):
        await fleet.add("a", "tariff")
        await asyncio.sleep(0.2)
        assert status_of(await send(fleet, "a", "r", key="key-free")) == 200
        assert not fleet.nodes["a"].quotas._entries

    run_scenario(scenario, policy_of(Workspace("free")))


def test_a_node_that_does_not_know_the_fleet_refuses_with_503_and_a_retry_time():
    # Failure: each node of a restarting fleet grants the whole quota.
    async def scenario(fleet):
        began = time.monotonic()
        await fleet.add("a", "tariff")
        await asyncio.sleep(0.3)
        answer = await send(fleet, "a", "r")
        assert status_of(answer) == 503
        # The time at which a starting fleet knows itself: not before, and with its jitter.
        left = START_TIME - (time.monotonic() - began)
        assert left <= float(header_of(answer, b"Retry-After")) <= 1.5 * START_TIME
        assert not fleet.instances["a"].run_ids
        exposed = fleet.nodes["a"].metrics.exposition().decode()
        assert 'thorntray_refused_callers_total{reason="QUOTA_UNKNOWN"} 1.0' in exposed

    run_scenario(scenario, policy_of(LIMITED))


def make_silent(fleet):
    """Let the coordinator lose all queries; return it and another node."""
    coordinator = coordinator_of(fleet)
    fleet.nodes[coordinator].membership.handlers.clear()
    return coordinator, other_than(fleet, coordinator)


def test_a_caller_that_leaves_while_it_waits_costs_no_token_and_no_run():
    # Failure: the request of a caller that has left runs, or its connection fails the node.
    async def scenario(fleet):
        await start_nodes(fleet)
        coordinator, node = coordinator_of(fleet), other_than(fleet, coordinator_of(fleet))
        handlers = dict(fleet.nodes[coordinator].membership.handlers)
        fleet.nodes[coordinator].membership.handlers.clear()
        _, writer = await open_client(fleet, node)
        writer.write(request_of("left"))
        await asyncio.sleep(0.01)
        entry = fleet.nodes[node].quotas._entries["himal"]
        assert entry.waiting_count == 1
        writer.close()
        await asyncio.sleep(0.005)
        assert entry.waiting_count == 0
        fleet.nodes[coordinator].membership.handlers.update(handlers)
        assert status_of(await send(fleet, node, "stays")) == 200
        assert [r for i in fleet.instances.values() for r in i.run_ids] == [b"stays"]

    run_scenario(scenario, policy_of(LIMITED))


def test_a_silent_coordinator_is_answered_for_with_503_in_time():
    # Failure: requests hang on a coordinator that does not reply, or get 429 without reason.
    async def scenario(fleet):
        await start_nodes(fleet)
        _, node = make_silent(fleet)
        began = time.monotonic()
        answer = await send(fleet, node, "r")
        assert status_of(answer) == 503 and header_of(answer, b"Retry-After")
        assert time.monotonic() - began < 0.5

    run_scenario(scenario, policy_of(LIMITED))


def test_a_short_deadline_bounds_the_wait_and_waiting_counts_in_the_deadline():
    # Failure: a request waits for a token past its deadline, or its deadline begins anew.
    async def scenario(fleet):
        await start_nodes(fleet)
        _, node = make_silent(fleet)
        quotas = fleet.nodes[node].quotas
        waits, budgets = [], []
        wait = quotas.wait

        def record_wait(workspace, decided, seconds):
            waits.append(seconds)
            return wait(workspace, decided, seconds)

        quotas.wait = record_wait
        assert status_of(await send(fleet, node, "short", deadline_ms=10)) == 503
        assert waits == [0.01]
        started = []

        def grant_later(workspace, decided, seconds):
            request = wait(workspace, lambda refusal: None, seconds)
            asyncio.get_running_loop().call_later(0.05, decided, None)
            started.append(time.monotonic())
            return request

        quotas.wait = grant_later
        origin = fleet.nodes[node].origin
        links, owner = origin._deps.links, origin._deps.owner
        submit, link_to = owner.submit, links.link_to
        owner.submit = lambda call, done: (budgets.append(call.budget), submit(call, done))[1]

        def spy(member):
            link = link_to(member)
            call = link.call

            def record(make, on_result):
                return call(lambda n: budgets.append(make(n).budget) or make(n), on_result)

            link.call = record
            return link

        links.link_to = spy
        await asyncio.sleep(0.5)
        await send(fleet, node, "later", deadline_ms=900)
        assert started and budgets and budgets[0] <= 0.9 - 0.045

    run_scenario(scenario, policy_of(LIMITED))


def test_a_stopping_node_answers_the_requests_that_wait_for_a_token():
    # Failure: the process ends while a caller still waits, who cannot know whether it ran.
    async def scenario(fleet):
        await start_nodes(fleet)
        _, node = make_silent(fleet)
        task = asyncio.ensure_future(send(fleet, node, "waits"))
        await asyncio.sleep(0.015)
        assert fleet.nodes[node].origin.end_all() == 1
        assert status_of(await task) == 503

    run_scenario(scenario, policy_of(LIMITED))


def test_a_request_that_is_refused_for_another_reason_returns_its_token():
    # Failure: what a draining or overloaded node refuses is charged to the quota.
    async def scenario(fleet):
        await start_nodes(fleet)
        node = coordinator_of(fleet)
        fleet.nodes[node].origin._deps.admission.admit = lambda *args: False
        answers = [await send(fleet, node, f"r{i}") for i in range(12)]
        assert {status_of(a) for a in answers} == {503}
        del fleet.nodes[node].origin._deps.admission.admit
        assert status_of(await send(fleet, node, "runs")) == 200

    run_scenario(scenario, policy_of(LIMITED))


def test_a_failure_of_one_waiting_request_leaves_the_others_served():
    # Failure: an exception in the start of one request loses the answers of those behind it.
    async def scenario(fleet):
        await start_nodes(fleet, filling=3.0)
        node = other_than(fleet, coordinator_of(fleet))
        origin = fleet.nodes[node].origin
        start, failed = origin._start, []

        def fail_once(request):
            if not failed:
                failed.append(request)
                raise RuntimeError("injected")
            start(request)

        origin._start = fail_once
        answers = await asyncio.gather(*(send(fleet, node, f"r{i}") for i in range(3)))
        assert sorted(status_of(a) for a in answers) == [200, 200, 500]

    run_scenario(scenario, policy_of(LIMITED))


def test_the_refusal_metrics_name_a_bounded_number_of_workspaces():
    # Failure: ten thousand refused workspaces make ten thousand time series.
    workspaces = [Workspace(f"w{i}", None, 1.0) for i in range(100)]

    async def scenario(fleet):
        node = await fleet.add("a", "tariff")
        quotas: Quotas = node.quotas
        for index, workspace in enumerate(workspaces):
            for _ in range(index + 1):
                assert not quotas.take(workspace)
                refusal = quotas.wait(workspace, lambda refusal: None)
                assert refusal.reason is QuotaReason.QUOTA_UNKNOWN
        for _ in range(3):
            lines = node.metrics.exposition().decode().splitlines()
            values = [x for x in lines if x.startswith("thorntray_quota_refusals{")]
            assert len(values) == NAMED_WORKSPACES + 1
            for _ in range(500):
                quotas.take(workspaces[0])
                quotas.wait(workspaces[0], lambda refusal: None)
        assert sum(float(x.split()[-1]) for x in values) == 5050 + 1000

    run_scenario(scenario, policy_of(*workspaces))

"""Tests of the lean path with whole nodes over loopback: attempts, retries, lost answers."""

import asyncio

import pytest

from tests.instance_replies import answer_slowly, close_without_answer, never_answer
from tests.mesh_builders import (
    PAYOUT_ROUTE_5S_TIMEOUT,
    header_of,
    make_policy,
    make_route,
    run_scenario,
)
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.overload.root_admission import CLOSED_PRICE
from thorntray.internal.request.result import Cause, SlotUse


def test_a_request_runs_at_an_instance_of_its_service_and_gets_the_complete_answer():
    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        await fleet.add("h1", "haul", domain="b")
        await fleet.share_membership()
        answer = await fleet.get("h1", "/prices/7?x=1", "id-9")
        return answer, fleet.instances["t1"].heads[0], fleet.instances["h1"].run_ids

    answer, head, elsewhere = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\nok")
    assert head.startswith(b"GET /prices/7?x=1 HTTP/1.1\r\n")
    assert header_of(head, b"Thorntray-Caller") == b"haul"
    assert header_of(head, b"Thorntray-Instance") == b"i-1"
    assert 0 < int(header_of(head, b"Thorntray-Deadline-Ms")) <= 1000
    assert elsewhere == []


def test_a_request_refused_by_a_node_runs_once_at_another_instance():
    async def scenario(fleet):
        first = await fleet.add("t1", "tariff")
        await fleet.add("t2", "tariff")
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        # The node refuses new work, but the other nodes have not learned this yet.
        first.registration.accepting = False
        answers = [await fleet.send("h1", b"POST", "/payouts/1", f"id-{n}") for n in range(6)]
        return answers, fleet.instances["t1"].run_ids, fleet.instances["t2"].run_ids

    answers, refused, ran = run_scenario(scenario)
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert refused == [] and ran == [b"id-%d" % n for n in range(6)]


def test_a_payout_whose_answer_is_lost_is_unknown_and_never_sent_again():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", close_without_answer)
        await fleet.add("t2", "tariff", close_without_answer)
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        for node in fleet.nodes.values():
            node.budget._tokens["tariff"] = 50.0
        answer = await fleet.send("h1", b"POST", "/payouts/1", "id-1")
        await asyncio.sleep(0.3)
        return answer, fleet.instances["t1"].run_ids + fleet.instances["t2"].run_ids

    answer, ran = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 502")
    assert ran == [b"id-1"]


def test_a_lookup_whose_answer_is_lost_is_retried_within_the_budget():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", close_without_answer)
        await fleet.add("t2", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        node.placement.record_dispatch("t2")
        answers = []
        for tokens in (0.0, 5.0):
            node.budget._tokens["tariff"] = tokens
            fleet.instances["t1"].run_ids.clear()
            answers.append(await fleet.get("h1", "/prices/1", f"id-{tokens}"))
        return answers

    without_budget, with_budget = run_scenario(scenario)
    assert with_budget.startswith(b"HTTP/1.1 200")
    assert without_budget[:12] in (b"HTTP/1.1 502", b"HTTP/1.1 200")


def test_an_unknown_result_stays_unknown_when_the_next_instance_refuses():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", close_without_answer)
        refusing = await fleet.add("t2", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        refusing.registration.accepting = False
        node.placement.pause("t2", node.clock.monotonic(), 5.0)
        node.budget._tokens["tariff"] = 5.0
        return await fleet.get("h1", "/prices/1", "id-1"), fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario)
    assert ran == [b"id-1"]
    assert answer.startswith(b"HTTP/1.1 502")


def test_a_lookup_is_sent_to_no_more_instances_than_its_route_allows():
    async def scenario(fleet):
        for name in ("t1", "t2", "t3"):
            await fleet.add(name, "tariff", close_without_answer)
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        node.budget._tokens["tariff"] = 50.0
        answer = await fleet.get("h1", "/prices/1", "id-1")
        return answer, sum(len(instance.run_ids) for instance in fleet.instances.values())

    answer, ran = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 502")
    assert ran == make_route().max_attempts


@pytest.mark.parametrize(("full", "price_is_closed"), [(True, False), (False, True)])
def test_a_service_is_priced_as_closed_when_it_accepts_no_work_but_not_when_it_is_full(
    full, price_is_closed
):
    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", never_answer)
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        if full:
            owner.queue.limit = 0
        else:
            owner.registration.accepting = False
        answer = await fleet.get("h1", "/prices/1", "id-1")
        price = node.admission.prices.price("tariff", node.clock.monotonic())
        return answer, price >= CLOSED_PRICE

    answer, closed = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 503")
    assert closed is price_is_closed


def test_calls_of_a_running_request_are_not_refused_while_new_requests_are():
    """Load pattern: the called service is short of slots; the calls expire before their parent.

    A refused call wastes what its call tree has used so far.
    """

    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        now = node.clock.monotonic()
        node.admission.costs.record_success("prices>tariff", {"tariff": SlotUse(0.5, 1.0)})
        for _ in range(20):
            node.admission.prices.update("tariff", {"tariff": 500.0}, now)
        run = node.running.begin(now + 5.0, 8.0, b"run")
        roots = [await fleet.get("h1", "/prices/1", f"root-{n}", deadline_ms=700) for n in range(5)]
        calls = [await fleet.get("h1", "/prices/1", f"run.{n}", deadline_ms=700) for n in range(5)]
        return calls, roots, run.costs

    calls, roots, costs = run_scenario(scenario)
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in calls)
    assert any(answer.startswith(b"HTTP/1.1 503") for answer in roots)
    assert costs["tariff"][1] == 5.0


def test_a_lost_link_leaves_a_payout_unknown():
    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", answer_slowly)
        origin = await fleet.add("h1", "haul")
        await fleet.share_membership()
        pending = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "id-1"))
        await asyncio.sleep(0.15)
        origin.links.link_to(owner.membership.own)._connection.abort()
        answer = await pending
        await asyncio.sleep(0.4)
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 502")
    assert ran == [b"id-1"]


def test_a_request_to_a_silent_peer_fails_within_a_second_and_the_peer_is_paused():
    """Load pattern of a partitioned failure domain: connections go silent without a reset."""

    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", never_answer)
        origin = await fleet.add("h1", "haul")
        await fleet.share_membership()
        started_at = asyncio.get_running_loop().time()
        pending = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "id-1"))
        await asyncio.sleep(0.1)
        for link, _ in list(owner.peer_requests._requests):
            link._transport.pause_reading()
        answer = await pending
        seconds = asyncio.get_running_loop().time() - started_at
        load = origin.placement._state("t1")
        return answer, seconds, load.paused_until > origin.clock.monotonic()

    answer, seconds, paused = run_virtual_scenario(
        scenario, make_policy(routes=[PAYOUT_ROUTE_5S_TIMEOUT])
    )
    assert answer.startswith(b"HTTP/1.1 502")
    assert seconds < 1.3 and paused


def test_causes_are_numbered_without_gaps():
    """Results between nodes carry these numbers, so no cause is removed or renumbered."""
    assert [cause.value for cause in Cause] == list(range(len(Cause)))

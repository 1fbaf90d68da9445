"""Tests of the lean path with disconnected callers, timeouts and a shortage of slots."""

import asyncio

from tests.instance_replies import answer_bytes, never_answer
from tests.mesh_builders import make_call, make_policy, make_route, request_bytes, run_scenario
from tests.virtual_mesh import run_virtual_scenario


def test_work_for_a_disconnected_caller_is_cancelled_at_once():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", never_answer)
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        _, writer = await asyncio.open_connection(*node.cfg.callers)
        writer.write(request_bytes(b"GET", "/prices/1", "id-1"))
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.3)
        return fleet.instances["t1"].run_ids, fleet.instances["t1"].disconnects

    assert run_scenario(scenario) == ([b"id-1"], 1)


def test_a_cancelled_nested_call_is_finished_if_short_and_aborted_if_long():
    """Load pattern of run scale-1 of the kite clubs: each failing request cancels ten calls.

    Aborting a call closes its connection, and opening a new one costs more than a short call.
    """

    async def scenario(fleet, seconds):
        async def reply(request_id, writer):
            await asyncio.sleep(seconds)
            writer.write(answer_bytes(request_id))

        node = await fleet.add("t1", "tariff", reply)
        await fleet.share_membership()
        call = make_call(nested=True, budget=3.0)
        request = node.owner.submit(call, lambda result: None)
        await asyncio.sleep(0.05)
        request.cancel()
        await asyncio.sleep(0.4)
        return len(node.owner.requests), node.queue.in_flight, len(node.pool._idle)

    assert run_virtual_scenario(lambda fleet: scenario(fleet, 0.1)) == (0, 0, 1)
    assert run_virtual_scenario(lambda fleet: scenario(fleet, 2.0)) == (0, 0, 0)


def test_a_request_is_answered_at_its_routes_timeout():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        started_at = asyncio.get_running_loop().time()
        answer = await fleet.get("t1", "/prices/1", "id-1")
        return answer, asyncio.get_running_loop().time() - started_at

    policy = make_policy(routes=[make_route(timeout=0.4)])
    answer, seconds = run_virtual_scenario(scenario, policy)
    assert answer.startswith(b"HTTP/1.1 504")
    assert 0.35 < seconds < 0.9


def test_a_request_that_expires_while_waiting_for_a_slot_does_not_run():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        node.queue.limit = 0
        answer = await fleet.send("t1", b"POST", "/payouts/1", "id-1")
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_virtual_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: " in answer
    assert ran == []

"""The lean path when callers leave, time runs out or slots are short."""

import asyncio
import time

from tests.mesh_builders import (
    answer_bytes,
    make_call,
    make_policy,
    make_route,
    play,
    request_bytes,
    silent,
)


def test_work_for_a_caller_that_has_left_is_withdrawn_at_once():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", silent)
        node = await fleet.add("h1", "haul")
        await fleet.settle()
        _, writer = await asyncio.open_connection(*node.cfg.callers)
        writer.write(request_bytes(b"GET", "/prices/1", "id-1"))
        await asyncio.sleep(0.2)
        writer.close()
        await asyncio.sleep(0.3)
        return fleet.instances["t1"].ran, fleet.instances["t1"].closed_early

    assert play(scenario) == ([b"id-1"], 1)


def test_a_cancelled_call_of_another_request_is_finished_if_short_and_aborted_if_not():
    """Load pattern of the kite clubs' scale-1: failing requests cancel ten calls each."""

    async def scenario(fleet, seconds):
        async def reply(request_id, writer):
            await asyncio.sleep(seconds)
            writer.write(answer_bytes(request_id))

        node = await fleet.add("t1", "tariff", reply)
        await fleet.settle()
        call = make_call(nested=True, budget=3.0)
        held = node.owner.submit(call, lambda result: None)
        await asyncio.sleep(0.05)
        held.cancel()
        await asyncio.sleep(0.4)
        return len(node.owner.requests), node.queue.in_flight, len(node.pool._idle)

    assert play(lambda fleet: scenario(fleet, 0.1)) == (0, 0, 1)
    assert play(lambda fleet: scenario(fleet, 2.0)) == (0, 0, 0)


def test_a_request_is_answered_at_its_routes_timeout():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", silent)
        await fleet.settle()
        began = time.monotonic()
        answer = await fleet.get("t1", "/prices/1", "id-1")
        return answer, time.monotonic() - began

    policy = make_policy(routes=[make_route(timeout=0.4)])
    answer, seconds = play(scenario, policy)
    assert answer.startswith(b"HTTP/1.1 504")
    assert 0.35 < seconds < 0.9


def test_a_request_that_waited_for_a_slot_until_its_time_was_up_has_truly_not_run():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", silent)
        await fleet.settle()
        node.queue.limit = 0
        answer = await fleet.send("t1", b"POST", "/payouts/1", "id-1")
        return answer, fleet.instances["t1"].ran

    answer, ran = play(scenario)
    assert answer.startswith(b"HTTP/1.1 503") and b"Retry-After: " in answer
    assert ran == []

"""A request that meets a full instance soon reaches one with a free slot."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from tests.instance_replies import answer_bytes
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.overload.slot_wait import SHORT_OFFERS, SHORT_WAIT, longest_wait

LONG_RUN = 0.6  # seconds that a request keeps the only slot of an instance


async def answer_after_long_run(request_id, writer):
    await asyncio.sleep(LONG_RUN)
    writer.write(answer_bytes(request_id))


def test_a_request_at_a_full_instance_is_served_at_once_by_a_free_one_in_another_domain():
    """Load pattern: one slot each; the entry node does not know that the near one is in use."""

    async def scenario(fleet):
        await fleet.add("t1", "tariff", answer_after_long_run)
        await fleet.add("t2", "tariff", domain="b")
        await fleet.add("h1", "haul")
        await fleet.add("h2", "haul")
        await fleet.share_membership()
        fleet.nodes["t1"].queue.set_slots(1)
        fleet.nodes["t2"].queue.set_slots(1)
        holder = asyncio.create_task(fleet.get("h1", "/prices/1", "holds-the-slot"))
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        answer = await fleet.get("h2", "/prices/1", "second")
        seconds = asyncio.get_running_loop().time() - began
        await holder
        return answer, seconds, fleet.instances["t2"].run_ids

    answer, seconds, ran_elsewhere = run_virtual_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 200")
    assert ran_elsewhere == [b"second"]
    assert seconds < 0.08


def test_a_request_waits_for_the_first_free_slot_when_all_instances_are_full():
    async def scenario(fleet):
        for name in ("t1", "t2"):
            await fleet.add(name, "tariff", answer_after_50_ms)
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        for name in ("t1", "t2"):
            fleet.nodes[name].queue.set_slots(1)
        requests = [fleet.get("h1", "/prices/1", f"id-{n}") for n in range(4)]
        return await asyncio.gather(*requests)

    async def answer_after_50_ms(request_id, writer):
        await asyncio.sleep(0.05)
        writer.write(answer_bytes(request_id))

    answers = run_virtual_scenario(scenario)
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


@given(st.floats(0.0, 1.0), st.integers(0, 10), st.booleans())
def test_only_the_first_offers_are_short_and_only_if_another_instance_is_left(
    whole_wait, refusals, others_left
):
    wait = longest_wait(whole_wait, refusals, others_left)
    if others_left and refusals < SHORT_OFFERS:
        assert wait <= SHORT_WAIT
    else:
        assert wait == whole_wait
    assert wait <= whole_wait

"""A stop while requests are in each stage, with instances that end their answers in odd ways."""

import asyncio

import pytest

from tests.callers import kept, read_until_closed
from tests.instance_replies import answer_bytes
from tests.mesh_builders import make_policy, make_route, request_bytes, run_scenario

POLICY = make_policy(routes=[make_route(timeout=5.0, target_latency=2.0)])
BODY = b"done" * 1000
LATE = 2.6  # seconds; after the time in which a stopping node accepts requests
HALF = 40  # bytes of a request that are sent before the stop
DELAYS = {"while it accepts": 1.0, "after it refuses": LATE}


async def without_length(request_id, writer):
    writer.write(b"HTTP/1.1 200 X\r\nThorntray-Request-Id: " + request_id + b"\r\n\r\n" + BODY)
    writer.close()


async def closing(request_id, writer):
    writer.write(answer_bytes(request_id, BODY, header_lines=b"Connection: close\r\n"))
    writer.close()


async def in_pieces(request_id, writer):
    answer = answer_bytes(request_id, BODY)
    for start in range(0, len(answer), 1000):
        writer.write(answer[start : start + 1000])
        await asyncio.sleep(0.02)


REPLIES = {each.__name__: each for each in (without_length, closing, in_pieces)}


@pytest.mark.parametrize("both", [False, True], ids=["the origin stops", "the owner stops too"])
@pytest.mark.parametrize("delay", DELAYS)
@pytest.mark.parametrize("reply", REPLIES)
def test_a_whole_answer_reaches_its_caller_however_the_instance_ends_it(reply, delay, both):
    # The connection to the instance ends while the node that passes its answer on is stopping.
    async def answer(request_id, writer):
        await asyncio.sleep(DELAYS[delay])
        await REPLIES[reply](request_id, writer)

    async def scenario(fleet):
        origin = await fleet.add("h1", "haul")
        owner = await fleet.add("t1", "tariff", answer)
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*origin.cfg.callers)
        writer.write(kept(request_bytes(b"GET", "/prices/1", "id-1", 5000)))
        await asyncio.sleep(0.1)
        await asyncio.gather(*(node.stop() for node in ((origin, owner) if both else (origin,))))
        seen = await read_until_closed(reader)
        writer.close()
        return seen

    seen = run_scenario(scenario, POLICY)
    assert seen.startswith(b"HTTP/1.1 200") and seen.endswith(b"\r\n\r\n" + BODY)


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_a_request_that_arrives_in_two_parts_around_the_stop_is_answered(method):
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        request = kept(request_bytes(method, "/prices/1", "id-1", 5000))
        writer.write(request[:HALF])
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(node.stop())
        await asyncio.sleep(1.0)
        writer.write(request[HALF:])
        seen = await read_until_closed(reader)
        writer.close()
        await stopping
        return seen

    seen = run_scenario(scenario, POLICY)
    assert seen.startswith(b"HTTP/1.1 200") and b"Connection: close" in seen

"""A node that stops answers every request that it has read before its process ends.

`exit_process` stands for the end of the process: the kernel closes what is still open.
"""

import asyncio
import time

from tests.callers import call, call_over, kept, read_until_closed
from tests.instance_replies import answer_bytes, never_answer
from tests.mesh_builders import make_policy, make_route, request_bytes, run_scenario
from thorntray.internal.process.drain import READINESS_PROPAGATION_DELAY

LONG_ROUTE_POLICY = make_policy(routes=[make_route(timeout=9.0, target_latency=8.0)])
SERVICE_TIME = 0.5  # seconds
LARGE_BODY = b"x" * (8 * 1024 * 1024)  # more than the kernel's socket buffers hold


async def answer_after_service_time(request_id, writer):
    await asyncio.sleep(SERVICE_TIME)
    writer.write(answer_bytes(request_id, b"done"))


def exit_process(node):
    for connection in list(node.callers.connections):
        connection._transport.abort()


def hold_exit(fleet):
    """Delay the exit of a node by half a second; the event is set when its drain has ended."""
    closing = asyncio.Event()

    async def close_slowly():
        closing.set()
        await asyncio.sleep(0.5)

    fleet.store.close = close_slowly
    return closing


async def stop_and_exit(node):
    await node.stop()
    exit_process(node)


async def keep_calling(node, calls):
    """Send a request every 50 ms until the node no longer listens."""
    number = 0
    while True:
        number += 1
        try:
            reader, writer = await asyncio.open_connection(*node.cfg.callers)
        except ConnectionError:
            return
        calls.append(asyncio.ensure_future(call_over(reader, writer, f"id-{number}")))
        await asyncio.sleep(0.05)


def test_callers_that_go_on_sending_to_a_stopping_node_get_no_closed_connection():
    async def scenario(fleet):
        node = await fleet.add("h1", "haul")
        await fleet.add("t1", "tariff", answer_after_service_time)
        await fleet.share_membership()
        calls = []
        sender = asyncio.ensure_future(keep_calling(node, calls))
        await asyncio.sleep(0.2)
        await stop_and_exit(node)
        await sender
        ran = set(fleet.instances["t1"].run_ids)
        return [seen for seen in await asyncio.gather(*calls) if seen.request_id in ran]

    ran = run_scenario(scenario, LONG_ROUTE_POLICY)
    assert len(ran) > 20
    assert [seen for seen in ran if not seen.answer.endswith(b"done")] == []


def test_requests_without_an_answer_at_the_end_of_a_stop_are_answered_before_the_exit():
    async def scenario(fleet):
        node = await fleet.add("h1", "haul")
        await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        running = asyncio.ensure_future(call(node, "runs"))
        await asyncio.sleep(0.2)
        await stop_and_exit(node)
        return await running

    assert run_scenario(scenario, LONG_ROUTE_POLICY).status == b"502"


def test_a_request_completed_after_the_drain_is_refused_and_not_run():
    async def scenario(fleet):
        node = await fleet.add("h1", "haul")
        await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        closing = hold_exit(fleet)
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        request = kept(request_bytes(b"GET", "/prices/1", "late"))
        writer.write(request[:20])
        stopping = asyncio.ensure_future(stop_and_exit(node))
        await closing.wait()
        writer.write(request[20:])
        answer = await read_until_closed(reader)
        writer.close()
        await stopping
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario)
    assert ran == [] and answer.startswith(b"HTTP/1.1 503")


async def call_after_drain(fleet, prepare):
    """Return what a caller saw after the drain of a node, and the IDs that an instance ran."""
    node = await fleet.add("h1", "haul")
    await fleet.add("t1", "tariff", never_answer)
    await fleet.share_membership()
    prepare(node)
    closing = hold_exit(fleet)
    stopping = asyncio.ensure_future(stop_and_exit(node))
    await closing.wait()
    seen = await call(node, "late")
    await stopping
    return seen, fleet.instances["t1"].run_ids


def test_a_new_connection_after_the_drain_is_refused_and_not_reset():
    seen, ran = run_scenario(lambda fleet: call_after_drain(fleet, lambda node: None))
    assert ran == [] and seen.status == b"503" and b"Retry-After: " in seen.answer


def test_a_late_request_on_a_route_of_nested_calls_is_refused_and_not_run():
    def make_route_nested(node):
        node.origin._context.nested_routes.is_nested = lambda route: True

    seen, ran = run_scenario(lambda fleet: call_after_drain(fleet, make_route_nested))
    assert ran == [] and seen.status == b"503"


def test_a_call_of_a_running_request_is_served_while_callers_are_refused():
    async def answer_parent_late(request_id, writer):
        await asyncio.sleep(READINESS_PROPAGATION_DELAY + 0.6 if request_id == b"parent" else 0)
        writer.write(answer_bytes(request_id))

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", answer_parent_late)
        await fleet.share_membership()
        parent = asyncio.ensure_future(call(node, "parent"))
        await asyncio.sleep(0.1)
        await fleet.add("t2", "tariff")
        await fleet.share_membership()
        stopping = asyncio.ensure_future(stop_and_exit(node))
        await asyncio.sleep(READINESS_PROPAGATION_DELAY + 0.2)
        nested = await call(node, "parent.call", deadline_ms=800)
        other = await call(node, "other", deadline_ms=800)
        await stopping
        return [seen.status for seen in (await parent, nested, other)]

    short = make_policy(routes=[make_route(timeout=5.0, target_latency=0.3)])
    assert run_scenario(scenario, short) == [b"200", b"200", b"503"]


def test_a_silent_store_does_not_delay_the_end_of_a_stop():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        node.seeds._lease = 1

        stopped = asyncio.Event()

        async def respond_after_the_stop(lease):
            await stopped.wait()

        fleet.store.lease_revoke = respond_after_the_stop
        started = time.monotonic()
        try:
            await node.stop()
            return time.monotonic() - started
        finally:
            stopped.set()  # the end of the scenario calls the store again

    assert run_scenario(scenario) < READINESS_PROPAGATION_DELAY + 1.0


def test_pipelined_requests_that_run_are_answered_when_the_node_stops():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", answer_after_service_time)
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        for number in range(3):
            writer.write(kept(request_bytes(b"GET", "/prices/1", f"id-{number}")))
            await asyncio.sleep(0.1)
        await stop_and_exit(node)
        answer = await read_until_closed(reader)
        writer.close()
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario)
    assert ran == [b"id-0", b"id-1", b"id-2"]
    assert [answer.count(b"Thorntray-Request-Id: " + request_id) for request_id in ran] == [1] * 3
    assert answer.count(b"Connection: close") == 1


def test_requests_behind_a_closing_response_in_one_segment_are_not_run():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", answer_after_service_time)
        await fleet.share_membership()
        await fleet.get("t1", "/prices/1", "opens-a-connection-to-the-instance")
        fleet.instances["t1"].run_ids.clear()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        stopping = asyncio.ensure_future(stop_and_exit(node))
        await asyncio.sleep(0.1)
        refused_at_once = kept(request_bytes(b"GET", "/unknown/1", "id-0"))
        writer.write(refused_at_once + kept(request_bytes(b"GET", "/prices/1", "id-1")))
        answer = await read_until_closed(reader)
        writer.close()
        await stopping
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 404") and b"Connection: close" in answer
    assert ran == []


def test_a_slow_reader_gets_its_whole_answer_when_the_node_stops():
    async def answer_large(request_id, writer):
        writer.write(answer_bytes(request_id, LARGE_BODY))

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", answer_large)
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers, limit=1 << 16)
        writer.write(kept(request_bytes(b"GET", "/prices/1", "id-1")))
        await asyncio.sleep(0.3)
        stopping = asyncio.ensure_future(stop_and_exit(node))
        await asyncio.sleep(READINESS_PROPAGATION_DELAY + 0.5)
        answer = await read_until_closed(reader)
        writer.close()
        await stopping
        return answer

    assert len(run_scenario(scenario).partition(b"\r\n\r\n")[2]) == len(LARGE_BODY)

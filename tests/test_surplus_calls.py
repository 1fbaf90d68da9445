"""Nested calls that reach a node whose callers have taken all connections that they may hold."""

import asyncio

from tests.instance_replies import answer_bytes
from tests.mesh_builders import request_bytes, run_scenario
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.instance_response import ResponseFault
from thorntray.internal.process.clock import SystemClock

SOCKET_LIMIT = 8  # of which callers get a quarter
BOUND = 2


async def start_full_node(fleet):
    """Return a node with `BOUND` running requests, and the function that ends them."""
    release = asyncio.Event()

    async def reply(request_id, writer):
        if request_id in (b"root-0", b"root-1"):
            await release.wait()
        writer.write(answer_bytes(request_id))

    node = await fleet.add("tariff-1", "tariff", reply)
    node.connection_limits.budget.limit = SOCKET_LIMIT
    node.connection_limits.update(0, 0)
    roots = []
    for number in range(BOUND):
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        writer.write(request_bytes(b"GET", "/prices/1", f"root-{number}", 900))
        roots.append((reader, writer))
    await asyncio.sleep(0.1)
    return node, roots, release


def test_a_nested_call_is_served_where_a_callers_request_is_refused():
    async def scenario(fleet):
        node, roots, release = await start_full_node(fleet)
        refused = await fleet.get("tariff-1", "/prices/1", "other", deadline_ms=5000)
        nested = await fleet.get("tariff-1", "/prices/1", "root-0-c", deadline_ms=500)
        release.set()
        answers = [await reader.read(1 << 16) for reader, _ in roots]
        return refused, nested, answers, fleet.instances["tariff-1"].run_ids, node

    refused, nested, answers, run_ids, node = run_scenario(scenario)
    assert refused.startswith(b"HTTP/1.1 503") and b"retry-after" in refused.lower()
    assert b"other" not in run_ids
    assert nested.startswith(b"HTTP/1.1 200")
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    metrics = node.metrics.exposition().decode()
    assert f"thorntray_socket_limit {SOCKET_LIMIT}.0" in metrics
    assert 'thorntray_bounded_connections{end="refused"} 1.0' in metrics
    assert f"thorntray_caller_connection_bound {BOUND}.0" in metrics


def test_readiness_is_answered_while_callers_hold_all_their_connections():
    async def scenario(fleet):
        node, _, release = await start_full_node(fleet)
        reader, writer = await asyncio.open_connection(*node.cfg.readiness)
        writer.write(request_bytes(b"GET", "/readyz", "r"))
        answer = await reader.read(1 << 16)
        release.set()
        return answer

    assert run_scenario(scenario).startswith(b"HTTP/1.1 200")


def test_an_instance_is_not_taken_for_unreachable_when_this_process_has_no_descriptor():
    async def scenario(fleet):
        node = await fleet.add("tariff-1", "tariff")

        async def fail(*_):
            raise OSError(24, "Too many open files")

        opener, node.pool.opener.open = node.pool.opener.open, fail
        first = await fleet.send("tariff-1", b"POST", "/payouts/1", "first")
        node.pool.opener.open = opener
        return first, await fleet.send("tariff-1", b"POST", "/payouts/1", "second")

    first, second = run_scenario(scenario)
    assert first.startswith(b"HTTP/1.1 503")  # nothing was sent, so the promise is true
    assert second.startswith(b"HTTP/1.1 200")  # at once, without the pause after a failure


def test_a_connection_is_tried_again_when_descriptors_could_be_freed():
    async def scenario():
        pool = InstancePool("127.0.0.1", 1, b"id", SystemClock())
        loop, tried = asyncio.get_running_loop(), []

        async def create_connection(*_):
            tried.append(1)
            raise OSError(24, "Too many open files")

        loop.create_connection = create_connection
        faults, freed = [], []
        pool.opener.free_descriptors = lambda number: freed.append(number) or True
        pool.send(b"", b"1", b"GET", False, faults.append)
        await asyncio.sleep(0.1)
        return faults, freed, tried

    assert asyncio.run(scenario()) == ([ResponseFault.NO_DESCRIPTOR], [24], [1, 1])

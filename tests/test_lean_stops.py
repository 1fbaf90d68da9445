"""The lean path when nodes stop, instances leave and the store is away."""

import asyncio

from tests.mesh_builders import (
    HOST,
    make_announcement,
    make_policy,
    play,
    request_bytes,
    slow,
)
from thorntray.internal.process.registration import Phase
from thorntray_node.mesh_node import READINESS_PROPAGATION_DELAY


def test_a_planned_stop_finishes_what_runs_and_says_that_connections_close():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", slow)
        await fleet.settle()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        keep = request_bytes(b"GET", "/prices/1", "id-1").replace(b"Connection: close\r\n", b"")
        writer.write(keep)
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(node.stop())
        answer = await reader.read(1 << 20)
        ready = node.ready
        writer.close()
        await stopping
        return answer, ready

    answer, ready = play(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
    assert answer.endswith(b"slow") and not ready


def test_a_stopping_node_works_on_for_its_peers_until_it_turns_work_away():
    """Load pattern of incident 3f10: two of three nodes of a service are restarted in turn."""

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        other = await fleet.add("h1", "haul")
        await fleet.settle()
        stopping = asyncio.ensure_future(node.stop())
        await asyncio.sleep(0.1)
        early = node.membership.own.ready, node.ready
        answers = [await fleet.send("h1", b"POST", "/payouts/1", f"id-{n}") for n in range(3)]
        await asyncio.sleep(READINESS_PROPAGATION_DELAY)
        late = node.membership.own.ready
        other.membership.view.apply(node.membership.own)
        refused = await fleet.send("h1", b"POST", "/payouts/1", "too-late")
        await stopping
        return early, answers, late, refused, fleet.instances["t1"].ran

    early, answers, late, refused, ran = play(scenario)
    assert early == (True, False) and not late
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert refused.startswith(b"HTTP/1.1 503") and b"too-late" not in ran


def test_a_draining_instance_gets_nothing_that_waits_or_comes_later():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", slow)
        await fleet.settle()
        node.queue.limit = 1
        running = asyncio.ensure_future(fleet.get("t1", "/prices/1", "runs"))
        await asyncio.sleep(0.1)
        waiting = asyncio.ensure_future(fleet.send("t1", b"POST", "/payouts/1", "waits"))
        await asyncio.sleep(0.05)
        address = f"{HOST}:{fleet.instances['t1'].port}"
        node.registration.apply(
            make_announcement(sequence=2, phase=Phase.DRAINING, address=address)
        )
        later = await fleet.get("t1", "/prices/2", "later")
        return await running, await waiting, later, fleet.instances["t1"].ran

    running, waiting, later, ran = play(scenario)
    assert running.startswith(b"HTTP/1.1 200")
    assert waiting.startswith(b"HTTP/1.1 503") and later.startswith(b"HTTP/1.1 503")
    assert ran == [b"runs"]


def test_a_node_cut_off_from_the_store_takes_the_policy_from_a_peer():
    async def scenario(fleet):
        first = await fleet.add("t1", "tariff")
        second = await fleet.add("h1", "haul")
        await fleet.settle()
        fleet._policy = make_policy(version=5)
        first.policy_watch.offer(b"newer", "store")
        await asyncio.sleep(2.0)
        return second.holder.version

    assert play(scenario) == 5

"""Tests of the lean path with stopping nodes, draining instances and an unavailable store."""

import asyncio

from tests.instance_replies import answer_slowly
from tests.mesh_builders import HOST, make_announcement, make_policy, request_bytes, run_scenario
from thorntray.internal.process.drain import READINESS_PROPAGATION_DELAY
from thorntray.internal.process.registration import Phase


def test_a_planned_stop_finishes_running_requests_and_sends_connection_close():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", answer_slowly)
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        keep_alive_request = request_bytes(b"GET", "/prices/1", "id-1").replace(
            b"Connection: close\r\n", b""
        )
        writer.write(keep_alive_request)
        await asyncio.sleep(0.1)
        stopping = asyncio.ensure_future(node.stop())
        answer = await reader.read(1 << 20)
        ready = node.ready
        writer.close()
        await stopping
        return answer, ready

    answer, ready = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
    assert answer.endswith(b"slow") and not ready


def test_a_stopping_node_serves_its_peers_until_it_refuses_work():
    """Load pattern of incident 3f10: two of three nodes of a service are restarted in turn.

    The other nodes of the service may be stopping too, so a stopping node keeps serving its peers
    for `READINESS_PROPAGATION_DELAY` seconds, in which callers notice that it is not ready.
    """

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        other = await fleet.add("h1", "haul")
        await fleet.share_membership()
        stopping = asyncio.ensure_future(node.stop())
        await asyncio.sleep(0.1)
        ready_early = node.membership.own.ready, node.ready
        answers = [await fleet.send("h1", b"POST", "/payouts/1", f"id-{n}") for n in range(3)]
        await asyncio.sleep(READINESS_PROPAGATION_DELAY)
        ready_late = node.membership.own.ready
        other.membership.view.apply(node.membership.own)
        refused = await fleet.send("h1", b"POST", "/payouts/1", "too-late")
        await stopping
        return ready_early, answers, ready_late, refused, fleet.instances["t1"].run_ids

    ready_early, answers, ready_late, refused, ran = run_scenario(scenario)
    assert ready_early == (True, False) and not ready_late
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert refused.startswith(b"HTTP/1.1 503") and b"too-late" not in ran


def test_a_draining_instance_gets_no_waiting_and_no_new_requests():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", answer_slowly)
        await fleet.share_membership()
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
        return await running, await waiting, later, fleet.instances["t1"].run_ids

    running, waiting, later, ran = run_scenario(scenario)
    assert running.startswith(b"HTTP/1.1 200")
    assert waiting.startswith(b"HTTP/1.1 503") and later.startswith(b"HTTP/1.1 503")
    assert ran == [b"runs"]


def test_a_node_cut_off_from_the_store_takes_the_policy_from_a_peer():
    async def scenario(fleet):
        first = await fleet.add("t1", "tariff")
        second = await fleet.add("h1", "haul")
        await fleet.share_membership()
        fleet._policy = make_policy(version=5)
        first.policy_watch.offer(b"newer", "store")
        await asyncio.sleep(2.0)
        return second.holder.version

    assert run_scenario(scenario) == 5

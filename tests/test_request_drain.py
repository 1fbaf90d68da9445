"""Requests that are left when a stopping node's answers are due."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.builders import ManualClock
from tests.callers import call
from tests.instance_replies import close_without_answer, never_answer
from tests.mesh_builders import make_call, make_policy, make_route, run_scenario
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.drain import Drain
from thorntray.internal.request.result import Cause, ResultKind
from thorntray_node.request_drain import EndedRequests, RequestDrain

LONG_ROUTE_POLICY = make_policy(routes=[make_route(timeout=9.0, target_latency=8.0)])


def test_a_request_that_was_never_sent_is_ended_as_not_run():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        node.queue.limit = 1
        running = asyncio.ensure_future(call(node, "runs"))
        await asyncio.sleep(0.2)
        waiting = asyncio.ensure_future(call(node, "waits"))
        await asyncio.sleep(0.1)
        node.callers.closing = True
        ended = node.origin.end_all()
        answers = [await running, await waiting]
        return ended, [seen.status for seen in answers], fleet.instances["t1"].run_ids

    ended, statuses, ran = run_scenario(scenario, LONG_ROUTE_POLICY)
    assert (ended, statuses, ran) == (2, [b"502", b"503"], [b"runs"])


def test_a_request_that_an_earlier_instance_may_have_run_is_never_ended_as_not_run():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", close_without_answer)
        node = await fleet.add("t2", "tariff", never_answer)
        await fleet.share_membership()
        node.callers.closing = True
        node.queue.limit = 1
        occupying = node.owner.submit(make_call(budget=9.0), lambda result: None)
        node.placement.pause("t2", node.clock.monotonic(), 5.0)
        node.budget._tokens["tariff"] = 5.0
        answering = asyncio.ensure_future(call(node, "may-have-run"))
        await asyncio.sleep(0.3)
        waiting = len(node.owner.requests) - 1
        node.origin.end_all()
        occupying.cancel()
        return waiting, (await answering).status, fleet.instances["t1"].run_ids

    expected = (1, b"502", [b"may-have-run"])
    assert run_scenario(scenario, LONG_ROUTE_POLICY) == expected


def test_an_owner_ends_running_requests_as_unknown_and_waiting_ones_as_not_run():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        node.queue.limit = 1
        results = {}
        for name in ("runs", "waits"):
            call_frame = make_call(
                request_id=name.encode(), idempotent=False, budget=9.0, max_wait=5.0
            )
            node.owner.submit(call_frame, lambda result, name=name: results.update({name: result}))
            await asyncio.sleep(0.1)
        ended = node.owner.end_all()
        await asyncio.sleep(0.2)
        ran = len(fleet.instances["t1"].run_ids)
        return ended, {name: (r.kind, r.cause) for name, r in results.items()}, ran

    ended, results, ran = run_scenario(scenario)
    assert (ended, ran) == (2, 1)
    assert results == {
        "runs": (ResultKind.UNKNOWN, Cause.DRAINING),
        "waits": (ResultKind.NOT_RUN, Cause.DRAINING),
    }


def test_answers_given_when_they_are_due_are_sent_before_the_drain_returns():
    async def scenario():
        callers = SimpleNamespace(active=1, unsent_bytes=0)
        peers = SimpleNamespace(active=0, unsent_bytes=0)
        clock = ManualClock()
        drain = Drain(4.0, clock)
        drain.begin()
        clock.now += 4.0

        def end_all():
            callers.unsent_bytes = 1
            return 1

        origin = SimpleNamespace(end_all=end_all)
        owner = SimpleNamespace(requests=(), end_all=lambda: 0)
        running = asyncio.ensure_future(RequestDrain(drain, origin, owner, callers, peers).run())
        await asyncio.sleep(0.12)
        early = running.done()
        callers.unsent_bytes = 0
        return early, await running

    assert asyncio.run(scenario()) == (False, EndedRequests(1, 0))


@pytest.mark.parametrize("holder", ["callers", "peers"])
def test_a_drain_lasts_until_the_operating_system_has_taken_all_answers(holder):
    async def scenario():
        servers = {name: SimpleNamespace(active=0, unsent_bytes=0) for name in ("callers", "peers")}
        servers[holder].unsent_bytes = 1
        drain = Drain(4.0, SystemClock())
        drain.begin()
        nothing = SimpleNamespace(requests=(), end_all=lambda: 0)
        requests = RequestDrain(drain, nothing, nothing, **servers)
        running = asyncio.ensure_future(requests.run())
        await asyncio.sleep(0.2)
        early = running.done()
        servers[holder].unsent_bytes = 0
        return early, await running

    assert asyncio.run(scenario()) == (False, EndedRequests(0, 0))

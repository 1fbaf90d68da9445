"""The node beside an instance refuses calls of peers for which it has no memory, as not run."""

import asyncio

from tests.mesh_builders import make_call, run_scenario
from thorntray.internal.request.result import Cause, ResultKind

FULL, SCARCE, ENOUGH = 0.9, 0.55, 0.2  # shares of the budget that are held


def submit_calls(held_ratio, calls):
    """Return the results of calls at a node that holds a share of its budget, and its state."""

    async def scenario(fleet):
        fleet.memory_limit = 100_000_000
        node = await fleet.add("t1", "tariff")
        held = int(node.memory.limit * held_ratio)
        node.memory.add_source("test", lambda: held)
        node.memory.review()
        results = []
        requests = [node.owner.submit(call, results.append) for call in calls(node)]
        while len(results) < len(requests):
            await asyncio.sleep(0.01)
        ran = len(fleet.instances["t1"].run_ids)
        return results, ran, node.owner.held_bytes, node.metrics.exposition()

    return run_scenario(scenario)


def body_of(node, ratio):
    return b"x" * int(node.memory.limit * ratio)


def test_a_call_whose_body_does_not_fit_has_not_run_and_gets_a_return_time():
    results, ran, left, metrics = submit_calls(
        SCARCE, lambda node: [make_call(body=body_of(node, 0.05), method=b"POST")]
    )
    assert (results[0].kind, results[0].cause) == (ResultKind.NOT_RUN, Cause.FULL)
    assert results[0].retry_after > 0
    assert (ran, left) == (0, 0)
    assert b'thorntray_memory_refusals_total{side="owner"} 1.0' in metrics


def test_a_call_without_a_body_is_refused_as_well_since_its_answer_needs_memory():
    results, ran, _, _ = submit_calls(FULL, lambda node: [make_call()])
    assert results[0].cause is Cause.FULL and ran == 0


def test_calls_without_a_body_run_while_large_ones_are_refused():
    results, ran, _, _ = submit_calls(SCARCE, lambda node: [make_call()])
    assert (results[0].status, ran) == (200, 1)


def test_payouts_and_nested_calls_still_run_and_so_does_what_the_origin_here_has_accepted():
    results, ran, left, _ = submit_calls(
        SCARCE,
        lambda node: [
            make_call(body=body_of(node, 0.05), method=b"POST", idempotent=False),
            make_call(body=body_of(node, 0.05), method=b"POST", nested=True),
            make_call(body=body_of(node, 0.05), method=b"POST", number=0),
        ],
    )
    assert [result.status for result in results] == [200] * 3
    assert (ran, left) == (3, 0)


def test_calls_run_while_there_is_memory():
    results, ran, left, _ = submit_calls(
        ENOUGH, lambda node: [make_call(body=body_of(node, 0.05), method=b"POST")]
    )
    assert (results[0].status, ran, left) == (200, 1, 0)


def test_a_call_with_a_small_body_does_not_ask_for_room_while_memory_is_not_scarce():
    """Guards against a sum over all links of a large fleet for each payout."""
    asked = []

    def calls(node):
        node.memory.add_source("counted", lambda: asked.append(1) or 0)
        return [make_call(body=b"x" * 300, method=b"POST", idempotent=False)] * 5

    results, ran, left, _ = submit_calls(ENOUGH, calls)
    assert [result.status for result in results] == [200] * 5 and (ran, left) == (5, 0)
    assert len(asked) < 5  # the node itself reviews its budget ten times a second

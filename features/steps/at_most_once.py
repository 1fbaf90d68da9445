"""Step definitions; each scenario runs in virtual time over the in-memory network."""

import asyncio
import sys
from pathlib import Path
from random import Random

import async_solipsism
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from tests.builders import MemoryNetwork, header, make_settings  # noqa: E402


def run(context, work):
    return context.loop.run_until_complete(work)


def start_nodes(context, names, service, slots, queue):
    context.loop = async_solipsism.EventLoop()
    asyncio.set_event_loop(context.loop)
    context.add_cleanup(context.loop.close)

    async def make_network():
        network = MemoryNetwork(Random(1), make_settings({service: {"slots": slots}}))
        for name in names:
            network.add(name, service, slots=slots).admission.queue_bound = queue
        return network

    context.network = run(context, make_network())
    context.service = service


@given('three nodes that serve "{service}"')
def three_nodes(context, service):
    start_nodes(context, "abc", service, 50, 10)


@given('one node that serves "{service}" with {slots:d} slot and a queue of {queue:d}')
def one_node(context, service, slots, queue):
    start_nodes(context, "a", service, slots, queue)


@when("a clerk asks for a payout without a grant")
def request_payout_without_grant(context):
    context.answer = run(
        context, context.network.nodes["a"].call(context.service, "POST", x_request="p")
    )
    context.grant = header(context.answer, "thorntray-grant")


@then("the answer is 428 and nothing has run")
def check_grant_is_required(context):
    assert context.answer.status == 428 and context.grant
    assert context.network.execution_count("p") == 0


@when("the grant's owner is killed")
def kill_owner(context):
    nodes = context.network.nodes
    owner = next(name for name, node in nodes.items() if len(node.grants))
    context.network.kill(owner)


@when("the clerk repeats it {times:d} times with the grant through all nodes")
def send_copies(context, times):
    alive = [node for node in context.network.nodes.values() if not node.dead]

    async def gather_copies():
        headers = {"x_request": "p", "thorntray_grant": context.grant}
        calls = [
            alive[i % len(alive)].call(context.service, "POST", **headers) for i in range(times)
        ]
        return await asyncio.gather(*calls)

    context.answers = run(context, gather_copies())


@then('every answer is "done" or "unknown"')
def check_all_done_or_unknown(context):
    outcomes = {header(answer, "thorntray-outcome") for answer in context.answers}
    assert outcomes <= {"done", "unknown"} and "done" in outcomes, outcomes


@then('every answer is "unknown"')
def check_all_unknown(context):
    assert {header(answer, "thorntray-outcome") for answer in context.answers} == {"unknown"}


@then("the payout has run {times:d} time")
@then("the payout has run {times:d} times")
def check_execution_count(context, times):
    assert context.network.execution_count("p") == times


@when("{lookups:d} lookups and {payouts:d} payouts arrive concurrently")
def send_concurrent_requests(context, lookups, payouts):
    node = context.network.nodes["a"]

    async def send_all():
        grants = []
        for i in range(payouts):
            answer = await node.call(context.service, "POST", x_request=f"p{i}")
            grants.append(header(answer, "thorntray-grant"))
        lookup_calls = [node.call(context.service, x_request=f"l{i}") for i in range(lookups)]
        payout_calls = [
            node.call(context.service, "POST", x_request=f"p{i}", thorntray_grant=grant)
            for i, grant in enumerate(grants)
        ]
        return await asyncio.gather(asyncio.gather(*lookup_calls), asyncio.gather(*payout_calls))

    context.lookups, context.payouts = run(context, send_all())


@then("every payout is done")
def check_payouts_done(context):
    assert {header(a, "thorntray-outcome") for a in context.payouts} == {"done"}


@then("some lookups are refused with a retry delay")
def check_lookups_refused(context):
    refused = [a for a in context.lookups if header(a, "thorntray-outcome") == "not-run"]
    assert refused and all(header(a, "retry-after") for a in refused)

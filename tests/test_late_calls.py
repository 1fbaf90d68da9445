"""Calls that an instance makes for its running requests while its node stops.

Whole nodes in virtual time. Guards against the failure of review/9: calls were accepted by the
target latency of their route, and those that took longer were broken off when answers were due.
"""

import asyncio
import itertools
from typing import NamedTuple

import pytest

from tests.instance_replies import answer_bytes, never_answer
from tests.mesh_builders import header_of, make_policy, make_route
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.process.drain import CLOSE_TIME_RESERVE
from thorntray.internal.version.policy import Target
from thorntray_node.request_drain import EndedRequests, RequestDrain

STOP_LIMIT = 6.0  # seconds
CALL_SPACING = 0.1  # seconds
PARENT_DEADLINE_MS, CALL_DEADLINE_MS = 20_000, 5000
CALM_CALLS = 5  # calls before the stop, from which a node learns how long they take
PARENTS = make_route(name="parents", prefix="/parents/", timeout=20.0, target_latency=8.0)
CALLS = make_route(
    name="calls",
    prefix="/calls/",
    targets=(Target("haul", 1.0),),
    timeout=2.0,
    target_latency=0.8,
)
POLICY = make_policy(routes=[PARENTS, CALLS])


class StopSeen(NamedTuple):
    """Statuses of the calls by the second of the stop in which they were sent, and which ran."""

    statuses: dict[float, int]
    ran: int
    ended: EndedRequests


async def stop_beside_calls(fleet, seconds, calm_seconds=None):
    """Stop a node while its instance, which runs a request, makes calls without a pause.

    A call takes `seconds` at its instance, and `calm_seconds` before the stop.
    """
    loop = asyncio.get_running_loop()
    time_of_call = seconds if calm_seconds is None else calm_seconds

    async def answer_call(request_id, writer):
        await asyncio.sleep(time_of_call)
        writer.write(answer_bytes(request_id))

    async def send(name):
        answer = await fleet.send("t1", b"GET", "/calls/1", f"parent.{name}", CALL_DEADLINE_MS)
        return int(answer[9:12])

    async def announce_instances():
        for sequence in itertools.count(2):
            for name in fleet.nodes:
                fleet.announce(name, sequence=sequence, slots=50)
            await asyncio.sleep(1.5)

    node = await fleet.add("t1", "tariff", never_answer)
    await fleet.add("h1", "haul", answer_call, slots=50)
    await fleet.share_membership()
    announcing = asyncio.ensure_future(announce_instances())
    parent = asyncio.ensure_future(
        fleet.send("t1", b"GET", "/parents/1", "parent", PARENT_DEADLINE_MS)
    )
    await asyncio.sleep(0.1)
    calm = []
    for number in range(CALM_CALLS):
        calm.append(asyncio.ensure_future(send(f"calm{number}")))
        await asyncio.sleep(CALL_SPACING)
    await asyncio.gather(*calm)
    time_of_call = seconds
    node.drain.set_limit(STOP_LIMIT)
    node.drain.begin()
    began, calls = loop.time(), {}
    drain = RequestDrain(node.drain, node.origin, node.owner, node.callers, node.listener)
    drained = asyncio.ensure_future(drain.run())
    while not drained.done():
        sent_at = round(loop.time() - began, 3)
        calls[sent_at] = asyncio.ensure_future(send(f"late{len(calls)}"))
        await asyncio.sleep(CALL_SPACING)
    statuses = {sent_at: await answer for sent_at, answer in calls.items()}
    parent.cancel()
    announcing.cancel()
    ran = sum(b"late" in run for run in fleet.instances["h1"].run_ids)
    return StopSeen(statuses, ran, await drained)


@pytest.mark.parametrize("seconds", [0.02, 0.5, 1.2, 1.9])
def test_no_call_that_was_accepted_in_a_stop_is_broken_off(seconds):
    """The refusal has to be true too: a refused call is not run."""

    seen = run_virtual_scenario(lambda fleet: stop_beside_calls(fleet, seconds), POLICY)
    assert set(seen.statuses.values()) <= {200, 503}
    assert seen.ran == sum(status == 200 for status in seen.statuses.values())


@pytest.mark.parametrize("seconds, served_until", [(0.02, 4.5), (0.5, 4.5), (1.2, 3.7)])
def test_calls_that_can_be_answered_in_time_are_served_in_a_stop(seconds, served_until):
    """Guards against a refusal of all calls that might take up to their time limit."""

    seen = run_virtual_scenario(lambda fleet: stop_beside_calls(fleet, seconds), POLICY)
    early = [status for at, status in seen.statuses.items() if at <= served_until]
    assert early and set(early) == {200}


def test_no_call_is_broken_off_if_the_service_becomes_slow_as_the_stop_begins():
    """Guards against an estimate that only knows the calls that have ended."""

    seen = run_virtual_scenario(lambda fleet: stop_beside_calls(fleet, 1.9, 0.02), POLICY)
    assert set(seen.statuses.values()) <= {200, 503}
    assert seen.ran == sum(status == 200 for status in seen.statuses.values())


def test_a_call_has_no_more_time_at_its_instance_than_the_stop_leaves():
    """Guards against an instance that works on for a caller which will have been answered."""

    async def scenario(fleet):
        await stop_beside_calls(fleet, 0.5)
        heads = fleet.instances["h1"].heads
        sent = zip(heads, fleet.instances["h1"].arrivals, strict=True)
        late = [(head, at) for head, at in sent if b"late" in head]
        first_sent_at = late[0][1]
        return [
            at - first_sent_at + int(header_of(head, b"Thorntray-Deadline-Ms")) / 1000
            for head, at in late
        ]

    ends = run_virtual_scenario(scenario, POLICY)
    assert max(ends) <= STOP_LIMIT - CLOSE_TIME_RESERVE


@pytest.mark.parametrize("seconds, attempts", [(4.0, 2), (5.0, 1)])
def test_a_retry_that_would_be_broken_off_is_not_begun(seconds, attempts):
    """Guards against a second attempt that begins shortly before answers are due."""

    async def fail_late(request_id, writer):
        await asyncio.sleep(seconds)
        writer.write(answer_bytes(request_id, status=500))

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.add("h1", "haul", fail_late)
        await fleet.add("h2", "haul", fail_late)
        await fleet.share_membership()
        node.drain.set_limit(STOP_LIMIT)
        node.drain.begin()
        answer = asyncio.ensure_future(
            fleet.send("t1", b"GET", "/slow-calls/1", "id-1", CALL_DEADLINE_MS * 2)
        )
        await asyncio.sleep(0.1)
        drain = RequestDrain(node.drain, node.origin, node.owner, node.callers, node.listener)
        await drain.run()
        await answer
        return sum(len(fleet.instances[name].run_ids) for name in ("h1", "h2"))

    slow = CALLS._replace(name="slow-calls", prefix="/slow-calls/", timeout=9.0)
    assert run_virtual_scenario(scenario, make_policy(routes=[slow])) == attempts

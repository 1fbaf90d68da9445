"""Node processes whose descriptors are used up, or would be, by connections of callers."""

import asyncio

import pytest

from tests.descriptor_fleet import (
    SETTLE_TIME,
    LimitedFleet,
    close_all,
    open_connections,
    processor_time,
    send_payouts,
)

pytestmark = pytest.mark.process

DESCRIPTORS = 300
IDLE = 400  # connections of callers that send nothing; more than the descriptors
PAYOUTS_AT_ONCE = 12
SERVICE_TIME = 1.0  # seconds


async def run_with_idle_callers():
    """Return the statuses of payouts and whether readiness answers, while callers sit idle."""
    fleet, opened = LimitedFleet(DESCRIPTORS), []
    try:
        node = await fleet.start_pair()
        opened += await open_connections(node.outbound, IDLE)
        await asyncio.sleep(SETTLE_TIME)
        kept = await open_connections(node.outbound, PAYOUTS_AT_ONCE)
        opened += kept
        statuses = await send_payouts(kept)
        return statuses, [await fleet.is_ready(n) for n in fleet.nodes.values()]
    finally:
        close_all(opened)
        await fleet.close()


async def run_payouts_during_a_flood(sent):
    """Return the statuses of payouts that run while callers open connections and send `sent`."""
    fleet, opened = LimitedFleet(DESCRIPTORS), []
    try:
        node = await fleet.start_pair()
        node.worker.service_time = SERVICE_TIME
        kept = await open_connections(node.outbound, PAYOUTS_AT_ONCE)
        opened += kept
        payouts = asyncio.ensure_future(send_payouts(kept))
        await asyncio.sleep(SERVICE_TIME / 4)
        opened += await open_connections(node.outbound, IDLE, sent)
        return await payouts
    finally:
        close_all(opened)
        await fleet.close()


@pytest.mark.parametrize("sent", [b"", b"GET /half HTTP/1.1\r\nHo"])
def test_nested_calls_of_running_payouts_get_connections_during_a_flood(sent):
    assert asyncio.run(run_payouts_during_a_flood(sent)) == [200] * PAYOUTS_AT_ONCE


async def run_with_unknown_limit():
    """As `run_with_idle_callers`, with a limit that the node did not know at its start.

    Also returns whether the node accepts connections after the callers have left, and the processor
    time in seconds that it took at the limit.
    """
    fleet, opened = LimitedFleet(None), []
    try:
        node = await fleet.start_pair()
        fleet.limit_descriptors(node, DESCRIPTORS)
        idle = await open_connections(node.outbound, IDLE // 2)
        await asyncio.sleep(SETTLE_TIME)
        kept = await open_connections(node.outbound, PAYOUTS_AT_ONCE)
        idle += await open_connections(node.outbound, IDLE // 2)
        opened += kept + idle
        before = processor_time(node)
        await asyncio.sleep(SETTLE_TIME)
        used = processor_time(node) - before
        statuses = await send_payouts(kept)
        close_all(idle)
        await asyncio.sleep(SETTLE_TIME)
        again = await open_connections(node.outbound, PAYOUTS_AT_ONCE)
        opened += again
        after = await send_payouts(again)
        return statuses, after, await fleet.is_ready(node), used, fleet.log_file(node).read_text()
    finally:
        close_all(opened)
        await fleet.close()


def test_a_node_that_does_not_know_its_limit_learns_it_and_goes_on_accepting():
    statuses, after, ready, used, log = asyncio.run(run_with_unknown_limit())
    assert statuses == [200] * PAYOUTS_AT_ONCE
    assert after == [200] * PAYOUTS_AT_ONCE and ready
    assert used < 0.3 * SETTLE_TIME  # it does not try again and again to accept
    assert "DESCRIPTORS_EXHAUSTED" in log


def test_idle_connections_of_callers_leave_descriptors_for_payouts_and_readiness():
    statuses, ready = asyncio.run(run_with_idle_callers())
    assert statuses == [200] * PAYOUTS_AT_ONCE
    assert ready == [True, True]

"""A coordinator that is alive but hears or answers no queries: the sum stays within the quota.

Guards against nodes that spend their own share while the coordinator grants the whole rate to
others: in issue 39 a quota was exceeded by half of its rate for as long as replies were lost.
"""

import asyncio

import pytest

from tests.quota_fleet import bound, run_fleet
from thorntray.internal.membership.gossip import QuotaAsk, QuotaGrant, decode_datagram
from thorntray.internal.request.quota_wait import QuotaReason
from thorntray.internal.version.workspaces import Workspace

QUOTA = Workspace("himal", None, 100.0, 20.0)
NODES = [f"n{i:04}" for i in range(60)]
LOST = pytest.mark.parametrize(
    "lost", [(QuotaAsk,), (QuotaGrant,), (QuotaAsk, QuotaGrant)], ids=["queries", "replies", "both"]
)


def run_silent(lost, is_silent, settled=2.0, seconds=12.0):
    """Run twice the quota at all nodes; datagrams of the `lost` kinds pass for some nodes only.

    `is_silent` tells by its number whether a node is concerned. Returns the fleet, and the time at
    which the losses began, `settled` seconds after the load.
    """

    async def scenario(fleet):
        began = fleet.now
        silent = {name for number, name in enumerate(NODES) if is_silent(number)}

        def drops(sender, target, data):
            concerned = sender in silent or target in silent
            return concerned and isinstance(decode_datagram(data), lost)

        load = fleet.load("himal", 200.0, seconds, lambda n: NODES[n % 60])
        task = asyncio.ensure_future(load)
        await asyncio.sleep(settled)
        fleet.network.drops = drops
        await task
        return fleet, began + settled

    return run_fleet(scenario, 60, [QUOTA])


@LOST
@pytest.mark.parametrize("share", [2, 6, 1], ids=["half", "a sixth", "all"])
def test_nodes_that_the_coordinator_does_not_answer_stay_within_the_quota(lost, share):
    fleet, _ = run_silent(lost, lambda number: number % share == 0)
    assert fleet.most_in_window() <= bound(QUOTA.rate, QUOTA.burst)


@LOST
def test_losses_from_the_first_request_on_stay_within_the_quota(lost):
    fleet, _ = run_silent(lost, lambda number: number % 2 == 0, settled=0.0)
    assert fleet.most_in_window() <= bound(QUOTA.rate, QUOTA.burst)


def test_nodes_that_hear_the_coordinator_are_told_that_the_quota_is_used_up():
    """Guards against 503 for callers over their quota at nodes that are not concerned."""
    fleet, since = run_silent((QuotaGrant,), lambda number: number < 6)
    reasons = [refusal.reason for at, refusal in fleet.refused if at > since + 1.0]
    unknown = reasons.count(QuotaReason.QUOTA_UNKNOWN)
    assert unknown <= 0.25 * len(reasons)
    assert fleet.admitted_between(since, since + 10.0) >= 0.75 * QUOTA.rate * 10


def test_the_quota_is_usable_again_once_the_losses_end():
    async def scenario(fleet):
        fleet.network.drops = lambda s, t, data: isinstance(decode_datagram(data), QuotaGrant)
        await fleet.load("himal", 200.0, 5.0, lambda n: NODES[n % 60])
        fleet.network.drops = lambda s, t, data: False
        await fleet.load("himal", 200.0, 2.0, lambda n: NODES[n % 60])
        began = fleet.now
        await fleet.load("himal", 200.0, 5.0, lambda n: NODES[n % 60])
        return fleet.admitted_between(began, began + 5.0)

    assert run_fleet(scenario, 60, [QUOTA]) >= 0.95 * QUOTA.rate * 5

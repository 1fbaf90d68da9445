"""A whole fleet starts at once, with no seed listed, and every node soon knows all members."""

import asyncio

from tests.builders import run_virtual
from tests.policy_fleet import PolicyFleet

JOIN_LIMIT = 3.0  # seconds from the start until nearly all nodes know nearly all members
NEARLY_ALL = 0.99


async def seconds_until_known(fleet):
    """Start all nodes; return the seconds until nearly all of them know nearly all members."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for node in fleet.nodes.values():
        node.start()
    count = len(fleet.nodes)
    while True:
        known = sorted(len(node.membership.alive()) for node in fleet.nodes.values())
        if known[int((1 - NEARLY_ALL) * count)] >= NEARLY_ALL * count:
            return loop.time() - started_at
        await asyncio.sleep(0.05)


def test_nearly_all_nodes_of_a_fleet_that_starts_at_once_know_nearly_all_members_in_time():
    """Load pattern: every node joins through a few seeds that do not know the others yet."""

    async def scenario():
        return await asyncio.wait_for(seconds_until_known(PolicyFleet(100)), 60)

    assert run_virtual(scenario()) <= JOIN_LIMIT

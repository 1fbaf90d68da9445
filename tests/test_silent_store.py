"""Connections to the store that go silent for good, as on the day `unanswered` of issue 59.

The users' bounds: a change is in force within `APPLY_TIME` of its confirmation once the store has
been undisturbed for `STABLE_TIME`, a leaving is confirmed within `ACK_TIME`, and nothing is sent to
a leaving instance later than `DRAIN_TIME` after that.
"""

import asyncio
import time

import pytest

from soak.routes import SERVICES
from standins.mesh_fleet import STOP_TIMEOUT
from tests.silent_store_fleet import NODES, SilentStoreFleet

pytestmark = pytest.mark.process

APPLY_TIME, ACK_TIME, DRAIN_TIME, STABLE_TIME = 2.0, 4.0, 2.0, 3.0  # seconds
START_TIME = 4.0  # seconds; in calm about one, with one call that is not answered three
SECOND_SILENCE = 2.0  # seconds after the first one
LEASE_TIME = 10.0  # seconds after which an entry whose lease is not renewed is gone


@pytest.mark.parametrize("delay", [0.5, STABLE_TIME])
def test_a_change_a_leaving_a_stop_and_a_start_are_in_time_after_all_connections_went_silent(delay):
    """Guards against nodes that wait for an answer, or go on using a connection without one."""

    async def scenario():
        fleet = SilentStoreFleet()
        try:
            await fleet.start_settled()
            tasks = [asyncio.create_task(fleet.watch_entries())]
            tasks.append(asyncio.create_task(fleet.send_views()))
            assert fleet.silence() >= NODES
            await asyncio.sleep(SECOND_SILENCE)
            assert fleet.silence() > 0
            await asyncio.sleep(delay)
            began = time.monotonic()
            measured = await fleet.measure(SERVICES[1])
            await asyncio.sleep(LEASE_TIME - (time.monotonic() - began))
            for task in tasks:
                task.cancel()
            return measured
        finally:
            await fleet.close()

    measured = asyncio.run(scenario())
    assert max(measured.applied.values()) <= max(APPLY_TIME, STABLE_TIME - delay), measured
    assert measured.acknowledged <= ACK_TIME, measured
    assert measured.last_run <= DRAIN_TIME, measured
    assert measured.exit_code == 0 and measured.stopped <= STOP_TIMEOUT, measured
    assert measured.started <= START_TIME, measured
    assert measured.lost_entries == set(), measured

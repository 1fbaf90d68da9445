"""What a restarted node and its peers know of the session before: the line 128 and the metric.

All tests run in virtual time.
"""

import asyncio
from random import Random

import pytest

from tests.builders import make_member, run_virtual
from tests.fleet_builders import MemoryFleet, MemoryPlatform
from thorntray.internal.membership import restarts
from thorntray.internal.membership.gossip import Address, Spread, encode_datagram
from thorntray.internal.store.roles import SEEDS_PREFIX
from thorntray.internal.telemetry.events import Event

SILENCE = 4.0  # seconds between the end of a session and the start of the next one


@pytest.fixture
def lines(monkeypatch):
    """Return the lines about restarts: their fields."""
    found = []

    def log_event(event, **fields):
        assert event is Event.RESTART_SEEN
        found.append(fields)

    monkeypatch.setattr(restarts, "log_event", log_event)
    return found


async def restart_in_fleet(end):
    """Start five nodes, end one of them, and start it again; return its two peers' counts."""
    fleet = MemoryFleet(Random(1))
    for i in range(5):
        fleet.add(f"n{i}").start(seeds=[fleet.nodes["n0"].address])
    await asyncio.sleep(10)
    former = fleet.nodes["n3"]
    if end == "left":
        former.membership.leave()
        await asyncio.sleep(1)
    await former.kill()
    await asyncio.sleep(SILENCE)
    fleet.add("n3").start(seeds=[fleet.nodes["n0"].address])
    await asyncio.sleep(10)
    return [fleet.nodes[name].membership.restarts.counts[end] for name in ("n0", "n1")]


def test_a_restarted_node_says_so_and_when_the_process_before_started(lines):
    # Failure: nothing tells that a node is in its third process within seconds.
    run_virtual(restart_in_fleet("lost"))
    own = [line for line in lines if "former_started" in line]
    assert len(own) == 1
    assert (own[0]["member"], own[0]["former"]) == ("n3", "lost")
    assert 10 + SILENCE <= own[0]["former_started"] < 11 + SILENCE


def test_peers_of_a_restarted_node_tell_how_long_it_was_silent(lines):
    counts = run_virtual(restart_in_fleet("lost"))
    assert counts == [1, 1]
    silences = [line["silent"] for line in lines if line.get("silent") is not None]
    assert silences and all(SILENCE <= seconds < SILENCE + 10 for seconds in silences)


def test_a_planned_restart_is_counted_and_not_logged_by_peers(lines):
    assert run_virtual(restart_in_fleet("left")) == [1, 1]
    assert [line["former"] for line in lines] == ["left"]
    assert "former_started" in lines[0]


def test_the_same_former_session_is_reported_once(lines):
    async def scenario():
        fleet = MemoryFleet(Random(1))
        node = fleet.add("n0")
        own = node.membership.own
        former = own._replace(session=b"earlier.", version=own.version - 5000)
        data = encode_datagram(Spread(make_member("n1"), {}, (former,)))
        for _ in range(3):
            node.receive(data, Address("n1", 4))

    run_virtual(scenario())
    assert [line["former_started"] for line in lines] == [5.0]


@pytest.mark.parametrize(("name", "found"), [("n0", ["listed"]), ("n1", [])])
def test_a_node_whose_seed_entry_is_still_in_the_store_reports_a_restart(lines, name, found):
    # Failure: where all peers have ended too, nothing tells of the process before.
    async def scenario():
        platform = MemoryPlatform()
        platform.write(f"{SEEDS_PREFIX}d0/{name}", b"127.0.0.1:4")
        MemoryFleet(Random(1), platform).add("n0").start()
        await asyncio.sleep(10)

    run_virtual(scenario())
    assert [line["former"] for line in lines] == found


def test_a_node_that_starts_for_the_first_time_reports_no_restart(lines):
    async def scenario():
        fleet = MemoryFleet(Random(1))
        for i in range(5):
            fleet.add(f"n{i}").start(seeds=[fleet.nodes["n0"].address])
        await asyncio.sleep(10)

    run_virtual(scenario())
    assert lines == []

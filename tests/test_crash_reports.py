"""Gossip of crash reports to all nodes, under loss and restarts, in virtual time."""

import asyncio
from random import Random

import pytest

from tests.builders import run_virtual
from tests.fleet_builders import MemoryFleet
from thorntray.internal.membership.crash_reports import (
    MAX_REPORTED_FINGERPRINTS,
    START_QUERIES,
    SYNC_PERIOD,
    CrashReports,
)
from thorntray.internal.membership.gossip import MAX_DATAGRAM_BYTES, CrashReport
from thorntray.internal.overload.crash_suspects import MAX_SUSPECTS, Crash, CrashSuspects
from thorntray.internal.process.tasks import BackgroundTasks

CULPRIT, INNOCENT = 2**63 + 1, 2
GOSSIP_LIMIT = 3.0  # seconds; `StableS`
JOIN_TIME = 20.0  # seconds until all members know each other


class ReportFleet:
    """Nodes that exchange crash reports."""

    def __init__(self, seed, count):
        self.fleet = MemoryFleet(Random(seed))
        self.tasks = BackgroundTasks()
        self.reports = {}
        self.suspects = {}
        for i in range(count):
            self.add(f"n{i:02}", f"d{i % 3}")

    def add(self, name, domain, **values):
        node = self.fleet.add(name, domain, **values)
        node.start(seeds=[self.fleet.nodes["n00"].address])
        suspects = CrashSuspects(node.clock, lambda *_: None)
        reports = CrashReports(suspects, node.membership, node.clock, self.fleet.rng)
        self.suspects[name], self.reports[name] = suspects, reports
        node.reports_task = self.tasks.spawn(reports.run())

    async def kill(self, name):
        node = self.fleet.nodes[name]
        await node.kill()
        node.reports_task.cancel()
        del self.suspects[name], self.reports[name]

    async def restart(self, name):
        """Replace a node by a new process at the same address, without what it knew."""
        await self.kill(name)
        self.add(name, "d0", port=self.fleet.nodes[name].address.port)

    def crash(self, name, crash_id, *fingerprints):
        now = self.fleet.nodes[name].clock.boottime()
        ran = frozenset(fingerprints)
        self.reports[name].report_crash(Crash(crash_id, now, len(ran), ran))

    async def crash_three(self, *fingerprints):
        for number, name in enumerate(("n03", "n11", "n17")):
            await asyncio.sleep(2.0)
            self.crash(name, 100 + number, *fingerprints)

    def not_refusing(self, fingerprint):
        return [name for name, s in self.suspects.items() if not s.blocked_for(fingerprint)]


@pytest.mark.parametrize("seed", range(5))
def test_sixty_nodes_refuse_a_culprit_three_seconds_after_its_third_crash(seed):
    async def scenario():
        fleet = ReportFleet(seed, 60)
        await asyncio.sleep(JOIN_TIME)
        fleet.fleet.loss = 0.2
        await fleet.crash_three(CULPRIT, INNOCENT + seed)
        fleet.reports["n40"].report_success(INNOCENT + seed)
        await asyncio.sleep(GOSSIP_LIMIT)
        return fleet.not_refusing(CULPRIT), len(fleet.not_refusing(INNOCENT + seed))

    assert run_virtual(scenario()) == ([], 60)


@pytest.mark.parametrize("seed", range(3))
def test_three_quick_crashes_are_known_everywhere_in_time(seed):
    """Guards against the time to watch a new suspect and the gossip adding up beyond 3 s."""

    async def scenario():
        fleet = ReportFleet(seed, 60)
        await asyncio.sleep(JOIN_TIME)
        fleet.fleet.loss = 0.2
        for number, name in enumerate(("n03", "n11", "n17")):
            await asyncio.sleep(0.3)
            fleet.crash(name, 100 + number, CULPRIT)
        await asyncio.sleep(GOSSIP_LIMIT)
        return fleet.not_refusing(CULPRIT)

    assert run_virtual(scenario()) == []


def test_a_success_ends_a_block_everywhere():
    async def scenario():
        fleet = ReportFleet(1, 20)
        await asyncio.sleep(JOIN_TIME)
        await fleet.crash_three(INNOCENT)
        await asyncio.sleep(GOSSIP_LIMIT)
        refusing = 20 - len(fleet.not_refusing(INNOCENT))
        fleet.reports["n05"].report_success(INNOCENT)
        await asyncio.sleep(GOSSIP_LIMIT)
        return refusing, len(fleet.not_refusing(INNOCENT))

    assert run_virtual(scenario()) == (20, 20)


def test_a_restarted_node_learns_what_is_blocked_and_its_own_crash_stays_known():
    """Guards against a culprit that passes through a node which has just started."""

    async def scenario():
        fleet = ReportFleet(1, 20)
        await asyncio.sleep(JOIN_TIME)
        fleet.fleet.loss = 0.2
        fleet.crash("n03", 100, CULPRIT)
        await asyncio.sleep(1.0)
        await fleet.restart("n03")
        await asyncio.sleep(2.0)
        crashes = set(fleet.suspects["n03"].crashes)
        fleet.crash("n11", 101, CULPRIT)
        await asyncio.sleep(1.0)
        fleet.crash("n17", 102, CULPRIT)
        await asyncio.sleep(GOSSIP_LIMIT)
        not_refusing = fleet.not_refusing(CULPRIT)
        await asyncio.sleep(10.0)  # until nothing is gossiped any more
        fleet.fleet.loss = 0.0
        await fleet.restart("n03")
        await asyncio.sleep(0.5)
        return crashes, not_refusing, fleet.not_refusing(CULPRIT)

    assert run_virtual(scenario()) == ({100}, [], [])


def test_the_sides_of_a_partition_exchange_their_reports_when_it_ends():
    async def scenario():
        fleet = ReportFleet(1, 10)
        await asyncio.sleep(JOIN_TIME)
        fleet.fleet.partition_of = {f"n{i:02}": i % 2 for i in range(10)}
        fleet.crash("n03", 100, CULPRIT)
        fleet.crash("n04", 101, CULPRIT)
        await asyncio.sleep(20.0)
        fleet.fleet.partition_of = {}
        await asyncio.sleep(20.0)
        return {frozenset(s.crashes) for s in fleet.suspects.values()}

    assert run_virtual(scenario()) == {frozenset({100, 101})}


def test_without_a_crash_nothing_is_sent_after_the_start():
    async def scenario():
        fleet = ReportFleet(1, 5)
        await asyncio.sleep(JOIN_TIME)
        queries = START_QUERIES - fleet.reports["n01"]._queries_left
        sent = []
        fleet.fleet.nodes["n01"].membership.send_datagram = lambda *sent_to: sent.append(sent_to)
        await asyncio.sleep(3 * SYNC_PERIOD)
        return queries, sent

    assert run_virtual(scenario()) == (START_QUERIES, [])


def test_the_largest_reports_fit_in_a_datagram_and_reach_all_nodes():
    async def scenario():
        fleet = ReportFleet(1, 4)
        await asyncio.sleep(JOIN_TIME)
        sizes = []
        for node in fleet.fleet.nodes.values():
            send = node.send
            node.send = lambda data, address, send=send: (
                sizes.append(len(data)),
                send(data, address),
            )
            node.membership._sender._transport = node
        for number in range(3):
            start = 2**63 + number * 1000
            fleet.crash("n01", 100 + number, *range(start, start + MAX_REPORTED_FINGERPRINTS))
        await asyncio.sleep(GOSSIP_LIMIT)
        return max(sizes), {len(s.crashes) for s in fleet.suspects.values()}

    largest, known = run_virtual(scenario())
    assert largest <= MAX_DATAGRAM_BYTES and known == {3}


def test_an_oversized_report_of_a_faulty_peer_is_cut_off():
    """Guards against reports that this node could not pass on, and against unbounded memory."""

    async def scenario():
        fleet = ReportFleet(1, 1)
        reports = fleet.reports["n00"]
        address = fleet.fleet.nodes["n00"].address
        for number in range(100):
            start = number * 500
            crash = (number, 0.0, 500, tuple(range(start, start + 500)))
            reports._on_report(CrashReport((crash,)), address)
        suspects = fleet.suspects["n00"]
        most = max(len(crash.fingerprints) for crash in suspects.crashes.values())
        return most, suspects.suspect_count

    most, count = run_virtual(scenario())
    assert most <= MAX_REPORTED_FINGERPRINTS and count <= MAX_SUSPECTS

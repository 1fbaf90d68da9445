"""Runs the fault soak: `python -m soak.run --seed 7`, or `--seeds 50 --seed 100` for a series.

The exit code is 0 when no guarantee was violated, 1 otherwise; in that case the folder with the
nodes' logs is printed. A seed determines the fault plan and the load, but not how the machine
schedules processes and network traffic, so a failure may not recur with the same seed.
"""

import asyncio
import sys
import time
from collections import Counter
from collections.abc import Sequence
from random import Random

from absl import app, flags

from soak.api_keys import KeyRing, key_violations
from soak.checks import RECOVERY_TIME, safety_violations, summary, violations
from soak.clients import Callers
from soak.faults import FaultInjector
from soak.heavy_load import HeavyLoad
from soak.holders import holder_lines
from soak.lost_answers import broken_off
from soak.new_connections import connection_summary, cut_connections
from soak.observation import Observation, RouteChange
from soak.plan import Fault, draw_plan
from soak.process_watch import ProcessWatcher
from soak.routes import BEHAVIORS, SERVICES, build_routes
from standins.mesh_fleet import MeshFleet, ProcessLimits

_SEED = flags.DEFINE_integer("seed", None, "First seed; by default taken from the clock.")
_SEEDS = flags.DEFINE_integer(
    "seeds", 1, "Number of consecutive seeds to run, one after the other."
)
_SECONDS = flags.DEFINE_float(
    "seconds", 12.0, "Length of the phase in which faults start, in seconds."
)
_NODES = flags.DEFINE_integer(
    "nodes", 9, "Number of nodes, distributed over three services.", lower_bound=3
)

DOMAINS = ("a", "b")
LOAD_AFTER_RECOVERY = 3.0  # seconds of load after the recovery time
MAX_VIOLATION_LINES = 20
MAX_BROKEN_OFF_LINES = 3
CHECK_INTERVAL = 1.0  # seconds
# The usual limits of a process, and lower ones that a run reaches with less load.
MEMORY_LIMITS_MB, DESCRIPTOR_LIMITS = (300, 300, 150), (4100, 500)
MEMBERSHIP_SETTLE_TIME = 3.0  # seconds for the nodes to discover each other


class SoakRun:
    """One soak run with one seed: fleet, callers and fault injection."""

    def __init__(self, seed: int, nodes: int, seconds: float) -> None:
        self.rng = Random(seed)
        self._seed = seed
        self._node_count = nodes
        self._fault_seconds = seconds
        self.fleet = MeshFleet(
            build_routes(SERVICES[0]), BEHAVIORS, Random(self.rng.getrandbits(64))
        )
        self.fleet.names_start = lambda index: (index + seed) % 2 == 0
        key_rng = Random(seed)
        self.ring = KeyRing() if seed % 2 else None  # runs with an even seed have no workspaces
        if self.ring is not None:
            self.fleet.workspaces = self.ring.workspaces()
        self._callers = Callers(
            self.fleet,
            Random(self.rng.getrandbits(64)),
            f"s{seed}",
            lambda: self.ring.draw(key_rng) if self.ring is not None else "",
        )
        self._injector = FaultInjector(self.fleet, self._callers, self.rng, self.ring)
        self._injector.heavy_load = HeavyLoad(
            self.fleet,
            self._callers,
            Random(f"heavy load {seed}"),
            f"s{seed}",
            lambda: self.ring.unlimited_key() if self.ring is not None else "",
        )
        self.fleet.limits = draw_limits(Random(f"limits {seed}"))
        self.watcher = ProcessWatcher(self.fleet)
        self.new_connections = self._injector.start_faults.new_connections.connections
        self._faults: list[Fault] = []
        self._load_started_at = 0.0

    async def run(self) -> Observation:
        """Run the fault plan and the recovery phase; returns the observations."""
        placements = [
            (SERVICES[i % len(SERVICES)], DOMAINS[i // len(SERVICES) % 2])
            for i in range(self._node_count)
        ]
        await self.fleet.start(placements)
        await asyncio.sleep(MEMBERSHIP_SETTLE_TIME)
        self._load_started_at = time.monotonic()
        self._injector.changes.append(RouteChange(self._load_started_at, SERVICES[0]))
        self._faults = draw_plan(self.rng, list(self.fleet.nodes), self._fault_seconds)
        load = asyncio.create_task(self._callers.run())
        checker = asyncio.create_task(self._check_safety())
        watcher = asyncio.create_task(self.watcher.run())
        try:
            await asyncio.gather(*(self._inject(fault) for fault in self._faults))
            end = max(fault.end for fault in self._faults) + RECOVERY_TIME + LOAD_AFTER_RECOVERY
            await asyncio.sleep(max(0.0, self._load_started_at + end - time.monotonic()))
        finally:
            load.cancel()
            checker.cancel()
            watcher.cancel()
        await self._callers.wait_finished()
        self.watcher.check_all()
        return self._observation()

    async def close(self) -> None:
        """Close the callers' connections, and end all processes and stand-ins."""
        await self._callers.close()
        await self.fleet.close()

    def _observation(self) -> Observation:
        return Observation(
            self._load_started_at,
            self._callers.attempts,
            self.fleet.record,
            self._faults,
            self._injector.changes,
            self._injector.control.stops,
            self.ring.refusable_keys if self.ring is not None else frozenset(),
            tuple(node.name for node in self.fleet.nodes.values() if not node.running),
            {n.name: n.service for n in self.fleet.nodes.values() if n.worker.listening},
            self._injector.control.hangups,
            self.watcher.memory_kills,
            self.watcher.own_ends,
        )

    async def _check_safety(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            for line in safety_violations(self._observation()):
                print(f"seed {self._seed}, during the run: {line}", flush=True)
                return

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._load_started_at + fault.start - time.monotonic()))
        await self._injector.inject(fault)


def draw_limits(rng: Random) -> ProcessLimits:
    """Return the limits of all nodes of a run."""
    return ProcessLimits(rng.choice(MEMORY_LIMITS_MB), rng.choice(DESCRIPTOR_LIMITS))


async def run_seed(seed: int, nodes: int, seconds: float) -> list[str]:
    """Run one seed; returns the violations."""
    soak = SoakRun(seed, nodes, seconds)
    try:
        observation = await soak.run()
    finally:
        await soak.close()
    violation_lines = violations(observation)
    violation_lines += cut_connections(observation, soak.new_connections)
    if soak.ring is not None:
        violation_lines += key_violations(observation, soak.ring)
    kinds = Counter(line.partition(":")[0] for line in violation_lines)
    print(f"seed {seed}: {summary(observation)}, violations: {dict(kinds)}", flush=True)
    peaks = soak.watcher.peaks_mb
    largest = max(peaks, key=lambda name: peaks[name], default="")
    print(f"  limits {tuple(soak.fleet.limits or ())}, peak {peaks.get(largest)} MB at {largest}")
    if soak.watcher.early_hangups:
        print(f"  SIGHUP ended {soak.watcher.early_hangups} processes while they were starting")
    if soak.new_connections:
        print(f"  {connection_summary(soak.new_connections)}")
    cut_short = broken_off(observation)
    if cut_short:
        print(f"  {len(cut_short)} requests got an error while a worker was at work on them")
        for line in holder_lines(soak.fleet.folder, cut_short[:MAX_BROKEN_OFF_LINES]):
            print(f"  {line}")
    if violation_lines:
        for fault in observation.faults:
            print(f"  {fault.start:6.2f} s {fault.kind.name} {fault.node} {fault.duration} s")
        for line in violation_lines[:MAX_VIOLATION_LINES]:
            print(f"  {line}")
        for line in holder_lines(soak.fleet.folder, violation_lines):
            print(f"  {line}")
        print(f"  logs: {soak.fleet.folder}", flush=True)
    return violation_lines


def main(argv: Sequence[str]) -> int:
    """Run the seeds given by the flags; returns the exit code."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    first = _SEED.value if _SEED.value is not None else int(time.time()) % 1_000_000
    failed = [
        seed
        for seed in range(first, first + _SEEDS.value)
        if asyncio.run(run_seed(seed, _NODES.value, _SECONDS.value))
    ]
    if failed:
        print(f"failed seeds: {failed}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)

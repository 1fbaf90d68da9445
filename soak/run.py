"""Runs the fault soak: `python -m soak.run --seed 7`, or `--seeds 50 --seed 100` for a series.

The exit code is 0 when no guarantee was violated, 1 otherwise; in that case the folder with the
nodes' logs is printed. A seed determines the fault plan and the load, but not how the machine
schedules processes and network traffic, so a failure may not recur with the same seed.
"""

import asyncio
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from random import Random

from absl import app, flags

from soak.checks import (
    RECOVERY_TIME,
    Observation,
    RouteChange,
    safety_violations,
    summary,
    violations,
)
from soak.clients import Callers
from soak.plan import Fault, FaultKind, draw_plan
from standins.mesh_fleet import STOP_TIMEOUT, MeshFleet, NodeProcess, RouteConfig

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

SERVICES = ("tariff", "settle", "stock")
DOMAINS = ("a", "b")
NESTED_CALLS = {"/prices/1": "/inner/1"}
LOAD_AFTER_RECOVERY = 3.0  # seconds of load after the recovery time
CHECK_INTERVAL = 1.0  # seconds
MEMBERSHIP_SETTLE_TIME = 3.0  # seconds for the nodes to discover each other
PROXY_DELAY = 0.2  # seconds, of delayed links
RESTORED_COPY_AGE = 5.0  # seconds, at the start of the fault
SURGE_FACTOR = 4.0
SLOW_FACTOR = 8.0


def build_routes(moving_service: str) -> list[RouteConfig]:
    """Return the routes, with `moving` assigned to the service `moving_service`."""
    return [
        RouteConfig("prices", "tariff"),
        RouteConfig("payouts", "settle", kind="non_idempotent", priority=0),
        RouteConfig("views", "stock"),
        RouteConfig("moving", moving_service),
        RouteConfig("inner", "stock"),
    ]


class SoakRun:
    """One soak run with one seed: fleet, callers and fault injection."""

    def __init__(self, seed: int, nodes: int, seconds: float) -> None:
        self.rng = Random(seed)
        self._seed = seed
        self._node_count = nodes
        self._fault_seconds = seconds
        self.fleet = MeshFleet(
            build_routes(SERVICES[0]), NESTED_CALLS, Random(self.rng.getrandbits(64))
        )
        self._callers = Callers(self.fleet, Random(self.rng.getrandbits(64)), f"s{seed}")
        self._changes: list[RouteChange] = []
        self._faults: list[Fault] = []
        self._load_started_at = 0.0
        self._surges = 0

    async def run(self) -> Observation:
        """Run the fault plan and the recovery phase; returns the observations."""
        placements = [
            (SERVICES[i % len(SERVICES)], DOMAINS[i // len(SERVICES) % 2])
            for i in range(self._node_count)
        ]
        await self.fleet.start(placements)
        await asyncio.sleep(MEMBERSHIP_SETTLE_TIME)
        self._load_started_at = time.monotonic()
        self._changes.append(RouteChange(self._load_started_at, SERVICES[0]))
        self._faults = draw_plan(self.rng, list(self.fleet.nodes), self._fault_seconds)
        load = asyncio.create_task(self._callers.run())
        checker = asyncio.create_task(self._check_safety())
        try:
            await asyncio.gather(*(self._inject(fault) for fault in self._faults))
            end = max(fault.end for fault in self._faults) + RECOVERY_TIME + LOAD_AFTER_RECOVERY
            await asyncio.sleep(max(0.0, self._load_started_at + end - time.monotonic()))
        finally:
            load.cancel()
            checker.cancel()
        await self._callers.wait_finished()
        return self._observation()

    def _observation(self) -> Observation:
        return Observation(
            self._load_started_at,
            self._callers.attempts,
            self.fleet.record,
            self._faults,
            self._changes,
        )

    async def _check_safety(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            for line in safety_violations(self._observation()):
                print(f"seed {self._seed}, during the run: {line}", flush=True)
                return

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._load_started_at + fault.start - time.monotonic()))
        node = self.fleet.nodes[fault.node]
        match fault.kind:
            case (
                FaultKind.NODE_KILL
                | FaultKind.NODE_STOP
                | FaultKind.NODE_FREEZE
                | FaultKind.NODE_HANGUP
            ):
                await self._inject_process_fault(node, fault)
            case FaultKind.WORKER_CRASH:
                await node.worker.crash()
                await asyncio.sleep(fault.duration)
                await node.worker.start()
            case FaultKind.WORKER_REPLACE:
                await node.worker.drain_and_restart()
            case FaultKind.CHANGE:
                await self._change_route()
            case FaultKind.STORE_COMPACT:
                await self.fleet.store.compact()
            case FaultKind.STORE_RESTORE:
                await self._restore_store(fault)
            case FaultKind.STORE_LOSES:
                self.fleet.store.responses_to_drop += 1
            case _:
                await self._inject_temporary_fault(node, fault)

    async def _inject_process_fault(self, node: NodeProcess, fault: Fault) -> None:
        if not node.running:
            return
        match fault.kind:
            case FaultKind.NODE_HANGUP:
                node.signal(signal.SIGHUP)
            case FaultKind.NODE_FREEZE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration)
                node.signal(signal.SIGCONT)
            case _:
                kill = fault.kind is FaultKind.NODE_KILL
                node.signal(signal.SIGKILL if kill else signal.SIGTERM)
                await self._wait_exit(node)
                await asyncio.sleep(fault.duration)
                if not node.running:
                    self.fleet.start_node(node)

    async def _restore_store(self, fault: Fault) -> None:
        store = self.fleet.store
        store.fault_mode = "busy"
        await asyncio.sleep(fault.duration)
        await store.restore(fault.duration + RESTORED_COPY_AGE)
        await self.fleet.publish_again()
        store.fault_mode = ""

    async def _wait_exit(self, node: NodeProcess) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT):
                while node.running:
                    await asyncio.sleep(0.05)
        node.signal(signal.SIGKILL)
        while node.running:
            await asyncio.sleep(0.05)

    async def _change_route(self) -> None:
        others = [s for s in SERVICES if s != self._changes[-1].service]
        service = self.rng.choice(others)
        await self.fleet.publish(build_routes(service))
        self._changes.append(RouteChange(time.monotonic(), service))

    async def _inject_temporary_fault(self, node: NodeProcess, fault: Fault) -> None:
        link_proxy, app_proxy, worker, store = (
            node.link_proxy,
            node.app_proxy,
            node.worker,
            self.fleet.store,
        )
        match fault.kind:
            case FaultKind.LINK_DELAY:
                link_proxy.delay = PROXY_DELAY
            case FaultKind.LINK_RESET:
                link_proxy.reset()
            case FaultKind.LINK_ONE_WAY:
                link_proxy.drop_responses = True
            case FaultKind.LINK_SILENT:
                link_proxy.blackhole = True
            case FaultKind.DATAGRAM_LOSS:
                link_proxy.datagram_loss_rate = 0.4
            case FaultKind.APP_RESET:
                app_proxy.reset()
            case FaultKind.APP_DELAY:
                app_proxy.delay = PROXY_DELAY
            case FaultKind.WORKER_SLOW:
                worker.slowdown = SLOW_FACTOR
            case FaultKind.WORKER_LOSES:
                worker.response_loss_rate = 0.4
            case FaultKind.STORE_BUSY | FaultKind.STORE_SILENT:
                store.fault_mode = "busy" if fault.kind is FaultKind.STORE_BUSY else "silent"
            case FaultKind.SURGE:
                self._callers.rate *= SURGE_FACTOR
        await asyncio.sleep(fault.duration)
        link_proxy.heal()
        app_proxy.heal()
        worker.slowdown, worker.response_loss_rate, store.fault_mode = 1.0, 0.0, ""
        if fault.kind is FaultKind.SURGE:
            self._callers.rate /= SURGE_FACTOR


async def run_seed(seed: int, nodes: int, seconds: float) -> list[str]:
    """Run one seed; returns the violations."""
    soak = SoakRun(seed, nodes, seconds)
    try:
        observation = await soak.run()
    finally:
        await soak.fleet.close()
    violation_lines = violations(observation)
    print(f"seed {seed}: {summary(observation)}, {len(violation_lines)} violations", flush=True)
    if violation_lines:
        for fault in observation.faults:
            print(f"  {fault.start:6.2f} s {fault.kind.name} {fault.node} {fault.duration} s")
        for line in violation_lines[:20]:
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

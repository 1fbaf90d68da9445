"""The fault soak: `python -m soak.run --seed 7`, or `--seeds 50 --seed 100` for a series.

Exit code 0 when every promise held, 1 otherwise; the folder with the nodes' logs is named then.
A seed fixes the plan and the load; how processes and network interleave is the machine's.
"""

import asyncio
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from random import Random

from absl import app, flags

from soak.checks import RECOVERY, Change, Observation, strict_violations, summary, violations
from soak.clients import Callers
from soak.plan import Fault, Kind, draw_plan
from standins.mesh_fleet import STOP_TIMEOUT, MeshFleet, NodeProcess, RouteConfig

_SEED = flags.DEFINE_integer("seed", None, "First seed; drawn when not given.")
_SEEDS = flags.DEFINE_integer("seeds", 1, "How many seeds to run, one after the other.")
_SECONDS = flags.DEFINE_float("seconds", 12.0, "Seconds with faults.")
_NODES = flags.DEFINE_integer("nodes", 9, "Nodes, shared among three services.", lower_bound=3)

SERVICES = ("tariff", "settle", "stock")
DOMAINS = ("a", "b")
CALLS = {"/prices/1": "/inner/1"}
CALM_AFTER_RECOVERY = 3.0  # seconds of load that are judged after the recovery
CHECK_PERIOD = 1.0  # seconds
JOIN_TIME = 3.0  # seconds for the nodes to find each other
LINK_DELAY = 0.2  # seconds
SURGE_FACTOR = 4.0
SLOW_FACTOR = 8.0


def routes(moving_to: str) -> list[RouteConfig]:
    """Return the routes, with the moving one at a service."""
    return [
        RouteConfig("prices", "tariff"),
        RouteConfig("payouts", "settle", kind="non_idempotent", priority=0),
        RouteConfig("views", "stock"),
        RouteConfig("moving", moving_to),
        RouteConfig("inner", "stock"),
    ]


class Soak:
    """One run of one seed."""

    def __init__(self, seed: int, nodes: int, seconds: float) -> None:
        self.rng = Random(seed)
        self._seed = seed
        self._count = nodes
        self._seconds = seconds
        self.fleet = MeshFleet(routes(SERVICES[0]), CALLS, Random(self.rng.getrandbits(64)))
        self._callers = Callers(self.fleet, Random(self.rng.getrandbits(64)), f"s{seed}")
        self._changes: list[Change] = []
        self._faults: list[Fault] = []
        self._began = 0.0
        self._surges = 0

    async def play(self) -> Observation:
        """Play the plan and the recovery; returns what was seen."""
        names = [
            (SERVICES[i % len(SERVICES)], DOMAINS[i // len(SERVICES) % 2])
            for i in range(self._count)
        ]
        await self.fleet.start(names)
        await asyncio.sleep(JOIN_TIME)
        self._began = time.monotonic()
        self._changes.append(Change(self._began, SERVICES[0]))
        self._faults = draw_plan(self.rng, list(self.fleet.nodes), self._seconds)
        load = asyncio.create_task(self._callers.run())
        checking = asyncio.create_task(self._check())
        try:
            await asyncio.gather(*(self._strike(fault) for fault in self._faults))
            end = max(fault.end for fault in self._faults) + RECOVERY + CALM_AFTER_RECOVERY
            await asyncio.sleep(max(0.0, self._began + end - time.monotonic()))
        finally:
            load.cancel()
            checking.cancel()
        await self._callers.settle()
        return self._seen()

    def _seen(self) -> Observation:
        return Observation(
            self._began,
            self._callers.attempts,
            self.fleet.record,
            self._faults,
            self._changes,
        )

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(CHECK_PERIOD)
            for line in strict_violations(self._seen()):
                print(f"seed {self._seed}, at once: {line}", flush=True)
                return

    async def _strike(self, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, self._began + fault.at - time.monotonic()))
        node = self.fleet.nodes[fault.node]
        match fault.kind:
            case Kind.NODE_KILL | Kind.NODE_STOP | Kind.NODE_FREEZE | Kind.NODE_HANGUP:
                await self._strike_process(node, fault)
            case Kind.WORKER_CRASH:
                await node.worker.crash()
                await asyncio.sleep(fault.seconds)
                await node.worker.start()
            case Kind.WORKER_REPLACE:
                await node.worker.drain_and_restart()
            case Kind.CHANGE:
                await self._change()
            case Kind.STORE_COMPACT:
                await self.fleet.store.compact()
            case Kind.STORE_LOSES:
                self.fleet.store.responses_to_drop += 1
            case _:
                await self._strike_for_a_time(node, fault)

    async def _strike_process(self, node: NodeProcess, fault: Fault) -> None:
        if not node.running:
            return
        match fault.kind:
            case Kind.NODE_HANGUP:
                node.signal(signal.SIGHUP)
            case Kind.NODE_FREEZE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.seconds)
                node.signal(signal.SIGCONT)
            case _:
                kill = fault.kind is Kind.NODE_KILL
                node.signal(signal.SIGKILL if kill else signal.SIGTERM)
                await self._await_end(node)
                await asyncio.sleep(fault.seconds)
                if not node.running:
                    self.fleet.start_node(node)

    async def _await_end(self, node: NodeProcess) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(STOP_TIMEOUT):
                while node.running:
                    await asyncio.sleep(0.05)
        node.signal(signal.SIGKILL)
        while node.running:
            await asyncio.sleep(0.05)

    async def _change(self) -> None:
        others = [s for s in SERVICES if s != self._changes[-1].service]
        service = self.rng.choice(others)
        await self.fleet.publish(routes(service))
        self._changes.append(Change(time.monotonic(), service))

    async def _strike_for_a_time(self, node: NodeProcess, fault: Fault) -> None:
        link, app_side, worker, store = (
            node.link_proxy,
            node.app_proxy,
            node.worker,
            self.fleet.store,
        )
        match fault.kind:
            case Kind.LINK_DELAY:
                link.delay = LINK_DELAY
            case Kind.LINK_RESET:
                link.reset()
            case Kind.LINK_ONE_WAY:
                link.drop_responses = True
            case Kind.LINK_SILENT:
                link.blackhole = True
            case Kind.DATAGRAM_LOSS:
                link.datagram_loss_rate = 0.4
            case Kind.APP_RESET:
                app_side.reset()
            case Kind.APP_DELAY:
                app_side.delay = LINK_DELAY
            case Kind.WORKER_SLOW:
                worker.slowdown = SLOW_FACTOR
            case Kind.WORKER_LOSES:
                worker.response_loss_rate = 0.4
            case Kind.STORE_BUSY | Kind.STORE_SILENT:
                store.fault_mode = "busy" if fault.kind is Kind.STORE_BUSY else "silent"
            case Kind.SURGE:
                self._callers.rate *= SURGE_FACTOR
        await asyncio.sleep(fault.seconds)
        link.heal()
        app_side.heal()
        worker.slowdown, worker.response_loss_rate, store.fault_mode = 1.0, 0.0, ""
        if fault.kind is Kind.SURGE:
            self._callers.rate /= SURGE_FACTOR


async def play_seed(seed: int, nodes: int, seconds: float) -> list[str]:
    """Play one seed; returns the violations."""
    soak = Soak(seed, nodes, seconds)
    try:
        seen = await soak.play()
    finally:
        await soak.fleet.close()
    found = violations(seen)
    print(f"seed {seed}: {summary(seen)}, {len(found)} violations", flush=True)
    if found:
        for fault in seen.faults:
            print(f"  {fault.at:6.2f} s {fault.kind.name} {fault.node} {fault.seconds} s")
        for line in found[:20]:
            print(f"  {line}")
        print(f"  logs: {soak.fleet.folder}", flush=True)
    return found


def main(argv: Sequence[str]) -> int:
    """Play the seeds that the flags name."""
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    first = _SEED.value if _SEED.value is not None else int(time.time()) % 1_000_000
    failed = [
        seed
        for seed in range(first, first + _SEEDS.value)
        if asyncio.run(play_seed(seed, _NODES.value, _SECONDS.value))
    ]
    if failed:
        print(f"failed seeds: {failed}", file=sys.stderr)
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)

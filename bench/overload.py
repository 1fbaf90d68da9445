"""Measures goodput, wasted work and recovery of a service chain with an overloaded last service.

Run: `python -m bench.overload [--variants a,b] [--seeds 1,2] [--short]`. Real processes: two
instances each of tariff, haul, settle and stockbook. A lookup runs tariff -> haul -> two concurrent
calls of stockbook; a payout runs settle -> stockbook. In the overload phase stockbook is four times
slower and the arrival rate is doubled. Callers retry failures without backoff in all phases. In the
recovery phase slowdown and surge have ended and no operator intervenes. A table and plots are
written to `bench/results`.
"""

import argparse
import asyncio
import csv
import json
import random
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import quote

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.variant_node import VARIANTS
from standins.fleet import ROOT, Fleet, Site, http

RESULTS = ROOT / "bench/results"
STOCKBOOK_SLOTS = 8
STOCKBOOK_SERVICE_TIME = 0.1  # seconds, before the slowdown
INSTANCES_PER_SERVICE = 2
SLOWDOWN_FACTOR = 4
LOOKUP_RATE = 50.0  # per second
PAYOUT_RATE = 8.0  # per second
SURGE_FACTOR = 2.0
CALLER_RETRIES = 2  # per root request, without backoff
LOOKUP_DEADLINE = 1.0  # seconds
PAYOUT_DEADLINE = 1.5  # seconds
RECOVERY_THRESHOLD = 0.95  # of the share of completed roots in the baseline phase
RECOVERY_WINDOW = 2  # seconds over which that share is averaged
LOOKUP_PATH = f"tariff/prices?nest={quote('haul/slots?nest=stockbook/stock&nest=stockbook/stock')}"
PAYOUT_PATH = "settle/payouts?nest=stockbook/stock"


@dataclass(frozen=True)
class Phases:
    """Lengths of the phases in seconds."""

    baseline: float
    overload: float
    recovery: float


@dataclass
class Root:
    """One root request and its result; times in seconds after the start of the load."""

    name: str
    kind: str
    started_at: float
    ended_at: float = 0.0
    done: bool = False


@dataclass
class RunResult:
    """Root requests of one run, and the latency of refused attempts in microseconds.

    `started` is the monotonic time of the start of the load.
    """

    roots: list[Root] = field(default_factory=list)
    refusals: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    started: float = 0.0


class Callers:
    """Open-loop callers: arrivals do not wait for responses."""

    def __init__(self, fleet: Fleet, seed: int, phases: Phases) -> None:
        self._entries = fleet.sites
        self._rng = random.Random(seed)
        self._phases = phases
        self.run = RunResult()

    async def send_all(self, load_started: "asyncio.Future[None]") -> None:
        """Send the load of all phases; `load_started` is resolved when the first one begins."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            self.run.started = time.monotonic()
            load_started.set_result(None)
            tasks = [
                asyncio.create_task(self._generate(session, "lookup", LOOKUP_RATE)),
                asyncio.create_task(self._generate(session, "payout", PAYOUT_RATE)),
            ]
            await asyncio.gather(*tasks)

    async def _generate(self, session: aiohttp.ClientSession, kind: str, rate: float) -> None:
        phases, next_at, number = self._phases, 0.0, 0
        end = phases.baseline + phases.overload + phases.recovery
        tasks = []
        while next_at < end:
            surge = phases.baseline <= next_at < phases.baseline + phases.overload
            next_at += self._rng.expovariate(rate * (SURGE_FACTOR if surge else 1.0))
            await asyncio.sleep(max(0.0, self.run.started + next_at - time.monotonic()))
            number += 1
            root = Root(f"{kind}-{number}", kind, time.monotonic() - self.run.started)
            self.run.roots.append(root)
            tasks.append(asyncio.create_task(self._send_root(session, root)))
        await asyncio.gather(*tasks)

    async def _send_root(self, session: aiohttp.ClientSession, root: Root) -> None:
        deadline = LOOKUP_DEADLINE if root.kind == "lookup" else PAYOUT_DEADLINE
        give_up_at = time.monotonic() + deadline
        grant = ""
        attempts = 0
        while attempts <= CALLER_RETRIES and (time_left := give_up_at - time.monotonic()) > 0.02:
            headers = {"x-request": root.name, "thorntray-deadline-ms": str(int(time_left * 1000))}
            headers["idempotency-key"] = root.name
            if grant:
                headers["thorntray-grant"] = grant
            outcome, new_grant = await self._send_attempt(session, root, headers, time_left)
            if new_grant:
                grant = new_grant
                continue
            attempts += 1
            if outcome == "done":
                root.done = True
                break
            if outcome == "not-run":
                grant = ""
        root.ended_at = time.monotonic() - self.run.started

    async def _send_attempt(
        self, session: aiohttp.ClientSession, root: Root, headers: dict[str, str], time_left: float
    ) -> tuple[str, str]:
        entry = self._rng.choice(self._entries)
        method, path = ("GET", LOOKUP_PATH) if root.kind == "lookup" else ("POST", PAYOUT_PATH)
        url = f"{entry.url}/call/{path}"
        timeout = aiohttp.ClientTimeout(total=time_left)
        began = time.monotonic()
        try:
            async with session.request(method, url, headers=headers, timeout=timeout) as resp:
                await resp.read()
                outcome = resp.headers.get("thorntray-outcome", "unknown")
                grant = resp.headers.get("thorntray-grant", "") if resp.status == 428 else ""
        except (aiohttp.ClientError, TimeoutError):
            return "unknown", ""
        if outcome == "not-run" and not grant:
            self.run.refusals.record_value(max(1, int((time.monotonic() - began) * 1e6)))
        return outcome, grant


async def _drive(fleet: Fleet, seed: int, phases: Phases) -> RunResult:
    callers = Callers(fleet, seed, phases)
    started = asyncio.get_running_loop().create_future()
    sending = asyncio.create_task(callers.send_all(started))
    await started
    await asyncio.sleep(phases.baseline)
    await asyncio.to_thread(_set_slowdown, fleet, SLOWDOWN_FACTOR)
    await asyncio.sleep(phases.overload)
    await asyncio.to_thread(_set_slowdown, fleet, 1)
    await sending
    return callers.run


def _set_slowdown(fleet: Fleet, factor: float) -> None:
    for site in fleet.sites:
        if site.service == "stockbook":
            http("POST", f"{site.upstream_url}/control", {"slowdown": factor})


def measure(variant: str, seed: int, phases: Phases) -> tuple[dict[str, float], RunResult]:
    """Run one variant with one seed; returns the figures and the raw result."""
    with Fleet(["himal"]) as fleet:
        fleet.node_command = ("-m", "bench.variant_node", variant)
        fleet.start_platform()
        fleet.apply("himal", ROOT / "bench/settings/himal.ini")
        for service, slots, service_time in (
            ("tariff", 50, 0.005),
            ("haul", 50, 0.005),
            ("settle", 50, 0.005),
            ("stockbook", STOCKBOOK_SLOTS, STOCKBOOK_SERVICE_TIME),
        ):
            for domain in ("kalimati", "balaju")[:INSTANCES_PER_SERVICE]:
                fleet.add_site(Site(f"{service}-{domain}", service, domain, slots, service_time))
        fleet.wait_ready()
        run = asyncio.run(_drive(fleet, seed, phases))
        return _compute_figures(fleet, run, phases), run


def _compute_figures(fleet: Fleet, run: RunResult, phases: Phases) -> dict[str, float]:
    record = fleet.run_counts()
    done = {root.name for root in run.roots if root.done}
    runs_by_root = {name.split(":")[1]: 0 for name in record}
    for name, count in record.items():
        runs_by_root[name.split(":")[1]] += count
    total_runs = sum(runs_by_root.values())
    wasted_runs = sum(count for name, count in runs_by_root.items() if name not in done)
    duplicate_payouts = sum(
        count > 1 for name, count in record.items() if name.startswith("settle:payout")
    )
    begin, end = phases.baseline, phases.baseline + phases.overload
    capacity = (
        INSTANCES_PER_SERVICE * STOCKBOOK_SLOTS / STOCKBOOK_SERVICE_TIME / SLOWDOWN_FACTOR
    )  # stockbook calls / s
    in_overload = [r for r in run.roots if r.done and begin + 1 <= r.ended_at < end]
    seconds = phases.overload - 1
    payouts = sum(r.kind == "payout" for r in in_overload) / seconds
    lookups = sum(r.kind == "lookup" for r in in_overload) / seconds
    offered_payouts = [
        r for r in run.roots if r.kind == "payout" and begin <= r.started_at < end - 1.5
    ]
    return {
        "goodput_share": (payouts + 2 * lookups) / capacity,
        "lookups_per_s": lookups,
        "payouts_done_share": sum(r.done for r in offered_payouts) / max(1, len(offered_payouts)),
        "wasted_share": wasted_runs / max(1, total_runs),
        "attempts_per_root": total_runs / max(1, len(run.roots)),
        "recovery_s": _recovery_time(run, phases),
        "refusal_p99_ms": run.refusals.get_value_at_percentile(99) / 1000,
        "run_twice": duplicate_payouts,
    }


def _done_per_second(run: RunResult, phases: Phases) -> list[int]:
    buckets = [0] * (int(phases.baseline + phases.overload + phases.recovery) + 3)
    for root in run.roots:
        if root.done and int(root.ended_at) < len(buckets):
            buckets[int(root.ended_at)] += 1
    return buckets


def _recovery_time(run: RunResult, phases: Phases) -> float:
    """Return seconds from the end of the overload to recovered goodput, -1 if it never recovers.

    Goodput is the share of completed requests among the roots that start in a window of
    `RECOVERY_WINDOW` seconds, so that random variation of the arrivals does not affect it.
    """
    baseline_share = _done_share(run, 1.0, phases.baseline - 0.5)
    end = phases.baseline + phases.overload
    step, window_start = 0.25, end
    while window_start + RECOVERY_WINDOW <= end + phases.recovery - 1.0:
        if (
            _done_share(run, window_start, window_start + RECOVERY_WINDOW)
            >= RECOVERY_THRESHOLD * baseline_share
        ):
            return window_start - end
        window_start += step
    return -1.0


def _done_share(run: RunResult, begin: float, end: float) -> float:
    roots = [root for root in run.roots if begin <= root.started_at < end]
    return sum(root.done for root in roots) / max(1, len(roots))


def _plot(series: dict[str, list[int]], phases: Phases, file: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    for variant, values in series.items():
        axes.plot(values, label=variant, linewidth=2.5 if variant == "thorntray" else 1)
    axes.axvspan(phases.baseline, phases.baseline + phases.overload, alpha=0.12, color="red")
    axes.set_xlabel("seconds")
    axes.set_ylabel("whole requests done per second")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=90)


def main() -> None:
    """Run the chosen variants and seeds and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--name", default="overload")
    parser.add_argument(
        "--short", action="store_true", help="phases of 4+6+6 s instead of 5+10+12 s"
    )
    args = parser.parse_args()
    phases = Phases(4, 6, 6) if args.short else Phases(5, 10, 12)
    rows, series = [], {}
    for variant in args.variants.split(","):
        for seed in map(int, args.seeds.split(",")):
            figures, run = measure(variant, seed, phases)
            rows.append({"variant": variant, "seed": seed, **figures})
            series.setdefault(variant, _done_per_second(run, phases))
            text = "  ".join(f"{key} {value:.3g}" for key, value in figures.items())
            print(f"{variant:13} seed {seed}  {text}", flush=True)
    RESULTS.mkdir(exist_ok=True)
    with (RESULTS / f"{args.name}.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, rows[0])
        writer.writeheader()
        writer.writerows(rows)
    (RESULTS / f"{args.name}.json").write_text(json.dumps(series))
    _plot(series, phases, RESULTS / f"{args.name}.png")


if __name__ == "__main__":
    main()

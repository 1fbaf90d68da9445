"""Overload of a chain that ends in one tight service: goodput, waste and recovery.

Run: `python -m bench.overload [--variants a,b] [--seeds 1,2] [--short]`. Real processes: two
instances each of tariff, haul, settle and stockbook. A lookup runs tariff -> haul -> two calls
of stockbook at once; a payout runs settle -> stockbook. In the middle phase stockbook is four
times slower, the demand is doubled, and callers repeat at once whatever fails. Then the trigger
ends and nobody acts. A table and plots go to `bench/results`.
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
STOCKBOOK_TIME = 0.1  # seconds
INSTANCES = 2
SLOWDOWN = 4
LOOKUPS = 50.0  # per second
PAYOUTS = 8.0  # per second
SURGE = 2.0
REPEATS = 2  # by the caller, at once
LOOKUP_DEADLINE = 1.0  # seconds
PAYOUT_DEADLINE = 1.5  # seconds
RECOVERED_SHARE = 0.95
SETTLED_SECONDS = 2  # for which goodput must stay recovered
LOOKUP = f"tariff/prices?nest={quote('haul/slots?nest=stockbook/stock&nest=stockbook/stock')}"
PAYOUT = "settle/payouts?nest=stockbook/stock"


@dataclass(frozen=True)
class Phases:
    """Lengths in seconds."""

    calm: float
    overload: float
    after: float


@dataclass
class Root:
    """One root request as its caller saw it."""

    name: str
    kind: str
    began: float
    ended: float = 0.0
    done: bool = False


@dataclass
class Run:
    """What one run measured."""

    roots: list[Root] = field(default_factory=list)
    refusals: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))
    started: float = 0.0


class Callers:
    """Open-loop callers: arrivals do not wait for answers."""

    def __init__(self, fleet: Fleet, seed: int, phases: Phases) -> None:
        self._entries = fleet.sites
        self._rng = random.Random(seed)
        self._phases = phases
        self.run = Run()

    async def send_all(self, begun: "asyncio.Future[None]") -> None:
        """Send all phases; `begun` is resolved when the first one begins."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session._retry_connection = False
            self.run.started = time.monotonic()
            begun.set_result(None)
            tasks = [
                asyncio.create_task(self._arrivals(session, "lookup", LOOKUPS)),
                asyncio.create_task(self._arrivals(session, "payout", PAYOUTS)),
            ]
            await asyncio.gather(*tasks)

    async def _arrivals(self, session: aiohttp.ClientSession, kind: str, rate: float) -> None:
        phases, at, number = self._phases, 0.0, 0
        end = phases.calm + phases.overload + phases.after
        tasks = []
        while at < end:
            surge = phases.calm <= at < phases.calm + phases.overload
            at += self._rng.expovariate(rate * (SURGE if surge else 1.0))
            await asyncio.sleep(max(0.0, self.run.started + at - time.monotonic()))
            number += 1
            root = Root(f"{kind}-{number}", kind, time.monotonic() - self.run.started)
            self.run.roots.append(root)
            tasks.append(asyncio.create_task(self._root(session, root)))
        await asyncio.gather(*tasks)

    async def _root(self, session: aiohttp.ClientSession, root: Root) -> None:
        deadline = LOOKUP_DEADLINE if root.kind == "lookup" else PAYOUT_DEADLINE
        give_up = time.monotonic() + deadline
        grant = ""
        tries = 0
        while tries <= REPEATS and (left := give_up - time.monotonic()) > 0.02:
            headers = {"x-request": root.name, "thorntray-deadline-ms": str(int(left * 1000))}
            headers["idempotency-key"] = root.name
            if grant:
                headers["thorntray-grant"] = grant
            outcome, new_grant = await self._send(session, root, headers, left)
            if new_grant:
                grant = new_grant
                continue
            tries += 1
            if outcome == "done":
                root.done = True
                break
            if outcome == "not-run":
                grant = ""
        root.ended = time.monotonic() - self.run.started

    async def _send(
        self, session: aiohttp.ClientSession, root: Root, headers: dict[str, str], left: float
    ) -> tuple[str, str]:
        entry = self._rng.choice(self._entries)
        method, path = ("GET", LOOKUP) if root.kind == "lookup" else ("POST", PAYOUT)
        url = f"{entry.url}/call/{path}"
        timeout = aiohttp.ClientTimeout(total=left)
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


async def _drive(fleet: Fleet, seed: int, phases: Phases) -> Run:
    callers = Callers(fleet, seed, phases)
    started = asyncio.get_running_loop().create_future()
    sending = asyncio.create_task(callers.send_all(started))
    await started
    await asyncio.sleep(phases.calm)
    await asyncio.to_thread(_slow, fleet, SLOWDOWN)
    await asyncio.sleep(phases.overload)
    await asyncio.to_thread(_slow, fleet, 1)
    await sending
    return callers.run


def _slow(fleet: Fleet, factor: float) -> None:
    for site in fleet.sites:
        if site.service == "stockbook":
            http("POST", f"{site.upstream_url}/control", {"slowdown": factor})


def measure(variant: str, seed: int, phases: Phases) -> tuple[dict[str, float], Run]:
    """Return the figures of one run."""
    with Fleet(["himal"]) as fleet:
        fleet.node_command = ("-m", "bench.variant_node", variant)
        fleet.start_platform()
        fleet.apply("himal", ROOT / "bench/settings/himal.ini")
        for service, slots, service_time in (
            ("tariff", 50, 0.005),
            ("haul", 50, 0.005),
            ("settle", 50, 0.005),
            ("stockbook", STOCKBOOK_SLOTS, STOCKBOOK_TIME),
        ):
            for domain in ("kalimati", "balaju")[:INSTANCES]:
                fleet.add_site(Site(f"{service}-{domain}", service, domain, slots, service_time))
        fleet.wait_ready()
        run = asyncio.run(_drive(fleet, seed, phases))
        return _figures(fleet, run, phases), run


def _figures(fleet: Fleet, run: Run, phases: Phases) -> dict[str, float]:
    record = fleet.run_counts()
    done = {root.name for root in run.roots if root.done}
    runs_of = {name.split(":")[1]: 0 for name in record}
    for name, count in record.items():
        runs_of[name.split(":")[1]] += count
    total = sum(runs_of.values())
    wasted = sum(count for name, count in runs_of.items() if name not in done)
    twice = sum(count > 1 for name, count in record.items() if name.startswith("settle:payout"))
    begin, end = phases.calm, phases.calm + phases.overload
    capacity = INSTANCES * STOCKBOOK_SLOTS / STOCKBOOK_TIME / SLOWDOWN  # stockbook calls / s
    in_overload = [r for r in run.roots if r.done and begin + 1 <= r.ended < end]
    seconds = phases.overload - 1
    payouts = sum(r.kind == "payout" for r in in_overload) / seconds
    lookups = sum(r.kind == "lookup" for r in in_overload) / seconds
    offered = [r for r in run.roots if r.kind == "payout" and begin <= r.began < end - 1.5]
    return {
        "goodput_share": (payouts + 2 * lookups) / capacity,
        "lookups_per_s": lookups,
        "payouts_done_share": sum(r.done for r in offered) / max(1, len(offered)),
        "wasted_share": wasted / max(1, total),
        "attempts_per_root": total / max(1, len(run.roots)),
        "recovery_s": _recovery(run, phases),
        "refusal_p99_ms": run.refusals.get_value_at_percentile(99) / 1000,
        "run_twice": twice,
    }


def _per_second(run: Run, phases: Phases) -> list[int]:
    buckets = [0] * (int(phases.calm + phases.overload + phases.after) + 3)
    for root in run.roots:
        if root.done and int(root.ended) < len(buckets):
            buckets[int(root.ended)] += 1
    return buckets


def _recovery(run: Run, phases: Phases) -> float:
    """Return seconds from the trigger's end to lasting goodput; -1 when it never came.

    Goodput is the share of the roots that began in a window of one second and were done, so
    that the chance of arrivals does not blur it.
    """
    before = _done_share(run, 1.0, phases.calm - 0.5)
    end = phases.calm + phases.overload
    step, moment = 0.25, end
    while moment + SETTLED_SECONDS <= end + phases.after - 1.0:
        if _done_share(run, moment, moment + SETTLED_SECONDS) >= RECOVERED_SHARE * before:
            return moment - end
        moment += step
    return -1.0


def _done_share(run: Run, begin: float, end: float) -> float:
    chosen = [root for root in run.roots if begin <= root.began < end]
    return sum(root.done for root in chosen) / max(1, len(chosen))


def _plot(series: dict[str, list[int]], phases: Phases, file: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 5))
    for variant, values in series.items():
        axes.plot(values, label=variant, linewidth=2.5 if variant == "thorntray" else 1)
    axes.axvspan(phases.calm, phases.calm + phases.overload, alpha=0.12, color="red")
    axes.set_xlabel("seconds")
    axes.set_ylabel("whole requests done per second")
    axes.legend()
    figure.tight_layout()
    figure.savefig(file, dpi=90)


def main() -> None:
    """Run all variants and write the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--variants", default=",".join(VARIANTS))
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--name", default="overload")
    parser.add_argument("--short", action="store_true", help="4+6+6 s instead of 5+10+12 s")
    args = parser.parse_args()
    phases = Phases(4, 6, 6) if args.short else Phases(5, 10, 12)
    rows, series = [], {}
    for variant in args.variants.split(","):
        for seed in map(int, args.seeds.split(",")):
            figures, run = measure(variant, seed, phases)
            rows.append({"variant": variant, "seed": seed, **figures})
            series.setdefault(variant, _per_second(run, phases))
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

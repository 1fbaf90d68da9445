"""Measures the latency that a node hop adds to a call, compared with direct calls in the same run.

Run: `python -m bench.added_latency [--rate 119] [--seconds 10]`. At the given rate, one client
sends a direct and a carried call to the same instance. A carried call enters at the node of another
instance, so that it includes the hop between two nodes.
"""

import argparse
import asyncio
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from standins.fleet import ROOT, Fleet, Site, http

MAX_LATENCY_US = 10_000_000


async def measure(
    direct: str, carried: str, rate: float, seconds: float
) -> dict[str, HdrHistogram]:
    """Return the latency histograms of direct and carried calls, in microseconds.

    `rate` is in calls per second of each kind.
    """
    histograms = {"direct": HdrHistogram(1, MAX_LATENCY_US, 3)}
    histograms["carried"] = HdrHistogram(1, MAX_LATENCY_US, 3)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        tasks = []
        started = time.perf_counter()
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + index / rate - time.perf_counter()))
            for name, url in (("direct", direct), ("carried", carried)):
                tasks.append(asyncio.create_task(_timed_get(session, url, histograms[name])))
        await asyncio.gather(*tasks)
    return histograms


async def _timed_get(session: aiohttp.ClientSession, url: str, histogram: HdrHistogram) -> None:
    began = time.perf_counter()
    async with session.get(url) as resp:
        await resp.read()
        assert resp.status == 200, resp.headers
    histogram.record_value(max(1, int((time.perf_counter() - began) * 1e6)))


def main() -> None:
    """Print latencies and the CPU time of both nodes per call."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=119.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    with Fleet(["himal"]) as fleet:
        fleet.start_platform()
        fleet.apply("himal", ROOT / "demo/settings/himal")
        entry = fleet.add_site(Site("haul-1", "haul", "kalimati", 50, 0.0))
        target = fleet.add_site(Site("tariff-1", "tariff", "kalimati", 50, 0.0))
        fleet.wait_ready()
        direct = f"{target.upstream_url}/prices?time=0.005"
        carried = f"{entry.url}/call/tariff/prices?time=0.005"
        asyncio.run(measure(direct, carried, args.rate, 2.0))
        before = [_cpu_seconds(site) for site in (entry, target)]
        histograms = asyncio.run(measure(direct, carried, args.rate, args.seconds))
        after = [_cpu_seconds(site) for site in (entry, target)]
    for name, histogram in histograms.items():
        p50, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(f"{name:8} p50 {p50:.2f} ms  p99 {p99:.2f} ms  n {histogram.get_total_count()}")
    for label, percentile in (("p50", 50), ("p99", 99)):
        added = histograms["carried"].get_value_at_percentile(percentile)
        added -= histograms["direct"].get_value_at_percentile(percentile)
        print(f"added {label} {added / 1000:.2f} ms")
    for name, cpu_before, cpu_after in zip(("entry", "target"), before, after, strict=True):
        calls = args.rate * args.seconds
        print(f"{name} node CPU per call {(cpu_after - cpu_before) / calls * 1000:.2f} ms")


def _cpu_seconds(site: Site) -> float:
    return http("GET", f"{site.url}/thorntray/dump")[1]["node"]["cpu_seconds"]


if __name__ == "__main__":
    main()

"""Latency that a node hop adds to a call, against a direct call in the same run.

Run: `python -m bench.added_latency [--rate 119] [--seconds 10]`. Direct and carried calls take
turns at the given rate through one client; both figures come from the same client and instance.
The carried call enters a node that does not front the target, so it makes the node hop.
"""

import argparse
import asyncio
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from standins.fleet import ROOT, Fleet, Site, http

MAX_MICROSECONDS = 10_000_000


async def measure(
    direct: str, carried: str, rate: float, seconds: float
) -> dict[str, HdrHistogram]:
    """Return histograms in microseconds."""
    found = {"direct": HdrHistogram(1, MAX_MICROSECONDS, 3)}
    found["carried"] = HdrHistogram(1, MAX_MICROSECONDS, 3)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        tasks = []
        started = time.perf_counter()
        for i in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + i / rate - time.perf_counter()))
            for name, url in (("direct", direct), ("carried", carried)):
                tasks.append(asyncio.create_task(_one(session, url, found[name])))
        await asyncio.gather(*tasks)
    return found


async def _one(session: aiohttp.ClientSession, url: str, histogram: HdrHistogram) -> None:
    began = time.perf_counter()
    async with session.get(url) as resp:
        await resp.read()
        assert resp.status == 200, resp.headers
    histogram.record_value(max(1, int((time.perf_counter() - began) * 1e6)))


def main() -> None:
    """Print the figures."""
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
        before = [_cpu(site) for site in (entry, target)]
        found = asyncio.run(measure(direct, carried, args.rate, args.seconds))
        after = [_cpu(site) for site in (entry, target)]
    for name, histogram in found.items():
        p50, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(f"{name:8} p50 {p50:.2f} ms  p99 {p99:.2f} ms  n {histogram.get_total_count()}")
    for word, percentile in (("p50", 50), ("p99", 99)):
        added = found["carried"].get_value_at_percentile(percentile)
        added -= found["direct"].get_value_at_percentile(percentile)
        print(f"added {word} {added / 1000:.2f} ms")
    for name, then, now in zip(("entry", "target"), before, after, strict=True):
        calls = args.rate * args.seconds
        print(f"{name} node CPU per call {(now - then) / calls * 1000:.2f} ms")


def _cpu(site: Site) -> float:
    return http("GET", f"{site.url}/thorntray/dump")[1]["node"]["cpu_seconds"]


if __name__ == "__main__":
    main()

"""Measures the control plane cost of a node by fleet size, for docs/CAPACITY.md.

Run: `python -m bench.capacity [--sizes 50,100,200,400,1600]`. The control planes of many nodes run
in one process and in virtual time, with the real codec, over an in-memory network. CPU is the
process time divided by nodes and virtual seconds, so it excludes the kernel's UDP processing.
Memory is measured with `tracemalloc`; `--real` measures memory and CPU of idle node processes.
"""

import argparse
import asyncio
import csv
import gc
import time
import tracemalloc
from random import Random
from typing import Any

from bench.overload import RESULTS
from standins.fleet import ROOT, Fleet, Site, http
from tests.builders import ManualClock, make_member, run_virtual
from tests.fleet_builders import TEAM, MemoryFleet, MemoryPlatform, make_document
from thorntray.internal.membership.member import Health
from thorntray.internal.membership.member_view import MemberView
from thorntray.internal.request.grant import GrantTable
from thorntray.internal.store.roles import settings_key
from thorntray.internal.version.document import Change, Document, encode_document
from thorntray.internal.version.holder import SettingsHolder

DOMAINS = 12
SERVICES = 140
IDLE_SECONDS = 10.0  # length of the measurement of an idle fleet
SPREAD_TIMEOUT = 12.0  # seconds, the target for spreading settings and failures
POLL_INTERVAL = 0.05  # seconds
TARGET_MEMBERS = 1600


def _converged_fleet(size: int, platform: MemoryPlatform | None) -> MemoryFleet:
    """Return a fleet with complete member views and revision 1 of the settings on every node."""
    fleet = MemoryFleet(Random(size), platform)
    for i in range(size):
        fleet.add(f"n{i:04}", f"d{i % DOMAINS}", f"s{i % SERVICES}")
    members = [node.membership.own for node in fleet.nodes.values()]
    for node in fleet.nodes.values():
        for member in members:
            node.membership.view.apply(member)
        node.membership.view._pending.clear()
        node.offer(make_document(1))
        node.membership._revisions_sent = 1_000
    return fleet


async def _wait_until(condition: Any, timeout: float) -> float:
    """Return the virtual seconds until `condition()` is true, or -1 after `timeout` seconds."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not condition():
        if loop.time() - started_at > timeout:
            return -1.0
        await asyncio.sleep(POLL_INTERVAL)
    return loop.time() - started_at


async def _control_cost(fleet: MemoryFleet, seconds: float) -> tuple[float, float]:
    """Return bytes per second (sent and received) and CPU share of one core, per node."""
    nodes = list(fleet.nodes.values())
    before = sum(n.membership.bytes_sent + n.membership.bytes_received for n in nodes)
    cpu = time.process_time()
    await asyncio.sleep(seconds)
    after = sum(n.membership.bytes_sent + n.membership.bytes_received for n in nodes)
    cpu_spent = time.process_time() - cpu
    return (after - before) / len(nodes) / seconds, cpu_spent / len(nodes) / seconds


async def _measure(size: int) -> dict[str, float]:
    fleet = _converged_fleet(size, None)
    nodes = list(fleet.nodes.values())
    for node in nodes:
        node.start()
    await asyncio.sleep(2)
    idle_bytes, idle_cpu = await _control_cost(fleet, IDLE_SECONDS)
    fleet.nodes["n0001"].offer(make_document(2))
    spread_time = await _wait_until(
        lambda: all(n.holder.revision(TEAM) == 2 for n in nodes), SPREAD_TIMEOUT
    )
    await asyncio.sleep(2)
    killed_node = fleet.nodes["n0002"]
    await killed_node.kill()
    remaining = [n for n in nodes if n is not killed_node]
    removal_time = await _wait_until(
        lambda: not any("n0002" in n.member_names() for n in remaining), SPREAD_TIMEOUT
    )
    change_bytes, change_cpu = await _control_cost(fleet, 3.0)
    return {
        "nodes": size,
        "rest_bytes_per_s": idle_bytes,
        "rest_cpu_share": idle_cpu,
        "setting_spread_s": spread_time,
        "dead_out_of_routing_s": removal_time,
        "after_death_bytes_per_s": change_bytes,
        "after_death_cpu_share": change_cpu,
    }


async def _platform_calls(size: int) -> dict[str, float]:
    """Return the rate of platform calls at start, in an idle fleet and after a platform outage."""
    platform = MemoryPlatform()
    platform.write(settings_key(TEAM), encode_document(make_document(1)))
    fleet = _converged_fleet(size, platform)
    for node in fleet.nodes.values():
        node.start()
    figures: dict[str, float] = {}
    await asyncio.sleep(15)
    figures["calls_start_peak"] = max(platform.calls_by_second.values())
    platform.calls_by_second.clear()
    await asyncio.sleep(30)
    figures["calls_rest_per_s"] = sum(platform.calls_by_second.values()) / 30
    platform.down = True
    await asyncio.sleep(30)
    platform.down = False
    platform.calls_by_second.clear()
    await asyncio.sleep(10)
    figures["calls_return_peak"] = max(platform.calls_by_second.values(), default=0)
    figures["watchers"] = sum(n.roles.state["watcher"] for n in fleet.nodes.values())
    figures["seeds"] = sum(n.roles.state["seed"] for n in fleet.nodes.values())
    return figures


async def _mass_restart(size: int) -> dict[str, float]:
    """Return the peak of platform calls and the time to complete views when all nodes start."""
    platform = MemoryPlatform()
    platform.write(settings_key(TEAM), encode_document(make_document(1)))
    fleet = MemoryFleet(Random(size), platform)
    for i in range(size):
        fleet.add(f"n{i:04}", f"d{i % DOMAINS}", f"s{i % SERVICES}").start()
    nodes = list(fleet.nodes.values())
    full_view_time = await _wait_until(
        lambda: all(len(n.member_names(Health.ALIVE)) == size for n in nodes), 60
    )
    settings_time = await _wait_until(lambda: all(n.holder.revision(TEAM) == 1 for n in nodes), 60)
    await asyncio.sleep(5)
    return {
        "nodes": size,
        "whole_view_s": full_view_time,
        "settings_s": max(full_view_time, settings_time),
        "calls_peak": max(platform.calls_by_second.values()),
    }


async def _partition_and_merge(size: int) -> dict[str, float]:
    """Return the times to split and to merge in a network partition, and peak bytes per second."""
    fleet = _converged_fleet(size, None)
    nodes = list(fleet.nodes.values())
    for node in nodes:
        node.start()
    await asyncio.sleep(2)
    fleet.partition_of = {f"n{i:04}": i % 2 for i in range(size)}
    partition_time = await _wait_until(
        lambda: all(len(n.member_names()) == size / 2 for n in nodes), 120
    )
    fleet.partition_of = {}
    peak_bytes = 0.0
    loop = asyncio.get_running_loop()
    healed_at = loop.time()
    while not all(len(n.member_names()) == size for n in nodes) and loop.time() - healed_at < 120:
        per_second, _ = await _control_cost(fleet, 1.0)
        peak_bytes = max(peak_bytes, per_second)
    return {
        "nodes": size,
        "apart_s": partition_time,
        "merged_s": loop.time() - healed_at,
        "most_bytes_per_s": peak_bytes,
    }


def _memory() -> dict[str, float]:
    """Return bytes per member, per grant, and of settings for `SERVICES` services."""

    def memory_of(make: Any) -> float:
        gc.collect()
        tracemalloc.start()
        retained = make()
        gc.collect()
        traced_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert retained is not None
        return traced_bytes

    def view() -> MemberView:
        view = MemberView(make_member("me"))
        for i in range(TARGET_MEMBERS):
            name = f"service-{i % SERVICES}-instance-{i}"
            view.apply(make_member(name, f"s{i % SERVICES}", f"d{i % DOMAINS}"))
        view._pending.clear()
        return view

    def grants() -> GrantTable:
        table = GrantTable("n", b"s" * 8, ManualClock(), Random(1))
        for i in range(2000):
            table.issue("settle", "payouts", f"key-{i}")
        return table

    def holder() -> SettingsHolder:
        from tests.fleet_builders import KEYS

        holder = SettingsHolder(KEYS, lambda: None)
        holder.apply_stored(TEAM, encode_document(_large_document()))
        return holder

    return {
        "bytes_per_member": memory_of(view) / TARGET_MEMBERS,
        "bytes_per_grant": memory_of(grants) / 2000,
        "settings_140_services_bytes": memory_of(holder),
        "document_140_services_bytes": len(encode_document(_large_document())),
    }


def _large_document() -> Document:
    from tests.builders import settings_paths
    from tests.fleet_builders import KEY

    services = {f"s{i}": {"slots": 50, "queue": 25, "connections": 400} for i in range(SERVICES)}
    change = Change(1, "w", "a", 0.0, "r", ("x",))
    return Document.empty(TEAM).with_change(settings_paths(services), change, KEY)


def _measure_real_nodes() -> None:
    """Print memory, CPU and control traffic of idle node processes."""
    with Fleet(["himal"]) as fleet:
        fleet.start_platform()
        fleet.apply("himal", ROOT / "demo/settings/himal")
        for i in range(12):
            fleet.add(Site(f"tariff-{i}", "tariff", f"d{i % 3}", 50, 0.005))
        fleet.wait_ready()
        time.sleep(8)
        before = [_dump(site) for site in fleet.sites]
        time.sleep(20)
        after = [_dump(site) for site in fleet.sites]
    for key, get_value in (
        ("cpu share", lambda d: d["node"]["cpu_seconds"]),
        ("control bytes/s", lambda d: d["control"]["bytes_sent"] + d["control"]["bytes_received"]),
    ):
        rates = sorted(
            (get_value(b) - get_value(a)) / 20 for a, b in zip(before, after, strict=True)
        )
        print(f"real nodes at rest: {key}: median {rates[6]:.4g}, most {rates[-1]:.4g}")
    rss = sorted(d["node"]["max_rss_kb"] / 1024 for d in after)
    print(f"real nodes at rest: resident MB: median {rss[6]:.1f}, most {rss[-1]:.1f}")


def _dump(site: Site) -> dict[str, Any]:
    return http("GET", f"{site.url}/thorntray/dump")[1]


def main() -> None:
    """Print the figures and write them to `bench/results/capacity.csv`."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="50,100,200,400,1600")
    parser.add_argument("--restart-sizes", default="50,100,200")
    parser.add_argument("--cut-sizes", default="50,100,200")
    parser.add_argument("--real", action="store_true", help="only measure idle node processes")
    args = parser.parse_args()
    if args.real:
        _measure_real_nodes()
        return
    for key, value in _memory().items():
        print(f"{key}: {value:.0f}", flush=True)
    rows = []
    for size in map(int, args.sizes.split(",")):
        row = run_virtual(_measure(size))
        row |= run_virtual(_platform_calls(size)) if size <= 400 else {}
        rows.append(row)
        print("  ".join(f"{key} {value:.4g}" for key, value in row.items()), flush=True)
    for size in map(int, args.restart_sizes.split(",")):
        row = run_virtual(_mass_restart(size))
        print("mass restart: " + "  ".join(f"{k} {v:.4g}" for k, v in row.items()), flush=True)
    for size in map(int, args.cut_sizes.split(",")):
        row = run_virtual(_partition_and_merge(size))
        print("cut and merge: " + "  ".join(f"{k} {v:.4g}" for k, v in row.items()), flush=True)
    RESULTS.mkdir(exist_ok=True)
    with (RESULTS / "capacity.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, rows[0])
        writer.writeheader()
        writer.writerows(rows)


if __name__ == "__main__":
    main()

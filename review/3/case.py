"""The coordinator of a tenant's quota is cut off, and two nodes grant the quota at once."""

import asyncio
import os
import sys
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from support.fleet import LIMITS, Fleet, route, service, tenant  # noqa: E402
from support.messages import KeptConnections  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TENANT, KEY = "himal", "key-of-himal"
RATE, BURST = 120, 20  # RatePerS and Burst of the tenant
WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20  # QuotaWindowS, QuotaOvershoot, QuotaSlack
BOUND = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK
SENT = (
    4.7 * RATE
)  # requests a second, as `hot_tenant` with x = 7.5 at a quota of 1.6 times the usual
BEFORE, CUT, AFTER = 8.0, 5.5, 6.0  # seconds; 5.5 s is the length of the sheet's `node_cut`
METRICS = 7635
BOUNDS = """
StrictRevocation = true
RevokeS = 5
QuotaWindowS = 5
QuotaOvershoot = 0.1
QuotaSlack = 20
"""
SERVICES = ("forecast", "bookings", "beaches", "instructors")
ZONES = ("qurum", "seeb", "bandar", "azaiba")
ROUTES = {f"of-{name}": {"work_ms": 20, "calls": []} for name in SERVICES}
RESOURCES = [
    *(route(f"of-{name}", name, "idempotent", 1.5) for name in SERVICES),
    *(service(name) for name in SERVICES),
    LIMITS,
    tenant(TENANT, KEY, RatePerS=RATE, Burst=BURST),
]
PLACES = [(name, zone) for zone in ZONES for name in SERVICES]


async def send(fleet, machine, path, sent):
    """Send a request of the tenant and keep its time, machine and status."""
    request_id = uuid.uuid4().hex[:16]
    at = time.monotonic()
    fields = {"X-Request-Id": request_id, "Authorization": f"Bearer {KEY}"}
    answer = await fleet.request(machine, "GET", path, fields, 1500)
    sent[request_id] = (at, machine.name, answer.status if answer is not None else 0)


async def load(fleet, machines, service_name, rate, seconds, sent):
    """Send requests evenly to the machines in turn."""
    began, count, tasks = time.monotonic(), 0, set()
    while time.monotonic() < began + seconds:
        while count < (time.monotonic() - began) * rate:
            task = asyncio.create_task(
                send(fleet, machines[count % len(machines)], f"/of-{service_name}/1", sent)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            count += 1
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


async def find_coordinator(fleet):
    """Return the machine whose metrics say that it counts the tenant's quota."""
    for machine in fleet.machines:
        metrics = KeptConnections(machine.host, METRICS)
        answer = await metrics.send("GET", "/metrics", {"Host": "node"}, b"", 1.0)
        metrics.close()
        for line in answer.body.decode().splitlines():
            if line.startswith("thorntray_quota_coordinated") and float(line.split()[-1]) > 0:
                return machine
    raise RuntimeError("no node coordinates the quota")


def most_in_window(runs):
    """Return the most requests that were sent and run in one window, and when it began."""
    best = (0, 0.0)
    for began, _ in runs:
        count = sum(sent >= began and ran <= began + WINDOW for sent, ran in runs)
        best = max(best, (count, began))
    return best


async def run(record):
    """Run the case."""
    fleet = Fleet(ROUTES, BOUNDS, relayed=True)
    try:
        await fleet.start(PLACES, RESOURCES, slots=65)
        await asyncio.sleep(4.0)
        sent = {}
        await load(fleet, fleet.machines, SERVICES[0], RATE / 2, 2.0, sent)
        coordinator = await find_coordinator(fleet)
        name = coordinator.service
        callers = [m for m in fleet.machines if m.service == name]
        record.note(f"{coordinator.name} coordinates; clients are at {[m.name for m in callers]}")
        task = asyncio.create_task(load(fleet, callers, name, SENT, BEFORE + CUT + AFTER, sent))
        await asyncio.sleep(BEFORE)
        began = time.monotonic()
        if TROUBLE:
            record.note(f"{coordinator.name} is cut off from all other machines")
            fleet.links.cut.add(coordinator.name)
        await asyncio.sleep(CUT)
        fleet.links.cut.clear()
        record.note("no machine is cut off")
        await task
        ran = {r[3]["id"]: (r[1], r[2]) for r in fleet.worker_records() if r[0] == "run"}
        for request_id, (at, name, status) in sent.items():
            worker = f"run by {ran[request_id][1]}" if request_id in ran else "not run"
            record.note(f"{request_id} sent at {name}, answered {status}, {worker}", at)
        runs = sorted((sent[i][0], at) for i, (at, _) in ran.items() if i in sent)
        before = [r for r in runs if r[0] < began]
        record.say(f"bound for {WINDOW} s: {BOUND:.0f} requests; sent: {SENT * WINDOW:.0f}")
        record.say(f"most in a window before the cut: {most_in_window(before)[0]}")
        most, at = most_in_window(runs)
        record.say(f"most in any window: {most}, from {at - began:.2f} s after the cut on")
        for second in range(-5, int(CUT + AFTER)):
            by = [
                sum(
                    began + second <= s < began + second + 1
                    and (sent_name == coordinator.name) == own
                    for s, sent_name in ((sent[i][0], sent[i][1]) for i in ran if i in sent)
                )
                for own in (True, False)
            ]
            record.say(f"second {second:3d}: at the coordinator {by[0]}, elsewhere {by[1]}")
        if most_in_window(before)[0] < 0.8 * RATE * WINDOW:
            record.say("the quota was not served before the cut")
            return NOT_RUN
        return BROKEN if most > BOUND else HELD
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))

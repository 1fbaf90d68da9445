"""A node that ran slowly for some seconds refuses the calls of its worker for good."""

import asyncio
import os
import signal
import sys
import time
import uuid
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from support.case import BROKEN, HELD, NOT_RUN, run_case  # noqa: E402
from support.fleet import LIMITS, Fleet, route, service, tenant  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 29  # payouts a second in all, as on the sheet of the small site; evenly at all machines
WARM_UP, SLOW, AFTER = 6.0, 5.5, 12.0  # seconds; 5.5 s is the length of the sheet's `node_slow`
STABLE = 3.0  # seconds; StableS
PERIOD, SHARE = 0.1, 0.2  # five times slower: a fifth of each tenth of a second
BOUNDS = """
StrictRevocation = true
RevokeS = 5
QuotaWindowS = 5
QuotaOvershoot = 0.1
QuotaSlack = 20
"""
ROUTES = {
    "payouts": {"work_ms": 160, "calls": ["/route-read/1", "/route-read/2"]},
    "route-read": {"work_ms": 15, "calls": []},
}
RESOURCES = [
    route("payouts", "settle", "non_idempotent", 5.0),
    route("route-read", "haul", "idempotent", 2.0),
    service("settle"),
    service("haul"),
    LIMITS,
    tenant("himal", "key-of-himal"),
]
ZONES = ("kalimati", "balaju", "thimi")
PLACES = [(name, zone) for zone in ZONES for name in ("settle", "haul", "tariff")]


async def load(fleet, record, until, answers):
    """Send payouts to the machines in turn."""
    tasks, sent = set(), 0
    began = time.monotonic()

    async def one(machine):
        request_id = uuid.uuid4().hex[:16]
        sent_at = time.monotonic()
        fields = {"X-Request-Id": request_id, "Authorization": "Bearer key-of-himal"}
        answer = await fleet.request(machine, "POST", "/payouts/1", fields, 5000)
        status = answer.status if answer is not None else 0
        answers.append((sent_at, status))
        record.note(f"payout {request_id} at {machine.name} answered {status}", sent_at)

    while time.monotonic() < until:
        while sent < (time.monotonic() - began) * RATE:
            sent += 1
            task = asyncio.create_task(one(fleet.machines[sent % len(fleet.machines)]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


async def slow_down(fleet, machine, seconds):
    """Let a node run for a fifth of each tenth of a second."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        fleet.signal_node(machine, signal.SIGSTOP)
        await asyncio.sleep(PERIOD * (1 - SHARE))
        fleet.signal_node(machine, signal.SIGCONT)
        await asyncio.sleep(PERIOD * SHARE)


async def run(record):
    """Run the case."""
    fleet = Fleet(ROUTES, BOUNDS)
    try:
        await fleet.start(PLACES, RESOURCES, slots=65)
        await asyncio.sleep(6.0)  # the nodes know how long their own start is past
        answers = []
        began = time.monotonic()
        task = asyncio.create_task(load(fleet, record, began + WARM_UP + SLOW + AFTER, answers))
        await asyncio.sleep(WARM_UP)
        if TROUBLE:
            record.note("node of sidecar-01 runs five times slower")
            await slow_down(fleet, fleet.machines[0], SLOW)
            record.note("node of sidecar-01 runs as usual")
        else:
            await asyncio.sleep(SLOW)
        ended = time.monotonic()
        await task
        calls = [r for r in fleet.worker_records() if r[0] == "call"]
        for _, at, worker, fields in calls:
            record.note(f"call {fields['id']} of {worker} answered {fields['status']}", at)
        before = [r for r in calls if r[1] < began + WARM_UP]
        later = [r for r in calls if r[1] > ended + STABLE]
        payouts = [status for at, status in answers if at > ended + STABLE]
        denied_all = sum(r[3]["status"] in (401, 403, 404) for r in calls)
        denied = sum(r[3]["status"] in (401, 403, 404) for r in later)
        total = len(calls) + len(answers)
        record.say(
            f"calls before: {len(before)}, of these answered 200: "
            f"{sum(r[3]['status'] == 200 for r in before)}"
        )
        record.say(
            f"calls from {STABLE} s after the slow time on: {len(later)}, of these 401: {denied}"
        )
        record.say(
            f"payouts from then on: {len(payouts)}, answered 200: {payouts.count(200)}, "
            f"500: {payouts.count(500)}"
        )
        allowed = 5 + total / 500
        record.say(
            f"requests in all: {total}; denied though allowed: {denied_all}; bound {allowed:.0f}"
        )
        if len(before) < 100 or sum(r[3]["status"] == 200 for r in before) < 0.9 * len(before):
            record.say("the calls did not work before the disturbance")
            return NOT_RUN
        return BROKEN if denied > allowed else HELD
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))

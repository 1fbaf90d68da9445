"""A node that restarts sends work to a worker whose leaving it had confirmed before."""

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
from support.fleet import LIMITS, Fleet, route, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RATE = 10  # payouts a second at each machine with a `settle` worker
WARM_UP, AFTER = 3.0, 12.0  # seconds
KILLED_AFTER, DOWN = 0.3, 0.5  # seconds from the confirmation to the kill, and to the new start
LATE, SERVE = 2.5, 8.0  # seconds
STABLE, DRAIN = 3.0, 2.5  # seconds; StableS and DrainS
ZONES = ("kalimati", "balaju", "thimi")
PLACES = [(name, zone) for zone in ZONES for name in ("settle", "tariff", "haul")]
ROUTES = {"payouts": {"work_ms": 160, "calls": []}}
RESOURCES = [
    route("payouts", "settle", "non_idempotent", 5.0),
    service("settle"),
    service("tariff"),
    service("haul"),
    LIMITS,
]


async def load(fleet, until, sent):
    """Send payouts evenly at the machines with a `settle` worker."""
    machines = [m for m in fleet.machines if m.service == "settle"]
    tasks, count, began = set(), 0, time.monotonic()

    async def one(machine):
        request_id = uuid.uuid4().hex[:16]
        at = time.monotonic()
        answer = await fleet.request(
            machine, "POST", "/payouts/1", {"X-Request-Id": request_id}, 5000
        )
        sent[request_id] = (at, machine.name, answer.status if answer is not None else 0)

    while time.monotonic() < until:
        while count < (time.monotonic() - began) * RATE * len(machines):
            count += 1
            task = asyncio.create_task(one(machines[count % len(machines)]))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


def entries(fleet, kind, worker):
    """Return the times and fields of what a worker has recorded."""
    return [(r[1], r[3]) for r in fleet.worker_records() if r[0] == kind and r[2] == worker]


async def run(record):
    """Run the case."""
    fleet = Fleet(ROUTES, "")
    fleet.worker_settings = {"late_s": LATE, "serve_s": SERVE}
    try:
        await fleet.start(PLACES, RESOURCES, slots=55)
        await asyncio.sleep(5.0)
        machine, sent = fleet.machines[0], {}
        worker = f"i-{machine.name}"
        task = asyncio.create_task(load(fleet, time.monotonic() + WARM_UP + AFTER, sent))
        await asyncio.sleep(WARM_UP)
        machine.worker.send_signal(signal.SIGUSR1)
        while not entries(fleet, "left", worker):
            await asyncio.sleep(0.01)
        left, fields = entries(fleet, "left", worker)[0]
        record.note(f"{machine.name} confirms the leaving of its worker: {fields}", left)
        in_touch = left
        if TROUBLE:
            await asyncio.sleep(KILLED_AFTER)
            fleet.signal_node(machine, signal.SIGKILL)
            machine.node.wait()
            record.note(f"the node of {machine.name} is killed")
            await asyncio.sleep(DOWN)
            fleet.start_node(machine)
            in_touch = time.monotonic() + STABLE
            record.note("and started again")
        await task
        for at, fields in entries(fleet, "beat", worker):
            record.note(f"a heartbeat of before the leaving has arrived: {fields}", at)
        runs = {fields["id"]: at for at, fields in entries(fleet, "run", worker)}
        ran = {r[3]["id"]: r[2] for r in fleet.worker_records() if r[0] == "run"}
        for request_id, (at, name, status) in sent.items():
            where = f"run by {ran[request_id]}" if request_id in ran else "not run"
            record.note(f"{request_id} sent at {name}, answered {status}, {where}", at)
        before = [i for i, at in runs.items() if at < left]
        late = [i for i, at in runs.items() if at > left + DRAIN]
        judged = [i for i in late if i in sent and sent[i][0] > in_touch]
        lost = [i for i in runs if i in sent and runs[i] > left + DRAIN and sent[i][2] != 200]
        record.say(f"payouts that the worker ran before it left: {len(before)}")
        record.say(f"that reached it later than {DRAIN} s after the confirmation: {len(late)}")
        record.say(f"of these sent while all machines were in touch: {len(judged)}")
        record.say(f"of all late ones not answered 200, as the worker ended: {len(lost)}")
        if not before:
            record.say("the worker got nothing before")
            return NOT_RUN
        return BROKEN if judged else HELD
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))

"""A worker deregisters in calm; the store is down and leases run out; then all nodes are killed.

The worker goes on serving, as the pages say, and one of its heartbeats from before its leaving
arrives some seconds late, when the store is back and all machines are in touch again.
The check (DRAIN): no request that a client sends to a machine in touch, later than DrainS after the
confirmation, reaches that worker.
"""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from fleet import (  # noqa: E402
    CONTROL,
    DRAIN_S,
    HEARTBEAT_TIMEOUT,
    OUTBOUND,
    STABLE_S,
    Fleet,
    Node,
    Record,
    Route,
    exchange,
    request,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALM_S = 4.0  # before the trouble, more than StableS
STORE_UP_S = 0.5  # from the confirmation to the outage, and from its end to the kill
STORE_DOWN_S = 0.5
RESTART_DELAY_S = 0.5  # from the kill to the start of the processes
MARGIN_S = 0.3  # beyond StableS, for the starts of the processes
SERVES_S = 4.0  # for which the worker serves after its late heartbeat has arrived
REQUEST_PERIOD_S = 0.05
WORK_S = 0.16  # as the payouts of the sheet
OK, BROKEN, NOT_RUN = 0, 1, 2


class Traffic:
    """Clients on all machines, each of which sends one request after the other."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet, self._record = fleet, record
        self.sent_at: dict[str, float] = {}
        self.answers: dict[str, str] = {}
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Begin to send."""
        for node in self._fleet.nodes:
            self._tasks.append(asyncio.create_task(self._send_from(node)))

    async def _send_from(self, node: Node) -> None:
        number = 0
        while True:
            number += 1
            request_id = f"payout-{node.name}-{number}"
            data = request("POST", f"/payouts/{number}", request_id, body=b"{}")
            self.sent_at[request_id] = self._record.now
            reply = await exchange(node.host, OUTBOUND, data, 6.0)
            self.answers[request_id] = "none" if reply is None else str(reply.status)
            await asyncio.sleep(REQUEST_PERIOD_S)

    async def stop(self) -> None:
        """Stop sending."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def kill_all(fleet: Fleet, record: Record) -> None:
    """Kill all node processes at the same moment, and start them again."""
    for node in fleet.nodes:
        node.process.kill()
    record.write("all node processes are killed")
    for node in fleet.nodes:
        node.process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    for node in fleet.nodes:
        fleet.start_node(node)


async def play(fleet: Fleet, record: Record, traffic: Traffic) -> tuple[float, float]:
    """Play the case; return when the leaving was confirmed, and since when all are in touch."""
    traffic.start()
    await asyncio.sleep(CALM_S)
    leaving = fleet.nodes[0].worker
    leaving.beating = False
    late_heartbeat = leaving.next_heartbeat()
    record.write(f"a heartbeat of {leaving.name} is held up; it deregisters")
    while not await leaving.tell(leaving.deregistration()):
        await asyncio.sleep(0.2)
    confirmed_at = record.now
    record.write(f"the leaving of {leaving.name} is confirmed")
    if TROUBLE:
        await asyncio.sleep(STORE_UP_S)
        fleet.store.up = False
        fleet.store.lapse()
        record.write("the store answers 503, and its leases run out")
        await asyncio.sleep(STORE_DOWN_S)
        fleet.store.up = True
        record.write("the store answers again")
        await asyncio.sleep(STORE_UP_S)
        await kill_all(fleet, record)
    calm_since = record.now
    await fleet.wait_ready()
    record.write("all nodes are ready")
    await asyncio.sleep(max(0.0, calm_since + STABLE_S + MARGIN_S - record.now))
    in_touch_at = record.now
    record.write("all machines are in touch")
    reply = await exchange(leaving.host, CONTROL, late_heartbeat, HEARTBEAT_TIMEOUT)
    record.write(f"the heartbeat arrives late: {None if reply is None else reply.status}")
    await asyncio.sleep(SERVES_S)
    leaving.stop()
    record.write(f"{leaving.name} ends")
    await asyncio.sleep(0.5)
    await traffic.stop()
    return confirmed_at, in_touch_at


async def main() -> int:
    """Run the case and return the exit code."""
    record = Record(FOLDER / "record.txt")
    placements = [("settle", zone) for zone in ("kalimati", "balaju", "thimi")] * 2
    fleet = Fleet(record, placements, [Route("payouts", "settle", "non_idempotent", priority=0)])
    traffic = Traffic(fleet, record)
    try:
        await fleet.start()
        for node in fleet.nodes:
            node.worker.work_s = WORK_S
        await fleet.wait_served("/payouts/1")
        confirmed_at, in_touch_at = await play(fleet, record, traffic)
    except (OSError, TimeoutError) as exc:
        record.write(f"could not run: {exc!r}")
        return NOT_RUN
    finally:
        await traffic.stop()
        await fleet.close()
    bound = max(confirmed_at + DRAIN_S, in_touch_at)
    runs = [run for node in fleet.nodes for run in node.worker.runs]
    served = [run for run in runs if run.at > in_touch_at]
    late = [run for run in fleet.nodes[0].worker.runs]
    late = [
        run for run in late if traffic.sent_at.get(run.message.fields["x-request-id"], 0.0) > bound
    ]
    answers = [traffic.answers.get(run.message.fields["x-request-id"], "none") for run in late]
    record.write(
        f"DRAIN: {len(late)} requests that were sent {bound - confirmed_at:.1f} s or more after the"
        f" confirmation reached the worker that leaves; answers {sorted(set(answers))}"
    )
    if not served:
        return NOT_RUN
    return BROKEN if late else OK


sys.exit(run_case(main))

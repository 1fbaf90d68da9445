"""A node is stopped in calm while its worker goes on and makes calls through it.

Payouts at the worker take some seconds and then make one call each. The node gets SIGTERM.
The check (LOST): a call that the worker has sent later than 3 s after the SIGTERM, and that was
passed on to another worker, gets that worker's answer; the node doesn't break it off with an answer
of its own while that worker is at work, before the call's time budget and its route's timeout.
"""

import asyncio
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from fleet import (  # noqa: E402
    GRACE_S,
    OUTBOUND,
    STABLE_S,
    Fleet,
    Message,
    Node,
    Record,
    Route,
    Run,
    Worker,
    encode,
    exchange,
    request,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALM_S = 5.0  # before the SIGTERM, more than StableS and the longest payout
EXCUSED_S = 3.0  # after the SIGTERM; the rule excuses some requests that are sent until then
PAYOUT_S, CALL_S = 2.6, 1.2  # seconds of work
BUDGET_S = 5.0  # of a payout
PAYOUTS = Route("payouts", "settle", "non_idempotent", timeout_s=5.0, target_s=1.5, priority=0)
READS = Route("route-read", "haul", timeout_s=2.0, target_s=0.8)
PAYOUT_PERIOD_S = 0.25  # of each client
OK, BROKEN, NOT_RUN = 0, 1, 2


class Call(NamedTuple):
    """A call of a worker: when it was sent and ended, its deadline, and its answer."""

    request_id: str
    node: str
    sent_at: float
    ended_at: float
    deadline: float
    status: int  # 0: none
    proof: bool  # whether the answer is that of a worker


class CallingWorker(Worker):
    """A worker of `settle`: it works, makes one call through its node, and answers."""

    calls: list[Call]

    async def answer(self, message: Message) -> bytes:
        """Run a payout; without the answer to its call it fails with 500."""
        request_id = message.fields["x-request-id"]
        if not request_id.startswith("payout"):
            return await super().answer(message)
        arrived, budget = self.record.now, int(message.fields["x-request-deadline"]) / 1000
        await asyncio.sleep(PAYOUT_S)
        sent, left = self.record.now, arrived + budget - self.record.now
        call_id = f"call-{request_id}"
        data = request("GET", "/route-read/1", call_id, int(left * 1000))
        reply = await exchange(self.host, OUTBOUND, data, left)
        proof = reply is not None and "x-response-signature" in reply.fields
        status = 0 if reply is None else reply.status
        deadline = sent + min(left, READS.timeout_s)
        call = Call(call_id, self.name, sent, self.record.now, deadline, status, proof)
        self.calls.append(call)
        self.record.write(f"{self.name}: {call_id}, sent {sent:.3f} s, gets {status}, {proof=}")
        fields = {"X-Request-Id": request_id, "X-Response-Signature": f"sig-{request_id}"}
        return encode(200 if status == 200 else 500, fields, b"")


async def send_payouts(node: Node, record: Record, delay: float) -> None:
    """Send payouts to a node as one of its clients, each over a connection of its own."""

    async def send(request_id: str) -> None:
        data = request("POST", "/payouts/1", request_id, int(BUDGET_S * 1000), b"{}")
        reply = await exchange(node.host, OUTBOUND, data, BUDGET_S + 1)
        record.write(f"client: {request_id} gets {0 if reply is None else reply.status}")

    await asyncio.sleep(delay)
    async with asyncio.TaskGroup() as group:
        number = 0
        while True:
            number += 1
            group.create_task(send(f"payout-{node.name}-{number}"))
            await asyncio.sleep(PAYOUT_PERIOD_S)


async def play(fleet: Fleet, record: Record) -> float:
    """Play the case; return when the node got SIGTERM."""
    stopping = fleet.nodes[0]
    senders = fleet.nodes[2:]
    delays = [PAYOUT_PERIOD_S * i / len(senders) for i in range(len(senders))]  # spread evenly
    clients = [
        asyncio.create_task(send_payouts(node, record, delay))
        for node, delay in zip(senders, delays, strict=True)
    ]
    await asyncio.sleep(CALM_S)
    began_at = record.now
    if TROUBLE:
        stopping.process.send_signal(signal.SIGTERM)
        record.write(f"{stopping.name} gets SIGTERM")
    await asyncio.sleep(GRACE_S)
    if TROUBLE:
        code = stopping.process.poll()
        record.write(f"{stopping.name}: exit code {code} at the end of the grace time")
        if code is None:
            stopping.process.kill()
    await asyncio.sleep(1.0)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    return began_at


def broken_off(calls: list[Call], runs: list[Run], began_at: float) -> list[Call]:
    """Return the calls that were broken off while a worker was at work on them."""
    started = {run.message.fields["x-request-id"]: run.at for run in runs}
    return [
        call
        for call in calls
        if call.sent_at > began_at + EXCUSED_S
        and call.ended_at < began_at + GRACE_S + 1
        and call.request_id in started
        and not call.proof
        and call.ended_at < min(call.deadline, started[call.request_id] + CALL_S) - 0.05
    ]


async def main() -> int:
    """Run the case and return the exit code."""
    record = Record(FOLDER / "record.txt")
    placements = [("settle", "kalimati"), ("settle", "balaju")]
    placements += [("haul", "kalimati"), ("haul", "kalimati")]  # with the clients, in its zone
    fleet = Fleet(record, placements, [PAYOUTS, READS])
    fleet.worker_types["settle"] = CallingWorker
    try:
        await fleet.start()
        for node in fleet.nodes:
            node.worker.calls = []
        await fleet.wait_served("/route-read/1")
        for node in fleet.nodes[2:]:
            node.worker.work_s = CALL_S
        await asyncio.sleep(STABLE_S)
        began_at = await play(fleet, record)
    except (OSError, TimeoutError) as exc:
        record.write(f"could not run: {exc!r}")
        return NOT_RUN
    finally:
        await fleet.close()
    calls = fleet.nodes[0].worker.calls
    runs = [run for node in fleet.nodes[2:] for run in node.worker.runs]
    judged = [call for call in calls if call.sent_at > began_at + EXCUSED_S]
    lost = broken_off(calls, runs, began_at)
    record.write(
        f"LOST: {len(lost)} of {len(judged)} calls that were sent later than {EXCUSED_S} s after"
        f" the SIGTERM were broken off at work: {[(c.request_id, c.status) for c in lost]}"
    )
    if not judged:
        return NOT_RUN
    return BROKEN if lost else OK


sys.exit(run_case(main))

"""From a failed request's id to its cause by docs/OPERATIONS.md, with real processes."""

import asyncio
import json
import signal
import subprocess
import sys
from random import Random

import pytest

from standins.mesh_fleet import HOST_NAME, MeshFleet, RouteConfig
from standins.worker import send_request
from thorntrayctl.request_trace import LogLine, trace_request

ROUTES = [
    RouteConfig("prices", "tariff"),
    RouteConfig("payouts", "settle", kind="non_idempotent", priority=0, timeout=0.8),
    RouteConfig("ledger", "settle"),
]
JOIN_TIME = 3.0  # seconds
SURGE_FADES = 4.0  # seconds until the price of the surge has fallen, so that payouts are admitted


async def ask(fleet, path, request_id, method="GET"):
    """Return the status of a request at the tariff node, 0 for a broken connection."""
    headers = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Request-Deadline": "3000"}
    body = b"body" if method == "POST" else b""
    try:
        place = fleet.nodes["tariff-1"].outbound
        return (await send_request(place, method, path, headers, body)).status
    except (OSError, asyncio.IncompleteReadError):
        return 0


def explain(fleet, request_id):
    """Return what the operators' command prints for a request."""
    files = [str(fleet.log_file(node)) for node in fleet.nodes.values()]
    command = [sys.executable, "-c", "from thorntrayctl.main import run; run()"]
    done = subprocess.run([*command, "explain", request_id, *files], capture_output=True, text=True)
    assert done.returncode in (0, 1), done.stderr
    return done.stdout


def logged(fleet, request_ids):
    """Return those of the ids that a node has written of."""
    text = "".join(fleet.log_file(node).read_text("utf-8") for node in fleet.nodes.values())
    return [request_id for request_id in request_ids if f'"id": "{request_id}"' in text]


async def time_out(fleet):
    fleet.nodes["settle-2"].worker.slowdown = 200.0
    status = await ask(fleet, "/payouts/1", "late-1", "POST")
    fleet.nodes["settle-2"].worker.slowdown = 1.0
    return status


async def overload(fleet):
    worker = fleet.nodes["settle-2"].worker
    worker.service_time = 0.4
    asked = {}
    for number in range(400):
        asked[f"many-{number}"] = asyncio.create_task(ask(fleet, "/ledger/1", f"many-{number}"))
        await asyncio.sleep(0.01)
    await asyncio.wait(asked.values())
    worker.service_time = 0.02
    return [request_id for request_id, task in asked.items() if task.result() == 503]


async def lost_peer(fleet):
    fleet.nodes["settle-2"].worker.slowdown = 20.0
    asked = asyncio.create_task(ask(fleet, "/payouts/1", "lost-1", "POST"))
    await asyncio.sleep(0.2)
    fleet.nodes["settle-2"].signal(signal.SIGKILL)
    return await asked


async def three_failures():
    fleet = MeshFleet(ROUTES, {"/prices/1": "/ledger/1"}, Random(1))
    try:
        await fleet.start([("tariff", "a"), ("settle", "a")])
        await asyncio.sleep(JOIN_TIME)
        metrics = await send_request(
            fleet.nodes["tariff-1"].metrics, "GET", "/metrics", {"Host": "x"}
        )
        late = await time_out(fleet)
        refused = await overload(fleet)
        await asyncio.sleep(SURGE_FADES)
        lost = await lost_peer(fleet)
        await asyncio.sleep(0.5)
        stories = [explain(fleet, request_id) for request_id in ("late-1", "lost-1")]
        # Under pressure most ids have no line; the page says to take another one.
        stories += [explain(fleet, request_id) for request_id in logged(fleet, refused)[-8:]]
        return metrics.body.decode(), (late, lost, refused), stories
    finally:
        await fleet.close()


@pytest.mark.process
def test_the_page_leads_from_three_failed_requests_to_their_causes():
    metrics, (late, lost, refused), stories = asyncio.run(three_failures())
    assert "thorntray_policy_version 1.0" in metrics
    assert (late, lost) == (504, 502) and refused
    assert "cause: request: the instance beside settle-2 had it and gave no answer" in stories[0]
    assert "cause: request: tariff-1 lost its link to settle-2" in stories[1]
    told = [story for story in stories[2:] if "refused at its entry tariff-1" in story]
    assert told and "the tightest was settle at settle-2" in told[0]


def line(time, node, event, name, **fields):
    return json.dumps({"time": time, "node": node, "event": event, "name": name, **fields})


def ended(time, node, side, request_id, **fields):
    usual = {"route": "r>s", "end": "ANSWERED", "cause": "NONE", "status": 200, "seconds": 0.1}
    return line(time, node, 510, "REQUEST_ENDED", side=side, id=request_id, **{**usual, **fields})


def test_a_failed_call_is_told_below_the_request_that_made_it():
    lines = [
        "12.1 n2 INFO:" + ended(2.0, "n2", "owner", "id-2", end="UNKNOWN", cause="LOST"),
        ended(2.1, "n1", "origin", "id-2", end="UNKNOWN", cause="LOST", member="n2", parent="id-1"),
        ended(2.2, "n1", "origin", "id-1", status=500, member="n1"),
        ended(9.0, "n1", "origin", "other", status=500, member="n1"),
        "no line of ours",
        "{garbled",
    ]
    story = trace_request(lines, "id-1")
    assert [said.fields["id"] for said in story.lines] == ["id-2", "id-2", "id-1"]
    assert story.causes == [
        "request: the instance beside n1 answered 500",
        "call id-2: the instance beside n2 broke its connection while the request ran",
    ]


def test_an_unknown_id_has_no_story():
    assert trace_request([ended(1.0, "n1", "origin", "id-1")], "id-9").lines == []


def test_lines_that_are_no_events_are_passed_over():
    assert LogLine.from_text('{"time": "soon", "node": "n", "event": 1}') is None
    assert LogLine.from_text("[]") is None

"""Tests of `thorntrayctl explain`: finding the cause of a failed request by its ID.

One test follows docs/OPERATIONS.md with real processes; the others use made-up log lines.
"""

import asyncio
import json
import signal
import subprocess
import sys
from random import Random

import pytest

from standins.mesh_fleet import HOST_NAME, MeshFleet, RouteConfig
from standins.worker import PathBehavior, send_request
from thorntrayctl.log_line import LogLine
from thorntrayctl.request_trace import trace_request

ROUTES = [
    RouteConfig("prices", "tariff"),
    RouteConfig("payouts", "settle", kind="non_idempotent", priority=0, timeout=0.8),
    RouteConfig("ledger", "settle"),
]
JOIN_TIME = 3.0  # seconds until the nodes know each other
PRICE_FALL_TIME = 4.0  # seconds after the surge until payouts are admitted again


async def send_tariff_request(fleet, path, request_id, method="GET"):
    """Send a request to the tariff node; return its status, 0 for a broken connection."""
    headers = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Request-Deadline": "3000"}
    body = b"body" if method == "POST" else b""
    try:
        address = fleet.nodes["tariff-1"].outbound
        return (await send_request(address, method, path, headers, body)).status
    except (OSError, asyncio.IncompleteReadError):
        return 0


def explain(fleet, request_id):
    """Return the output of `thorntrayctl explain` for a request."""
    files = [str(fleet.log_file(node)) for node in fleet.nodes.values()]
    command = [sys.executable, "-c", "from thorntrayctl.main import run; run()"]
    done = subprocess.run([*command, "explain", request_id, *files], capture_output=True, text=True)
    assert done.returncode in (0, 1), done.stderr
    return done.stdout


def ids_in_logs(fleet, request_ids):
    """Return the request IDs that occur in the log of any node."""
    text = "".join(fleet.log_file(node).read_text("utf-8") for node in fleet.nodes.values())
    return [request_id for request_id in request_ids if f'"id": "{request_id}"' in text]


async def cause_timeout(fleet):
    fleet.nodes["settle-2"].worker.slowdown = 200.0
    status = await send_tariff_request(fleet, "/payouts/1", "late-1", "POST")
    fleet.nodes["settle-2"].worker.slowdown = 1.0
    return status


async def cause_overload(fleet):
    worker = fleet.nodes["settle-2"].worker
    worker.service_time = 0.4
    pending = {}
    for number in range(400):
        pending[f"many-{number}"] = asyncio.create_task(
            send_tariff_request(fleet, "/ledger/1", f"many-{number}")
        )
        await asyncio.sleep(0.01)
    await asyncio.wait(pending.values())
    worker.service_time = 0.02
    return [request_id for request_id, task in pending.items() if task.result() == 503]


async def cause_lost_peer(fleet):
    fleet.nodes["settle-2"].worker.slowdown = 20.0
    pending = asyncio.create_task(send_tariff_request(fleet, "/payouts/1", "lost-1", "POST"))
    await asyncio.sleep(0.2)
    fleet.nodes["settle-2"].signal(signal.SIGKILL)
    return await pending


async def cause_three_failures():
    fleet = MeshFleet(ROUTES, {"/prices/1": PathBehavior(call_path="/ledger/1")}, Random(1))
    try:
        await fleet.start([("tariff", "a"), ("settle", "a")])
        await asyncio.sleep(JOIN_TIME)
        metrics = await send_request(
            fleet.nodes["tariff-1"].metrics, "GET", "/metrics", {"Host": "x"}
        )
        late = await cause_timeout(fleet)
        refused = await cause_overload(fleet)
        await asyncio.sleep(PRICE_FALL_TIME)
        lost = await cause_lost_peer(fleet)
        await asyncio.sleep(0.5)
        stories = [explain(fleet, request_id) for request_id in ("late-1", "lost-1")]
        # Under overload most requests are not logged; docs/OPERATIONS.md says to try another ID.
        stories += [explain(fleet, request_id) for request_id in ids_in_logs(fleet, refused)[-8:]]
        return metrics.body.decode(), (late, lost, refused), stories
    finally:
        await fleet.close()


@pytest.mark.process
def test_explain_reports_the_causes_of_three_failed_requests():
    metrics, (late, lost, refused), stories = asyncio.run(cause_three_failures())
    assert "thorntray_policy_version 1.0" in metrics
    assert (late, lost) == (504, 502) and refused
    assert "cause: request: the instance beside settle-2 had it and gave no answer" in stories[0]
    assert "cause: request: tariff-1 lost its link to settle-2 (peer closed) while" in stories[1]
    matching = [story for story in stories[2:] if "refused at its entry tariff-1" in story]
    assert matching and "the tightest was settle at settle-2" in matching[0]


def log_line(time, node, event, name, **fields):
    return json.dumps({"time": time, "node": node, "event": event, "name": name, **fields})


def request_ended_line(time, node, side, request_id, **fields):
    usual = {"route": "r>s", "end": "ANSWERED", "cause": "NONE", "status": 200, "seconds": 0.1}
    return log_line(
        time, node, 510, "REQUEST_ENDED", side=side, id=request_id, **{**usual, **fields}
    )


def test_the_explanation_of_a_request_includes_its_failed_nested_calls():
    lines = [
        "12.1 n2 INFO:"
        + request_ended_line(2.0, "n2", "owner", "id-2", end="UNKNOWN", cause="LOST"),
        request_ended_line(
            2.1, "n1", "origin", "id-2", end="UNKNOWN", cause="LOST", member="n2", parent="id-1"
        ),
        request_ended_line(2.2, "n1", "origin", "id-1", status=500, member="n1"),
        request_ended_line(9.0, "n1", "origin", "other", status=500, member="n1"),
        "no line of ours",
        "{garbled",
    ]
    story = trace_request(lines, "id-1")
    assert [entry.fields["id"] for entry in story.lines] == ["id-2", "id-2", "id-1"]
    assert story.causes == [
        "request: the instance beside n1 answered 500",
        "call id-2: the instance beside n2 broke its connection while the request ran",
    ]


def test_a_request_that_a_stop_ended_is_explained_by_the_node_that_stopped():
    ended = {"end": "UNKNOWN", "cause": "DRAINING", "member": "n2"}
    by_owner = [
        log_line(1.0, "n2", 103, "DRAIN_CUT", active=1),
        request_ended_line(1.1, "n2", "owner", "id-1", **ended),
        request_ended_line(1.2, "n1", "origin", "id-1", **ended),
    ]
    trace = trace_request(by_owner, "id-1")
    assert trace.causes == ["request: n2 stopped before the answer came"]
    assert [line.name for line in trace.context] == ["DRAIN_CUT"]
    by_origin = trace_request(by_owner[2:], "id-1").causes
    assert by_origin == ["request: n1 stopped before the answer came"]
    refusal = request_ended_line(1.0, "n1", "origin", "id-2", end="NOT_RUN", cause="DRAINING")
    assert trace_request([refusal], "id-2").causes == ["request: refused by n1, which was stopping"]


def test_a_request_that_crashes_instances_is_explained_by_the_crashes_and_the_block():
    """Guards against a refusal that an operator cannot tell from one for want of capacity."""
    crash = log_line(1.0, "n2", 521, "INSTANCE_CRASHED", instance="i", running=3)
    block = log_line(2.0, "n3", 522, "REQUEST_BLOCKED", fingerprint="ab", crashes=3, seconds=600.0)
    other = log_line(2.0, "n3", 522, "REQUEST_BLOCKED", fingerprint="cd", crashes=3, seconds=600.0)
    usual = {"end": "UNKNOWN", "member": "n2"}
    refusal = {"end": "NOT_RUN", "cause": "BLOCKED", "member": "", "fingerprint": "ab"}
    lines = [
        crash,
        block,
        other,
        request_ended_line(1.1, "n1", "origin", "beside", cause="LOST", **usual),
        request_ended_line(1.1, "n1", "origin", "alone", cause="CRASHED", **usual),
        request_ended_line(62.0, "n1", "origin", "refused", **refusal),
    ]
    assert trace_request(lines, "beside").causes == [
        "request: the instance beside n2 crashed while it ran 3 requests"
    ]
    assert trace_request(lines, "alone").causes == [
        "request: the instance beside n2 crashed while it ran this request alone, so it was not "
        "sent to another one"
    ]
    story = trace_request(lines, "refused")
    assert story.causes == [
        "request: refused by n1: instances crash of this request (fingerprint ab); n3 blocked it "
        "60 s before for 600.0 s, knowing of 3 crashes"
    ]
    assert [line.fields["fingerprint"] for line in story.context] == ["ab"]


def test_a_request_that_is_held_back_after_two_crashes_is_told_from_a_blocked_one():
    refusal = {"end": "NOT_RUN", "cause": "BLOCKED", "member": "", "fingerprint": "ab"}
    lines = [request_ended_line(1.0, "n1", "origin", "held", **refusal)]
    assert trace_request(lines, "held").causes == [
        "request: refused by n1: instances crashed while they ran it (fingerprint ab); it is not "
        "blocked, and runs again alone some seconds after its newest crash"
    ]


def test_a_request_without_an_answer_is_explained_by_the_node_that_closed():
    line = log_line(1.0, "n1", 512, "REQUEST_UNANSWERED", id="id-1", closed_by="exit")
    assert trace_request([line], "id-1").causes == [
        "request: n1 ended its connection without an answer (closed_by exit)"
    ]


def caller_refused_line(time, node, reason):
    return log_line(time, node, 513, "CALLER_REFUSED", id="id-1", route="prices", reason=reason)


def store_down_line(time, node):
    return log_line(time, node, 310, "PLATFORM_DOWN", detail="no connection")


def keys_refused_line(time, node, age):
    return log_line(time, node, 313, "KEYS_REFUSED", version=7, evidence_age=age)


def test_a_request_refused_for_its_key_is_explained():
    """Guards against an empty explanation, since such a request has no line of its end."""
    missing = trace_request([caller_refused_line(1.0, "n1", "MISSING_KEY")], "id-1").causes
    assert missing == ["request: refused by n1: it carried no API key, and route prices needs one"]
    unknown = trace_request([caller_refused_line(1.0, "n1", "UNKNOWN_KEY")], "id-1").causes
    assert unknown == [
        "request: refused by n1: its API key belongs to no workspace; it is wrong or has been "
        "withdrawn"
    ]
    later = trace_request([caller_refused_line(1.0, "n1", "BLOCKED")], "id-1").causes
    assert later == ["request: refused by n1 for its caller: BLOCKED"]


def test_a_request_refused_for_a_stale_policy_is_explained_by_what_its_node_logged_before():
    """The store may have been down for hours; lines of other nodes say nothing about this one."""
    refused = caller_refused_line(9000.0, "n1", "STALE_POLICY")
    text = "request: refused by n1, which could not know whether the API key has been withdrawn: "
    lines = [
        store_down_line(1.0, "n1"),
        keys_refused_line(5.0, "n1", 4.0),
        keys_refused_line(8000.0, "n2", 4.5),
        refused,
        keys_refused_line(9500.0, "n1", 9.0),
    ]
    trace = trace_request(lines, "id-1")
    assert trace.causes == [
        f"{text}its newest proof that version 7 of the desired state was the newest one was 4.0 s "
        "old; its calls to the platform's store failed (no connection)"
    ]
    assert [line.name for line in trace.context] == ["PLATFORM_DOWN", "KEYS_REFUSED"]
    back = log_line(6.0, "n1", 311, "PLATFORM_BACK", detail="")
    [cause] = trace_request([*lines, back], "id-1").causes
    assert "failed" not in cause, "the store answered again before the refusal"
    [cause] = trace_request([keys_refused_line(5.0, "n1", None), refused], "id-1").causes
    assert cause == f"{text}it had no proof that version 7 of the desired state was the newest one"
    [cause] = trace_request([refused], "id-1").causes
    assert cause == f"{text}it had just started, or has not logged when its proof ran out"


def test_an_unknown_id_has_an_empty_explanation():
    assert trace_request([request_ended_line(1.0, "n1", "origin", "id-1")], "id-9").lines == []


def test_lines_that_are_not_events_are_skipped():
    assert LogLine.from_text('{"time": "soon", "node": "n", "event": 1}') is None
    assert LogLine.from_text("[]") is None


def policy_line(time, node, event, name, version, **fields):
    return log_line(time, node, event, name, version=version, **fields)


@pytest.mark.parametrize("heard", [True, False])
def test_the_explanation_tells_that_a_node_used_an_older_policy_and_whether_it_had_heard(heard):
    """Guards against a late policy that nobody can trace: the incident left no line about it."""
    lines = [
        policy_line(1.0, "n2", 302, "POLICY_IN_FORCE", 5),
        policy_line(1.1, "n1", 302, "POLICY_IN_FORCE", 5),
        policy_line(3.0, "n2", 302, "POLICY_IN_FORCE", 8),
        log_line(6.0, "n1", 513, "CALLER_REFUSED", id="id-1", reason="NO_ROUTE", policy=5),
        policy_line(7.0, "n1", 302, "POLICY_IN_FORCE", 8),
    ]
    if heard:
        lines.append(policy_line(5.5, "n1", 304, "POLICY_HEARD", 8, known=5, source="n3"))
    refusal, policy = trace_request(lines, "id-1").causes
    assert refusal == "request: refused by n1: no route matched its host and path"
    assert "n1 used version 5; version 8 was in force at n2 3.0 s before" in policy
    expected = "heard of version 8 from n3 0.5 s before" if heard else "had not heard of it"
    assert expected in policy


def test_a_policy_that_came_a_moment_later_needs_no_explanation():
    lines = [
        policy_line(3.0, "n2", 302, "POLICY_IN_FORCE", 8),
        request_ended_line(3.2, "n1", "origin", "id-1", status=500, member="n1", policy=5),
    ]
    assert len(trace_request(lines, "id-1").causes) == 1

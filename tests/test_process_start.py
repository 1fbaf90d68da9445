"""The start of a real node process while another socket holds one of its ports."""

import json
import time

import pytest

from standins.mesh_fleet import (
    CONTROL_PORT,
    FIRST_PEER_PORT,
    LAST_PEER_PORT,
    METRICS_PORT,
    OUTBOUND_PORT,
    READY_PORT,
)
from tests.start_builders import (
    PURPOSES,
    CallSeries,
    HeldPort,
    Hold,
    make_node,
    read_metrics,
    set_port_range,
)

pytestmark = pytest.mark.process

HOLD_TIME = 2.5  # seconds
SERVE_TIME = 5.0  # seconds from a free port until a call is answered, on a loaded machine
PROMPT_END = 2.0  # seconds; less than a stop that waits for callers to leave
NODE_PORTS = {METRICS_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT}
WAIT_LIMIT = 10.0  # seconds for which a node waits for its ports


def events(log: str, name: str) -> list[dict[str, object]]:
    rows = [json.loads(line) for line in log.splitlines() if line.startswith("{")]
    return [row for row in rows if row["name"] == name]


# Issue 59: the process exited with code 3, and reset the callers that it had accepted.
@pytest.mark.parametrize("purpose", PURPOSES)
def test_a_port_taken_at_the_start_neither_ends_the_process_nor_loses_a_caller(tmp_path, purpose):
    node = make_node(tmp_path)
    with HeldPort(node.host, *PURPOSES[purpose]) as held, node:
        with CallSeries((node.host, OUTBOUND_PORT)) as calls:
            time.sleep(HOLD_TIME)
            assert node.process.poll() is None, node.log
            held.release()
            assert calls.wait_answered(SERVE_TIME), node.log
        assert calls.unanswered == 0
        node.process.terminate()
        assert node.wait_ended() == 0


# Two sockets may be bound to a port as long as neither listens: only `listen` fails then.
@pytest.mark.parametrize(
    "purpose, later", [("readiness", "announcements"), ("callers", "readiness")]
)
def test_a_bound_port_on_which_another_socket_begins_to_listen_is_waited_for(
    tmp_path, purpose, later
):
    node = make_node(tmp_path)
    held = HeldPort(node.host, *PURPOSES[purpose], Hold.REUSABLE)
    with held, HeldPort(node.host, *PURPOSES[later]) as last, node:
        node.wait_for_log("PORT_TAKEN")  # of the later one; the other one is bound
        held.listen()
        last.release()
        node.wait_for_log(
            f'"text": "port cannot be opened yet, waited for", "purpose": "{purpose}"'
        )
        time.sleep(1.0)
        assert node.process.poll() is None and "STARTED" not in node.log
        held.release()
        with CallSeries((node.host, OUTBOUND_PORT)) as calls:
            assert calls.wait_answered(SERVE_TIME), node.log
        assert calls.unanswered == 0
        node.wait_for_log("STARTED")
    assert [row["purpose"] for row in events(node.log, "PORT_FREE")] == [later, purpose]


def test_a_taken_port_is_named_when_the_wait_begins_and_when_it_ends(tmp_path):
    node = make_node(tmp_path)
    with HeldPort(node.host, READY_PORT) as held, node:
        node.wait_for_log("PORT_TAKEN")
        time.sleep(0.5)
        held.release()
        node.wait_for_log("STARTED")
    taken, free = events(node.log, "PORT_TAKEN"), events(node.log, "PORT_FREE")
    assert [(row["purpose"], row["port"]) for row in taken] == [("readiness", READY_PORT)]
    assert [(row["purpose"], row["port"]) for row in free] == [("readiness", READY_PORT)]
    bound = {row["purpose"]: row["port"] for row in events(node.log, "PORTS_BOUND")}
    assert bound == {
        "callers": OUTBOUND_PORT,
        "readiness": READY_PORT,
        "announcements": CONTROL_PORT,
        "links": FIRST_PEER_PORT,
        "gossip": FIRST_PEER_PORT,
    }


def test_a_port_that_stays_taken_ends_the_start_with_a_remedy_and_no_caller_accepted(tmp_path):
    node = make_node(tmp_path)
    began = time.monotonic()
    with HeldPort(node.host, CONTROL_PORT), node:
        with CallSeries((node.host, OUTBOUND_PORT)) as calls:
            assert node.wait_ended() == 3
        assert time.monotonic() - began >= WAIT_LIMIT
        assert (calls.answered, calls.unanswered) == (0, 0)
    assert f"the port for announcements, {node.host}:{CONTROL_PORT}, is taken" in node.log


@pytest.mark.parametrize("purpose", ["readiness", "callers"])
def test_a_stop_while_a_port_is_waited_for_ends_the_process_promptly(tmp_path, purpose):
    node = make_node(tmp_path)
    with HeldPort(node.host, *PURPOSES[purpose]), node:
        node.wait_for_log("PORT_TAKEN")
        began = time.monotonic()
        node.process.terminate()
        assert node.wait_ended() == 0
        assert time.monotonic() - began < PROMPT_END
    assert [row["step"] for row in events(node.log, "STOPPED")] == ["start"]


def test_another_port_for_peers_is_used_at_once_but_not_that_of_the_metrics(tmp_path):
    node = make_node(tmp_path, arguments=(f"--metrics_port={METRICS_PORT}",))
    others = set(range(FIRST_PEER_PORT, LAST_PEER_PORT + 1)) - {METRICS_PORT, LAST_PEER_PORT}
    held = [HeldPort(node.host, port) for port in sorted(others)]
    with node:
        node.wait_for_log("STARTED")
        bound = {row["purpose"]: row["port"] for row in events(node.log, "PORTS_BOUND")}
    for port in held:
        port.release()
    assert not events(node.log, "PORT_TAKEN")
    assert [bound[key] for key in ("links", "gossip", "metrics")] == [
        LAST_PEER_PORT,
        LAST_PEER_PORT,
        METRICS_PORT,
    ]


# The links' port was served by the metrics, so the start ended with code 3, each time.
@pytest.mark.parametrize("port", [METRICS_PORT, OUTBOUND_PORT, READY_PORT, CONTROL_PORT])
def test_a_range_of_ports_that_begins_at_one_in_use_by_the_node_itself_starts(tmp_path, port):
    node = make_node(tmp_path, arguments=(f"--metrics_port={METRICS_PORT}",))
    set_port_range(node, port, port + 1 + (port + 1 in NODE_PORTS))
    with node:
        with CallSeries((node.host, OUTBOUND_PORT)) as calls:
            assert calls.wait_answered(SERVE_TIME), node.log
        assert calls.unanswered == 0
        node.wait_for_log("STARTED")
        bound = {row["purpose"]: row["port"] for row in events(node.log, "PORTS_BOUND")}
    assert bound["links"] not in NODE_PORTS and bound["metrics"] == METRICS_PORT


# As above; peers matter more than metrics, for which the node can do without.
def test_a_node_whose_only_peer_port_is_that_of_the_metrics_runs_without_metrics(tmp_path):
    node = make_node(tmp_path, arguments=(f"--metrics_port={METRICS_PORT}",))
    set_port_range(node, METRICS_PORT, METRICS_PORT)
    with node, CallSeries((node.host, OUTBOUND_PORT)) as calls:
        assert calls.wait_answered(SERVE_TIME), node.log
        node.wait_for_log("METRICS_NOT_SERVED")


# Metrics were missing until the next restart.
def test_metrics_are_served_once_their_port_is_free(tmp_path):
    node = make_node(tmp_path, arguments=(f"--metrics_port={METRICS_PORT}",))
    with HeldPort(node.host, METRICS_PORT) as held, node:
        node.wait_for_log("STARTED")
        time.sleep(HOLD_TIME)
        held.release()
        node.wait_for_log('"purpose": "metrics"')
        assert b"thorntray_" in read_metrics(node)
    assert len(events(node.log, "METRICS_NOT_SERVED")) == 1

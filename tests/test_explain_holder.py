"""`thorntrayctl explain` names the component that held an unanswered request last.

Guards against an incident of lost requests whose logs don't tell where to look (issue 56).
"""

import json

import pytest

from soak.holders import holder_lines
from soak.lost_answers import KILLED_SO
from thorntrayctl.request_trace import trace_request


def log_line(time, node, event, **fields):
    return json.dumps({"time": time, "node": node, "event": event, "name": "X", **fields})


def ended(time, node, side, end="UNKNOWN", cause="LOST", **fields):
    usual = {"route": "r>s", "status": 502, "seconds": 0.1, "member": "n2"}
    return log_line(
        time, node, 510, side=side, id="id-1", end=end, cause=cause, **{**usual, **fields}
    )


def unanswered(**fields):
    return log_line(2.0, "n1", 512, id="id-1", closed_by="exit", **fields)


def stopped(node="n1", **fields):
    return log_line(2.1, node, 109, seconds=5.8, **fields)


def holder(*lines):
    return trace_request(lines, "id-1").holder


@pytest.mark.parametrize("place", ["parser", "origin", "link", "owner", "instance", "output"])
def test_a_node_that_names_the_holder_is_believed(place):
    found = holder(unanswered(held_by=place), stopped())
    assert (found.place, found.node) == (place, "n1")
    assert "closed by exit" in found.reason and "stopped after 5.8 s" in found.reason


def test_the_holder_is_inferred_from_older_log_lines_without_that_field():
    assert holder(unanswered()).place == "origin"
    owner = ended(1.9, "n2", "owner", end="ANSWERED", cause="NONE", status=200)
    assert holder(owner, unanswered()).place == "link"
    origin = ended(1.95, "n1", "origin", end="ANSWERED", cause="NONE", status=200)
    assert holder(owner, origin, unanswered()).place == "output"
    repeated = log_line(1.0, "n1", 511, id="id-1", after="LOST", paid=True)
    assert "sent again, after LOST" in holder(repeated, unanswered()).reason
    assert holder(repeated).place == "origin"


def test_a_link_that_was_lost_with_the_request_is_named_with_its_reason():
    fields = {"reason": "no bytes taken", "waiting": 66, "unsent": 1000}
    lost = log_line(1.0, "n1", 410, peer="n2", **fields)
    found = holder(lost, ended(1.1, "n1", "origin"))
    assert (found.place, found.node) == ("link", "n1")
    assert found.reason == "the link to n2 was lost (no bytes taken), waiting 66, unsent 1000"
    old = holder(log_line(1.0, "n1", 410, peer="n2", waiting=66), ended(1.1, "n1", "origin"))
    assert old.reason == "the link to n2 was lost, waiting 66"
    other = log_line(1.0, "n1", 410, peer="n3", waiting=66)
    assert holder(other, ended(1.1, "n1", "origin")).place == "owner"


def test_an_instance_an_owner_and_a_stopping_origin_are_told_apart():
    origin = ended(1.1, "n1", "origin")
    assert holder(ended(1.0, "n2", "owner"), origin).place == "instance"
    draining = ended(1.0, "n2", "owner", cause="DRAINING")
    assert holder(draining, origin).place == "owner"
    assert holder(ended(1.1, "n1", "origin", cause="DRAINING")).place == "origin"
    assert holder(ended(1.0, "n2", "owner")).place == "instance"


def test_bytes_that_a_stopping_node_had_not_sent_are_held_by_its_output():
    answered = ended(1.9, "n1", "origin", end="ANSWERED", cause="NONE", status=200)
    found = holder(answered, stopped(unsent=5000))
    assert (found.place, found.node) == ("output", "n1") and "5000 bytes" in found.reason
    assert holder(answered, stopped(unsent=0)) is None


def test_a_refused_request_has_no_holder():
    assert holder(ended(1.0, "n1", "origin", end="NOT_RUN", cause="FULL")) is None


def test_the_soak_traces_the_requests_that_its_violations_name(tmp_path):
    lines = [unanswered().replace("id-1", "s7-h12")]
    (tmp_path / "n1.log").write_text("\n".join(lines), "utf-8")
    violations = ["LOST: s7-h12 (views, position 0) at n1", "HELD: s7-4 at n1", "MEMORY: n1"]
    traced = list(holder_lines(tmp_path, violations))
    assert traced[0].startswith("s7-h12: held last by origin of n1: its connection was closed")
    assert traced[1] == "s7-4: no node logged it"


def test_requests_of_a_killed_process_have_one_line_together(tmp_path):
    violations = [f"LOST: s7-{n} at n1, {KILLED_SO}" for n in range(30)]
    assert list(holder_lines(tmp_path, violations)) == [
        "30 requests: held last by a process that was killed for its memory"
    ]


def test_a_request_without_a_line_is_traced_to_the_output_that_its_node_had_not_sent(tmp_path):
    lines = [stopped(unsent=0), stopped(node="n2", unsent=7), stopped(unsent=11832908)]
    (tmp_path / "n1.log").write_text("\n".join(lines), "utf-8")
    (line,) = holder_lines(tmp_path, ["LOST: s7-h12 (views, position 0) at n1 got no answer"])
    assert line.endswith("the output of n1 had 11832908 bytes of answers as it stopped")

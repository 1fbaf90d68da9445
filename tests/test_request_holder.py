"""The log tells who held a request that a stop has ended, or whose connection a node has closed."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.callers import call, kept
from tests.instance_replies import never_answer
from tests.mesh_builders import make_policy, make_route, request_bytes, run_scenario
from thorntray.internal.connection.http_request import ClosedBy, HttpRequest
from thorntray.internal.request import request_log
from thorntray.internal.request.request_holder import Holder, holder_of_exchange
from thorntray.internal.telemetry.events import Event

POLICY = make_policy(routes=[make_route(timeout=9.0, target_latency=8.0)])


@pytest.fixture
def lines(monkeypatch):
    written = []
    monkeypatch.setattr(
        request_log, "log_event", lambda event, **fields: written.append((event, fields))
    )
    return written


def held_by_id(lines, event, **wanted):
    return {
        fields["id"]: fields["held_by"]
        for kind, fields in lines
        if kind is event and all(fields[name] == value for name, value in wanted.items())
    }


def test_a_stop_that_runs_out_of_time_logs_who_held_each_request(lines):
    # Without it, a loss in a stop cannot be told from a hanging instance.
    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", never_answer)
        origin = await fleet.add("h1", "haul")
        await fleet.share_membership()
        owner.queue.limit = 1
        calls = [asyncio.ensure_future(call(owner, "runs"))]
        await asyncio.sleep(0.2)
        calls.append(asyncio.ensure_future(call(owner, "waits")))
        calls.append(asyncio.ensure_future(call(origin, "remote")))
        await asyncio.sleep(0.2)
        for node in (origin, owner):
            node.callers.closing = True
            node.origin.end_all()
            node.owner.end_all()
        await asyncio.gather(*calls)

    run_scenario(scenario, POLICY)
    assert held_by_id(lines, Event.REQUEST_ENDED, side="origin") == {
        "runs": "instance",
        "waits": "owner",
        "remote": "link",
    }


def test_a_request_without_an_answer_at_the_exit_is_logged_with_its_holder(lines):
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", never_answer)
        await fleet.share_membership()
        _, writer = await asyncio.open_connection(*node.cfg.callers)
        writer.write(kept(request_bytes(b"GET", "/prices/1", "runs")))
        await asyncio.sleep(0.2)
        node.callers.report_unanswered(ClosedBy.EXIT)
        writer.close()

    run_scenario(scenario, POLICY)
    assert [f["held_by"] for kind, f in lines if kind is Event.REQUEST_UNANSWERED] == ["instance"]


def test_bytes_behind_a_request_that_closes_its_connection_are_no_lost_request(lines):
    # Before, each such caller gave a line about a request without an ID.
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        closing = request_bytes(b"GET", "/prices/1", "closes")
        writer.write(closing + request_bytes(b"GET", "/prices/1", "behind"))
        answer = await reader.read()
        writer.close()
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario, POLICY)
    assert answer.startswith(b"HTTP/1.1 200") and answer.count(b"HTTP/1.1") == 1
    assert ran == [b"closes"]
    assert [fields for kind, fields in lines if kind is Event.REQUEST_UNANSWERED] == []


@pytest.mark.parametrize(
    ("headers", "responded", "holder"),
    [
        ([], True, Holder.PARSER),
        ([(b"Host", b"h")], True, Holder.OUTPUT),
        ([(b"Host", b"h")], False, Holder.ORIGIN),
    ],
)
def test_what_has_no_started_request_is_held_by_parser_output_or_origin(headers, responded, holder):
    request = HttpRequest(b"GET", b"/", headers, b"")
    exchange = SimpleNamespace(request=request, responded=responded)
    assert holder_of_exchange(exchange, None) is holder

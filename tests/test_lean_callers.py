"""Tests of the lean path for callers: pipelining, unknown routes, malformed requests."""

import asyncio

import pytest

from tests.instance_replies import answer_bytes
from tests.mesh_builders import request_bytes, run_scenario
from thorntray.internal.connection.http_request import RequestLimits


def test_pipelined_requests_are_answered_in_order():
    async def reply(request_id, writer):
        await asyncio.sleep(0.2 if request_id == b"first" else 0.0)
        writer.write(answer_bytes(request_id, request_id))

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff", reply)
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        first = request_bytes(b"GET", "/prices/1", "first").replace(b"Connection: close\r\n", b"")
        writer.write(first + request_bytes(b"GET", "/prices/2", "second"))
        answer = await reader.read(1 << 20)
        while not answer.endswith(b"second"):
            answer += await reader.read(1 << 20)
        writer.close()
        return answer

    answer = run_scenario(scenario)
    assert answer.index(b"\r\n\r\nfirst") < answer.index(b"\r\n\r\nsecond")


def test_a_path_without_a_route_gets_404_and_a_node_without_a_policy_returns_503():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.share_membership()
        unknown = await fleet.get("t1", "/other/1", "id-1")
        node.holder.policy = None
        no_policy = await fleet.get("t1", "/other/1", "id-2")
        return unknown, no_policy

    unknown, no_policy = run_scenario(scenario)
    assert unknown.startswith(b"HTTP/1.1 404")
    assert no_policy.startswith(b"HTTP/1.1 503") and b"Retry-After: " in no_policy


def test_a_refusal_reaches_a_caller_that_is_still_sending():
    """Closing a connection with unread bytes resets it, and the response is lost."""

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.share_membership()
        node.callers.limits = RequestLimits(body_bytes=1000)
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        head = request_bytes(b"POST", "/payouts/1", "id-1")
        body = b"x" * 4_000_000
        writer.write(head.replace(b"\r\n\r\n", b"\r\nContent-Length: %d\r\n\r\n" % len(body)))
        writer.write(body)
        await writer.drain()
        answer = await reader.read(1 << 20)
        writer.close()
        return answer

    assert run_scenario(scenario).startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize(
    "faulty",
    [
        b"GET /prices/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
        b"GET /prices/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n",
        b"GET /prices/1 HTTP/1.1\r\nHost : a.example\r\n",
    ],
)
def test_a_request_with_ambiguous_framing_is_refused(faulty):
    """Two parsers could read such a request differently, which allows request smuggling."""

    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*node.cfg.callers)
        writer.write(faulty + b"Thorntray-Request-Id: a\r\n\r\nabc")
        answer = await reader.read(1 << 20)
        writer.close()
        return answer, fleet.instances["t1"].run_ids

    answer, ran = run_scenario(scenario)
    assert answer.startswith(b"HTTP/1.1 400")
    assert ran == []

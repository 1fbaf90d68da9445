"""Requests that offer to upgrade the connection are read like any others.

Guards against the failure of review/6: a payout with a body and the fields `Connection: Upgrade`
and `Upgrade: h2c` was passed on at the end of its head and run without its body.
"""

import asyncio
import itertools

import pytest
import uvicorn
from hypothesis import given
from hypothesis import strategies as st
from uvicorn.server import ServerState

from tests.instance_replies import answer_bytes
from tests.test_http_server import connection_with, respond_ok
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.connection.http_request import RequestLimits
from thorntray_node.http import _Protocol

OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n",
    "websocket": b"connection: upgrade\r\nupgrade: websocket\r\n",
    "among others": b"Connection: keep-alive , UPGRADE\r\nUpgrade: h2c, other/1\r\n",
    "two fields": b"Connection: keep-alive\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n",
    "no connection option": b"Upgrade: h2c\r\n",
    "no protocol": b"Connection: Upgrade\r\n",
}
FRAMINGS = {
    "a length": b"Content-Length: 10\r\n\r\n0123456789",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
}
BODY = b"0123456789"
ORDINARY = b"POST /last HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nok"
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"


def offering(offer, framing, target=b"/payouts/1", more=b""):
    head = b"POST %b HTTP/1.1\r\nHost: a.example\r\nX-Kept: yes\r\n" % target
    return head + OFFERS[offer] + more + FRAMINGS[framing]


def read_in_pieces(pieces, limits=None, respond=True):
    """Return the requests that a connection has passed on, and what it has written."""
    exchanges = []

    def handler(exchange):
        exchanges.append(exchange.request)
        if respond:
            respond_ok(exchange)

    connection, transport = connection_with(handler)
    if limits is not None:
        connection.server.limits = limits
    for piece in pieces:
        connection.data_received(piece)
    return exchanges, transport.written


def cut(data, at):
    points = [0, *sorted(at), len(data)]
    return [data[a:b] for a, b in itertools.pairwise(points) if a < b]


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("offer", OFFERS)
def test_a_request_that_offers_an_upgrade_is_passed_on_with_its_body(offer, framing):
    requests, written = read_in_pieces([offering(offer, framing)])
    assert [(r.method, r.target, r.body) for r in requests] == [(b"POST", b"/payouts/1", BODY)]
    assert (b"X-Kept", b"yes") in requests[0].headers
    assert written.startswith(b"HTTP/1.1 200") and written.count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("offer", ["h2c", "two fields"])
def test_an_offer_that_is_cut_at_any_byte_is_read_alike(offer, framing):
    data = offering(offer, framing)
    for at in range(1, len(data)):
        requests, _ = read_in_pieces(cut(data, [at]))
        assert [r.body for r in requests] == [BODY], at
    requests, _ = read_in_pieces([bytes([byte]) for byte in data])
    assert [r.body for r in requests] == [BODY]


@given(st.data(), st.sampled_from(list(FRAMINGS)))
def test_nothing_is_passed_on_that_was_not_sent(data, framing):
    """Bytes behind the offering request are a request or nothing, never a part of one."""
    stream = ORDINARY + offering("h2c", framing) + ORDINARY
    at = data.draw(st.lists(st.integers(1, len(stream) - 1), max_size=6))
    requests, written = read_in_pieces(cut(stream, at))
    seen = [(r.target, r.body) for r in requests]
    assert seen == [(b"/last", b"ok"), (b"/payouts/1", BODY)]
    assert written.count(b"HTTP/1.1 200") == 2
    assert b"Connection: close" in written


def test_an_offering_request_behind_one_without_an_answer_waits_for_it():
    requests, written = read_in_pieces([ORDINARY + offering("h2c", "a length")], respond=False)
    assert [r.body for r in requests] == [b"ok", BODY] and written == b""


def test_a_body_that_looks_like_a_request_is_not_run():
    body = SMUGGLED + b"x"
    head = b"POST /payouts/1 HTTP/1.1\r\nHost: a.example\r\n" + OFFERS["h2c"]
    data = head + b"Content-Length: %d\r\n\r\n" % len(body) + body + SMUGGLED
    requests, _ = read_in_pieces([data])
    assert [(r.target, r.body) for r in requests] == [(b"/payouts/1", body)]


def test_an_offer_without_a_body_is_passed_on_once():
    data = b"GET /prices/1 HTTP/1.1\r\nHost: a.example\r\n" + OFFERS["h2c"] + b"\r\n"
    requests, written = read_in_pieces([data])
    assert [(r.method, r.body) for r in requests] == [(b"GET", b"")]
    assert written.count(b"HTTP/1.1 ") == 1


def test_an_offering_caller_that_expects_100_continue_gets_it_once():
    data = offering("h2c", "a length", more=b"Expect: 100-continue\r\n")
    head, body = data[: -len(BODY)], data[-len(BODY) :]
    exchanges, written = read_in_pieces([head])
    assert (exchanges, written) == ([], b"HTTP/1.1 100 Continue\r\n\r\n")
    requests, _ = read_in_pieces([head, body])
    assert [r.body for r in requests] == [BODY]


def test_the_limits_hold_for_an_offering_request():
    limits = RequestLimits(body_bytes=5)
    for framing in FRAMINGS:
        requests, written = read_in_pieces([offering("h2c", framing)], limits)
        assert requests == [] and written.startswith(b"HTTP/1.1 413")
    many = b"X-More: %b\r\n" % (b"y" * 100) * 20
    requests, written = read_in_pieces(
        [offering("h2c", "a length", more=many)], RequestLimits(header_bytes=1024)
    )
    assert requests == [] and written.startswith(b"HTTP/1.1 431")


@pytest.mark.parametrize("length", [b"", b"Content-Length: 10\r\n"])
def test_a_request_for_a_tunnel_is_refused_and_nothing_behind_it_is_read(length):
    data = b"CONNECT a.example:80 HTTP/1.1\r\nHost: a.example\r\n" + length + b"\r\n"
    requests, written = read_in_pieces([data + SMUGGLED + ORDINARY])
    assert requests == []
    assert written.startswith(b"HTTP/1.1 501") and written.count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("value", [b"Upgrade", b"Upgrade;x", b"x Upgrade", b"Upgrade,,Upgrade"])
def test_an_odd_connection_field_ends_in_one_answer(value):
    """Guards against a head that is parsed again without end."""
    head = b"POST /payouts/1 HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: %b\r\n" % value
    requests, written = read_in_pieces([head + FRAMINGS["a length"]])
    assert [r.body for r in requests] in ([BODY], [])
    assert written.count(b"HTTP/1.1 ") == 1


@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("offer", OFFERS)
def test_the_products_own_interface_reads_the_body_of_an_offering_request(offer, framing):
    seen = []

    async def app(scope, receive, send):
        message = await receive()
        body = message["body"]
        while message["more_body"]:
            message = await receive()
            body += message["body"]
        seen.append((scope["method"], scope["path"], body))
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b""})

    async def scenario():
        config = uvicorn.Config(app, loop="none", ws="none", lifespan="off", log_config=None)
        config.load()

        def make_protocol():
            return _Protocol(config=config, server_state=ServerState(), app_state={})

        server = await asyncio.get_running_loop().create_server(make_protocol, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        writer.write(offering(offer, framing))
        answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        writer.close()
        server.close()
        return answer

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")
    assert seen == [("POST", "/payouts/1", BODY)]


def test_an_answer_that_offers_an_upgrade_is_passed_on_whole():
    async def reply(request_id, writer):
        lines = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
        writer.write(answer_bytes(request_id, BODY, header_lines=lines))

    async def scenario(fleet):
        await fleet.add("t1", "tariff", reply)
        await fleet.share_membership()
        return [await fleet.get("t1", "/prices/1", f"id-{number}") for number in range(3)]

    for answer in run_virtual_scenario(scenario):
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(BODY)
        assert b"Upgrade" not in answer

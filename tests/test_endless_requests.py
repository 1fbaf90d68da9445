"""A caller that sends a head, or framing of a body, without end is answered after few bytes."""

import asyncio

import pytest

from tests.test_http_server import REQUEST, connection_with, respond_ok, serving
from thorntray.internal.connection.http_request import RequestLimits

KIB, MIB = 1024, 1024 * 1024
LONG = b"x" * (16 * KIB)
START_LINE = b"GET /1 HTTP/1.1\r\nHost: a.example\r\n"
CHUNKED = b"POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "target": (b"GET /", LONG),
    "field name": (START_LINE, LONG),
    "one field": (START_LINE + b"X-Long: ", LONG),
    "fields": (START_LINE, b"X-More: %b\r\n" % (b"y" * KIB)),
    "chunk extension": (CHUNKED + b"5;", LONG),
    "trailer fields": (CHUNKED + b"0\r\n", b"X-More: %b\r\n" % (b"y" * KIB)),
    "one trailer field": (CHUNKED + b"0\r\nX-More: ", LONG),
}
MAX_TAKEN = 512 * KIB  # bytes of a request that are read before its refusal
LIMITS = RequestLimits(header_bytes=16 * KIB)


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_head_without_end_is_refused_after_few_bytes(kind):
    head, part = ENDLESS[kind]
    connection, transport = connection_with(respond_ok)
    connection.server.limits = LIMITS
    connection.data_received(head)
    taken = 0
    while not transport.written and taken < 4 * MAX_TAKEN:
        connection.data_received(part)
        taken += len(part)
    assert transport.written.startswith(b"HTTP/1.1 431 ")
    assert taken <= MAX_TAKEN


def test_a_request_behind_others_whose_head_has_no_end_is_refused_in_its_order():
    waiting = []
    connection, transport = connection_with(waiting.append)
    connection.server.limits = LIMITS
    connection.data_received(REQUEST % b"1" + b"GET /")
    for _ in range(64):
        connection.data_received(LONG)
    assert transport.written == b""
    waiting[0].respond(200, b"", b"ok")
    answers = transport.written.split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"431"]


def test_a_body_in_small_chunks_is_not_taken_for_a_head_without_end():
    connection, transport = connection_with(respond_ok)
    connection.server.limits = LIMITS
    connection.data_received(CHUNKED)
    for _ in range(16):
        connection.data_received(b"1\r\nx\r\n" * (4 * KIB))
    connection.data_received(b"0\r\n\r\n")
    assert transport.written.startswith(b"HTTP/1.1 200 ")


def test_many_small_requests_in_one_read_are_not_taken_for_a_head_without_end():
    connection, transport = connection_with(respond_ok)
    connection.server.limits = RequestLimits(header_bytes=200)
    for _ in range(8):
        connection.data_received((REQUEST % b"1") * 31 + b"GET /1 HT")
        connection.data_received(b"TP/1.1\r\nHost: a.example\r\n\r\n")
    assert transport.written.count(b"HTTP/1.1 200 ") == 8 * 32


def test_a_head_that_arrives_in_small_parts_within_the_limit_is_served():
    async def scenario():
        async with serving(respond_ok, RequestLimits(header_bytes=2 * KIB)) as (_, reader, writer):
            head = START_LINE + b"X-Long: " + b"x" * (KIB) + b"\r\n\r\n"
            for start in range(0, len(head), 100):
                writer.write(head[start : start + 100])
                await asyncio.sleep(0.005)
            async with asyncio.timeout(2):
                return await reader.read(1 << 16)

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200 ")

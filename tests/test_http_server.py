"""Tests of the HTTP server's connections without a node."""

import asyncio
from contextlib import asynccontextmanager

from standins.fleet import free_port
from tests.mesh_builders import HOST
from thorntray.internal.connection.http_connection import MAX_PIPELINED, HttpServerConnection
from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.process.clock import SystemClock

REQUEST = b"GET /%b HTTP/1.1\r\nHost: a.example\r\n\r\n"


def respond_ok(exchange):
    exchange.respond(200, b"", b"ok")


class RecordingTransport(asyncio.Transport):
    """Transport that records whether reading is paused, and what was written."""

    def __init__(self):
        super().__init__()
        self.reading = True
        self.written = b""

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def is_closing(self):
        return False

    def write(self, data):
        self.written += data

    def write_eof(self):
        pass

    def get_write_buffer_size(self):
        return 0


@asynccontextmanager
async def serving(handler, limits=None):
    server = HttpServer(handler, SystemClock())
    server.limits = limits or RequestLimits()
    port = free_port()
    await server.start(HOST, port)
    sweeping = asyncio.ensure_future(server.sweep())
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        yield server, reader, writer
    finally:
        writer.close()
        sweeping.cancel()
        server.close()


def connection_with(handler):
    connection = HttpServerConnection(HttpServer(handler, SystemClock()))
    transport = RecordingTransport()
    connection.connection_made(transport)
    return connection, transport


def test_a_request_whose_handler_fails_is_answered():
    def handler(exchange):
        if exchange.request.target == b"/fails":
            raise KeyError("fails")
        exchange.respond(200, b"", b"ok")

    async def scenario():
        async with serving(handler) as (_, reader, writer):
            writer.write(REQUEST % b"fails" + REQUEST % b"works")
            answer = b""
            async with asyncio.timeout(2):
                while not answer.endswith(b"ok"):
                    answer += await reader.read(1 << 16)
            return answer

    answer = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 500") and b"HTTP/1.1 200" in answer


def test_a_line_end_between_requests_is_not_answered_with_a_timeout():
    async def scenario():
        limits = RequestLimits(header_timeout=0.3)
        async with serving(respond_ok, limits) as (_, reader, writer):
            writer.write(REQUEST % b"1")
            await asyncio.sleep(0.1)
            writer.write(b"\r\n")
            await asyncio.sleep(1.5)
            writer.write(REQUEST % b"2")
            answer = b""
            async with asyncio.timeout(2):
                while answer.count(b"ok") < 2:
                    answer += await reader.read(1 << 16)
            return answer

    assert asyncio.run(scenario()).count(b"HTTP/1.1 200") == 2


def test_the_second_half_of_a_request_that_never_comes_is_answered_with_a_timeout():
    async def scenario():
        limits = RequestLimits(header_timeout=0.3)
        async with serving(respond_ok, limits) as (_, reader, writer):
            writer.write(REQUEST % b"1" + b"GET /2 HT")
            async with asyncio.timeout(3):
                return await reader.read(-1)

    answer = asyncio.run(scenario())
    assert b"HTTP/1.1 200" in answer and b"HTTP/1.1 408" in answer


def test_a_second_field_over_the_limit_does_not_write_behind_the_refusal():
    async def scenario():
        async with serving(respond_ok, RequestLimits(header_bytes=100)) as (_, reader, writer):
            field = b"X-Long: " + b"x" * 200 + b"\r\n"
            writer.write(b"GET /1 HTTP/1.1\r\n" + field)
            await asyncio.sleep(0.1)
            writer.write(field + field + b"\r\n")
            async with asyncio.timeout(3):
                return await reader.read(-1)

    assert asyncio.run(scenario()).count(b"HTTP/1.1 ") == 1


def test_further_chunks_of_a_body_over_the_limit_are_not_reported_as_unanswered():
    waiting, unanswered = [], []
    connection, _ = connection_with(waiting.append)
    connection.server.limits = RequestLimits(body_bytes=10)
    connection.server.on_unanswered = lambda exchange, closed_by: unanswered.append(closed_by)
    chunk = b"14\r\n" + b"x" * 20 + b"\r\n"
    head = b"POST /2 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.data_received(REQUEST % b"1" + head + chunk * 3)
    waiting[0].respond(200, b"", b"ok")
    assert unanswered == []


def test_a_request_to_upgrade_gets_one_answer_and_the_connection_closes():
    async def scenario():
        async with serving(respond_ok) as (_, reader, writer):
            upgrade = b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            writer.write((REQUEST % b"1").replace(b"\r\n\r\n", b"\r\n" + upgrade))
            async with asyncio.timeout(3):
                return await reader.read(-1)

    answer = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 200") and answer.count(b"HTTP/1.1 ") == 1


def test_a_caller_that_keeps_sending_gets_a_large_last_answer_whole():
    body = b"x" * (2 * 1024 * 1024)

    async def scenario():
        async with serving(lambda exchange: exchange.respond(200, b"", body)) as (
            server,
            reader,
            writer,
        ):
            server.closing = True
            writer.write(REQUEST % b"1")
            await asyncio.sleep(0.1)
            for _ in range(20):
                writer.write(b"x" * 1000)
                await asyncio.sleep(0.1)
            async with asyncio.timeout(3):
                return await reader.read(-1)

    assert len(asyncio.run(scenario())) > len(body)


def test_a_connection_whose_output_has_ended_is_closed_though_the_caller_keeps_it_open():
    async def scenario():
        async with serving(respond_ok) as (server, reader, writer):
            server.closing = True
            writer.write(REQUEST % b"1")
            async with asyncio.timeout(3):
                await reader.read(-1)
                while server.connections:
                    await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_a_caller_that_takes_no_output_is_disconnected_after_the_idle_timeout():
    body = b"x" * (16 * 1024 * 1024)

    async def scenario():
        limits = RequestLimits(idle_timeout=0.5)
        handler = lambda exchange: exchange.respond(200, b"", body)  # noqa: E731
        async with serving(handler, limits) as (server, _, writer):
            writer.transport.pause_reading()
            writer.write(REQUEST % b"1")
            async with asyncio.timeout(4):
                await asyncio.sleep(0.2)
                while server.connections:
                    await asyncio.sleep(0.05)

    asyncio.run(scenario())


def test_a_caller_that_ends_its_side_of_the_connection_has_left():
    cancelled = []

    def handler(exchange):
        exchange.on_cancel = lambda: cancelled.append(exchange.request.target)

    async def scenario():
        async with serving(handler) as (_, reader, writer):
            writer.write(REQUEST % b"1")
            await asyncio.sleep(0.1)
            writer.write_eof()
            async with asyncio.timeout(2):
                return await reader.read(-1)

    assert (asyncio.run(scenario()), cancelled) == (b"", [b"/1"])


def test_a_caller_that_does_not_read_its_answers_is_not_read_from():
    waiting = []
    connection, transport = connection_with(waiting.append)
    connection.data_received(REQUEST % b"1" + REQUEST % b"2")
    connection.pause_writing()
    waiting[0].respond(200, b"", b"ok")
    assert not transport.reading
    connection.resume_writing()
    assert transport.reading


def test_a_caller_with_too_many_pending_requests_is_not_read_from():
    waiting = []
    connection, transport = connection_with(waiting.append)
    connection.data_received((REQUEST % b"1") * MAX_PIPELINED)
    connection.pause_writing()
    connection.resume_writing()
    assert not transport.reading
    waiting[0].respond(200, b"", b"ok")
    assert transport.reading

"""Requests in unusual forms, while the limits change in force or the server stops.

Each test guards against a request that was read and ends without its answer, or out of order.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from standins.fleet import free_port
from tests.mesh_builders import HOST
from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.process.clock import SystemClock

GET = b"GET /%b HTTP/1.1\r\nHost: a.example\r\n\r\n"
CHUNKED = b"POST /c HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
EXPECTING = (
    b"POST /e HTTP/1.1\r\nHost: a.example\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
)
UPGRADE = b"GET /u HTTP/1.1\r\nHost: a.example\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"
PAUSE = 0.05  # seconds in which the server reads what was sent
LOWERED = RequestLimits(header_bytes=64, body_bytes=4, header_timeout=0.3, idle_timeout=0.3)


class Recorder:
    """A server whose requests below /held wait for `release`; it answers with the target."""

    def __init__(self):
        self.server = HttpServer(self._handle, SystemClock())
        self.bodies, self.unanswered, self._held = {}, [], []
        self.server.on_unanswered = lambda exchange, by: self.unanswered.append(exchange)

    def _handle(self, exchange):
        target = exchange.request.target
        self.bodies[target] = exchange.request.body
        if target.startswith(b"/held"):
            self._held.append(exchange)
        else:
            exchange.respond(200, b"", target)

    def release(self):
        """Answer the requests that wait, the last one first."""
        for exchange in reversed(self._held):
            exchange.respond(200, b"", exchange.request.target)


@asynccontextmanager
async def recording():
    recorder, port = Recorder(), free_port()
    await recorder.server.start(HOST, port)
    sweeping = asyncio.ensure_future(recorder.server.sweep())
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        async with asyncio.timeout(10):
            yield recorder, reader, writer
    finally:
        writer.close()
        sweeping.cancel()
        recorder.server.close()


async def send(writer, data, pieces=1):
    step = max(1, len(data) // pieces)
    for start in range(0, len(data), step):
        writer.write(data[start : start + step])
        await asyncio.sleep(0.002)
    await asyncio.sleep(PAUSE)


async def read_until_quiet(reader, seconds=0.3):
    data = b""
    try:
        while True:
            async with asyncio.timeout(seconds):
                part = await reader.read(1 << 16)
            if not part:
                return data
            data += part
    except TimeoutError:
        return data


def disturb(server, disturbance):
    if disturbance == "limits":
        server.limits = LOWERED
    elif disturbance == "stop":
        server.closing = True


def statuses(answers):
    return [int(part[:3]) for part in answers.split(b"HTTP/1.1 ")[1:]]


@pytest.mark.parametrize("disturbance", ["none", "limits", "stop"])
@pytest.mark.parametrize(
    "behind", [b"", UPGRADE, b"no request\r\n\r\n", b"GET /half HTTP/1.1\r\nH"]
)
def test_requests_read_before_are_answered_in_order(behind, disturbance):
    async def scenario():
        async with recording() as (recorder, reader, writer):
            await send(writer, GET % b"held/1" + GET % b"2" + GET % b"held/3" + behind)
            disturb(recorder.server, disturbance)
            await asyncio.sleep(1.0)  # two sweeps
            recorder.release()
            return await read_until_quiet(reader), recorder.unanswered

    answers, unanswered = asyncio.run(scenario())
    assert statuses(answers)[:3] == [200, 200, 200] and unanswered == []
    assert answers.index(b"/held/1") < answers.index(b"/2") < answers.index(b"/held/3")


@pytest.mark.parametrize("disturbance", ["none", "limits", "stop"])
def test_a_request_that_arrives_meanwhile_is_answered_or_refused_as_not_run(disturbance):
    async def scenario():
        async with recording() as (recorder, reader, writer):
            await send(
                writer, b"POST /b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 6\r\n\r\nab"
            )
            disturb(recorder.server, disturbance)
            await send(writer, b"cdef")
            return await read_until_quiet(reader), recorder.bodies

    answers, bodies = asyncio.run(scenario())
    refused = disturbance == "limits"
    assert statuses(answers) == ([413] if refused else [200])
    assert bodies == ({} if refused else {b"/b": b"abcdef"})


def test_a_body_in_chunks_of_any_form_arrives_whole_in_single_bytes():
    chunks = b"1\r\na\r\n00003;x=y\r\nbcd\r\nA\r\n0123456789\r\n0\r\nTrailer: t\r\n\r\n"

    async def scenario():
        async with recording() as (recorder, reader, writer):
            data = GET % b"held/1" + CHUNKED + chunks + GET % b"2"
            await send(writer, data, pieces=len(data))
            recorder.release()
            return await read_until_quiet(reader), recorder.bodies

    answers, bodies = asyncio.run(scenario())
    assert statuses(answers) == [200] * 3
    assert bodies[b"/c"] == b"abcd0123456789"


def test_answers_to_head_requests_have_no_body_between_others():
    async def scenario():
        async with recording() as (recorder, reader, writer):
            await send(writer, GET % b"1" + (GET % b"2").replace(b"GET", b"HEAD") + GET % b"3")
            return await read_until_quiet(reader)

    answers = asyncio.run(scenario())
    assert statuses(answers) == [200] * 3 and b"\r\n\r\nHTTP/1.1 200 OK" in answers
    assert answers.endswith(b"/3") and b"\r\n\r\n/2" not in answers


def test_requests_before_one_with_connection_close_are_answered_and_those_behind_not_read():
    async def scenario():
        async with recording() as (recorder, reader, writer):
            last = (GET % b"2").replace(b"Host", b"Connection: close\r\nHost")
            await send(writer, GET % b"held/1" + last + GET % b"3")
            recorder.release()
            return await read_until_quiet(reader), recorder.bodies

    answers, bodies = asyncio.run(scenario())
    assert statuses(answers) == [200, 200] and b"/3" not in bodies


def test_a_caller_behind_a_pending_request_is_told_to_send_its_body():
    async def scenario():
        async with recording() as (recorder, reader, writer):
            await send(writer, GET % b"held/1" + EXPECTING)
            early = await read_until_quiet(reader, PAUSE)
            recorder.release()
            answers = await read_until_quiet(reader)
            await send(writer, b"ab")
            return early, answers, await read_until_quiet(reader), recorder.bodies

    early, answers, last, bodies = asyncio.run(scenario())
    assert early == b""  # it would be taken for an answer to the pending request
    assert statuses(answers) == [200, 100]
    assert statuses(last) == [200] and bodies[b"/e"] == b"ab"


def test_a_caller_that_sends_its_body_without_waiting_is_not_told_to():
    async def scenario():
        async with recording() as (recorder, reader, writer):
            await send(writer, GET % b"held/1" + EXPECTING + b"ab" + GET % b"2")
            recorder.release()
            return await read_until_quiet(reader)

    assert statuses(asyncio.run(scenario())) == [200] * 3


def test_a_request_that_waits_to_send_its_body_is_not_run_when_the_server_stops():
    async def scenario():
        async with recording() as (recorder, reader, writer):
            await send(writer, GET % b"held/1" + EXPECTING)
            recorder.server.closing = True
            recorder.release()
            await send(writer, b"ab")
            return await read_until_quiet(reader), recorder.bodies

    answers, bodies = asyncio.run(scenario())
    assert statuses(answers) == [200] and b"Connection: close" in answers
    assert b"/e" not in bodies

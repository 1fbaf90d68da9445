"""Answers whose status is none of the protocol, or an interim one.

Guards against a report from other systems: an instance in trouble sent an answer with the status
000, and callers got it as an answer. Here it was passed on to HEAD requests, as were interim
answers (1xx), and 600 and 999 to all.
"""

import asyncio

import pytest

from tests.instance_replies import answer_bytes
from tests.mesh_builders import make_result_frame
from tests.virtual_mesh import run_virtual_scenario
from thorntray.errors import NoReply
from thorntray.internal.connection.http_client import KeptConnections
from thorntray.internal.connection.message import Call, body_digest
from thorntray.internal.connection.statuses import is_final, is_interim
from thorntray.internal.connection.upstream import UpstreamConnections
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.request.outcome import Unknown
from thorntray.internal.request.result import Cause, ResultKind
from thorntray.internal.request.result_frames import result_from_frame
from thorntray.internal.store.aiohttp_client import AiohttpClient

CALL = Call(b"", b"", b"", "s", "r", "GET", "/", (), b"", body_digest(b""), 0, 0, 1, 0, 0)
METHODS = [b"GET", b"HEAD", b"POST"]
INVALID = [b"000", b"099", b"101", b"600", b"999"]
INTERIM = [b"100", b"102", b"199"]
FRAMINGS = {
    "a length": b"Content-Length: 4\r\n\r\nbody",
    "no body": b"Content-Length: 0\r\n\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "the close": b"\r\nbody",
}


def head_of(status, request_id):
    return b"HTTP/1.1 %b X\r\nThorntray-Request-Id: %b\r\n" % (status, request_id)


def answers_through(reply, method, entry="t1"):
    """Return the status that a caller reads at the node `entry`, and what the owner recorded."""

    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", reply)
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        results = []
        on_finish = owner.owner.deps.on_finish

        def record(call, result, seconds):
            results.append(result)
            on_finish(call, result, seconds)

        owner.owner.deps = owner.owner.deps._replace(on_finish=record)
        answer = await fleet.send(entry, method, "/payouts/1", "id-1")
        return int(answer[9:12]), results

    return run_virtual_scenario(scenario)


@pytest.mark.parametrize("entry", ["t1", "h1"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("status", INVALID)
def test_an_answer_with_an_invalid_status_is_no_answer(status, method, framing, entry):
    async def reply(request_id, writer):
        writer.write(head_of(status, request_id) + FRAMINGS[framing])
        writer.close()

    seen, results = answers_through(reply, method, entry)
    assert seen == 502
    assert [(r.kind, r.cause) for r in results] == [(ResultKind.UNKNOWN, Cause.GARBLED)]


@pytest.mark.parametrize("entry", ["t1", "h1"])
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("status", INTERIM)
def test_an_interim_answer_is_not_taken_for_the_final_one(status, method, entry):
    async def reply(request_id, writer):
        writer.write(head_of(status, request_id) + b"\r\n")
        await asyncio.sleep(0.05)
        writer.write(answer_bytes(request_id, body=b"" if method == b"HEAD" else b"ok"))

    assert answers_through(reply, method, entry)[0] == 200


@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("status", INTERIM)
def test_an_interim_answer_alone_is_no_answer(status, method):
    async def reply(request_id, writer):
        writer.write(head_of(status, request_id) + b"\r\n")
        writer.close()

    seen, results = answers_through(reply, method)
    assert seen == 502 and results[0].kind is ResultKind.UNKNOWN


@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, 999])
def test_a_peer_that_passes_on_an_invalid_status_has_no_answer(status):
    """Guards against a peer of the release before, which passes them on."""
    result = result_from_frame(make_result_frame(status=status, body=b"body"))
    assert (result.kind, result.cause) == (ResultKind.UNKNOWN, Cause.GARBLED)
    assert not result.body


def with_server_that_answers(status, use):
    """Return what `use` returns for the URL of a server that answers with a status, then 200."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for each in (status, b"200"):
            writer.write(b"HTTP/1.1 %b X\r\nContent-Length: 2\r\n\r\n{}" % each)

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            return await use(f"http://127.0.0.1:{port}")
        finally:
            server.close()

    return asyncio.run(scenario())


@pytest.mark.parametrize("make_client", [lambda: KeptConnections(SystemClock()), AiohttpClient])
@pytest.mark.parametrize("status", INVALID)
def test_a_service_that_answers_with_an_invalid_status_has_not_answered(status, make_client):
    async def use(url):
        client = make_client()
        try:
            return await client.call("GET", f"{url}/", None, 2.0)
        except NoReply as exc:
            return exc
        finally:
            await client.close()

    assert isinstance(with_server_that_answers(status, use), NoReply)


@pytest.mark.parametrize("status", INVALID)
def test_the_products_own_interface_takes_an_invalid_status_for_no_answer(status):
    async def use(url):
        upstream = UpstreamConnections(url)
        try:
            return await upstream.send(CALL, "token", 2.0, "shed")
        finally:
            await upstream.close()

    assert isinstance(with_server_that_answers(status, use), Unknown)


def test_every_status_is_final_or_interim_or_invalid():
    kinds = [(is_final(status), is_interim(status)) for status in range(1001)]
    assert kinds.count((True, False)) == 400 and kinds.count((False, True)) == 99

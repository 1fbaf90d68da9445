"""The bytes that a node holds for requests and answers are counted from receipt to release."""

import asyncio

from tests.instance_replies import answer_bytes
from tests.mesh_builders import run_scenario
from tests.test_http_server import REQUEST, connection_with, serving

KIB, MIB = 1024, 1024 * 1024
HEAD = b"POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1000\r\n\r\n"
HEAD_BYTES = 37  # of the header fields
CHUNKED = b"POST /1 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
POST = (
    b"POST /%b/1 HTTP/1.1\r\nHost: a.example\r\nThorntray-Request-Id: %b\r\n"
    b"Thorntray-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n"
)


def test_an_announced_body_is_counted_before_it_is_received_and_until_the_answer():
    waiting = []
    connection, _ = connection_with(waiting.append)
    held = connection.server.held
    connection.data_received(HEAD)
    assert 1000 + HEAD_BYTES <= held.requests < 1100
    announced = held.requests
    connection.data_received(b"x" * 1000)
    assert held.requests == announced
    waiting[0].respond(200, b"", b"ok")
    assert (held.requests, held.answers) == (0, 0)


def test_a_chunked_body_is_counted_as_it_grows():
    connection, _ = connection_with(lambda exchange: None)
    connection.data_received(CHUNKED)
    before = connection.server.held.requests
    for _ in range(3):
        connection.data_received(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
    assert connection.server.held.requests == before + 3000


def test_nothing_is_counted_for_a_connection_that_was_lost():
    connection, _ = connection_with(lambda exchange: None)
    connection.data_received(HEAD + b"x" * 1000 + HEAD + b"x" * 10)
    connection.pause_writing()
    connection.connection_lost(None)
    held = connection.server.held
    assert (held.requests, held.answers, held.unsent()) == (0, 0, 0)


def test_an_answer_is_counted_while_it_waits_for_those_before_it():
    waiting = []
    connection, _ = connection_with(waiting.append)
    connection.data_received(REQUEST % b"1" + REQUEST % b"2")
    waiting[1].respond(200, b"", b"x" * 1000)
    assert connection.server.held.answers == 1000
    waiting[0].respond(200, b"", b"ok")
    assert connection.server.held.answers == 0


def test_an_answer_that_its_caller_does_not_take_is_counted_until_it_does():
    async def scenario():
        async with serving(lambda e: e.respond(200, b"", b"x" * (16 * MIB))) as parts:
            server, reader, writer = parts
            writer.transport.pause_reading()
            writer.write(REQUEST % b"1")
            await asyncio.sleep(0.3)
            before = server.held.unsent()
            writer.transport.resume_reading()
            async with asyncio.timeout(5):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(16 * MIB)
            await asyncio.sleep(0.1)
            return before, server.held.unsent()

    before, after = asyncio.run(scenario())
    assert 4 * MIB < before <= 16 * MIB + KIB
    assert after == 0


def test_the_gauges_show_a_call_at_its_owner_and_nothing_after_its_end():
    async def scenario(fleet):
        go_on = asyncio.Event()

        async def reply(request_id, writer):
            await go_on.wait()
            writer.write(answer_bytes(request_id))

        owner = await fleet.add("t1", "tariff", reply)
        origin = await fleet.add("h1", "haul")
        await fleet.share_membership()
        reader, writer = await asyncio.open_connection(*origin.cfg.callers)
        writer.write(POST % (b"payouts", b"id-1", 100 * KIB) + b"x" * (100 * KIB))
        await asyncio.sleep(0.3)
        during = [node.memory.held_by_kind() for node in (origin, owner)]
        go_on.set()
        await reader.readuntil(b"ok")
        after = [node.memory.held for node in (origin, owner)]
        exposition = origin.metrics.exposition()
        writer.close()
        return during, after, exposition

    (at_origin, at_owner), after, exposition = run_scenario(scenario)
    assert 100 * KIB <= at_origin["requests"] < 101 * KIB and at_origin["calls"] == 0
    assert at_owner["calls"] == 100 * KIB and at_owner["requests"] == 0
    assert after == [0, 0]
    assert b'thorntray_held_bytes{kind="requests"} 0.0' in exposition
    assert b"thorntray_memory_budget_bytes -1.0" in exposition


def test_a_payout_that_runs_on_without_its_caller_is_still_counted():
    async def scenario(fleet):
        go_on = asyncio.Event()

        async def reply(request_id, writer):
            await go_on.wait()
            writer.write(answer_bytes(request_id))

        node = await fleet.add("t1", "tariff", reply)
        await fleet.share_membership()
        _, writer = await asyncio.open_connection(*node.cfg.callers)
        writer.write(POST % (b"payouts", b"id-1", 100 * KIB) + b"x" * (100 * KIB))
        await asyncio.sleep(0.3)
        with_caller = node.memory.held_by_kind()
        writer.close()
        await asyncio.sleep(0.2)
        without_caller = node.memory.held_by_kind()
        go_on.set()
        await asyncio.sleep(0.2)
        return with_caller, without_caller, node.memory.held

    with_caller, without_caller, after = run_scenario(scenario)
    assert with_caller["requests"] >= 100 * KIB and with_caller["calls"] == 0
    assert without_caller["requests"] == 0 and without_caller["calls"] == 100 * KIB
    assert after == 0


def test_nothing_is_counted_for_an_answer_that_comes_after_its_caller_has_left():
    waiting = []
    connection, _ = connection_with(waiting.append)
    connection.data_received(HEAD + b"x" * 1000)
    connection.connection_lost(None)
    waiting[0].respond(200, b"", b"x" * 1000)
    assert connection.server.held.answers == 0


def test_a_body_behind_the_last_answer_of_a_connection_is_not_counted_any_more():
    waiting = []
    connection, _ = connection_with(waiting.append)
    connection.data_received(REQUEST % b"1" + HEAD + b"x" * 10)
    connection.server.closing = True
    waiting[0].respond(200, b"", b"ok")
    assert connection.server.held.requests == 0

"""Tests of the instance pool with truncated, malformed, duplicate and late answers."""

import asyncio
import socket
import struct

import pytest
import uvloop

from tests.instance_replies import answer_bytes
from tests.mesh_builders import HOST, FakeInstance
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.instance_response import InstanceResponse, ResponseFault
from thorntray.internal.process.clock import SystemClock

ID_HEADER = b"thorntray-request-id"


async def send_request(pool, request_id=b"id-1", run_once=False, timeout=1.0):
    done = asyncio.get_running_loop().create_future()
    data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: %b\r\n\r\n" % request_id
    pool.send(data, request_id, b"GET", run_once, done.set_result)
    return await asyncio.wait_for(done, timeout)


def run_scenario(reply, scenario, loop_factory=None):
    async def work():
        instance = await FakeInstance(reply).start()
        pool = InstancePool(HOST, instance.port, ID_HEADER, SystemClock())
        try:
            return await scenario(pool, instance)
        finally:
            pool.close()
            instance.close()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(work())


def reply_with(*parts, close=False):
    async def reply(request_id, writer):
        for part in parts:
            writer.write(part.replace(b"ID", request_id))
        await writer.drain()
        if close:
            writer.close()

    return reply


COMPLETE_ANSWER = b"HTTP/1.1 200 X\r\nThorntray-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok"


def test_a_complete_answer_is_returned_and_its_connection_reused():
    async def scenario(pool, instance):
        first = await send_request(pool)
        second = await send_request(pool, b"id-2")
        return first, second, instance.connections

    first, second, connections = run_scenario(reply_with(COMPLETE_ANSWER), scenario)
    assert isinstance(first, InstanceResponse) and first.body == b"ok"
    assert isinstance(second, InstanceResponse)
    assert connections == 1


@pytest.mark.parametrize(
    ("parts", "fault"),
    [
        ([COMPLETE_ANSWER[:-1]], ResponseFault.LOST),
        ([b"garbage\r\n\r\n"], ResponseFault.GARBLED),
        ([COMPLETE_ANSWER.replace(b"Thorntray-Request-Id: ID\r\n", b"")], ResponseFault.GARBLED),
        ([], ResponseFault.LOST),
    ],
)
def test_a_truncated_or_malformed_answer_is_never_returned_as_complete(parts, fault):
    async def scenario(pool, instance):
        return await send_request(pool)

    assert run_scenario(reply_with(*parts, close=True), scenario) is fault


def test_an_answer_without_a_length_is_complete_when_its_connection_closes_normally():
    unframed = b"HTTP/1.1 200 X\r\nThorntray-Request-Id: ID\r\n\r\nall of it"

    async def scenario(pool, instance):
        return await send_request(pool)

    answer = run_scenario(reply_with(unframed, close=True), scenario)
    assert isinstance(answer, InstanceResponse) and answer.body == b"all of it"


def test_an_answer_without_a_length_is_incomplete_when_its_connection_is_reset():
    async def reply(request_id, writer):
        writer.write(b"HTTP/1.1 200 X\r\nThorntray-Request-Id: %b\r\n\r\nsome" % request_id)
        await writer.drain()
        await asyncio.sleep(0.05)
        no_linger = struct.pack("ii", 1, 0)  # makes the close send a reset
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        writer.transport.abort()

    async def scenario(pool, instance):
        return await send_request(pool)

    assert run_scenario(reply, scenario) is ResponseFault.LOST


def test_a_duplicate_answer_in_the_same_bytes_closes_the_connection_but_fails_no_request():
    async def scenario(pool, instance):
        first = await send_request(pool)
        second = await send_request(pool, b"id-2")
        return first, second, instance.connections

    first, second, connections = run_scenario(
        reply_with(COMPLETE_ANSWER + COMPLETE_ANSWER), scenario
    )
    assert isinstance(first, InstanceResponse) and isinstance(second, InstanceResponse)
    assert connections == 2


def test_a_late_duplicate_answer_is_not_returned_for_the_next_request():
    async def reply(request_id, writer):
        if request_id == b"id-1":
            writer.write(answer_bytes(request_id, b"one"))
        else:
            writer.write(answer_bytes(b"id-1", b"one again"))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(answer_bytes(request_id, b"two"))

    async def scenario(pool, instance):
        await send_request(pool)
        return await send_request(pool, b"id-2")

    answer = run_scenario(reply, scenario)
    assert isinstance(answer, InstanceResponse) and answer.body == b"two"


def test_an_instance_that_does_not_listen_is_reported_as_unreachable():
    async def scenario(pool, instance):
        instance.close()
        await asyncio.sleep(0.01)
        return await send_request(pool)

    assert run_scenario(reply_with(COMPLETE_ANSWER), scenario) is ResponseFault.UNREACHABLE


def test_a_non_idempotent_request_does_not_reuse_an_idle_connection():
    async def scenario(pool, instance):
        await send_request(pool)
        await asyncio.sleep(0.6)
        await send_request(pool, b"id-2", run_once=True)
        return instance.connections

    assert run_scenario(reply_with(COMPLETE_ANSWER), scenario) == 2


def test_a_cancelled_request_closes_its_connection():
    async def scenario(pool, instance):
        data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: a\r\n\r\n"
        sending = pool.send(data, b"a", b"GET", False, lambda answer: None)
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.sleep(0.1)
        return instance.disconnects

    async def never_answer(request_id, writer):
        pass

    assert run_scenario(never_answer, scenario) == 1


@pytest.mark.parametrize("end", ["closing", "lost"])
def test_a_request_is_not_run_if_its_new_connection_ended_before_it_was_sent(end):
    """An instance that has its most connections closes a new one as soon as it is open."""

    async def scenario(pool, instance):
        loop = asyncio.get_running_loop()
        create_connection = loop.create_connection

        async def create_ended_connection(*args):
            transport, protocol = await create_connection(*args)
            transport.close()
            if end == "lost":
                await asyncio.sleep(0.01)
            return transport, protocol

        loop.create_connection = create_ended_connection
        return await send_request(pool), instance.run_ids

    result, run_ids = run_scenario(reply_with(COMPLETE_ANSWER), scenario)
    assert (result, run_ids) == (ResponseFault.UNREACHABLE, [])


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_a_request_is_not_written_to_an_idle_connection_that_the_instance_is_closing(loop_factory):
    async def answer_then_close(request_id, writer):
        writer.write(answer_bytes(request_id))
        await asyncio.sleep(0.05)
        writer.close()

    async def scenario(pool, instance):
        await send_request(pool)
        connection = pool._idle[0]
        receive_eof = connection.eof_received
        second = asyncio.get_running_loop().create_future()

        def receive_eof_and_send():
            keep_open = receive_eof()
            data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: id-2\r\n\r\n"
            pool.send(data, b"id-2", b"GET", False, second.set_result)
            return keep_open

        connection.eof_received = receive_eof_and_send
        return await asyncio.wait_for(second, 1.0), instance.run_ids

    answer, run_ids = run_scenario(answer_then_close, scenario, loop_factory)
    assert isinstance(answer, InstanceResponse) and run_ids == [b"id-1", b"id-2"], answer


def test_an_idle_connection_with_a_failed_transport_is_not_reused():
    async def scenario(pool, instance):
        await send_request(pool)
        pool._idle[0]._transport.close()  # connection_lost follows in the next iteration
        return await send_request(pool, b"id-2"), instance.connections

    answer, connections = run_scenario(reply_with(COMPLETE_ANSWER), scenario)
    assert isinstance(answer, InstanceResponse) and connections == 2, answer

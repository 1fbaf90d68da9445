"""Connections to an instance that breaks off, garbles, repeats or delays its answers."""

import asyncio
import socket
import struct

import pytest

from tests.mesh_builders import HOST, FakeInstance, answer_bytes
from thorntray.internal.connection.instance_pool import (
    InstancePool,
    InstanceResponse,
    ResponseFault,
)
from thorntray.internal.process.clock import SystemClock

ID_HEADER = b"thorntray-request-id"


async def ask(pool, request_id=b"id-1", once=False, timeout=1.0):
    done = asyncio.get_running_loop().create_future()
    data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: %b\r\n\r\n" % request_id
    pool.send(data, request_id, b"GET", once, done.set_result)
    return await asyncio.wait_for(done, timeout)


def play(reply, scenario):
    async def work():
        instance = await FakeInstance(reply).start()
        pool = InstancePool(HOST, instance.port, ID_HEADER, SystemClock())
        try:
            return await scenario(pool, instance)
        finally:
            pool.close()
            instance.close()

    return asyncio.run(work())


def writes(*parts, close=False):
    async def reply(request_id, writer):
        for part in parts:
            writer.write(part.replace(b"ID", request_id))
        await writer.drain()
        if close:
            writer.close()

    return reply


WHOLE = b"HTTP/1.1 200 X\r\nThorntray-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok"


def test_a_whole_answer_is_given_and_its_connection_used_again():
    async def scenario(pool, instance):
        first = await ask(pool)
        second = await ask(pool, b"id-2")
        return first, second, instance.connections

    first, second, connections = play(writes(WHOLE), scenario)
    assert isinstance(first, InstanceResponse) and first.body == b"ok"
    assert isinstance(second, InstanceResponse)
    assert connections == 1


@pytest.mark.parametrize(
    ("parts", "fault"),
    [
        ([WHOLE[:-1]], ResponseFault.LOST),
        ([b"garbage\r\n\r\n"], ResponseFault.GARBLED),
        ([WHOLE.replace(b"Thorntray-Request-Id: ID\r\n", b"")], ResponseFault.GARBLED),
        ([], ResponseFault.LOST),
    ],
)
def test_an_answer_that_is_cut_or_no_answer_is_never_given_as_whole(parts, fault):
    async def scenario(pool, instance):
        return await ask(pool)

    assert play(writes(*parts, close=True), scenario) is fault


def test_an_answer_without_a_length_is_whole_when_its_connection_ends_in_order():
    unframed = b"HTTP/1.1 200 X\r\nThorntray-Request-Id: ID\r\n\r\nall of it"

    async def scenario(pool, instance):
        return await ask(pool)

    answer = play(writes(unframed, close=True), scenario)
    assert isinstance(answer, InstanceResponse) and answer.body == b"all of it"


def test_an_answer_without_a_length_is_not_whole_when_its_connection_is_reset():
    async def reply(request_id, writer):
        writer.write(b"HTTP/1.1 200 X\r\nThorntray-Request-Id: %b\r\n\r\nsome" % request_id)
        await writer.drain()
        await asyncio.sleep(0.05)
        no_linger = struct.pack("ii", 1, 0)  # so that closing sends a reset
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
        writer.transport.abort()

    async def scenario(pool, instance):
        return await ask(pool)

    assert play(reply, scenario) is ResponseFault.LOST


def test_a_second_answer_in_the_same_bytes_ends_the_connection_but_not_the_request():
    async def scenario(pool, instance):
        first = await ask(pool)
        second = await ask(pool, b"id-2")
        return first, second, instance.connections

    first, second, connections = play(writes(WHOLE + WHOLE), scenario)
    assert isinstance(first, InstanceResponse) and isinstance(second, InstanceResponse)
    assert connections == 2


def test_a_late_second_answer_is_not_taken_for_the_next_requests():
    async def reply(request_id, writer):
        if request_id == b"id-1":
            writer.write(answer_bytes(request_id, b"one"))
        else:
            writer.write(answer_bytes(b"id-1", b"one again"))
            await writer.drain()
            await asyncio.sleep(0.1)
            writer.write(answer_bytes(request_id, b"two"))

    async def scenario(pool, instance):
        await ask(pool)
        return await ask(pool, b"id-2")

    answer = play(reply, scenario)
    assert isinstance(answer, InstanceResponse) and answer.body == b"two"


def test_an_instance_that_does_not_listen_was_sent_nothing():
    async def scenario(pool, instance):
        instance.close()
        await asyncio.sleep(0.01)
        return await ask(pool)

    assert play(writes(WHOLE), scenario) is ResponseFault.UNREACHABLE


def test_a_request_that_runs_once_does_not_use_a_connection_that_has_been_idle():
    async def scenario(pool, instance):
        await ask(pool)
        await asyncio.sleep(0.6)
        await ask(pool, b"id-2", once=True)
        return instance.connections

    assert play(writes(WHOLE), scenario) == 2


def test_a_cancelled_request_closes_its_connection():
    async def scenario(pool, instance):
        data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: a\r\n\r\n"
        sending = pool.send(data, b"a", b"GET", False, lambda answer: None)
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.sleep(0.1)
        return instance.closed_early

    async def silent(request_id, writer):
        pass

    assert play(silent, scenario) == 1

"""Connections that are kept open hold no body that nobody needs, and large ones are not copied."""

import asyncio
import tracemalloc

from tests.instance_replies import answer_bytes
from tests.mesh_builders import HOST, FakeInstance
from tests.test_http_server import connection_with
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.process.clock import SystemClock

MIB = 1024 * 1024
BODY_BYTES = 8 * MIB
PART_BYTES = 64 * 1024
HEAD = b"POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES


def traced_bytes(action):
    """Return the bytes that `action` has left allocated, and the most that it had."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        kept = action()
        after, peak = tracemalloc.get_traced_memory()
        del kept
        return after - before, peak - before
    finally:
        tracemalloc.stop()


def test_a_callers_connection_holds_no_body_of_a_request_that_was_answered():
    connection, _ = connection_with(lambda exchange: exchange.respond(200, b"", b"ok"))

    def receive():
        connection.data_received(HEAD)
        for _ in range(BODY_BYTES // PART_BYTES):
            connection.data_received(b"x" * PART_BYTES)
        assert not connection.pending

    left, _ = traced_bytes(receive)
    assert left < MIB


def test_a_request_that_waits_for_its_answer_holds_its_body_once():
    waiting = []
    connection, _ = connection_with(waiting.append)

    def receive():
        connection.data_received(HEAD)
        for _ in range(BODY_BYTES // PART_BYTES):
            connection.data_received(b"x" * PART_BYTES)
        assert len(waiting) == 1

    left, _ = traced_bytes(receive)
    assert BODY_BYTES <= left < BODY_BYTES + MIB


def test_a_large_answer_to_a_caller_is_not_copied():
    waiting = []
    connection, transport = connection_with(waiting.append)
    connection.data_received(b"GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\n")
    body, written = b"x" * BODY_BYTES, []
    transport.write = written.append
    _, peak = traced_bytes(lambda: waiting[0].respond(200, b"", body))
    assert b"".join(written).endswith(b"\r\n\r\n" + body)
    assert peak < MIB


def test_an_idle_connection_to_the_instance_holds_no_body():
    async def reply(request_id, writer):
        writer.write(answer_bytes(request_id, b"x" * BODY_BYTES))

    async def work():
        instance = await FakeInstance(reply).start()
        pool = InstancePool(HOST, instance.port, b"thorntray-request-id", SystemClock())
        end = asyncio.get_running_loop().create_future()
        data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: id-1\r\n\r\n"
        pool.send(data, b"id-1", b"GET", False, lambda r: end.set_result(len(r.body)))
        assert await end == BODY_BYTES
        await asyncio.sleep(0.05)
        connection = pool._idle[0]
        held = sum(map(len, connection._body)) + len(getattr(connection._response, "body", b""))
        pool.close()
        instance.close()
        return held

    assert asyncio.run(work()) == 0

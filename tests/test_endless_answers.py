"""An instance that sends bytes without end, in a head or a body, until its caller closes."""

import asyncio
from weakref import WeakSet

import pytest

from tests.instance_replies import answer_bytes
from tests.mesh_builders import HOST, FakeInstance, run_scenario
from thorntray.internal.connection import instance_pool
from thorntray.internal.connection.instance_connection import InstanceConnection
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.instance_response import InstanceResponse, ResponseFault
from thorntray.internal.process.clock import SystemClock

KIB, MIB = 1024, 1024 * 1024
MAX_HEAD_TAKEN = 1 * MIB  # bytes that a node takes of a head, buffers of the kernel included
MAX_BODIES_HELD = 80 * MIB  # bytes that a node holds of all bodies together
START_LINE = b"HTTP/1.1 200 X\r\nThorntray-Request-Id: ID\r\n"
CHUNKED_HEAD = START_LINE + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessReply:
    """Replies that begin with `head` and repeat `part`; they give up after `most` bytes."""

    def __init__(self, head, part, most):
        self.head = head
        self.part = part
        self.most = most
        self.taken = 0  # bytes that the kernel has taken from all replies
        self.closed = 0  # connections that the node has closed

    async def __call__(self, request_id, writer):
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(self.head.replace(b"ID", request_id))
        sent = 0
        try:
            while sent < self.most:
                writer.write(self.part.replace(b"ID", request_id))
                await writer.drain()
                sent += len(self.part)
                self.taken += len(self.part)
            await asyncio.sleep(60)
        except ConnectionError:
            self.closed += 1
            raise


def play(reply, requests=1, timeout=5.0, watch=None):
    """Send requests over separate connections; return how they ended."""

    async def work():
        instance = await FakeInstance(reply).start()
        pool = InstancePool(HOST, instance.port, b"thorntray-request-id", SystemClock())
        loop = asyncio.get_running_loop()
        ends = [loop.create_future() for _ in range(requests)]
        for number, end in enumerate(ends):
            request_id = b"id-%d" % number
            data = b"GET /x HTTP/1.1\r\nThorntray-Request-Id: %b\r\n\r\n" % request_id
            pool.send(data, request_id, b"GET", False, end.set_result)
        watching = asyncio.ensure_future(watch()) if watch else None
        try:
            return await asyncio.wait_for(asyncio.gather(*ends), timeout)
        finally:
            if watching is not None:
                watching.cancel()
            pool.close()
            instance.close()

    return asyncio.run(work())


LONG_LINE = b"x" * (64 * KIB)
ENDLESS_HEADS = {
    "fields": (START_LINE, b"X-More: %b\r\n" % (b"y" * KIB) * 64),
    "one field": (START_LINE + b"X-Long: ", LONG_LINE),
    "field name": (START_LINE, LONG_LINE),
    "reason phrase": (b"HTTP/1.1 200 ", LONG_LINE),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\nX-More: yes\r\n\r\n" * 1024),
    "answers to others": (
        b"",
        b"HTTP/1.1 200 X\r\nThorntray-Request-Id: other\r\nContent-Length: 2\r\n\r\nok" * 512,
    ),
    "trailer fields": (CHUNKED_HEAD + b"0\r\n", b"X-More: %b\r\n" % (b"y" * KIB) * 64),
    "chunk extension": (CHUNKED_HEAD + b"5;", LONG_LINE),
}


@pytest.mark.parametrize("kind", ENDLESS_HEADS)
def test_an_endless_head_ends_its_connection_after_few_bytes(kind):
    reply = EndlessReply(*ENDLESS_HEADS[kind], most=32 * MIB)
    ends = play(reply)
    assert ends == [ResponseFault.GARBLED]
    assert reply.taken <= 8 * MAX_HEAD_TAKEN  # most of it in the buffers of the kernel


@pytest.mark.parametrize("framing", ["chunked", "by close"])
def test_endless_bodies_take_bounded_memory_together(framing, monkeypatch):
    head, part = CHUNKED_HEAD, b"10000\r\n" + b"z" * (64 * KIB) + b"\r\n"
    if framing == "by close":
        head, part = START_LINE + b"\r\n", b"z" * (64 * KIB)
    reply = EndlessReply(head, part, most=100 * MIB)
    most_held = 0
    connections = WeakSet()

    class RecordedConnection(InstanceConnection):
        def __init__(self, *args, **kwargs):
            super().__init__(*args, **kwargs)
            connections.add(self)

    async def watch():
        nonlocal most_held
        while True:
            held = sum(len(part) for connection in connections for part in connection._body)
            most_held = max(most_held, held)
            await asyncio.sleep(0.02)

    monkeypatch.setattr(instance_pool, "InstanceConnection", RecordedConnection)
    ends = play(reply, requests=8, watch=watch)
    assert ends == [ResponseFault.GARBLED] * 8
    assert MIB < most_held <= MAX_BODIES_HELD


def test_a_sound_answer_is_delivered_beside_endless_ones():
    endless = EndlessReply(START_LINE + b"\r\n", b"z" * (64 * KIB), most=100 * MIB)

    async def reply(request_id, writer):
        if request_id == b"id-0":
            await asyncio.sleep(0.3)
            writer.write(answer_bytes(request_id, b"sound"))
        else:
            await endless(request_id, writer)

    ends = play(reply, requests=6)
    assert isinstance(ends[0], InstanceResponse) and ends[0].body == b"sound"
    assert ends[1:] == [ResponseFault.GARBLED] * 5


def test_the_caller_of_an_endless_answer_gets_an_answer_and_the_node_goes_on():
    endless = EndlessReply(START_LINE, b"X-More: %b\r\n" % (b"y" * KIB) * 64, most=32 * MIB)

    async def scenario(fleet):
        async def reply(request_id, writer):
            if request_id.startswith(b"endless"):
                await endless(request_id, writer)
            else:
                writer.write(answer_bytes(request_id))

        await fleet.add("t1", "tariff", reply)
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        payout = await fleet.send("h1", b"POST", "/payouts/1", "endless-1")
        return payout, await fleet.get("h1", "/prices/1", "sound")

    payout, sound = run_scenario(scenario)
    assert payout.startswith(b"HTTP/1.1 502")
    assert sound.startswith(b"HTTP/1.1 200")

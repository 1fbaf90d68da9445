"""Requests for which the process has no memory are refused before they are taken in.

Without that, bodies add up until the platform kills the process, and every request is lost.
"""

import asyncio

from tests.instance_replies import answer_bytes
from tests.mesh_builders import run_scenario
from tests.test_held_bytes import CHUNKED, HEAD, POST
from tests.test_http_server import REQUEST, connection_with, serving
from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.process.hold_time import DEFAULT_HOLD_TIME, MAX_HOLD_TIME, HoldTime
from thorntray.internal.process.memory_budget import MemoryBudget, Share

KIB, MIB = 1024, 1024 * 1024
PAGE_HEAD = b"POST /1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n"


class Gate:
    """A gate with room for `room` bytes of all requests of one server."""

    def __init__(self, room):
        self.room = room
        self.pressed = False
        self.asked = []

    def refusal(self, request, count):
        self.asked.append((request.target, count))
        return b"Retry-After: 1.5\r\n" if count > self.room else None


def gated(room, handler):
    connection, transport = connection_with(handler)
    connection.server.held.gate = Gate(room)
    return connection, transport


def test_a_body_without_room_is_refused_before_it_is_received():
    taken = []
    connection, transport = gated(100 * KIB, taken.append)
    connection.data_received(PAGE_HEAD % (200 * KIB))
    assert transport.written.startswith(b"HTTP/1.1 503 ")
    assert b"Retry-After: 1.5\r\n" in transport.written
    assert b"Connection: close\r\n" in transport.written
    connection.data_received(b"x" * (200 * KIB) + REQUEST % b"2")
    assert taken == [] and transport.written.count(b"HTTP/1.1 ") == 1
    assert connection.server.held.requests == 0


def test_a_chunked_body_is_refused_when_it_exceeds_the_room():
    taken = []
    connection, transport = gated(0, taken.append)
    connection.data_received(CHUNKED + b"3e8\r\n" + b"x" * 1000 + b"\r\n")
    assert transport.written == b""
    for _ in range(4):
        connection.data_received(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
    connection.data_received(b"0\r\n\r\n")
    assert transport.written.startswith(b"HTTP/1.1 503 ") and taken == []
    assert connection.server.held.requests == 0


def test_a_refused_request_behind_others_is_answered_after_them():
    waiting = []
    connection, transport = gated(100 * KIB, waiting.append)
    connection.data_received(REQUEST % b"1" + REQUEST % b"2" + PAGE_HEAD % (200 * KIB))
    connection.data_received(b"x" * (200 * KIB))
    assert transport.written == b"" and len(waiting) == 2
    waiting[1].respond(200, b"", b"second")
    waiting[0].respond(200, b"", b"first")
    answers = transport.written.split(b"HTTP/1.1 ")[1:]
    assert [answer[:3] for answer in answers] == [b"200", b"200", b"503"]
    assert answers[0].endswith(b"first") and answers[1].endswith(b"second")


def test_a_body_above_the_limit_of_bodies_is_not_refused_for_memory():
    connection, transport = gated(0, lambda exchange: None)
    connection.server.limits = RequestLimits(body_bytes=100 * KIB)
    connection.data_received(PAGE_HEAD % (200 * KIB))
    assert transport.written.startswith(b"HTTP/1.1 413 ")
    assert connection.server.held.gate.asked == []


def test_small_requests_ask_for_room_only_while_memory_is_scarce():
    connection, _ = gated(0, lambda exchange: None)
    gate = connection.server.held.gate
    connection.data_received(HEAD + b"x" * 1000)
    assert gate.asked == []
    gate.pressed = True
    connection.data_received(REQUEST % b"1")
    assert [target for target, _ in gate.asked] == [b"/1"]


def test_a_refused_caller_that_goes_on_sending_reads_its_refusal():
    async def scenario():
        async with serving(lambda exchange: None) as (server, reader, writer):
            server.held.gate = Gate(100 * KIB)
            writer.write(PAGE_HEAD % (8 * MIB))
            for _ in range(128):
                writer.write(b"x" * (64 * KIB))
                await writer.drain()
            async with asyncio.timeout(3):
                return await reader.read(-1)

    assert asyncio.run(scenario()).startswith(b"HTTP/1.1 503 ")


def test_a_body_that_exceeds_its_share_is_taken_in_while_nothing_else_is_held():
    budget = MemoryBudget(300_000_000)
    held = 0
    budget.add_source("requests", lambda: held)
    assert budget.has_room(64 * MIB, Share.REPEATABLE_REQUEST)
    assert not budget.has_room(budget.limit + 1, Share.REPEATABLE_REQUEST)
    held = int(budget.limit * 0.4)
    assert not budget.has_room(64 * MIB, Share.REPEATABLE_REQUEST)


def test_the_return_time_is_the_time_for_which_bytes_are_held():
    hold_time = HoldTime(0.0)
    assert hold_time.seconds == DEFAULT_HOLD_TIME
    for step in range(1, 101):  # 50 MB held, 25 MB released a second
        hold_time.observe(50_000_000, step * 2_500_000, step / 10)
    assert abs(hold_time.seconds - 2.0) < 0.01
    for step in range(101, 301):  # nothing is released any more
        hold_time.observe(50_000_000, 250_000_000, step / 10)
    assert hold_time.seconds == MAX_HOLD_TIME


async def post(node, path, request_id, size):
    """Send a request with a body and return its answer."""
    reader, writer = await asyncio.open_connection(*node.cfg.callers)
    writer.write(POST % (path, request_id, size) + b"x" * size)
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return answer


def test_payouts_and_nested_calls_are_taken_in_after_repeatable_requests_are_refused():
    async def scenario(fleet):
        go_on = asyncio.Event()

        async def reply(request_id, writer):
            if request_id == b"parent":
                await go_on.wait()
            writer.write(answer_bytes(request_id))

        fleet.memory_limit = 100_000_000
        node = await fleet.add("t1", "tariff", reply)
        await fleet.share_membership()
        limit = node.memory.limit
        parent = asyncio.ensure_future(post(node, b"payouts", b"parent", 10))
        _, slow = await asyncio.open_connection(*node.cfg.callers)
        slow.write(POST % (b"payouts", b"slow", int(limit * 0.49)))  # its body does not come
        await asyncio.sleep(0.2)
        answers = [
            await post(node, b"prices", b"repeatable", int(limit * 0.1)),
            await post(node, b"payouts", b"payout", int(limit * 0.1)),
            await post(node, b"prices", b"parent-c", int(limit * 0.1)),
            await post(node, b"payouts", b"large-payout", int(limit * 0.25)),
            await post(node, b"prices", b"small", 10),
        ]
        go_on.set()
        answers.append(await parent)
        slow.close()
        await asyncio.sleep(0.2)
        answers.append(await post(node, b"prices", b"again", int(limit * 0.1)))
        ran = fleet.instances["t1"].run_ids
        return answers, ran, node.metrics.exposition(), node.memory.held

    answers, ran, metrics, left = run_scenario(scenario)
    statuses = [answer[9:12] for answer in answers]
    assert statuses == [b"503", b"200", b"200", b"503", b"200", b"200", b"200"]
    assert b"Retry-After: " in answers[0] and b"Retry-After: " in answers[3]
    assert sorted(ran) == [b"again", b"parent", b"parent-c", b"payout", b"small"]
    assert left == 0
    assert b'thorntray_memory_refusals_total{side="origin"} 2.0' in metrics

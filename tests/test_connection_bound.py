"""HTTP servers that reach the bound on their connections, over real sockets."""

import asyncio
import socket
from contextlib import asynccontextmanager

from standins.fleet import free_port
from tests.mesh_builders import HOST
from thorntray.internal.connection.connection_bound import MIN_IDLE_TIME, SURPLUS_TIMEOUT
from thorntray.internal.connection.http_server import TIMEOUT_CHECK_PERIOD, HttpServer
from thorntray.internal.process.clock import SystemClock

REQUEST = b"GET /%b HTTP/1.1\r\nHost: a.example\r\n\r\n"
BOUND, SURPLUS = 3, 2
PAUSE = 0.05  # seconds in which the server reads what was sent


class BoundedServer:
    """A bounded server whose requests to /held wait for `release`, and a record of the others."""

    def __init__(self):
        self.server = HttpServer(self._handle, SystemClock())
        self.server.bound.limit, self.server.bound.surplus = BOUND, SURPLUS
        self.server.bound.refusal_lines = lambda: b"Retry-After: 0.5\r\n"
        self.held, self.targets, self.writers = [], [], []
        self.port = free_port()

    def _handle(self, exchange):
        self.targets.append(exchange.request.target)
        if exchange.request.target == b"/held":
            self.held.append(exchange)
        else:
            exchange.respond(200, b"", b"ok")

    async def connect(self, data=b""):
        """Open a connection, send bytes and let the server read them."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.writers.append(writer)
        writer.write(data)
        await asyncio.sleep(PAUSE)
        return reader, writer

    def release(self):
        """Answer all requests that wait."""
        for exchange in self.held:
            exchange.respond(200, b"", b"ok")


@asynccontextmanager
async def bounded_server():
    bounded = BoundedServer()
    await bounded.server.start(HOST, bounded.port)
    try:
        async with asyncio.timeout(10):
            yield bounded
    finally:
        for writer in bounded.writers:
            writer.close()
        bounded.server.close()


async def read_to_end(reader):
    try:
        async with asyncio.timeout(1):
            return await reader.read(-1)
    except ConnectionResetError:
        return b""


async def is_open(reader):
    try:
        async with asyncio.timeout(PAUSE):
            await reader.read(-1)
            return False
    except TimeoutError:
        return True


def run(scenario):
    async def work():
        async with bounded_server() as bounded:
            return await scenario(bounded)

    return asyncio.run(work())


def test_a_new_connection_replaces_the_one_that_was_idle_longest():
    async def scenario(bounded):
        idle = [await bounded.connect() for _ in range(BOUND)]
        first_reader, first_writer = idle[0]
        first_writer.write(REQUEST % b"used")  # so the second one is idle longest
        await asyncio.sleep(MIN_IDLE_TIME + PAUSE)
        reader, writer = await bounded.connect(REQUEST % b"new")
        answer = await reader.read(1 << 16)
        await first_reader.read(1 << 16)
        return answer, [await is_open(reader) for reader, _ in idle]

    answer, still_open = run(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and b"close" not in answer
    assert still_open == [True, False, True]


def test_no_connection_is_closed_that_is_owed_an_answer_or_sends_a_request():
    async def scenario(bounded):
        pending, _ = await bounded.connect(REQUEST % b"held")
        half, half_writer = await bounded.connect(b"GET /half HTTP/1.1\r\nHo")
        body, body_writer = await bounded.connect(b"POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nx")
        await asyncio.sleep(MIN_IDLE_TIME + PAUSE)
        refused, _ = await bounded.connect(REQUEST % b"late")
        refusal = await read_to_end(refused)
        half_writer.write(b"st: a.example\r\n\r\n")
        body_writer.write(b"x")
        await asyncio.sleep(PAUSE)
        bounded.release()
        return refusal, [await r.read(1 << 16) for r in (pending, half, body)], bounded.targets

    refusal, answers, targets = run(scenario)
    assert refusal.startswith(b"HTTP/1.1 503") and b"/late" not in targets
    assert b"Retry-After: 0.5\r\n" in refusal and b"Connection: close\r\n" in refusal
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * 3


def test_a_refusal_does_not_wait_for_the_body_of_its_request():
    async def scenario(bounded):
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        reader, _ = await bounded.connect(b"POST /b HTTP/1.1\r\nContent-Length: 900000\r\n\r\nx")
        return await read_to_end(reader)

    assert run(scenario).startswith(b"HTTP/1.1 503")


# Issue 59: they ended without a byte, and no caller could know whether its request had run.
def test_connections_beyond_the_surplus_are_refused_unread():
    async def scenario(bounded):
        bounded.server.bound.serves_surplus = lambda *_: True
        for _ in range(BOUND + SURPLUS):
            await bounded.connect(REQUEST % b"held")
        early, _ = await bounded.connect(REQUEST % b"beyond")
        late, writer = await bounded.connect()
        writer.write(REQUEST % b"beyond")
        answers = [await read_to_end(reader) for reader in (early, late)]
        return answers, bounded.targets, bounded.server.bound.closed_unread

    answers, targets, closed = run(scenario)
    assert closed == 2 and b"/beyond" not in targets
    assert all(answer.startswith(b"HTTP/1.1 503") for answer in answers)
    assert all(answer.count(b"Retry-After: 0.5\r\n") == 1 for answer in answers)


def test_a_request_that_is_needed_is_served_over_the_bound_and_none_behind_it_is_read():
    async def scenario(bounded):
        bounded.server.bound.serves_surplus = lambda host, target, headers: target == b"/held"
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        reader, _ = await bounded.connect(REQUEST % b"held" + REQUEST % b"behind")
        bounded.release()
        return await read_to_end(reader), bounded.targets

    answer, targets = run(scenario)
    assert answer.count(b"HTTP/1.1") == 1 and answer.startswith(b"HTTP/1.1 200")
    assert b"Connection: close\r\n" in answer and b"/behind" not in targets


def test_a_slow_request_does_not_keep_the_place_of_one_that_is_needed():
    async def scenario(bounded):
        sweeping = asyncio.ensure_future(bounded.server.sweep())
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        reader, _ = await bounded.connect(b"GET /slow HTTP/1.1\r\nHo")
        async with asyncio.timeout(SURPLUS_TIMEOUT + 2 * TIMEOUT_CHECK_PERIOD):
            answer = await reader.read(1 << 16)
        sweeping.cancel()
        return answer

    assert run(scenario).startswith(b"HTTP/1.1 408")


def test_a_request_that_is_needed_takes_the_place_of_a_slow_one_in_excess():
    async def scenario(bounded):
        bounded.server.bound.serves_surplus = lambda host, target, headers: target == b"/needed"
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        slow = [await bounded.connect(b"GET /slow HTTP/1.1\r\nHo") for _ in range(SURPLUS)]
        await asyncio.sleep(MIN_IDLE_TIME)
        reader, _ = await bounded.connect(REQUEST % b"needed")
        return await read_to_end(reader), await read_to_end(slow[0][0])

    needed, displaced = run(scenario)
    assert needed.startswith(b"HTTP/1.1 200") and displaced.startswith(b"HTTP/1.1 503")


def test_connections_in_excess_that_are_silent_make_room_and_count_as_in_excess():
    async def scenario(bounded):
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        silent = [await bounded.connect() for _ in range(SURPLUS)]
        await asyncio.sleep(MIN_IDLE_TIME)
        late = [await bounded.connect(REQUEST % b"late") for _ in range(SURPLUS)]
        return [await read_to_end(reader) for reader, _ in silent + late], bounded.targets

    answers, targets = run(scenario)
    assert targets == [b"/held"] * BOUND
    assert all(answer.startswith(b"HTTP/1.1 503") for answer in answers)


def test_a_needed_request_whose_body_is_arriving_is_not_displaced():
    """Guards against the reset of a nested call that was let in by its head."""

    async def scenario(bounded):
        bounded.server.bound.serves_surplus = lambda host, target, headers: target == b"/needed"
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        head = b"POST /needed HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n"
        reader, writer = await bounded.connect(head + b"bo")
        await asyncio.sleep(MIN_IDLE_TIME)
        for _ in range(SURPLUS):
            await bounded.connect(b"GET /late HTTP/1.1\r\nHo")
        writer.write(b"dy")
        return await read_to_end(reader)

    assert run(scenario).startswith(b"HTTP/1.1 200")


def test_a_connection_whose_answer_is_still_in_the_kernel_is_not_displaced():
    """Guards against the reset of an answer that its caller is reading slowly."""

    async def scenario(bounded):
        body = b"x" * 1_000_000
        slow = socket.socket()
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(slow, (HOST, bounded.port))
        await loop.sock_sendall(slow, REQUEST % b"held")
        await asyncio.sleep(PAUSE)
        bounded.held.pop().respond(200, b"", body)
        for _ in range(BOUND - 1):
            await bounded.connect(REQUEST % b"held")
        await asyncio.sleep(MIN_IDLE_TIME + PAUSE)
        in_process = sum(conn.unsent_bytes for conn in bounded.server.connections)
        await bounded.connect(REQUEST % b"late")
        with slow:
            await loop.sock_sendall(slow, REQUEST % b"next")
            received = b""
            while len(received) < len(body):
                piece = await loop.sock_recv(slow, 1 << 16)
                if not piece:
                    break
                received += piece
        return in_process, len(received) >= len(body)

    assert run(scenario) == (0, True)


def test_the_record_of_connections_in_excess_does_not_grow():
    async def scenario(bounded):
        for _ in range(BOUND):
            await bounded.connect(REQUEST % b"held")
        for _ in range(20):
            reader, writer = await bounded.connect(REQUEST % b"late")
            writer.close()
            await asyncio.sleep(PAUSE)  # until the server has seen the end
        return len(bounded.server.bound._in_excess), bounded.server.bound.refused

    assert run(scenario) == (0, 20)


def test_connections_return_to_normal_when_others_have_ended():
    async def scenario(bounded):
        opened = [await bounded.connect(REQUEST % b"held") for _ in range(BOUND)]
        bounded.release()
        for _, writer in opened:
            writer.close()
        await asyncio.sleep(PAUSE)
        reader, _ = await bounded.connect(REQUEST % b"later")
        return await reader.read(1 << 16), len(bounded.server.connections)

    answer, count = run(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and b"close" not in answer and count == 1


def test_without_a_bound_no_connection_is_closed():
    async def scenario(bounded):
        bounded.server.bound.limit = None
        opened = [await bounded.connect() for _ in range(BOUND + SURPLUS + 1)]
        await asyncio.sleep(MIN_IDLE_TIME)
        await bounded.connect()
        return [await is_open(reader) for reader, _ in opened]

    assert all(run(scenario))


def test_an_idle_connection_that_has_had_an_answer_is_closed_without_another_one():
    """Guards against an answer that no request belongs to on a connection that is kept."""

    async def scenario(bounded):
        kept, _ = await bounded.connect(REQUEST % b"used")
        for _ in range(BOUND - 1):
            await bounded.connect(REQUEST % b"held")
        await asyncio.sleep(MIN_IDLE_TIME + PAUSE)
        await bounded.connect(REQUEST % b"new")
        return await read_to_end(kept)

    assert run(scenario).count(b"HTTP/1.1") == 1


def test_a_lowered_bound_closes_idle_connections_only():
    async def scenario(bounded):
        pending, _ = await bounded.connect(REQUEST % b"held")
        idle = [await bounded.connect() for _ in range(BOUND - 1)]
        await asyncio.sleep(MIN_IDLE_TIME)
        bounded.server.bound.limit = 0
        bounded.server.bound.shrink()
        open_idle = [await is_open(reader) for reader, _ in idle]
        bounded.release()
        return open_idle, await pending.read(1 << 16)

    open_idle, answer = run(scenario)
    assert open_idle == [False, False] and answer.startswith(b"HTTP/1.1 200")

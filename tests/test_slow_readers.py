"""Callers that read their answers slowly, while the limits for requests change in force."""

import asyncio
import socket
from contextlib import asynccontextmanager

from standins.fleet import free_port
from tests.mesh_builders import HOST
from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.process.clock import SystemClock

LARGE_BODY = b"x" * (6 * 1024 * 1024)  # more than the kernel's socket buffers hold
REQUEST = b"GET /large HTTP/1.1\r\nHost: a.example\r\n%b\r\n"
SHORT_IDLE_TIMEOUT = 0.7  # seconds
PAUSE = 2.0  # seconds that a reader pauses; some sweeps more than the idle timeout
SMALL_WINDOW = 8192  # bytes of the receive buffer of a slow reader


@asynccontextmanager
async def large_answers(idle_timeout):
    """Serve large answers; yield the server and the socket of a caller with a small window."""
    server = HttpServer(lambda exchange: exchange.respond(200, b"", LARGE_BODY), SystemClock())
    server.limits = RequestLimits(idle_timeout=idle_timeout)
    port = free_port()
    await server.start(HOST, port)
    sweeping = asyncio.ensure_future(server.sweep())
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(caller, (HOST, port))
    try:
        async with asyncio.timeout(20):
            yield server, caller
    finally:
        caller.close()
        sweeping.cancel()
        server.close()


async def read_some(caller, count):
    return await asyncio.get_running_loop().sock_recv(caller, count)


async def read_answer(caller):
    """Return the length of the body that arrives until the caller has it or the connection ends."""
    received = b""
    while len(received) < len(LARGE_BODY):
        data = await read_some(caller, 1 << 20)
        if not data:
            break
        received += data
    return len(received) - received.find(b"\r\n\r\n") - 4


async def send(caller, data):
    await asyncio.get_running_loop().sock_sendall(caller, data)


def test_a_lowered_idle_timeout_does_not_cut_an_answer_that_is_being_read():
    async def scenario():
        async with large_answers(idle_timeout=60.0) as (server, caller):
            await send(caller, REQUEST % b"")
            await asyncio.sleep(0.1)
            server.limits = server.limits._replace(idle_timeout=SHORT_IDLE_TIMEOUT)
            await asyncio.sleep(PAUSE)
            return await read_answer(caller)

    assert asyncio.run(scenario()) >= len(LARGE_BODY) - 200


def test_a_caller_that_reads_slowly_all_the_time_is_not_taken_for_one_that_takes_no_output():
    async def scenario():
        async with large_answers(SHORT_IDLE_TIMEOUT) as (server, caller):
            await send(caller, REQUEST % b"")
            for _ in range(40):
                assert await read_some(caller, 2048)
                await asyncio.sleep(0.1)
            return len(server.connections)

    assert asyncio.run(scenario()) == 1


def test_an_answer_after_a_lowered_idle_timeout_is_bound_by_it():
    async def scenario():
        async with large_answers(idle_timeout=60.0) as (server, caller):
            server.limits = server.limits._replace(idle_timeout=SHORT_IDLE_TIMEOUT)
            await asyncio.sleep(0.6)  # a sweep
            await send(caller, REQUEST % b"")
            await asyncio.sleep(PAUSE)
            return len(server.connections)

    assert asyncio.run(scenario()) == 0


def test_bytes_behind_a_request_with_connection_close_do_not_cut_its_answer():
    async def scenario():
        async with large_answers(idle_timeout=60.0) as (server, caller):
            await send(caller, REQUEST % b"Connection: close\r\n")
            await asyncio.sleep(0.1)
            for _ in range(10):
                await send(caller, b"\r\n")
                await asyncio.sleep(0.02)
            return await read_answer(caller)

    assert asyncio.run(scenario()) >= len(LARGE_BODY) - 200

"""Output that the kernel holds for a caller, and the close of its connection."""

import asyncio
import re
import socket

from thorntray.internal.connection.connection_end import (
    ASSUMED_DELIVERY_TIME,
    LINGER_TIME,
    unacknowledged_bytes,
)
from thorntray.internal.connection.http_server import TIMEOUT_CHECK_PERIOD, HttpServer
from thorntray.internal.process.clock import SystemClock

BODY = b"x" * 30_000  # more than the caller's receive buffer, less than the kernel's send buffer
RECEIVE_BUFFER = 4096  # bytes
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class OpaqueTransport:
    """A transport whose socket is not known."""

    def get_extra_info(self, name):
        return None

    def is_closing(self):
        return False


async def with_closing_server(scenario, refusing=False):
    """Run a scenario with the socket of a caller whose request has been answered, but not read."""
    server = HttpServer(lambda exchange: exchange.respond(200, b"", BODY), SystemClock())
    server.closing = True
    server.refusing = refusing
    await server.start("127.0.0.1", 0)
    sweeping = asyncio.create_task(server.sweep())
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await loop.sock_connect(sock, server._server.sockets[0].getsockname())
        await loop.sock_sendall(sock, REQUEST)
        await asyncio.sleep(0.1)
        return await scenario(server, sock)
    finally:
        sock.close()
        sweeping.cancel()
        server.close()


async def read_all(sock):
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(5):
        while piece := await loop.sock_recv(sock, 1 << 16):
            data += piece
    return data


def test_a_caller_that_pauses_and_then_sends_gets_its_whole_answer():
    # Without the count of the kernel, the server closes while the kernel holds the answer, and
    # the caller's next bytes have the kernel discard it.
    async def scenario(server, sock):
        await asyncio.sleep(LINGER_TIME + 2 * TIMEOUT_CHECK_PERIOD)
        await asyncio.get_running_loop().sock_sendall(sock, REQUEST)
        return await read_all(sock)

    answer = asyncio.run(with_closing_server(scenario))
    assert len(re.split(rb"\r\n\r\n", answer, maxsplit=1)[1]) == len(BODY)


def test_output_counts_as_unsent_until_the_caller_has_taken_it():
    async def scenario(server, sock):
        held = server.unsent_bytes
        in_process = sum(connection.unsent_bytes for connection in server.connections)
        await read_all(sock)
        async with asyncio.timeout(1):  # the last acknowledgement may be delayed
            while server.unsent_bytes:
                await asyncio.sleep(0.01)
        return held, in_process

    held, in_process = asyncio.run(with_closing_server(scenario))
    assert held > len(BODY) // 4 and in_process == 0


def test_output_on_connections_that_come_for_refusals_does_not_prolong_a_stop():
    # Callers without another node come again and again; a stop would last to its limit.
    async def scenario(server, sock):
        return server.unsent_bytes

    assert asyncio.run(with_closing_server(scenario)) > 0
    assert asyncio.run(with_closing_server(scenario, refusing=True)) == 0


def test_where_the_kernel_does_not_tell_an_answer_counts_as_taken_after_a_while():
    # A stop must not wait for its limit because a call is not available.
    just_before = ASSUMED_DELIVERY_TIME - 0.01
    assert unacknowledged_bytes(OpaqueTransport(), 10.0, 10.0 + just_before) == 1
    assert unacknowledged_bytes(OpaqueTransport(), 10.0, 10.0 + ASSUMED_DELIVERY_TIME) == 0

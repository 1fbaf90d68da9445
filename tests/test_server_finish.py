"""The end of a server: what the kernel has accepted is answered, and incomplete requests too.

Guards against connections that ended without a byte, as they were still in the accept queue, or as
their request had not arrived, when the listening socket was closed.
"""

import asyncio
import socket
import zlib

import pytest

from thorntray.internal.connection.compressed_input import RAW_DEFLATE_WBITS
from thorntray.internal.connection.frame import FrameReader, GoAway, Hello, encode_frame
from thorntray.internal.connection.http_connection import FIRST_REQUEST_TIME
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.connection.link_connection import COMPRESSED_STREAM, PLAIN_STREAM
from thorntray.internal.connection.link_listener import FIRST_BYTE_TIME, LinkListener
from thorntray.internal.process.clock import SystemClock

HOST = "127.0.0.1"
REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
HALVES = {"head": (REQUEST[:20], REQUEST[20:]), "body": (REQUEST[:-2], REQUEST[-2:])}
QUEUED = 100  # connections in the accept queue
REQUEST_TIME, ANSWER_TIME = 0.5, 0.2  # seconds
TIMEOUT = 5.0  # seconds


class IdleHandler:
    """A frame handler that does nothing."""

    def on_frame(self, link, frame):
        """Ignore the frame."""

    def on_lost(self, link):
        """Ignore the end of the link."""


def connect(address):
    """Return a connection that the server has had no turn to accept."""
    sock = socket.create_connection(address, timeout=TIMEOUT)
    sock.setblocking(False)
    return sock


async def read_all(sock):
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(TIMEOUT):
        while piece := await loop.sock_recv(sock, 1 << 16):
            data += piece
    sock.close()
    return data


def run_with_server(scenario):
    """Run a scenario with a server, which answers 503, and the address of its port."""

    async def work():
        server = HttpServer(lambda exchange: exchange.respond(503, b"", b""), SystemClock())
        server.bound.refusal_lines = lambda: b"Retry-After: 1\r\n"
        await server.start(HOST, 0)
        try:
            return await scenario(server, server._server.sockets[0].getsockname())
        finally:
            server.close()

    return asyncio.run(work())


def finish(server):
    return asyncio.create_task(server.finish(REQUEST_TIME, ANSWER_TIME))


def test_connections_in_the_accept_queue_are_answered():
    async def scenario(server, address):
        callers = [connect(address) for _ in range(QUEUED)]
        for caller in callers:
            caller.sendall(REQUEST)
        await finish(server)
        with pytest.raises(ConnectionRefusedError):
            connect(address)
        return [await read_all(caller) for caller in callers]

    answers = run_with_server(scenario)
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 503"] * QUEUED


@pytest.mark.parametrize("part", HALVES)
@pytest.mark.parametrize("completed", [True, False])
def test_a_request_that_is_being_received_is_answered(part, completed):
    async def scenario(server, address):
        caller = connect(address)
        caller.sendall(HALVES[part][0])
        await asyncio.sleep(0.05)
        finishing = finish(server)
        await asyncio.sleep(0.1)
        if completed:
            caller.sendall(HALVES[part][1])
        answer = await read_all(caller)
        await finishing
        return answer, server.requests_read

    answer, requests_read = run_with_server(scenario)
    assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
    assert requests_read == int(completed)
    assert (b"Retry-After" in answer) is not completed


def test_a_new_connection_has_time_for_its_first_request():
    async def scenario(server, address):
        caller = connect(address)
        finishing = finish(server)
        await asyncio.sleep(FIRST_REQUEST_TIME / 2)
        caller.sendall(REQUEST)
        await finishing
        return await read_all(caller)

    assert run_with_server(scenario).startswith(b"HTTP/1.1 503")


def test_a_request_that_crosses_the_close_of_a_kept_connection_is_answered():
    # Its bytes are in the kernel when the server finds the connection idle.
    async def scenario(server, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        await asyncio.sleep(0.05)
        answer = caller.recv(1 << 16)
        refusal_lines = server.bound.refusal_lines
        connection = next(iter(server.connections))
        caller.sendall(REQUEST)
        connection.finish(refusal_lines)
        server.closing = True
        await asyncio.sleep(0.05)
        return answer, await read_all(caller)

    answers = run_with_server(scenario)
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 503"] * 2


def test_an_answer_that_is_ready_after_the_time_for_requests_is_sent():
    # Failure: the process ends in the time for answers, and the kernel resets the connection.
    async def scenario(server, address):
        exchanges = []
        server.handler = exchanges.append
        caller = connect(address)
        caller.sendall(REQUEST)
        await asyncio.sleep(0.05)
        loop = asyncio.get_running_loop()
        delay = REQUEST_TIME + ANSWER_TIME / 2
        loop.call_later(delay, lambda: exchanges[0].respond(503, b"", b""))
        await finish(server)
        return caller.recv(1 << 16)

    assert run_with_server(scenario).startswith(b"HTTP/1.1 503")


def test_idle_connections_are_closed_without_a_wait():
    async def scenario(server, address):
        caller = connect(address)
        caller.sendall(REQUEST)
        await asyncio.sleep(FIRST_REQUEST_TIME)
        caller.recv(1 << 16)
        silent = connect(address)
        await asyncio.sleep(FIRST_REQUEST_TIME + 0.05)
        began = asyncio.get_running_loop().time()
        await finish(server)
        seconds = asyncio.get_running_loop().time() - began
        return seconds, await read_all(caller), await read_all(silent)

    seconds, *rest = run_with_server(scenario)
    assert rest == [b"", b""]
    assert seconds < REQUEST_TIME / 2


def test_a_link_in_the_accept_queue_learns_that_its_calls_never_run():
    async def work():
        listener = LinkListener(HOST, 0, IdleHandler(), SystemClock())
        await listener.start()
        peer = connect(listener._server.sockets[0].getsockname())
        peer.sendall(PLAIN_STREAM + encode_frame(Hello("peer", b"0" * 8, ())))
        finishing = asyncio.create_task(listener.finish(1.0))
        received = await read_all(peer)
        await finishing
        return FrameReader().feed(received)

    assert asyncio.run(work()) == [GoAway(0)]


HELLO = encode_frame(Hello("peer", b"0" * 8, ()))


def compressed(data):
    compressor = zlib.compressobj(wbits=RAW_DEFLATE_WBITS)
    return compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)


def decompressed(data):
    return zlib.decompressobj(RAW_DEFLATE_WBITS).decompress(data)


def finish_links(first_bytes):
    """Return what a peer in the accept queue receives that sends late or nothing, and the time."""

    async def work():
        listener = LinkListener(HOST, 0, IdleHandler(), SystemClock())
        await listener.start()
        peer = connect(listener._server.sockets[0].getsockname())
        began = asyncio.get_running_loop().time()
        finishing = asyncio.create_task(listener.finish(0.2))
        await asyncio.sleep(FIRST_BYTE_TIME / 2)
        peer.sendall(first_bytes)
        await asyncio.wait_for(finishing, TIMEOUT)
        seconds = asyncio.get_running_loop().time() - began
        received = await read_all(peer) if first_bytes else b""
        peer.close()
        return received, seconds

    return asyncio.run(work())


@pytest.mark.parametrize(
    "first_bytes, decode",
    [(PLAIN_STREAM + HELLO, bytes), (COMPRESSED_STREAM + compressed(HELLO), decompressed)],
)
def test_a_new_link_whose_first_byte_is_on_its_way_learns_that_its_calls_never_run(
    first_bytes, decode
):
    # Failure: the answer goes out before it is known whether the link is compressed.
    received, _ = finish_links(first_bytes)
    assert FrameReader().feed(decode(received)) == [GoAway(0)]


def test_a_new_link_that_sends_nothing_does_not_hold_the_stop():
    assert finish_links(b"")[1] < 1.0

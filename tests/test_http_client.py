"""Tests of the HTTP client for the platform's key-value service."""

import asyncio
import os
import subprocess
import sys
import tracemalloc
from pathlib import Path

import pytest

from tests.mesh_builders import HOST
from thorntray.errors import NoReply, NotConnected
from thorntray.internal.connection import http_client
from thorntray.internal.connection.http_client import KeptConnections
from thorntray.internal.process.clock import SystemClock

ROOT = Path(__file__).parents[1]
INTERIM_REPLY = b"HTTP/1.1 100 Continue\r\n\r\n"
OK_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nStore-Note: 7\r\n\r\n{}"
CALL_TIMEOUT = 2.0  # seconds


class ScriptedServer:
    """Answers the calls in turn with the given bytes; None closes the connection instead."""

    def __init__(self, *replies: bytes | None, close_after: bool = False) -> None:
        self._replies = list(replies)
        self._close_after = close_after
        self.requests: list[bytes] = []
        self.connections = 0
        self.closed_connections = 0

    async def __aenter__(self) -> "ScriptedServer":
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.url = f"http://{HOST}:{self._server.sockets[0].getsockname()[1]}/kv?Key=a%20b"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
                self.requests.append(head + await reader.readexactly(int(length or b"0")))
                reply = self._replies.pop(0)
                if reply is None:
                    break
                writer.write(reply)
                if self._close_after:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
        writer.close()


def run(replies, scenario, **options):
    """Run `scenario` with a client and a server that gives these replies; return its result."""

    async def main():
        client = KeptConnections(SystemClock())
        async with ScriptedServer(*replies, **options) as server:
            try:
                return await scenario(client, server)
            finally:
                await client.close()

    return asyncio.run(main())


async def get(client, server, timeout=CALL_TIMEOUT):
    return await client.call("GET", server.url, None, timeout)


def test_a_call_sends_its_body_and_returns_status_fields_and_body():
    async def scenario(client, server):
        reply = await client.call("POST", server.url, b'{"a":1}', CALL_TIMEOUT)
        assert (reply.status, reply.headers["store-note"], reply.body) == (200, "7", b"{}")
        head, _, body = server.requests[0].partition(b"\r\n\r\n")
        assert head.startswith(b"POST /kv?Key=a%20b HTTP/1.1\r\n") and body == b'{"a":1}'

    run([OK_REPLY], scenario)


def test_calls_in_turn_share_a_connection_and_concurrent_ones_do_not():
    async def scenario(client, server):
        await get(client, server)
        await get(client, server)
        assert server.connections == 1
        await asyncio.gather(get(client, server), get(client, server))
        assert server.connections == 2

    run([OK_REPLY] * 4, scenario)


def test_a_call_on_a_kept_connection_that_closes_is_not_sent_again():
    # Failure: a write takes effect twice, and the caller learns of one.
    async def scenario(client, server):
        await get(client, server)
        with pytest.raises(NoReply):
            await get(client, server)
        assert len(server.requests) == 2

    run([OK_REPLY, None, OK_REPLY], scenario)


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK_REPLY,
    ],
)
def test_chunked_replies_and_interim_ones_are_read(reply):
    async def scenario(client, server):
        assert (await get(client, server)).body == b"{}"

    run([reply], scenario)


def test_a_reply_without_a_length_ends_with_its_connection():
    async def scenario(client, server):
        assert (await get(client, server)).body == b"{}"

    run([b"HTTP/1.1 200 OK\r\n\r\n{}"], scenario, close_after=True)


@pytest.mark.parametrize(
    "reply", [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", b"no HTTP\r\n\r\n", b""]
)
def test_a_reply_that_is_cut_or_malformed_is_none(reply):
    # Failure: half a document is taken for the whole one.
    async def scenario(client, server):
        with pytest.raises(NoReply):
            await get(client, server)

    run([reply], scenario, close_after=True)


def test_bytes_after_a_reply_are_not_taken_for_the_next_one():
    # Failure: a call gets the reply to another one.
    second = OK_REPLY.replace(b"{}", b"[]")

    async def scenario(client, server):
        assert (await get(client, server)).body == b"{}"
        assert (await get(client, server)).body == b"{}"
        assert server.connections == 2

    run([OK_REPLY + second, OK_REPLY], scenario)
    run([OK_REPLY + second[:20], OK_REPLY], scenario)


def test_a_call_without_a_reply_ends_at_its_timeout_and_closes_its_connection():
    # Failure: a silent store holds a call, and its late reply is taken for that of the next.
    async def scenario(client, server):
        with pytest.raises(NoReply):
            await get(client, server, timeout=0.05)
        while not server.closed_connections:
            await asyncio.sleep(0.01)

    run([b"HTTP/1.1 200 OK\r\n"], scenario)


def test_a_cancelled_call_closes_its_connection():
    async def scenario(client, server):
        call = asyncio.ensure_future(get(client, server))
        while not server.requests:
            await asyncio.sleep(0.01)
        call.cancel()
        while not server.closed_connections:
            await asyncio.sleep(0.01)

    run([b""], scenario)


@pytest.mark.parametrize("error", [NoReply, TimeoutError])
def test_after_a_call_without_a_reply_no_connection_from_before_it_is_used(error):
    # Failure: all kept connections are silent, and the calls of a lease fail until it has expired.
    async def scenario(client, server):
        await asyncio.gather(*(get(client, server) for _ in range(3)))
        with pytest.raises(error):
            async with asyncio.timeout(0.05 if error is TimeoutError else None):
                await get(client, server, timeout=0.05 if error is NoReply else CALL_TIMEOUT)
        await get(client, server)
        assert server.connections == 4

    run([OK_REPLY] * 3 + [b"", OK_REPLY], scenario)


def test_a_connection_that_was_answered_during_a_silent_call_is_kept():
    async def scenario(client, server):
        await asyncio.gather(get(client, server), get(client, server))
        silent = asyncio.ensure_future(get(client, server, timeout=0.2))
        while len(server.requests) < 3:
            await asyncio.sleep(0.01)
        await get(client, server)
        with pytest.raises(NoReply):
            await silent
        await get(client, server)
        assert server.connections == 2

    run([OK_REPLY] * 2 + [b"", OK_REPLY, OK_REPLY], scenario)


def test_a_reply_beyond_the_bound_is_none(monkeypatch):
    # Failure: a store that sends without end takes all memory.
    monkeypatch.setattr(http_client, "MAX_REPLY_BYTES", 1000)

    async def scenario(client, server):
        with pytest.raises(NoReply, match="more than 1000 bytes"):
            await get(client, server)

    run([b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 2000], scenario)


def test_the_bounds_of_replies_hold_for_each_call_on_a_connection(monkeypatch):
    # Failure: a connection that has served many calls is closed in the middle of the next one.
    monkeypatch.setattr(http_client, "MAX_REPLY_BYTES", 2 * len(OK_REPLY))
    monkeypatch.setattr(http_client, "MAX_INTERIM_REPLIES", 1)

    async def scenario(client, server):
        for _ in range(5):
            await get(client, server)
        assert server.connections == 1

    run([OK_REPLY] * 3 + [INTERIM_REPLY + OK_REPLY] * 2, scenario)


@pytest.mark.parametrize(
    "reply",
    [
        INTERIM_REPLY * (http_client.MAX_INTERIM_REPLIES + 1) + OK_REPLY,
        b"HTTP/1.1 200 OK\r\n"
        + b"".join(b"a%d: b\r\n" % number for number in range(http_client.MAX_FIELDS + 1))
        + b"Content-Length: 0\r\n\r\n",
    ],
)
def test_a_reply_of_too_many_parts_is_none(reply):
    # Failure: a store that sends interim replies without end takes all processor time.
    async def scenario(client, server):
        with pytest.raises(NoReply):
            await get(client, server)

    run([reply], scenario)


def test_a_failed_reply_is_not_held_in_memory(monkeypatch):
    # Failure: replies without end that were given up took 1.9 GB until a garbage collection.
    monkeypatch.setattr(http_client, "MAX_REPLY_BYTES", 1000)
    connections = []

    async def scenario(client, server):
        connect = client._connect

        async def recording_connect(*args):
            connections.append(await connect(*args))
            return connections[-1]

        client._connect = recording_connect
        with pytest.raises(NoReply):
            await get(client, server)

    run([b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 2000], scenario)
    assert [conn._body for conn in connections] == [[]]


def test_a_kept_connection_does_not_hold_its_last_reply():
    # Failure: each idle connection to the store held the last reply twice, up to 16 MB.
    size = 4_000_000
    reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size)

    async def scenario(client, server):
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            received = len((await get(client, server)).body)
            await asyncio.sleep(0.01)  # the event loop holds it for the rest of a turn
            held = tracemalloc.get_traced_memory()[0] - before
        finally:
            tracemalloc.stop()
        return received, held, server.closed_connections

    received, held, closed = run([reply], scenario)
    assert (received, closed) == (size, 0)
    assert held < size // 4


def test_an_idle_connection_is_not_used_after_its_time(monkeypatch):
    monkeypatch.setattr(http_client, "IDLE_TIMEOUT", 0.0)

    async def scenario(client, server):
        await get(client, server)
        await asyncio.sleep(0.01)
        await get(client, server)
        assert server.connections == 2

    run([OK_REPLY] * 2, scenario)


def test_a_closed_port_is_told_apart_from_a_lost_reply():
    # Failure: a write that was never sent counts as undetermined.
    async def scenario(client, server):
        server._server.close()
        await server._server.wait_closed()
        with pytest.raises(NotConnected):
            await get(client, server)

    run([], scenario)


def test_a_node_starts_without_importing_aiohttp():
    # Failure: starts cost twice the processor time, for all nodes of a fleet at once.
    code = "import sys, node_process; sys.exit('aiohttp' in sys.modules)"
    env = {**os.environ, "PYTHONPATH": str(ROOT / "platform")}
    assert subprocess.run([sys.executable, "-c", code], env=env, cwd=ROOT).returncode == 0

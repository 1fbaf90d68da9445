"""An instance behind the product's own interface that names a rate limit or its leaving."""

import asyncio

from tests.mesh_builders import HOST
from thorntray.internal.connection.message import Call, body_digest
from thorntray.internal.connection.upstream import UpstreamConnections
from thorntray.internal.request.outcome import Done

CALL = Call(b"", b"", b"", "s", "r", "GET", "/", (), b"", body_digest(b""), 0, 0, 1, 0, 0)


def play(header_lines, scenario):
    """Run a scenario with connections to an instance whose answers carry the header lines."""

    async def serve(reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n%bcontent-length: 2\r\n\r\nok" % header_lines)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def work():
        left = []
        server = await asyncio.start_server(serve, HOST, 0)
        url = f"http://{HOST}:{server.sockets[0].getsockname()[1]}"
        upstream = UpstreamConnections(url, on_leaving=lambda: left.append(True))
        try:
            return await scenario(upstream), left
        finally:
            await upstream.close()
            server.close()

    return asyncio.run(work())


def test_a_request_beyond_the_limit_waits_for_the_time_that_the_limit_means():
    async def scenario(upstream):
        before = upstream.delay(idempotent=True)
        outcome = await upstream.send(CALL, "t", 2.0, "")
        return before, outcome, upstream.delay(idempotent=True)

    (before, outcome, after), left = play(b"Thorntray-Rate-Limit: 0.5\r\n", scenario)
    assert before == 0.0 and isinstance(outcome, Done) and left == []
    assert 1.5 <= after <= 2.0


def test_an_unreadable_limit_is_none():
    async def scenario(upstream):
        await upstream.send(CALL, "t", 2.0, "")
        return upstream.delay(idempotent=True)

    assert play(b"Thorntray-Rate-Limit: -3\r\n", scenario)[0] == 0.0


def test_the_leaving_of_the_instance_is_told():
    async def scenario(upstream):
        await upstream.send(CALL, "t", 2.0, "")

    assert play(b"Thorntray-Leaving: 1\r\n", scenario)[1] == [True]

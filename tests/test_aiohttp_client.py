"""Tests of the HTTP client for the product's own interface to a key-value service."""

import asyncio

import pytest

from tests.mesh_builders import HOST
from thorntray.errors import NoReply
from thorntray.internal.connection.http_client import MAX_REPLY_BYTES
from thorntray.internal.store.aiohttp_client import AiohttpClient

PART = bytes(1024 * 1024)
MAX_PARTS = 4 * MAX_REPLY_BYTES // len(PART)  # sent by a store that would send for ever
CALL_TIMEOUT = 10.0  # seconds
MAX_BUFFERED_BYTES = 8 * 1024 * 1024  # in both sockets and the writer


class EndlessStore:
    """Answers a call with a body of `MAX_PARTS`; `sent` counts its bytes."""

    def __init__(self, head: bytes) -> None:
        self.sent = 0
        self._head = head

    async def __aenter__(self) -> "EndlessStore":
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.url = f"http://{HOST}:{self._server.sockets[0].getsockname()[1]}/kv"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._head)
            for _ in range(MAX_PARTS):
                writer.write(PART)
                await writer.drain()
                self.sent += len(PART)
        except ConnectionError:
            pass  # the client has given the reply up
        writer.close()


# Failure: a store that sends bytes for ever takes all memory of the node.
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_PARTS * len(PART)),
    ],
)
def test_a_reply_beyond_the_bound_is_given_up_unread(head):
    async def scenario():
        client = AiohttpClient()
        async with EndlessStore(head) as store:
            with pytest.raises(NoReply):
                await client.call("GET", store.url, None, CALL_TIMEOUT)
            await client.close()
            await asyncio.sleep(0.1)
            return store.sent

    assert asyncio.run(scenario()) <= MAX_REPLY_BYTES + MAX_BUFFERED_BYTES

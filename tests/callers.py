"""Callers of a node over loopback that keep their connection until the node closes it."""

import asyncio
from typing import NamedTuple

from tests.mesh_builders import request_bytes

READ_TIMEOUT = 10.0  # seconds


class Seen(NamedTuple):
    """What a caller read until its connection ended."""

    request_id: bytes
    answer: bytes

    @property
    def status(self) -> bytes:
        """Return the status of the first answer, empty if there is none."""
        return self.answer[9:12]


async def read_until_closed(reader):
    answer = b""
    try:
        async with asyncio.timeout(READ_TIMEOUT):
            while data := await reader.read(1 << 16):
                answer += data
    except ConnectionError:
        pass
    return answer


def kept(request):
    return request.replace(b"Connection: close\r\n", b"")


async def call(node, request_id, deadline_ms=9000):
    reader, writer = await asyncio.open_connection(*node.cfg.callers)
    return await call_over(reader, writer, request_id, deadline_ms)


async def call_over(reader, writer, request_id, deadline_ms=9000):
    writer.write(kept(request_bytes(b"GET", "/prices/1", request_id, deadline_ms)))
    answer = await read_until_closed(reader)
    writer.close()
    return Seen(request_id.encode(), answer)

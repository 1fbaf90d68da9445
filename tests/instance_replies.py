"""Replies of the fake instances in tests of the lean path."""

import asyncio


def answer_bytes(
    request_id: bytes, body: bytes = b"ok", status: int = 200, header_lines: bytes = b""
) -> bytes:
    """Return the bytes of a complete answer of an instance."""
    head = b"HTTP/1.1 %d X\r\nThorntray-Request-Id: %b\r\n%b" % (status, request_id, header_lines)
    return b"%bContent-Length: %d\r\n\r\n%b" % (head, len(body), body)


def rate_limit_line(rate: float | str) -> bytes:
    """Return the header line by which an instance names its rate limit."""
    return b"Thorntray-Rate-Limit: %b\r\n" % str(rate).encode()


LEAVING_LINE = b"Thorntray-Leaving: 1\r\n"


class StateReply:
    """Replies of an instance whose answers carry `header_lines`, after `delay` seconds."""

    def __init__(self, header_lines: bytes = b"", delay: float = 0.0) -> None:
        self.header_lines = header_lines
        self.delay = delay

    async def __call__(self, request_id: bytes, writer: asyncio.StreamWriter) -> None:
        """Answer a request."""
        if self.delay:
            await asyncio.sleep(self.delay)
        writer.write(answer_bytes(request_id, header_lines=self.header_lines))


async def close_without_answer(request_id, writer):
    """Close the connection instead of answering a request."""
    writer.close()


async def never_answer(request_id, writer):
    """Leave a request unanswered and its connection open."""


async def answer_slowly(request_id, writer):
    """Answer a request after 0.3 seconds."""
    await asyncio.sleep(0.3)
    writer.write(answer_bytes(request_id, b"slow"))

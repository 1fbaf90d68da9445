"""HTTP messages as the stand-ins and the soak's callers read and send them."""

import asyncio
from typing import NamedTuple


class Endpoint(NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class Response(NamedTuple):
    """A complete HTTP response, with header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the head of one HTTP message; return its start line and headers.

    Header names are in lower case. Raises `asyncio.IncompleteReadError` if the connection closes
    first.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *header_lines = head.strip().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in header_lines)}
    return start_line, headers


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message; return its start line, headers and body.

    A message without Content-Length has no body. Otherwise as `read_head`.
    """
    start_line, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return start_line, headers, body


async def send_request(
    endpoint: Endpoint, method: str, path: str, headers: dict[str, str], body: bytes = b""
) -> Response:
    """Send one request over a new connection and return the response."""
    reader, writer = await asyncio.open_connection(*endpoint)
    try:
        header_lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        if body:
            header_lines += f"Content-Length: {len(body)}\r\n"
        writer.write(f"{method} {path} HTTP/1.1\r\n{header_lines}\r\n".encode() + body)
        start_line, fields, content = await read_message(reader)
        return Response(int(start_line.split(" ")[1]), fields, content)
    finally:
        writer.close()


def encode_response(status: int, request_id: str, body: bytes, header_lines: str) -> bytes:
    """Return a response with a request id, header lines and a body of known length."""
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{header_lines}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

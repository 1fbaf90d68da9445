"""The little HTTP/1.1 that the stand-ins speak."""

import asyncio
from typing import NamedTuple


class Message(NamedTuple):
    """A complete message; `headers` has names in lower case."""

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a length; raises `IncompleteReadError` at the end of the connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.strip().split("\r\n")
    headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def encode(start_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    length = "" if start_line.startswith("GET") else f"Content-Length: {len(body)}\r\n"
    return f"{start_line}\r\n{lines}{length}\r\n".encode() + body


class KeptConnections:
    """Sends requests over kept connections to one address."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def send(
        self, method: str, path: str, headers: dict[str, str], body: bytes, timeout: float
    ) -> Message:
        """Return the response; raises `OSError`, `EOFError` or `TimeoutError` without one."""
        async with asyncio.timeout(timeout):
            while self._idle and self._idle[-1][0].at_eof():
                self._idle.pop()[1].close()
            if self._idle:
                reader, writer = self._idle.pop()
            else:
                reader, writer = await asyncio.open_connection(*self._address)
            try:
                writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
                message = await read_message(reader)
            except BaseException:
                writer.close()
                raise
        if message.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self._idle.append((reader, writer))
        return message

    def close(self) -> None:
        """Close all idle connections."""
        for _, writer in self._idle:
            writer.close()
        self._idle.clear()

"""An `HttpClient` by `aiohttp`, for the product's own interface to a key-value service.

It has TLS and streamed replies, which `connection.http_client` has not.
"""

import socket

import aiohttp

from thorntray.errors import NoReply, NotConnected
from thorntray.internal.connection.http_client import (
    CONNECT_TIMEOUT,
    MAX_REPLY_BYTES,
    HttpReply,
    enable_keepalive,
)
from thorntray.internal.connection.statuses import is_final


class AiohttpClient:
    """Calls through one `aiohttp` session, which is opened on first use."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def call(self, method: str, url: str, body: bytes | None, timeout: float) -> HttpReply:
        """Make one call; see `HttpClient`."""
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=min(timeout, CONNECT_TIMEOUT))
        headers = {"Content-Type": "application/json"} if body is not None else None
        try:
            async with self.session().request(
                method, url, data=body, headers=headers, timeout=limits
            ) as resp:
                if not is_final(resp.status):
                    raise NoReply(f"invalid status {resp.status}")
                fields = {name.lower(): value for name, value in resp.headers.items()}
                return HttpReply(resp.status, fields, await _read_body(resp))
        except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError) as exc:
            raise NotConnected(f"no connection: {exc!r}") from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise NoReply(repr(exc)) from exc

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    def session(self) -> aiohttp.ClientSession:
        """Return the session."""
        if self._session is None:
            connector = aiohttp.TCPConnector(socket_factory=_keepalive_socket)
            self._session = aiohttp.ClientSession(connector=connector)
            # If aiohttp silently retried a transaction, the caller could not see that the first
            # attempt had taken effect.
            self._session._retry_connection = False
        return self._session


async def _read_body(resp: aiohttp.ClientResponse) -> bytes:
    """Return the body; raises `NoReply` and closes the connection if it is too large."""
    parts: list[bytes] = []
    size = 0
    async for part in resp.content.iter_any():
        size += len(part)
        if size > MAX_REPLY_BYTES:
            resp.close()
            raise NoReply(f"more than {MAX_REPLY_BYTES} bytes")
        parts.append(part)
    return b"".join(parts)


def _keepalive_socket(addr_info: tuple) -> socket.socket:
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    enable_keepalive(sock)
    sock.setblocking(False)
    return sock

"""Connections to the upstream instance beside this node, over HTTP by `aiohttp`.

This is the one place that talks to upstream instances, so it is here that hidden repeats are
cut off: aiohttp's client by itself sends GET, PUT and DELETE again when a reused connection
dies before the answer. Such a repeat runs the request twice and passes every retry bound.
"""

import asyncio

import aiohttp

from thorntray.internal.connection.message import Call
from thorntray.internal.request.http_answer import CONTEXT_HEADER, DEADLINE_HEADER
from thorntray.internal.request.outcome import (
    Answer,
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)

CONNECT_TIMEOUT = 1.0  # seconds
KEEP_ALIVE = 60.0  # seconds
MAX_CONNECTIONS = 2000
MAX_ANSWER_BYTES = 4 * 1024 * 1024
FIRST_FAILURE_STATUS = 500
SHED_RETRY_AFTER = 0.2  # seconds

_DROPPED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "date", "server"}
)


class UpstreamConnections:
    """The connection pool to one upstream instance."""

    def __init__(self, base_url: str, repeat_hidden: bool = False) -> None:
        self._base_url = base_url
        # Requests in flight are bounded by the slots, and the settings' check keeps the slots
        # within the instance's connections; this bound only guards against a fault of ours.
        connector = aiohttp.TCPConnector(limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # aiohttp has no public switch for its repetition; a test holds it to this.
        self._session._retry_connection = repeat_hidden

    async def send(self, call: Call, token: str, timeout: float, shed_header: str) -> Outcome:
        """Send a request; `timeout` in seconds. Raises only `CancelledError`."""
        headers = dict(call.headers)
        headers[CONTEXT_HEADER] = token
        headers[DEADLINE_HEADER] = str(max(1, int(timeout * 1000)))
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(call, headers, shed_header)
        except aiohttp.ClientConnectorError:
            return NotRun(Reason.UPSTREAM_UNREACHABLE, SHED_RETRY_AFTER, "no connection opened")
        except TimeoutError:
            return Unknown("the deadline passed while the instance ran the request")
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            return Unknown(f"no whole answer from the instance: {type(exc).__name__}: {exc}")

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _exchange(self, call: Call, headers: dict[str, str], shed_header: str) -> Outcome:
        url = self._base_url + call.path
        async with self._session.request(
            call.method,
            url,
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        ) as resp:
            if shed_header and shed_header in resp.headers:
                return NotRun(Reason.UPSTREAM_SHED, SHED_RETRY_AFTER)
            return await self._read(resp)

    async def _read(self, resp: aiohttp.ClientResponse) -> Outcome:
        if not _length_is_known(resp):
            return Failed("the instance's answer has no length; it cannot be told whole")
        if (resp.content_length or 0) > MAX_ANSWER_BYTES:
            return Failed(f"the instance's answer is larger than {MAX_ANSWER_BYTES} bytes")
        body = await resp.content.read(MAX_ANSWER_BYTES + 1)
        while not resp.content.at_eof() and len(body) <= MAX_ANSWER_BYTES:
            body += await resp.content.read(MAX_ANSWER_BYTES + 1 - len(body))
        if len(body) > MAX_ANSWER_BYTES:
            return Failed(f"the instance's answer is larger than {MAX_ANSWER_BYTES} bytes")
        answer = Answer(resp.status, _passed_headers(resp), body)
        if resp.status >= FIRST_FAILURE_STATUS:
            return Failed(f"the instance answered {resp.status}", answer)
        return Done(answer)


def _length_is_known(resp: aiohttp.ClientResponse) -> bool:
    chunked = "chunked" in resp.headers.get("transfer-encoding", "").lower()
    bodiless = resp.method == "HEAD" or resp.status in (204, 304)
    return chunked or bodiless or resp.content_length is not None


def _passed_headers(resp: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.lower(), value)
        for name, value in resp.headers.items()
        if name.lower() not in _DROPPED_HEADERS and not name.lower().startswith("thorntray-")
    )

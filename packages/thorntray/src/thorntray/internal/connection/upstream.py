"""Connections of a `Node` to its upstream instance, over HTTP by `aiohttp`.

All requests of a `Node` to its instance pass through this module (a `MeshNode` uses
`connection.instance_pool`), so it disables hidden retries: by default, aiohttp's client resends
GET, PUT and DELETE when a reused connection closes before the response. Such a retry may run the
request twice and is not counted against any retry limit.

Each answer may name a rate limit or the leaving of the instance, like on the users' platform. There
is no queue here: a request beyond the limit is refused, with the time after which one fits.
"""

import asyncio
from collections.abc import Callable

import aiohttp

from thorntray.internal.connection.message import Call
from thorntray.internal.connection.statuses import is_final
from thorntray.internal.overload.rate_limit import InstanceState, RateLimit
from thorntray.internal.process.clock import Clock, SystemClock
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
KEEP_ALIVE_TIMEOUT = 60.0  # seconds
MAX_CONNECTIONS = 2000
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MIN_FAILURE_STATUS = 500
MIN_RATE_DELAY = 0.05  # seconds
SHED_RETRY_AFTER = 0.2  # seconds
RATE_LIMIT_HEADER, LEAVING_HEADER = "Thorntray-Rate-Limit", "Thorntray-Leaving"

_DROPPED_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "date", "server"}
)


class UpstreamConnections:
    """Connection pool to one upstream instance."""

    def __init__(
        self,
        base_url: str,
        allow_hidden_retry: bool = False,
        clock: Clock | None = None,
        on_leaving: Callable[[], None] = lambda: None,
    ) -> None:
        self._base_url = base_url
        self._clock = clock or SystemClock()
        self._on_leaving = on_leaving
        self.rate_limit = RateLimit(self._clock)
        # The slots limit the requests in flight, and the validation of the settings keeps the
        # slots within the instance's connections; this limit only guards against a bug here.
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=KEEP_ALIVE_TIMEOUT
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # aiohttp has no public option to disable its retry; a test verifies this attribute.
        self._session._retry_connection = allow_hidden_retry

    def delay(self, idempotent: bool) -> float:
        """Return the seconds until the instance's rate limit allows a request, 0 if it does now."""
        limit = self.rate_limit
        if limit.rate is None or limit.may_send(idempotent):
            return 0.0
        return max(limit.delay(), MIN_RATE_DELAY)

    async def send(self, call: Call, token: str, timeout: float, shed_header: str) -> Outcome:
        """Send a request and return its outcome; `timeout` is in seconds.

        A response with the header `shed_header` means that the instance did not run the request.
        Raises only `CancelledError`.
        """
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
        sent_at = self._clock.monotonic()
        self.rate_limit.record_send(sent_at)
        async with self._session.request(
            call.method,
            url,
            headers=headers,
            data=call.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        ) as resp:
            if is_final(resp.status):
                self._learn(resp, sent_at)
            if shed_header and shed_header in resp.headers:
                return NotRun(Reason.UPSTREAM_SHED, SHED_RETRY_AFTER)
            return await self._read_response(resp)

    def _learn(self, resp: aiohttp.ClientResponse, sent_at: float) -> None:
        """Learn what the instance says of itself in an answer."""
        state = InstanceState.from_fields(
            _header_values(resp, RATE_LIMIT_HEADER), _header_values(resp, LEAVING_HEADER)
        )
        self.rate_limit.record_answer(state, sent_at)
        if state.leaving:
            self._on_leaving()

    async def _read_response(self, resp: aiohttp.ClientResponse) -> Outcome:
        if not is_final(resp.status):
            return Unknown(f"the instance answered with the invalid status {resp.status}")
        if not _has_framing(resp):
            return Failed("the instance's answer has no length; it cannot be told whole")
        if (resp.content_length or 0) > MAX_ANSWER_BYTES:
            return Failed(f"the instance's answer is larger than {MAX_ANSWER_BYTES} bytes")
        body = await resp.content.read(MAX_ANSWER_BYTES + 1)
        while not resp.content.at_eof() and len(body) <= MAX_ANSWER_BYTES:
            body += await resp.content.read(MAX_ANSWER_BYTES + 1 - len(body))
        if len(body) > MAX_ANSWER_BYTES:
            return Failed(f"the instance's answer is larger than {MAX_ANSWER_BYTES} bytes")
        answer = Answer(resp.status, _forwarded_headers(resp), body)
        if resp.status >= MIN_FAILURE_STATUS:
            return Failed(f"the instance answered {resp.status}", answer)
        return Done(answer)


def _header_values(resp: aiohttp.ClientResponse, name: str) -> list[bytes]:
    return [value.encode("utf-8", "surrogateescape") for value in resp.headers.getall(name, [])]


def _has_framing(resp: aiohttp.ClientResponse) -> bool:
    chunked = "chunked" in resp.headers.get("transfer-encoding", "").lower()
    bodiless = resp.method == "HEAD" or resp.status in (204, 304)
    return chunked or bodiless or resp.content_length is not None


def _forwarded_headers(resp: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.lower(), value)
        for name, value in resp.headers.items()
        if name.lower() not in _DROPPED_HEADERS and not name.lower().startswith("thorntray-")
    )

"""Client of the platform's key-value service, over the JSON gateway of the etcd v3 API.

Reads are retried with a jittered backoff. Writes are never retried here, because only the writer
knows whether that is safe (see `version.writer`).

A request without an answer raises `PlatformUnavailable` if it cannot have been received, and
`WriteUndetermined` if it may have taken effect.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from random import Random

import aiohttp
import msgspec

from thorntray.errors import PlatformUnavailable, WriteUndetermined
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.aiohttp_client import AiohttpClient
from thorntray.internal.store.store_calls import (
    CALL_TIMEOUT,
    StoreCalls,
    StoreEntry,
    WatchBatch,
)
from thorntray.internal.store.store_epoch import StoreEpoch

READ_ATTEMPTS = 3
READ_BACKOFF = (
    0.5  # seconds after the first failed attempt, doubled after each further one, jittered
)
MAX_WATCH_LINE_BYTES = 4 * 1024 * 1024


def prefix_end(prefix: str) -> str:
    """Return the `range_end` that covers all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _b64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode("ascii")


def _decode_entry(kv: dict[str, str]) -> StoreEntry:
    return StoreEntry(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv.get("mod_revision", 0)),
    )


_NO_VALID_BATCH = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    RecursionError,
    msgspec.MsgspecError,
)


class PlatformClient:
    """Typed calls to the key-value service. `endpoints` are base URLs."""

    def __init__(self, endpoints: list[str], clock: Clock, rng: Random) -> None:
        self._rng = rng
        self._client = AiohttpClient()
        self._http = StoreCalls(endpoints, self._client, clock, rng)

    @property
    def calls(self) -> int:
        """Return the number of calls made so far."""
        return self._http.calls

    @property
    def epoch(self) -> StoreEpoch:
        """Return the epoch of the service; its answers carry none, so it stays 0."""
        return self._http.epoch

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[StoreEntry], int]:
        """Return the entries of a key or prefix and the store's revision.

        Raises `PlatformUnavailable` after the last attempt.
        """
        request = {"key": _b64(key)}
        if prefix:
            request["range_end"] = _b64(prefix_end(key))
        for attempt in range(READ_ATTEMPTS):
            try:
                reply = await self._call("/v3/kv/range", request)
                revision = int(reply["header"]["revision"])
                return [_decode_entry(kv) for kv in reply.get("kvs", [])], revision
            except (PlatformUnavailable, WriteUndetermined):
                if attempt == READ_ATTEMPTS - 1:
                    raise PlatformUnavailable(
                        f"reading {key} failed {READ_ATTEMPTS} times; is the service up?"
                    ) from None
                await asyncio.sleep(READ_BACKOFF * 2**attempt * (0.5 + self._rng.random()))
        raise AssertionError("the loop returns or raises")

    async def put_if(self, key: str, value: bytes, expected: int, lease: int = 0) -> bool:
        """Write the key if its `mod_revision` is `expected` (0: absent); return if it was written.

        Raises `PlatformUnavailable` if nothing was written, and `WriteUndetermined` if the write
        may have taken effect.
        """
        put: dict[str, object] = {"key": _b64(key), "value": _b64(value)}
        if lease:
            put["lease"] = str(lease)
        compare = {
            "key": _b64(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(expected),
        }
        reply = await self._call(
            "/v3/kv/txn", {"compare": [compare], "success": [{"request_put": put}]}
        )
        return bool(reply.get("succeeded", False))

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that is removed when its lease ends."""
        await self._call(
            "/v3/kv/put", {"key": _b64(key), "value": _b64(value), "lease": str(lease)}
        )

    async def lease_grant(self, ttl: int) -> int:
        """Create a lease and return its id; `ttl` is in seconds."""
        reply = await self._call("/v3/lease/grant", {"TTL": str(ttl)})
        return int(reply["ID"])

    async def lease_keepalive(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        reply = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(reply.get("result", {}).get("TTL", 0)) > 0

    async def lease_revoke(self, lease: int) -> None:
        """Revoke a lease, which removes its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield the changes of keys with a prefix, starting at a revision.

        Raises `PlatformUnavailable` when the watch ends. The caller then reads all keys again, as
        it may have missed changes.
        """
        create = {
            "key": _b64(prefix),
            "range_end": _b64(prefix_end(prefix)),
            "start_revision": str(start_revision),
        }
        await self._http.open_watch()
        url = self._http.endpoint() + "/v3/watch"
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT)
        try:
            async with self._client.session().post(
                url,
                json={"create_request": create},
                timeout=timeout,
                read_bufsize=MAX_WATCH_LINE_BYTES,
            ) as resp:
                async for line in resp.content:
                    yield _watch_batch(line)
        except _NO_VALID_BATCH as exc:
            raise PlatformUnavailable(f"watch ended: {exc}; it will be reopened") from exc
        raise PlatformUnavailable("the service closed the watch; it will be reopened")

    async def _call(self, path: str, request: dict[str, object]) -> dict:
        reply = await self._http.call("POST", path, request)
        if reply.status != 200:
            raise WriteUndetermined(
                f"{path}: status {reply.status}; read the key to see whether the write took effect"
            )
        return reply.body


def _watch_batch(line: bytes) -> WatchBatch:
    result = msgspec.json.decode(line, type=dict)["result"]
    revision = int(result.get("header", {}).get("revision", 0))
    if int(result.get("compact_revision", 0)):
        return WatchBatch((), revision, compacted=True)
    events = result.get("events", [])
    puts = [event["kv"] for event in events if event.get("type", "PUT") == "PUT"]
    return WatchBatch(tuple(_decode_entry(kv) for kv in puts), revision)

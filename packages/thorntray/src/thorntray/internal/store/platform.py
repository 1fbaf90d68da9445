"""Client of the platform's key-value service, in etcd v3's published JSON form.

Reads are repeated with jittered pauses. Writes are never
repeated here: whether that is safe only the writer knows (see `version.writer`).

A request that got no answer raises `PlatformUnavailable` when it cannot have been received,
and `WriteUndetermined` when it may have taken effect.
"""

import asyncio
import base64
from collections.abc import AsyncIterator
from random import Random

import aiohttp
import msgspec

from thorntray.errors import PlatformUnavailable, WriteUndetermined
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.store_calls import (
    CALL_TIMEOUT,
    Entry,
    StoreCalls,
    WatchBatch,
)

READ_TRIES = 3
READ_PAUSE = 0.5  # seconds, doubled for each try, jittered
MAX_WATCH_LINE = 4 * 1024 * 1024  # bytes


def prefix_end(prefix: str) -> str:
    """Return the `range_end` that covers all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _b64(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode("ascii")


def _entry(kv: dict[str, str]) -> Entry:
    return Entry(
        base64.b64decode(kv["key"]).decode(),
        base64.b64decode(kv.get("value", "")),
        int(kv.get("mod_revision", 0)),
    )


class PlatformClient:
    """Typed calls to the platform's service. `endpoints` are base URLs."""

    def __init__(self, endpoints: list[str], clock: Clock, rng: Random) -> None:
        self._rng = rng
        self._http = StoreCalls(endpoints, clock, rng)

    @property
    def calls(self) -> int:
        """Return how many calls were made."""
        return self._http.calls

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def read(self, key: str, *, prefix: bool = False) -> tuple[list[Entry], int]:
        """Return the entries of a key or prefix and the store's revision."""
        request = {"key": _b64(key)}
        if prefix:
            request["range_end"] = _b64(prefix_end(key))
        for tries in range(READ_TRIES):
            try:
                answer = await self._call("/v3/kv/range", request)
                revision = int(answer["header"]["revision"])
                return [_entry(kv) for kv in answer.get("kvs", [])], revision
            except (PlatformUnavailable, WriteUndetermined):
                if tries == READ_TRIES - 1:
                    raise PlatformUnavailable(
                        f"reading {key} failed {READ_TRIES} times; is the service up?"
                    ) from None
                await asyncio.sleep(READ_PAUSE * 2**tries * (0.5 + self._rng.random()))
        raise AssertionError("the loop returns or raises")

    async def put_if(self, key: str, value: bytes, expected: int, lease: int = 0) -> bool:
        """Write if the key's `mod_revision` is `expected` (0: absent); True when written.

        Raises `WriteUndetermined` when no answer came.
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
        answer = await self._call(
            "/v3/kv/txn", {"compare": [compare], "success": [{"request_put": put}]}
        )
        return bool(answer.get("succeeded", False))

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Write a key that lives as long as a lease."""
        await self._call(
            "/v3/kv/put", {"key": _b64(key), "value": _b64(value), "lease": str(lease)}
        )

    async def lease_grant(self, ttl: int) -> int:
        """Return a new lease; `ttl` in seconds."""
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl)})
        return int(answer["ID"])

    async def lease_keep(self, lease: int) -> bool:
        """Renew a lease; False when it has lapsed."""
        answer = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def lease_revoke(self, lease: int) -> None:
        """End a lease and remove its keys."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield changes below a prefix from a revision on.

        Raises `PlatformUnavailable` when the watch ends; what came between is then read again.
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
            async with self._http.http().post(
                url, json={"create_request": create}, timeout=timeout, read_bufsize=MAX_WATCH_LINE
            ) as resp:
                async for line in resp.content:
                    yield _watch_batch(line)
        except (aiohttp.ClientError, OSError, ValueError, msgspec.MsgspecError) as exc:
            raise PlatformUnavailable(f"watch ended: {exc}; it is opened again") from exc
        raise PlatformUnavailable("the service closed the watch; it is opened again")

    async def _call(self, path: str, request: dict[str, object]) -> dict:
        reply = await self._http.call("POST", path, request)
        if reply.status != 200:
            raise WriteUndetermined(f"{path}: status {reply.status}; read again to find out")
        return reply.body


def _watch_batch(line: bytes) -> WatchBatch:
    result = msgspec.json.decode(line, type=dict)["result"]
    revision = int(result.get("header", {}).get("revision", 0))
    if int(result.get("compact_revision", 0)):
        return WatchBatch((), revision, compacted=True)
    events = result.get("events", [])
    puts = [event["kv"] for event in events if event.get("type", "PUT") == "PUT"]
    return WatchBatch(tuple(_entry(kv) for kv in puts), revision)

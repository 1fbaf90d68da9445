"""Stand-in for the platform's key-value service: the JSON API of etcd v3, in memory.

Run: `python -m standins.platform --port 2379`. `POST /fault` sets faults:

- `{"down": true}`: connections are closed without a response, and open watches end.
- `{"slow": 0.5}`: each call is delayed by this many seconds.
- `{"lose_next_write": 1}`: so many writes are applied, and the connection is closed instead of a
  response.
- `{"watch_gap": true}`: watches skip events.
- `{"compact": true}`: the event history is dropped.

`GET /counts` returns the calls of each type and the peak rates of reads and writes per second.
"""

import argparse
import asyncio
import base64
import json
import time
from collections import Counter, deque
from typing import Any

from aiohttp import web

WRITES_PER_SECOND = 400  # calls above a rate limit get status 429
READS_PER_SECOND = 2000
MAX_VALUE_BYTES = 1_000_000
MAX_EVENTS = 1000  # older events are compacted
_WRITE_CALLS = frozenset({"put", "txn", "grant", "keepalive", "revoke"})


class Store:
    """A key-value store with revisions, leases and an event history for watches.

    `leases` has the monotonic expiry time and `ttls` the TTL in seconds by lease id.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.compacted_revision = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, float] = {}
        self.ttls: dict[int, int] = {}
        self.events: deque[tuple[int, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)
        self.changed = asyncio.Condition()

    def expire(self) -> None:
        """Revoke expired leases."""
        now = time.monotonic()
        for lease in [lease for lease, expires_at in self.leases.items() if expires_at < now]:
            self.revoke(lease)

    def revoke(self, lease: int) -> None:
        """Remove a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, e in self.entries.items() if e.get("lease") == lease]:
            self.revision += 1
            del self.entries[key]
            self._append_event({"type": "DELETE", "kv": {"key": _encode(key)}})

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write a base64 value to a key."""
        self.revision += 1
        entry = {"value": value, "mod": self.revision, "lease": lease}
        self.entries[key] = entry
        self._append_event({"type": "PUT", "kv": self.kv(key)})

    def kv(self, key: str) -> dict[str, str]:
        """Return the etcd JSON object of a key."""
        entry = self.entries[key]
        return {"key": _encode(key), "value": entry["value"], "mod_revision": str(entry["mod"])}

    def range(self, key: str, end: str | None) -> list[dict[str, str]]:
        """Return the keys from `key` up to but excluding `end`, or only `key` if `end` is None."""
        if end is None:
            return [self.kv(key)] if key in self.entries else []
        return [self.kv(k) for k in sorted(self.entries) if key <= k < end]

    def _append_event(self, event: dict[str, Any]) -> None:
        if len(self.events) == self.events.maxlen:
            self.compacted_revision = self.events[0][0]
        self.events.append((self.revision, event))


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _decode(value: str) -> str:
    return base64.b64decode(value).decode()


class PlatformStandIn:
    """HTTP API of a `Store`, with fault injection, rate limits and call counts."""

    def __init__(self) -> None:
        self.store = Store()
        self.down = False
        self.slow = 0.0
        self.lose_next_write = 0
        self.watch_gap = False
        self.calls: Counter[str] = Counter()
        self.calls_by_second: dict[str, Counter[int]] = {"reads": Counter(), "writes": Counter()}
        self._last_lease_id = 0

    def app(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=4 * MAX_VALUE_BYTES)
        for path, handler in (
            ("/v3/kv/range", self.range),
            ("/v3/kv/put", self.put),
            ("/v3/kv/txn", self.txn),
            ("/v3/lease/grant", self.grant),
            ("/v3/lease/keepalive", self.keepalive),
            ("/v3/lease/revoke", self.revoke),
            ("/v3/watch", self.watch),
            ("/fault", self.fault),
        ):
            app.router.add_post(path, handler)
        app.router.add_get("/counts", self.counts)
        return app

    async def _admit(self, req: web.Request, kind: str) -> dict[str, Any]:
        if self.down:
            assert req.transport is not None
            req.transport.close()
            raise web.HTTPServiceUnavailable
        self.calls[kind] += 1
        rate = "writes" if kind in _WRITE_CALLS else "reads"
        second = int(time.monotonic())
        self.calls_by_second[rate][second] += 1
        limit = WRITES_PER_SECOND if rate == "writes" else READS_PER_SECOND
        if self.calls_by_second[rate][second] > limit:
            raise web.HTTPTooManyRequests
        if self.slow:
            await asyncio.sleep(self.slow)
        self.store.expire()
        return await req.json()

    async def _respond_to_write(self, req: web.Request, fields: dict[str, Any]) -> web.Response:
        async with self.store.changed:
            self.store.changed.notify_all()
        if self.lose_next_write > 0:
            self.lose_next_write -= 1
            assert req.transport is not None
            req.transport.close()
        return web.json_response({"header": self._header(), **fields})

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    async def range(self, req: web.Request) -> web.Response:
        """Read keys."""
        body = await self._admit(req, "range")
        end = _decode(body["range_end"]) if "range_end" in body else None
        kvs = self.store.range(_decode(body["key"]), end)
        return web.json_response({"header": self._header(), "kvs": kvs, "count": str(len(kvs))})

    async def put(self, req: web.Request) -> web.Response:
        """Write a key."""
        body = await self._admit(req, "put")
        if int(body.get("lease", 0)) and int(body["lease"]) not in self.store.leases:
            raise web.HTTPNotFound(text="requested lease not found")
        self.store.put(_decode(body["key"]), body["value"], int(body.get("lease", 0)))
        return await self._respond_to_write(req, {})

    async def txn(self, req: web.Request) -> web.Response:
        """Apply writes if the first comparison of a revision holds."""
        body = await self._admit(req, "txn")
        compare = body["compare"][0]
        entry = self.store.entries.get(_decode(compare["key"]))
        succeeded = (entry["mod"] if entry else 0) == int(compare["mod_revision"])
        for op in body.get("success", []) if succeeded else []:
            put = op["request_put"]
            if len(put["value"]) * 3 / 4 > MAX_VALUE_BYTES:
                raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(put["value"]))
            self.store.put(_decode(put["key"]), put["value"], int(put.get("lease", 0)))
        return await self._respond_to_write(req, {"succeeded": succeeded})

    async def grant(self, req: web.Request) -> web.Response:
        """Grant a lease."""
        body = await self._admit(req, "grant")
        self._last_lease_id += 1
        ttl = int(body["TTL"])
        self.store.leases[self._last_lease_id] = time.monotonic() + ttl
        self.store.ttls[self._last_lease_id] = ttl
        return web.json_response({"ID": str(self._last_lease_id), "TTL": str(ttl)})

    async def keepalive(self, req: web.Request) -> web.Response:
        """Renew a lease."""
        body = await self._admit(req, "keepalive")
        lease = int(body["ID"])
        if lease not in self.store.leases:
            return web.json_response({"result": {"ID": str(lease), "TTL": "0"}})
        ttl = self.store.ttls[lease]
        self.store.leases[lease] = time.monotonic() + ttl
        return web.json_response({"result": {"ID": str(lease), "TTL": str(ttl)}})

    async def revoke(self, req: web.Request) -> web.Response:
        """Revoke a lease."""
        body = await self._admit(req, "revoke")
        self.store.revoke(int(body["ID"]))
        return await self._respond_to_write(req, {})

    async def watch(self, req: web.Request) -> web.StreamResponse:
        """Stream changes of a key range, starting at a revision."""
        body = (await self._admit(req, "watch"))["create_request"]
        start, end = _decode(body["key"]), _decode(body["range_end"])
        after = int(body["start_revision"]) - 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        while not self.down:
            if after < self.store.compacted_revision:
                await self._write_result(
                    resp, {"compact_revision": str(self.store.compacted_revision)}
                )
                return resp
            new_events = [(rev, ev) for rev, ev in self.store.events if rev > after]
            after = max([after, *(rev for rev, _ in new_events)])
            events = [ev for _, ev in new_events if start <= _decode(ev["kv"]["key"]) < end]
            if events and not self.watch_gap:
                await self._write_result(resp, {"events": events})
            async with self.store.changed:
                if after >= self.store.revision:
                    await self.store.changed.wait()
        assert req.transport is not None
        req.transport.close()
        return resp

    async def _write_result(self, resp: web.StreamResponse, result: dict[str, Any]) -> None:
        line = {"result": {"header": self._header(), **result}}
        await resp.write(json.dumps(line).encode() + b"\n")

    async def fault(self, req: web.Request) -> web.Response:
        """Set faults; names that are missing from the body keep their value."""
        body = await req.json()
        for name in ("down", "slow", "lose_next_write", "watch_gap"):
            if name in body:
                setattr(self, name, body[name])
        if body.get("compact"):
            self.store.compacted_revision = self.store.revision
            self.store.events.clear()
        async with self.store.changed:
            self.store.changed.notify_all()
        return web.json_response({})

    async def counts(self, _: web.Request) -> web.Response:
        """Return the calls by type and the peak rates of reads and writes per second."""
        peaks = {
            rate: max(seconds.values(), default=0) for rate, seconds in self.calls_by_second.items()
        }
        return web.json_response({"calls": dict(self.calls), "most_per_second": peaks})


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()

    async def create_app() -> web.Application:
        return PlatformStandIn().app()

    web.run_app(
        create_app(), host="127.0.0.1", port=args.port, print=None, handler_cancellation=True
    )


if __name__ == "__main__":
    main()

"""Stand-in of the platform's key-value service: etcd v3's JSON form, in memory.

Run: `python -m standins.platform --port 2379`. Faults are switched by `POST /fault` with
`{"down": true}`, `{"slow": 0.5}`, `{"lose_next_write": 1}`, `{"watch_gap": true}`,
`{"compact": true}`. `GET /counts` gives the calls of each kind and the most in one second.
"""

import argparse
import asyncio
import base64
import json
import time
from collections import Counter, deque
from typing import Any

from aiohttp import web

WRITES_PER_SECOND = 400
READS_PER_SECOND = 2000
MAX_VALUE_BYTES = 1_000_000
KEPT_EVENTS = 1000
_WRITES = frozenset({"put", "txn", "grant", "keepalive", "revoke"})


class Store:
    """Keys with revisions and leases, and watches on them."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.entries: dict[str, dict[str, Any]] = {}
        self.leases: dict[int, float] = {}
        self.ttls: dict[int, int] = {}
        self.events: deque[tuple[int, dict[str, Any]]] = deque(maxlen=KEPT_EVENTS)
        self.changed = asyncio.Condition()

    def expire(self) -> None:
        """Remove lapsed leases with their keys."""
        now = time.monotonic()
        for lease in [lease for lease, until in self.leases.items() if until < now]:
            self.revoke(lease)

    def revoke(self, lease: int) -> None:
        """End a lease."""
        self.leases.pop(lease, None)
        for key in [k for k, e in self.entries.items() if e.get("lease") == lease]:
            self.revision += 1
            del self.entries[key]
            self._record({"type": "DELETE", "kv": {"key": _b64(key)}})

    def put(self, key: str, value: str, lease: int = 0) -> None:
        """Write a key."""
        self.revision += 1
        entry = {"value": value, "mod": self.revision, "lease": lease}
        self.entries[key] = entry
        self._record({"type": "PUT", "kv": self.kv(key)})

    def kv(self, key: str) -> dict[str, str]:
        """Return a key in the JSON form."""
        entry = self.entries[key]
        return {"key": _b64(key), "value": entry["value"], "mod_revision": str(entry["mod"])}

    def range(self, key: str, end: str | None) -> list[dict[str, str]]:
        """Return keys from `key` up to `end`."""
        if end is None:
            return [self.kv(key)] if key in self.entries else []
        return [self.kv(k) for k in sorted(self.entries) if key <= k < end]

    def _record(self, event: dict[str, Any]) -> None:
        if len(self.events) == self.events.maxlen:
            self.compacted = self.events[0][0]
        self.events.append((self.revision, event))


def _b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _text(value: str) -> str:
    return base64.b64decode(value).decode()


class PlatformStandIn:
    """HTTP face of the store, with faults on command and call counts."""

    def __init__(self) -> None:
        self.store = Store()
        self.down = False
        self.slow = 0.0
        self.lose_next_write = 0
        self.watch_gap = False
        self.calls: Counter[str] = Counter()
        self.by_second: dict[str, Counter[int]] = {"reads": Counter(), "writes": Counter()}
        self._leases = 0

    def app(self) -> web.Application:
        """Return the application."""
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

    async def _enter(self, req: web.Request, kind: str) -> dict[str, Any]:
        if self.down:
            assert req.transport is not None
            req.transport.close()
            raise web.HTTPServiceUnavailable
        self.calls[kind] += 1
        rate = "writes" if kind in _WRITES else "reads"
        second = int(time.monotonic())
        self.by_second[rate][second] += 1
        cap = WRITES_PER_SECOND if rate == "writes" else READS_PER_SECOND
        if self.by_second[rate][second] > cap:
            raise web.HTTPTooManyRequests
        if self.slow:
            await asyncio.sleep(self.slow)
        self.store.expire()
        return await req.json()

    async def _written(self, req: web.Request, answer: dict[str, Any]) -> web.Response:
        async with self.store.changed:
            self.store.changed.notify_all()
        if self.lose_next_write > 0:
            self.lose_next_write -= 1
            assert req.transport is not None
            req.transport.close()
        return web.json_response({"header": self._header(), **answer})

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.store.revision)}

    async def range(self, req: web.Request) -> web.Response:
        """Read keys."""
        ask = await self._enter(req, "range")
        end = _text(ask["range_end"]) if "range_end" in ask else None
        kvs = self.store.range(_text(ask["key"]), end)
        return web.json_response({"header": self._header(), "kvs": kvs, "count": str(len(kvs))})

    async def put(self, req: web.Request) -> web.Response:
        """Write a key."""
        ask = await self._enter(req, "put")
        if int(ask.get("lease", 0)) and int(ask["lease"]) not in self.store.leases:
            raise web.HTTPNotFound(text="requested lease not found")
        self.store.put(_text(ask["key"]), ask["value"], int(ask.get("lease", 0)))
        return await self._written(req, {})

    async def txn(self, req: web.Request) -> web.Response:
        """Compare and write."""
        ask = await self._enter(req, "txn")
        compare = ask["compare"][0]
        entry = self.store.entries.get(_text(compare["key"]))
        succeeded = (entry["mod"] if entry else 0) == int(compare["mod_revision"])
        for op in ask.get("success", []) if succeeded else []:
            put = op["request_put"]
            if len(put["value"]) * 3 / 4 > MAX_VALUE_BYTES:
                raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(put["value"]))
            self.store.put(_text(put["key"]), put["value"], int(put.get("lease", 0)))
        return await self._written(req, {"succeeded": succeeded})

    async def grant(self, req: web.Request) -> web.Response:
        """Give a lease."""
        ask = await self._enter(req, "grant")
        self._leases += 1
        ttl = int(ask["TTL"])
        self.store.leases[self._leases] = time.monotonic() + ttl
        self.store.ttls[self._leases] = ttl
        return web.json_response({"ID": str(self._leases), "TTL": str(ttl)})

    async def keepalive(self, req: web.Request) -> web.Response:
        """Renew a lease."""
        ask = await self._enter(req, "keepalive")
        lease = int(ask["ID"])
        if lease not in self.store.leases:
            return web.json_response({"result": {"ID": str(lease), "TTL": "0"}})
        ttl = self.store.ttls[lease]
        self.store.leases[lease] = time.monotonic() + ttl
        return web.json_response({"result": {"ID": str(lease), "TTL": str(ttl)}})

    async def revoke(self, req: web.Request) -> web.Response:
        """End a lease."""
        ask = await self._enter(req, "revoke")
        self.store.revoke(int(ask["ID"]))
        return await self._written(req, {})

    async def watch(self, req: web.Request) -> web.StreamResponse:
        """Stream changes from a revision on."""
        ask = (await self._enter(req, "watch"))["create_request"]
        start, end = _text(ask["key"]), _text(ask["range_end"])
        after = int(ask["start_revision"]) - 1
        resp = web.StreamResponse()
        await resp.prepare(req)
        while not self.down:
            if after < self.store.compacted:
                await self._line(resp, {"compact_revision": str(self.store.compacted)})
                return resp
            news = [(rev, ev) for rev, ev in self.store.events if rev > after]
            after = max([after, *(rev for rev, _ in news)])
            events = [ev for _, ev in news if start <= _text(ev["kv"]["key"]) < end]
            if events and not self.watch_gap:
                await self._line(resp, {"events": events})
            async with self.store.changed:
                if after >= self.store.revision:
                    await self.store.changed.wait()
        assert req.transport is not None
        req.transport.close()
        return resp

    async def _line(self, resp: web.StreamResponse, result: dict[str, Any]) -> None:
        line = {"result": {"header": self._header(), **result}}
        await resp.write(json.dumps(line).encode() + b"\n")

    async def fault(self, req: web.Request) -> web.Response:
        """Switch faults."""
        ask = await req.json()
        for name in ("down", "slow", "lose_next_write", "watch_gap"):
            if name in ask:
                setattr(self, name, ask[name])
        if ask.get("compact"):
            self.store.compacted = self.store.revision
            self.store.events.clear()
        async with self.store.changed:
            self.store.changed.notify_all()
        return web.json_response({})

    async def counts(self, _: web.Request) -> web.Response:
        """Return the calls so far and the most in one second."""
        most = {rate: max(seconds.values(), default=0) for rate, seconds in self.by_second.items()}
        return web.json_response({"calls": dict(self.calls), "most_per_second": most})


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    args = parser.parse_args()

    async def make() -> web.Application:
        return PlatformStandIn().app()

    web.run_app(make(), host="127.0.0.1", port=args.port, print=None, handler_cancellation=True)


if __name__ == "__main__":
    main()

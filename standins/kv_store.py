"""Stand-in for the users' key-value store: its HTTP interface, in memory, with fault injection.

Set `fault_mode` to "busy" (status 503), "many" (status 429), "silent" (no response) or "silent
watches" (no response to watch calls). The next `responses_to_drop` transactions and lease grants
are applied without a response. `compact()` drops the event history. `restore()` returns the store
to an older copy of its data: newer writes and leases are lost, their revisions and lease ids are
given out again, and the epoch in all responses rises. `silence_connections()` makes open
connections silent for good, without a reset, while new ones are served. `call_counts` has the
number of calls by the first segment of the path.
"""

import asyncio
import base64
import time
from collections import Counter
from random import Random
from typing import Any, NamedTuple
from weakref import WeakSet

from aiohttp import web

PAGE_SIZE = 2  # items in one range response; small so that tests exercise paging
OPERATOR_KEY_PREFIXES = ("op/", "servers/")  # transactions on these prefixes get status 403


EPOCH_HEADER = "Store-Era"


class _Copy(NamedTuple):
    """The data of the store at one time (monotonic seconds)."""

    taken_at: float
    revision: int
    items: dict[str, dict[str, Any]]
    events: list[tuple[int, dict[str, Any]]]
    leases: dict[int, tuple[float, float]]
    last_lease_id: int


class KvStoreStandIn:
    """A key-value store with revisions, leases and watches."""

    def __init__(self) -> None:
        self.revision = 10
        self.compacted_revision = 0  # watches from a lower revision get status 410
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # monotonic expiry time, TTL in seconds
        self.fault_mode = ""
        self.responses_to_drop = 0
        self.call_counts: Counter[str] = Counter()
        self.epoch = 1
        self._last_lease_id = 100
        self._copies: list[_Copy] = []
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._silent: WeakSet[asyncio.Transport] = WeakSet()

    async def start(self, host: str, port: int) -> None:
        """Serve on an address and port."""
        app = web.Application()
        app.router.add_get("/kv-key", self._handle_get)
        app.router.add_get("/kv-range", self._handle_range)
        app.router.add_get("/kv-watch", self._handle_watch)
        app.router.add_post("/kv-txn", self._handle_txn)
        app.router.add_post("/kv-lease", self._handle_lease_grant)
        app.router.add_post("/kv-keep/{lease}", self._handle_keepalive)
        app.router.add_delete("/kv-lease-end/{lease}", self._handle_lease_revoke)
        app.middlewares.append(self._add_epoch)
        app.middlewares.append(self._inject_fault)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Stop the server."""
        if self._runner is not None:
            await self._runner.cleanup()

    def silence_connections(self, share: float, rng: Random) -> int:
        """Answer nothing any more on a share of the open connections; return their number.

        They stay open. Calls that wait on them, and later ones, have no effect and no answer.
        """
        assert self._runner is not None and self._runner.server is not None
        transports = [conn.transport for conn in self._runner.server.connections]
        chosen = rng.sample(transports, round(share * len(transports)))
        self._silent.update(transport for transport in chosen if transport is not None)
        return len(chosen)

    async def restore(self, age: float) -> None:
        """Return to the data of `age` seconds ago, in a new epoch."""
        cutoff = time.monotonic() - age
        older = [copy for copy in self._copies if copy.taken_at <= cutoff]
        copy = older[-1] if older else _Copy(cutoff, 10, {}, [], {}, 100)
        self.revision, self._last_lease_id = copy.revision, copy.last_lease_id
        self.items, self.events, self.leases = dict(copy.items), list(copy.events), {}
        for lease, (_, ttl) in copy.leases.items():
            self.leases[lease] = (time.monotonic() + ttl, ttl)
        self._copies = older
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.epoch += 1
        async with self._changed:
            self._changed.notify_all()

    def _keep_copy(self) -> None:
        self._copies.append(
            _Copy(
                time.monotonic(),
                self.revision,
                dict(self.items),
                list(self.events),
                dict(self.leases),
                self._last_lease_id,
            )
        )

    async def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key without the prefix check, as operators do."""
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        await self._append_event(item)

    async def revoke_lease(self, lease: int) -> None:
        """Remove a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            await self._remove(key)

    async def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self._append_event({"Key": key, "Revision": self.revision, "Deleted": True})

    async def compact(self) -> None:
        """Drop the event history; watches from an older revision end with status 410."""
        self.compacted_revision = self.revision
        self.events.clear()
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _add_epoch(self, req: web.Request, handler: Any) -> web.StreamResponse:
        resp = await handler(req)
        resp.headers[EPOCH_HEADER] = str(req.get("epoch", self.epoch))
        return resp

    @web.middleware
    async def _inject_fault(self, req: web.Request, handler: Any) -> web.StreamResponse:
        self.call_counts[req.path.split("/")[1]] += 1
        if req.transport in self._silent:
            await asyncio.sleep(3600)
        match self.fault_mode:
            case "busy":
                return web.Response(status=503)
            case "many":
                return web.Response(status=429)
            case "silent":
                await asyncio.sleep(3600)
            case "silent watches" if req.path == "/kv-watch":
                await asyncio.sleep(3600)
        for lease in [
            n for n, (expires_at, _) in self.leases.items() if expires_at < time.monotonic()
        ]:
            await self.revoke_lease(lease)
        resp = await handler(req)
        if req.transport in self._silent:
            await asyncio.sleep(3600)
        return resp

    async def _handle_get(self, req: web.Request) -> web.Response:
        item = self.items.get(req.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "StoreRevision": self.revision})

    async def _handle_range(self, req: web.Request) -> web.Response:
        after = req.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(req.query["PathPrefix"]) and k > after)
        body = {
            "items": [self.items[key] for key in keys[:PAGE_SIZE]],
            "MorePages": len(keys) > PAGE_SIZE,
            "StoreRevision": self.revision,
        }
        return web.json_response(body)

    async def _handle_watch(self, req: web.Request) -> web.Response:
        prefix, after = req.query["PathPrefix"], int(req.query["after"])
        deadline = time.monotonic() + int(req.query["WaitMs"]) / 1000
        while time.monotonic() < deadline:
            if after < self.compacted_revision or after > self.revision:
                return web.Response(status=410)
            matching = [e for rev, e in self.events if rev > after and e["Key"].startswith(prefix)]
            if matching:
                return web.json_response({"events": matching, "StoreRevision": self.revision})
            async with self._changed:
                try:
                    async with asyncio.timeout(deadline - time.monotonic()):
                        await self._changed.wait()
                except TimeoutError:
                    break
        return web.json_response({"events": [], "StoreRevision": self.revision})

    async def _handle_txn(self, req: web.Request) -> web.Response:
        body = await req.json()
        for expected in body["ExpectedRev"]:
            if self.items.get(expected["Key"], {}).get("Revision", 0) != expected["Revision"]:
                return web.json_response({"items": []}, status=412)
        for write in body["Writes"]:
            if write["Key"].startswith(OPERATOR_KEY_PREFIXES):
                return web.Response(status=403)
            if write.get("Lease") and write["Lease"] not in self.leases:
                return web.Response(status=404)
        for write in body["Writes"]:
            value = base64.b64decode(write["Value"], validate=True)
            await self.write(write["Key"], value, write.get("Lease", 0))
        for key in body["Remove"]:
            await self._remove(key)
        return await self._respond({"Revision": self.revision})

    async def _handle_lease_grant(self, req: web.Request) -> web.Response:
        ttl = float((await req.json())["TtlS"])
        self._last_lease_id += 1
        self.leases[self._last_lease_id] = (time.monotonic() + ttl, ttl)
        self._keep_copy()
        return await self._respond({"Lease": self._last_lease_id, "TtlS": ttl})

    async def _handle_keepalive(self, req: web.Request) -> web.Response:
        lease = int(req.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response({"TtlS": ttl})

    async def _handle_lease_revoke(self, req: web.Request) -> web.Response:
        await self.revoke_lease(int(req.match_info["lease"]))
        return web.json_response({})

    async def _respond(self, body: dict[str, Any]) -> web.Response:
        if self.responses_to_drop > 0:
            self.responses_to_drop -= 1
            await asyncio.sleep(3600)
        return web.json_response(body)

    async def _append_event(self, event: dict[str, Any]) -> None:
        self.events.append((event["Revision"], event))
        self._keep_copy()
        async with self._changed:
            self._changed.notify_all()

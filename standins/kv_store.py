"""Stand-in of the users' key-value store: its HTTP form, in memory, with troubles on command.

Set `trouble` to "busy" (503), "many" (429) or "silent" (no answer); `lose_answers` writes are done
and not answered; `compact()` drops the history. `served` counts the calls of each path.
"""

import asyncio
import base64
import time
from collections import Counter
from typing import Any

from aiohttp import web

PAGE = 2  # items in one answer of a range, small so that tests turn pages
DOMAIN_KEYS = ("op/", "servers/")  # that the system may not write


class KvStoreStandIn:
    """Keys with revisions and leases, and watches on them."""

    def __init__(self) -> None:
        self.revision = 10
        self.first_revision = 0  # of the history that is kept
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end, seconds
        self.trouble = ""
        self.lose_answers = 0
        self.served: Counter[str] = Counter()
        self._next_lease = 100
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        app = web.Application()
        app.router.add_get("/kv-key", self._key)
        app.router.add_get("/kv-range", self._range)
        app.router.add_get("/kv-watch", self._watch)
        app.router.add_post("/kv-txn", self._txn)
        app.router.add_post("/kv-lease", self._lease)
        app.router.add_post("/kv-keep/{lease}", self._keep)
        app.router.add_delete("/kv-lease-end/{lease}", self._end)
        app.middlewares.append(self._troubled)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Stop."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write as the operators do."""
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
        await self._record(item)

    async def end_lease(self, lease: int) -> None:
        """Remove a lease with its keys."""
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            del self.items[key]
            self.revision += 1
            await self._record({"Key": key, "Revision": self.revision, "Deleted": True})

    async def compact(self) -> None:
        """Forget the history and cut the watches that wait for it."""
        self.first_revision = self.revision
        self.events.clear()
        async with self._changed:
            self._changed.notify_all()

    @web.middleware
    async def _troubled(self, req: web.Request, handler: Any) -> web.StreamResponse:
        self.served[req.path.split("/")[1]] += 1
        match self.trouble:
            case "busy":
                return web.Response(status=503)
            case "many":
                return web.Response(status=429)
            case "silent":
                await asyncio.sleep(3600)
        for lease in [n for n, (end, _) in self.leases.items() if end < time.monotonic()]:
            await self.end_lease(lease)
        return await handler(req)

    async def _key(self, req: web.Request) -> web.Response:
        item = self.items.get(req.query["Key"])
        if item is None:
            return web.Response(status=404)
        return web.json_response({**item, "StoreRevision": self.revision})

    async def _range(self, req: web.Request) -> web.Response:
        after = req.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(req.query["PathPrefix"]) and k > after)
        body = {
            "items": [self.items[key] for key in keys[:PAGE]],
            "MorePages": len(keys) > PAGE,
            "StoreRevision": self.revision,
        }
        return web.json_response(body)

    async def _watch(self, req: web.Request) -> web.Response:
        prefix, after = req.query["PathPrefix"], int(req.query["after"])
        deadline = time.monotonic() + int(req.query["WaitMs"]) / 1000
        while time.monotonic() < deadline:
            if after < self.first_revision:
                return web.Response(status=410)
            found = [e for rev, e in self.events if rev > after and e["Key"].startswith(prefix)]
            if found:
                return web.json_response({"events": found, "StoreRevision": self.revision})
            async with self._changed:
                try:
                    async with asyncio.timeout(deadline - time.monotonic()):
                        await self._changed.wait()
                except TimeoutError:
                    break
        return web.json_response({"events": [], "StoreRevision": self.revision})

    async def _txn(self, req: web.Request) -> web.Response:
        body = await req.json()
        for row in body["ExpectedRev"]:
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                return web.json_response({"items": []}, status=412)
        for write in body["Writes"]:
            if write["Key"].startswith(DOMAIN_KEYS):
                return web.Response(status=403)
            if write.get("Lease") and write["Lease"] not in self.leases:
                return web.Response(status=404)
        for write in body["Writes"]:
            value = base64.b64decode(write["Value"], validate=True)
            await self.write(write["Key"], value, write.get("Lease", 0))
        return await self._answer({"Revision": self.revision})

    async def _lease(self, req: web.Request) -> web.Response:
        seconds = float((await req.json())["TtlS"])
        self._next_lease += 1
        self.leases[self._next_lease] = (time.monotonic() + seconds, seconds)
        return await self._answer({"Lease": self._next_lease, "TtlS": seconds})

    async def _keep(self, req: web.Request) -> web.Response:
        lease = int(req.match_info["lease"])
        if lease not in self.leases:
            return web.Response(status=404)
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return web.json_response({"TtlS": seconds})

    async def _end(self, req: web.Request) -> web.Response:
        await self.end_lease(int(req.match_info["lease"]))
        return web.json_response({})

    async def _answer(self, body: dict[str, Any]) -> web.Response:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(3600)
        return web.json_response(body)

    async def _record(self, event: dict[str, Any]) -> None:
        self.events.append((event["Revision"], event))
        async with self._changed:
            self._changed.notify_all()

"""Stand-in for the platform's metadata store: the calls of PROTOCOL.md, in memory."""

import asyncio
import base64
import json
import time
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

from support.messages import encode, read_message

PAGE = 500


class Store:
    """Keys, leases and watches with one revision counter."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._last_lease = 100
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._outages = 0  # that have begun
        self._down = False

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def be_silent(self, seconds: float) -> None:
        """Answer nothing for a time; connections whose answer is lost return nothing further.

        Calls are not executed meanwhile. New connections work when the outage is over.
        """
        self._outages += 1
        self._down = True
        await asyncio.sleep(seconds)
        self._down = False

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as the operator or a call does."""
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
        self._append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"Key": key, "Revision": self.revision, "Deleted": True})

    def _append(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_leases(self) -> None:
        now = time.monotonic()
        for lease in [n for n, (until, _) in self.leases.items() if until < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["Lease"] == lease]:
            self._remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError):
            while True:
                message = await read_message(reader)
                method, target, _ = message.start_line.split(" ")
                outages = self._outages
                if not self._down:
                    self._end_leases()
                    status, body = await self._answer(method, target, message.body)
                if self._down or self._outages > outages:
                    await reader.read()  # until the caller closes the connection
                    break
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, json.dumps(body).encode()))
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match method, parts.path.split("/")[1]:
            case "GET", "kv-key":
                item = self.items.get(query["Key"])
                return (200, {**item, "StoreRevision": self.revision}) if item else (404, {})
            case "GET", "kv-range":
                prefix, after = query["PathPrefix"], query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                items = [self.items[key] for key in keys[:PAGE]]
                more = len(keys) > PAGE
                return 200, {"items": items, "MorePages": more, "StoreRevision": self.revision}
            case "GET", "kv-watch":
                return await self._watch(query)
            case "POST", "kv-txn":
                return self._txn(json.loads(body))
            case "POST", "kv-lease":
                ttl = float(json.loads(body)["TtlS"])
                self._last_lease += 1
                self.leases[self._last_lease] = (time.monotonic() + ttl, ttl)
                return 200, {"Lease": self._last_lease, "TtlS": ttl}
            case "POST", "kv-keep":
                lease = int(parts.path.split("/")[2])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl, ttl)
                return 200, {"TtlS": ttl}
            case "DELETE", "kv-lease-end":
                self._end_lease(int(parts.path.split("/")[2]))
                return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        prefix, after = query["PathPrefix"], int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                e for e in self.events if e["Revision"] > after and e["Key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["ExpectedRev"]:
            if self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"]:
                return 412, {"items": []}
        for write in body["Writes"]:
            if write["Key"].startswith(("op/", "servers/")):
                return 403, {}
            if write.get("Lease") and write["Lease"] not in self.leases:
                return 404, {}
        for write in body["Writes"]:
            self.write(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in body["Remove"]:
            self._remove(key)
        return 200, {"Revision": self.revision}

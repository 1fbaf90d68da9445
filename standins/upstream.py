"""Stand-in of an upstream instance, with slots, a service time, nested calls and a record.

Run: `python -m standins.upstream --port 9001 --node http://127.0.0.1:8001 --service tariff`.
A request may say what it wants by query: `?time=0.01` (seconds of own work), `&nest=stockbook/
stock` (nested calls at once, several times, each `SERVICE/PATH`), `&size=N` (bytes of answer),
`&mode=half` (half of an answer, then a cut), `&mode=garbage`, `&mode=drop` (run, then close).
Each run is recorded by the request's `x-request` header; `GET /record` returns the record.
"""

import argparse
import asyncio
import json
from collections import Counter
from typing import Any

import aiohttp
from aiohttp import web

CONTEXT_HEADER = "thorntray-context"
RENEW_PERIOD = 2.0  # seconds


class UpstreamStandIn:
    """One upstream instance."""

    def __init__(self, service: str, node: str, slots: int, service_time: float) -> None:
        self._service = service
        self._node = node
        self._slots = asyncio.Semaphore(slots)
        self._service_time = service_time
        self.slowdown = 1.0
        self.ran: Counter[str] = Counter()
        self.whole: Counter[str] = Counter()
        self.in_flight = 0
        self._session: aiohttp.ClientSession | None = None
        self._stopping = False

    def app(self, announce: bool) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_get("/record", self.record)
        app.router.add_post("/control", self.control)
        app.router.add_route("*", "/{path:.*}", self.serve)
        app.cleanup_ctx.append(self._life(announce))
        return app

    def _life(self, announce: bool):
        async def life(_: web.Application):
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
            task = asyncio.create_task(self._announce()) if announce else None
            yield
            if task:
                task.cancel()
            await self._session.close()

        return life

    async def _announce(self) -> None:
        registered = False
        while True:
            word = "renew" if registered else "register"
            try:
                url = f"{self._node}/thorntray/instance/{word}"
                async with self._session.post(url, json={"load": self.in_flight}) as resp:
                    registered = resp.status == 200
            except aiohttp.ClientError:
                registered = False
            await asyncio.sleep(RENEW_PERIOD if registered else 0.1)

    async def record(self, _: web.Request) -> web.Response:
        """Return what ran and what was answered whole."""
        return web.json_response({"ran": self.ran, "whole": self.whole})

    async def control(self, req: web.Request) -> web.Response:
        """Set the slowdown, or clear the record."""
        ask = await req.json()
        self.slowdown = ask.get("slowdown", self.slowdown)
        if ask.get("clear"):
            self.ran.clear()
            self.whole.clear()
        return web.json_response({})

    async def serve(self, req: web.Request) -> web.StreamResponse:
        """Run one request."""
        body = await req.read()
        name = req.headers.get("x-request", "-")
        self.ran[name] += 1
        self.in_flight += 1
        try:
            async with self._slots:
                status, nested = await self._work(req, body)
            return await self._answer(req, name, body, status, nested)
        finally:
            self.in_flight -= 1

    async def _work(self, req: web.Request, body: bytes) -> tuple[int, list[Any]]:
        own_time = float(req.query.get("time", self._service_time)) * self.slowdown
        await asyncio.sleep(own_time)
        calls = req.query.getall("nest", [])
        nested = await asyncio.gather(*(self._nested(req, call, body) for call in calls))
        failed = [row for row in nested if row["status"] >= 400]
        return (502 if failed else 200), list(nested)

    async def _nested(self, req: web.Request, call: str, body: bytes) -> dict[str, Any]:
        method, _, target = call.rpartition(":")
        headers = {"x-request": req.headers.get("x-request", "-")}
        if CONTEXT_HEADER in req.headers:
            headers[CONTEXT_HEADER] = req.headers[CONTEXT_HEADER]
        url = f"{self._node}/call/{target}"
        try:
            async with self._session.request(method or "GET", url, headers=headers) as resp:
                outcome = resp.headers.get("thorntray-outcome", "")
                return {"status": resp.status, "outcome": outcome, "body": await resp.text()}
        except aiohttp.ClientError as exc:
            return {"status": 599, "outcome": "", "body": repr(exc)}

    async def _answer(
        self, req: web.Request, name: str, body: bytes, status: int, nested: list[Any]
    ) -> web.StreamResponse:
        mode = req.query.get("mode", "")
        if mode == "drop":
            assert req.transport is not None
            req.transport.close()
        if mode == "garbage":
            assert req.transport is not None
            req.transport.write(b"HTTP/1.1 \xff\xfe nonsense\r\n\r\n")
            req.transport.close()
        size = int(req.query.get("size", 0))
        answer = json.dumps({"request": name, "service": self._service, "nested": nested})
        data = answer.encode() + b" " * max(0, size - len(answer))
        if mode == "echo":
            data = body
        if mode == "half":
            return await self._half(req, data)
        self.whole[name] += 1
        return web.Response(body=data, status=status, content_type="application/json")

    async def _half(self, req: web.Request, data: bytes) -> web.StreamResponse:
        resp = web.StreamResponse(headers={"content-length": str(len(data))})
        await resp.prepare(req)
        await resp.write(data[: len(data) // 2])
        assert req.transport is not None
        req.transport.close()
        return resp


def main() -> None:
    """Serve until stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--node", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=50)
    parser.add_argument("--time", type=float, default=0.005, help="service time in seconds")
    parser.add_argument("--silent", action="store_true", help="do not announce to the node")
    args = parser.parse_args()

    async def make() -> web.Application:
        standin = UpstreamStandIn(args.service, args.node, args.slots, args.time)
        return standin.app(announce=not args.silent)

    web.run_app(
        make(),
        host="127.0.0.1",
        port=args.port,
        print=None,
        handler_cancellation=True,
        backlog=1024,
    )


if __name__ == "__main__":
    main()

"""Stand-in for an upstream instance with a fixed number of slots and a service time.

Run: `python -m standins.upstream --port 9001 --node http://127.0.0.1:8001 --service tariff`.
Query parameters control how a request is handled:

- `time=0.01`: own service time in seconds.
- `nest=stockbook/stock`: a nested call to `SERVICE/PATH` or `METHOD:SERVICE/PATH`. It may be given
  several times; the calls run concurrently.
- `size=N`: minimum size of the response body in bytes.
- `mode=half`: sends half of the response body and closes the connection.
- `mode=garbage`: sends an invalid response and closes the connection.
- `mode=drop`: runs the request and closes the connection without a response.
- `mode=echo`: returns the request body.

Executions are counted by the `x-request` header of the request; `GET /record` returns the counts.
`POST /control` sets the slowdown factor and clears the counts.
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
    """An upstream instance.

    `run_counts` and `complete_response_counts` are keyed by the `x-request` header of the request;
    the latter omits only truncated responses (`mode=half`). `service_time` is in seconds and is
    multiplied by `slowdown`.
    """

    def __init__(self, service: str, node: str, slots: int, service_time: float) -> None:
        self._service = service
        self._node = node
        self._slots = asyncio.Semaphore(slots)
        self._service_time = service_time
        self.slowdown = 1.0
        self.run_counts: Counter[str] = Counter()
        self.complete_response_counts: Counter[str] = Counter()
        self.in_flight = 0
        self._session: aiohttp.ClientSession | None = None
        self._stopping = False

    def app(self, announce: bool) -> web.Application:
        """Return the aiohttp application; with `announce` it registers with the node."""
        app = web.Application(client_max_size=8 * 1024 * 1024)
        app.router.add_get("/record", self.record)
        app.router.add_post("/control", self.control)
        app.router.add_route("*", "/{path:.*}", self.serve)
        app.cleanup_ctx.append(self._lifespan(announce))
        return app

    def _lifespan(self, announce: bool):
        async def lifespan(_: web.Application):
            self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
            task = asyncio.create_task(self._announce_loop()) if announce else None
            yield
            if task:
                task.cancel()
            await self._session.close()

        return lifespan

    async def _announce_loop(self) -> None:
        registered = False
        while True:
            operation = "renew" if registered else "register"
            try:
                url = f"{self._node}/thorntray/instance/{operation}"
                async with self._session.post(url, json={"load": self.in_flight}) as resp:
                    registered = resp.status == 200
            except aiohttp.ClientError:
                registered = False
            await asyncio.sleep(RENEW_PERIOD if registered else 0.1)

    async def record(self, _: web.Request) -> web.Response:
        """Return the counts of executions and of complete responses by request."""
        return web.json_response({"ran": self.run_counts, "whole": self.complete_response_counts})

    async def control(self, req: web.Request) -> web.Response:
        """Set the slowdown factor and clear the counts, as far as the body asks for it."""
        command = await req.json()
        self.slowdown = command.get("slowdown", self.slowdown)
        if command.get("clear"):
            self.run_counts.clear()
            self.complete_response_counts.clear()
        return web.json_response({})

    async def serve(self, req: web.Request) -> web.StreamResponse:
        """Handle one request as its query parameters specify."""
        body = await req.read()
        name = req.headers.get("x-request", "-")
        self.run_counts[name] += 1
        self.in_flight += 1
        try:
            async with self._slots:
                status, nested = await self._execute(req, body)
            return await self._respond(req, name, body, status, nested)
        finally:
            self.in_flight -= 1

    async def _execute(self, req: web.Request, body: bytes) -> tuple[int, list[Any]]:
        own_time = float(req.query.get("time", self._service_time)) * self.slowdown
        await asyncio.sleep(own_time)
        calls = req.query.getall("nest", [])
        nested = await asyncio.gather(*(self._nested_call(req, call, body) for call in calls))
        failed = [result for result in nested if result["status"] >= 400]
        return (502 if failed else 200), list(nested)

    async def _nested_call(self, req: web.Request, call: str, body: bytes) -> dict[str, Any]:
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

    async def _respond(
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
        document = json.dumps({"request": name, "service": self._service, "nested": nested})
        data = document.encode() + b" " * max(0, size - len(document))
        if mode == "echo":
            data = body
        if mode == "half":
            return await self._truncated_response(req, data)
        self.complete_response_counts[name] += 1
        return web.Response(body=data, status=status, content_type="application/json")

    async def _truncated_response(self, req: web.Request, data: bytes) -> web.StreamResponse:
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

    async def create_app() -> web.Application:
        instance = UpstreamStandIn(args.service, args.node, args.slots, args.time)
        return instance.app(announce=not args.silent)

    web.run_app(
        create_app(),
        host="127.0.0.1",
        port=args.port,
        print=None,
        handler_cancellation=True,
        backlog=1024,
    )


if __name__ == "__main__":
    main()

"""HTTP endpoints of a node for callers, the upstream instance, and operators.

Callers' requests are the hot path and are handled as plain ASGI, without the request object of a
framework. All other endpoints use `starlette`.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from thorntray.internal.connection.accept_queue import close_listener
from thorntray.internal.connection.http_request import Header
from thorntray.internal.connection.kernel_output import kernel_input_bytes
from thorntray.internal.connection.request_parser import CONNECT, RequestParser
from thorntray.internal.request.http_answer import (
    DETAIL_HEADER,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    UNPROVEN_OUTCOME,
    HttpAnswer,
    http_answer,
)
from thorntray.internal.request.ingress import (
    MAX_BODY_BYTES,
    MAX_REQUEST_ID_LENGTH,
    IncomingRequest,
)
from thorntray.internal.request.outcome import NotRun, Reason, Unknown
from thorntray_node.dump import state_dump
from thorntray_node.node import Node

MAX_ACTIVE_REQUESTS = 2000  # concurrent requests of callers
MAX_BUFFERED_BODY_BYTES = 64 * 1024 * 1024  # sum over all requests being handled
MAX_CONNECTIONS = 4000
OVERLOAD_RETRY_AFTER = 0.5  # seconds
MAX_HINT_BYTES = 4096
CALL_PREFIX = "/call/"
PIPELINED = "thorntray.pipelined"  # ASGI extension
NOT_RECEIVED_DETAIL = "this node stops and has not received the whole request; use another node"
NOT_FINISHED_DETAIL = "this node stops and the request has not ended; check before you repeat it"

INPUT_READ_TIME = 0.01  # seconds in which the event loop reads what the kernel holds
# For a request whose head is incomplete at the stop; its headers are not known.
HEAD_REFUSAL = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    f"{OUTCOME_HEADER}: {UNPROVEN_OUTCOME}\r\n"
    f"{DETAIL_HEADER}: {NOT_RECEIVED_DETAIL}\r\n"
    "retry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
).encode()

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Scope = dict[str, Any]


class CallerGone(Exception):
    """Raised when the caller disconnects before it has sent its whole request."""


class CallEndpoint:
    """ASGI endpoint for callers' requests: `/call/SERVICE/PATH` with any method."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._active = 0
        self._body_bytes = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request (ASGI)."""
        self._active += 1
        try:
            answer = await self._answer(scope, receive)
            if answer is not None:
                await self._send(scope, send, answer)
        finally:
            self._active -= 1

    async def _answer(self, scope: Scope, receive: Receive) -> HttpAnswer | None:
        """Return the answer to a request, or None if its caller has disconnected."""
        headers = {k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]}
        refusal = self._refusal(headers)
        if refusal is not None:
            return self._refusal_answer(refusal, headers)
        try:
            body = await _read_body(receive)
        except CallerGone:
            return None
        except asyncio.CancelledError:  # the server's time limit for its stop
            stopping = NotRun(Reason.DRAINING, OVERLOAD_RETRY_AFTER, NOT_RECEIVED_DETAIL)
            return self._refusal_answer(stopping, headers)
        if body is None:
            return self._refusal_answer(NotRun(Reason.BODY_TOO_LARGE), headers)
        self._body_bytes += len(body)
        try:
            return await self._handle(_incoming(scope, headers, body), receive)
        finally:
            self._body_bytes -= len(body)

    async def _handle(self, req: IncomingRequest, receive: Receive) -> HttpAnswer | None:
        handler = asyncio.ensure_future(self._node.traffic.ingress.handle(req))
        disconnect = asyncio.ensure_future(_disconnected(receive))
        try:
            await asyncio.wait({handler, disconnect}, return_when=asyncio.FIRST_COMPLETED)
            if not handler.done():
                handler.cancel()  # the caller has disconnected
                await asyncio.wait({handler})
            if handler.cancelled():
                return None
            answer = handler.result()
        except asyncio.CancelledError:  # the server's time limit for its stop
            outcome = Unknown(NOT_FINISHED_DETAIL)
            answer = http_answer(outcome, _request_id(req.headers), self._node.rng, False)
        finally:
            disconnect.cancel()
            handler.cancel()
        self._node.metrics.count(f"ingress.{dict(answer.headers)['thorntray-outcome']}")
        return answer

    def _refusal(self, headers: dict[str, str]) -> NotRun | None:
        length = headers.get("content-length", "0")
        if not length.isdigit() or int(length[:12]) > MAX_BODY_BYTES:
            return NotRun(Reason.BODY_TOO_LARGE, 0.0, f"send at most {MAX_BODY_BYTES} bytes")
        overloaded = (
            self._active > MAX_ACTIVE_REQUESTS or self._body_bytes > MAX_BUFFERED_BODY_BYTES
        )
        if overloaded:
            return NotRun(Reason.SHED, OVERLOAD_RETRY_AFTER, "too many requests at this node")
        return None

    def _refusal_answer(self, refusal: NotRun, headers: dict[str, str]) -> HttpAnswer:
        not_run_proven = "thorntray-grant" not in headers
        return http_answer(refusal, _request_id(headers), self._node.rng, not_run_proven)

    async def _send(self, scope: Scope, send: Send, answer: HttpAnswer) -> None:
        headers = [(k.encode("latin-1"), v.encode("latin-1")) for k, v in answer.headers]
        headers.append((b"content-length", str(len(answer.body)).encode()))
        pipelined = scope["extensions"][PIPELINED]
        if self._node.draining and not pipelined():  # closing would drop the pipelined requests
            headers.append((b"connection", b"close"))
        start = {"type": "http.response.start", "status": answer.status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": answer.body})


def _request_id(headers: Mapping[str, str]) -> str:
    return headers.get(REQUEST_ID_HEADER, "")[:MAX_REQUEST_ID_LENGTH]


async def _read_body(receive: Receive) -> bytes | None:
    """Return the body, or None if it is larger than `MAX_BODY_BYTES`.

    Raises `CallerGone` if the caller disconnects first.
    """
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGone("the caller has disconnected; nobody waits for this request")
        chunk = message.get("body", b"")
        size += len(chunk)
        if size > MAX_BODY_BYTES:
            return None
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _disconnected(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _incoming(scope: Scope, headers: dict[str, str], body: bytes) -> IncomingRequest:
    call_path = scope["path"].removeprefix(CALL_PREFIX)
    service, _, path = call_path.partition("/")
    query = scope["query_string"].decode("latin-1")
    full_path = f"/{path}?{query}" if query else f"/{path}"
    return IncomingRequest(service, scope["method"], full_path, headers, body)


class OperatorEndpoints:
    """Endpoints for the upstream instance and for operators."""

    def __init__(self, node: Node) -> None:
        self._node = node

    def routes(self) -> list[Route]:
        """Return the routes below `/thorntray`."""
        return [
            Route("/thorntray/dump", self.dump),
            Route("/thorntray/status", self.status),
            Route("/thorntray/drain", self.drain, methods=["POST"]),
            Route("/thorntray/instance/{word}", self.instance, methods=["POST"]),
        ]

    async def dump(self, _: Request) -> Response:
        """Return the state dump."""
        return Response(msgspec.json.encode(state_dump(self._node)), media_type="application/json")

    async def status(self, _: Request) -> Response:
        """Return a short summary, with status 503 while the node is not ready."""
        node = self._node
        refusal = node.instance.refusal()
        ready = refusal is None and node.service_settings is not None
        summary = {
            "name": node.cfg.name,
            "service": node.cfg.service,
            "domain": node.cfg.domain,
            "ready": ready,
            "draining": node.draining,
            "instance": node.instance.state.value,
            "members": len(node.membership.alive()),
            "settings": node.holder.revisions(),
            "refused_documents": node.holder.refused_documents,
            "roles": node.roles.state,
        }
        return JSONResponse(summary, status_code=200 if ready else 503)

    async def drain(self, _: Request) -> Response:
        """Start to drain the traffic of the instance; the process keeps running."""
        asyncio.get_running_loop().create_task(self._node.drain())
        return JSONResponse({"draining": True}, status_code=202)

    async def instance(self, req: Request) -> Response:
        """Handle an announcement of the instance: register, renew, drain or leave."""
        instance = self._node.instance
        match req.path_params["word"]:
            case "register":
                if instance.register():
                    self._node.traffic.admission.limiter.restart_cold()
                return JSONResponse({"renew_within_ms": 3000})
            case "renew":
                return await self._renew(req)
            case "drain":
                instance.drain()
            case "leave":
                instance.leave()
            case announcement:
                error = (
                    f"unknown announcement {announcement!r}; use register, renew, drain or leave"
                )
                return JSONResponse({"error": error}, status_code=404)
        return JSONResponse({"in_flight": self._node.traffic.inbound.active})

    async def _renew(self, req: Request) -> Response:
        body = (await req.body())[:MAX_HINT_BYTES]
        hints: dict[str, object] = {}
        with contextlib.suppress(msgspec.MsgspecError):
            hints = msgspec.json.decode(body or b"{}", type=dict)
        if self._node.instance.renew(hints):
            return JSONResponse({"in_flight": self._node.traffic.inbound.active})
        return JSONResponse({"error": "not registered; register first"}, status_code=409)


class _Protocol(HttpToolsProtocol):
    """uvicorn's protocol; tells the application whether pipelined requests are waiting.

    At the stop, a request whose head is incomplete is refused, and input that waits in the kernel
    is read before the connection is closed: uvicorn takes both for idle connections. An offer to
    upgrade the connection is ignored (`RequestParser`); uvicorn drops the body of such a request.
    """

    _receives_head = False

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.parser = RequestParser(self, lenient_data_after_close=True)

    @property
    def parsed_head(self) -> tuple[bytes, list[Header]]:
        """Return the target and the header fields of the request that is being received."""
        return self.url, self.headers

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._receives_head = True
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Add the function `thorntray.pipelined` to the scope of a request."""
        if self._is_parsed_again:
            return
        self._receives_head = False
        self.scope["extensions"] = {PIPELINED: lambda: bool(self.pipeline)}
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """End the body of a request."""
        if not self._is_parsed_again:
            super().on_message_complete()

    @property
    def _is_parsed_again(self) -> bool:
        """Return whether the head is parsed again without an offer to upgrade."""
        return self.parser.should_upgrade() and self.parser.get_method() != CONNECT

    def shutdown(self) -> None:
        """Close the connection, after the answer to the request that it may have."""
        idle = self.cycle is None or self.cycle.response_complete
        if self.transport.is_closing() or not idle:
            super().shutdown()
        elif self._receives_head:
            self.transport.write(HEAD_REFUSAL)
            self.transport.close()
        elif kernel_input_bytes(self.transport):
            asyncio.get_running_loop().call_later(INPUT_READ_TIME, self.shutdown)
        else:
            super().shutdown()


class NodeServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node."""

    async def stop_listening(self) -> None:
        """Accept the connections that the kernel has queued, and refuse later ones."""
        for server in self.servers:
            await close_listener(server, self._make_protocol)

    def _make_protocol(self) -> _Protocol:
        return _Protocol(
            config=self.config, server_state=self.server_state, app_state=self.lifespan.state
        )

    @contextlib.contextmanager
    def capture_signals(self):  # type: ignore[no-untyped-def]
        """Install no signal handlers."""
        yield


def make_app(node: Node) -> Callable[[Scope, Receive, Send], Awaitable[None]]:
    """Return the ASGI application of a node."""
    operators = Starlette(routes=OperatorEndpoints(node).routes())
    calls = CallEndpoint(node)

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        # Calls bypass Starlette, whose middleware would add a fifth to their cost.
        endpoint = calls if scope["path"].startswith(CALL_PREFIX) else operators
        await endpoint(scope, receive, send)

    return app


def make_server(node: Node) -> NodeServer:
    """Return the HTTP server of a node."""
    config = uvicorn.Config(
        make_app(node),
        host=node.cfg.address,
        port=node.cfg.http_port,
        http=_Protocol,
        loop="none",
        ws="none",
        lifespan="off",
        access_log=False,
        log_config=None,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        limit_concurrency=MAX_CONNECTIONS,
        timeout_keep_alive=75,
        timeout_graceful_shutdown=None,  # set at the stop, to what is left of `drain_limit`
    )
    config.load()  # imports the protocol now, not when the first callers wait
    return NodeServer(config)

"""Serves the metrics of a `MeshNode`, which works without them while their port is taken."""

import asyncio

from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.drain import Drain
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.telemetry.node_metrics import NodeMetrics

RETRY_PERIOD = 1.0  # seconds between attempts to open the port
METRICS_CONTENT_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"
OK = 200


class MetricsEndpoint:
    """The server for metrics on its port; port 0: metrics are not served."""

    def __init__(
        self, host: str, port: int, metrics: NodeMetrics, drain: Drain, clock: Clock
    ) -> None:
        self._host = host
        self._port = port
        self._metrics = metrics
        self._drain = drain
        self._fault = ""  # of the last attempt, if it failed
        self.server = HttpServer(self._answer, clock)

    async def try_serve(self) -> None:
        """Open the port; a failure is only logged, when it is another one than the last."""
        if not self._port:
            return
        try:
            await self.server.start(self._host, self._port)
        except OSError as exc:
            if repr(exc) != self._fault:
                self._fault = repr(exc)
                log_event(Event.METRICS_NOT_SERVED, port=self._port, detail=self._fault)
            return
        self._fault = ""
        log_event(Event.PORTS_BOUND, purpose="metrics", host=self._host, port=self._port)

    async def serve_when_free(self) -> None:
        """Try again until the port is open or the node stops."""
        while self._fault:
            await asyncio.sleep(RETRY_PERIOD)
            if self._drain.begun:
                return
            await self.try_serve()

    def _answer(self, exchange: Exchange) -> None:
        exchange.respond(OK, METRICS_CONTENT_TYPE, self._metrics.exposition())

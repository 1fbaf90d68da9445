"""Connection pool of a `MeshNode` to its instance; one request at a time on each connection.

The instance may close an idle connection at the moment at which it is reused. The outcome of a
request that must not run twice would then remain unknown. Such a request uses a connection that
was in use within `FRESH_PERIOD`, or a new one.
"""

import asyncio

from thorntray.internal.connection.header_names import FieldClassifier, FieldKind
from thorntray.internal.connection.instance_connection import InstanceConnection
from thorntray.internal.connection.instance_response import (
    ResponseFault,
    ResponseHandler,
)
from thorntray.internal.connection.pending_send import PendingSend
from thorntray.internal.connection.response_bounds import HeldBodies
from thorntray.internal.connection.socket_opener import SocketOpener, is_exhausted
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.memory_budget import MemoryBudget
from thorntray.internal.telemetry.events import log_handler_failure

CONNECT_TIMEOUT = 0.5  # seconds
REFUSAL_TIMEOUT = 0.1  # seconds; a refusal by the own host comes at once
FRESH_PERIOD = 0.5  # seconds after use in which non-idempotent requests may reuse a connection


class InstancePool:
    """Connections to the instance; the most recently used one is reused first."""

    def __init__(
        self,
        host: str,
        port: int,
        id_header: bytes,
        clock: Clock,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.clock = clock
        self.fields = FieldClassifier(
            {
                id_header: FieldKind.REQUEST_ID,
                b"Content-Length": FieldKind.FRAMING,
                b"Transfer-Encoding": FieldKind.FRAMING,
                b"Keep-Alive": FieldKind.KEEP_ALIVE,
            }
        )
        self._host = host
        self._port = port
        self._idle: list[InstanceConnection] = []
        self.held = HeldBodies(memory)
        self.connections_opened = 0
        self.opener = SocketOpener()

    def send(
        self,
        data: bytes,
        request_id: bytes,
        method: bytes,
        fresh_only: bool,
        on_response: ResponseHandler,
        body: bytes = b"",
    ) -> PendingSend:
        """Send a request; `on_response` is called with its response or the fault.

        `data` is the head with a small body, or without a large one, which `body` holds then.
        With `fresh_only`, only a connection used within `FRESH_PERIOD` or a new one is used.
        """
        pending_send = PendingSend()
        head_only = method == b"HEAD"
        connection = self._acquire(fresh_only)
        if connection is not None:
            pending_send.connection = connection
            connection.send(data, request_id, head_only, on_response, body)
            return pending_send
        connect = self._connect_and_send(
            pending_send, data, request_id, head_only, on_response, body
        )
        pending_send.connecting = asyncio.ensure_future(connect)
        return pending_send

    async def refuses_connections(self) -> bool:
        """Return whether nothing listens at the instance's address; a timeout does not show it."""
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT):
                _, writer = await asyncio.open_connection(self._host, self._port)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.transport.abort()
        return False

    @property
    def idle_connections(self) -> int:
        """Return the number of open connections without a request."""
        return len(self._idle)

    def release(self, connection: InstanceConnection) -> None:
        """Return a connection to the pool."""
        self._idle.append(connection)

    def discard(self, connection: InstanceConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close_idle(self) -> None:
        """Close the connections whose idle timeout has passed."""
        now = self.clock.monotonic()
        for connection in [c for c in self._idle if now - c.last_used_at > c.idle_timeout]:
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()

    def _acquire(self, fresh_only: bool) -> InstanceConnection | None:
        now = self.clock.monotonic()
        while self._idle:
            connection = self._idle[-1]
            idle_time = now - connection.last_used_at
            if fresh_only and idle_time > FRESH_PERIOD:
                return None
            self._idle.pop()
            if idle_time <= connection.idle_timeout and connection.usable:
                return connection
            connection.abort()
        return None

    async def _connect_and_send(
        self,
        pending_send: PendingSend,
        data: bytes,
        request_id: bytes,
        head_only: bool,
        on_response: ResponseHandler,
        body: bytes,
    ) -> None:
        self.connections_opened += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                connection = await self.opener.open(
                    lambda: InstanceConnection(self), self._host, self._port
                )
        except (OSError, TimeoutError) as exc:
            if not pending_send.cancelled:
                on_response(
                    ResponseFault.NO_DESCRIPTOR if is_exhausted(exc) else ResponseFault.UNREACHABLE
                )
            return
        except Exception:  # nothing was sent, and the request must not wait for its deadline
            log_handler_failure(id=request_id.decode("latin-1"))
            if not pending_send.cancelled:
                on_response(ResponseFault.UNREACHABLE)
            return
        if pending_send.cancelled:
            connection.abort()
            return
        if not connection.usable:
            connection.abort()
            on_response(ResponseFault.UNREACHABLE)
            return
        pending_send.connection = connection
        connection.send(data, request_id, head_only, on_response, body)

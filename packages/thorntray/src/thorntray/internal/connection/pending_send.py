"""A request that was passed to the pool of connections to the instance, and can be withdrawn."""

import asyncio
from typing import Protocol


class SendingConnection(Protocol):
    """The connection on which the request was sent."""

    def abort(self) -> None:
        """Close the connection at once without calling the request's handler."""
        ...


class PendingSend:
    """A request passed to the pool; `cancel` withdraws it."""

    __slots__ = ("connection", "connecting", "cancelled")

    def __init__(self) -> None:
        self.connection: SendingConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.cancelled = False

    def cancel(self) -> None:
        """Withdraw the request by closing its connection."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.abort()
        elif self.connecting is not None:
            self.connecting.cancel()

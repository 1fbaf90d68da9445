"""Types, call budget and HTTP calls shared by all clients of a platform's key-value service.

Every call has a timeout and counts against a budget, so that a fleet does not overload a service
that has just recovered.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random
from typing import NamedTuple

import msgspec

from thorntray.errors import NoReply, NotConnected, PlatformUnavailable, WriteUndetermined
from thorntray.internal.connection.http_client import HttpClient
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.store_epoch import StoreEpoch
from thorntray.internal.telemetry.events import Event, log_event

CALL_TIMEOUT = 2.0  # seconds
CALLS_PER_SECOND = 1.0  # default limit for one node, on average
CALL_BURST = 6.0  # calls that may be made at once


class StoreEntry(NamedTuple):
    """A key with its value. `mod_revision` is the store's revision of the last write."""

    key: str
    value: bytes
    mod_revision: int


class WatchBatch(NamedTuple):
    """Changes reported by a watch. If `compacted` is set, some may have been missed.

    `sent_at` is the boot time in seconds at which the call was sent, to which the store answered
    with all changes up to then; a store client that does not know it leaves minus infinity. If
    `complete` is false, a change could not be decoded.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    compacted: bool = False
    sent_at: float = -inf
    complete: bool = True


# A body that is not JSON, nested too deeply, or has a number of thousands of digits is no answer.
_NO_VALID_ANSWER = (NoReply, ValueError, RecursionError)
MAX_EPOCH_DIGITS = 18
# In one answer. Decoded, a small object takes thirty times its bytes.
MAX_OBJECTS = 100_000


class StoreReply(NamedTuple):
    """HTTP status and decoded JSON body of a call; the body is empty unless the status is 200.

    `sent_at` is the boot time in seconds at which the call was sent.
    """

    status: int
    body: dict
    sent_at: float = -inf


@dataclass(slots=True)
class CallBudget:
    """Token bucket for calls to the platform's service; those that wait get tokens in order."""

    clock: Clock
    rate: float = CALLS_PER_SECOND
    burst: float = CALL_BURST
    tokens: float = CALL_BURST
    updated_at: float = 0.0
    queue: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def acquire(self) -> None:
        """Wait until a call may be made."""
        # Without an order, a caller that waits for the renewal of its evidence could lose each new
        # token to others that retry often.
        async with self.queue:
            await self._take()

    async def _take(self) -> None:
        while True:
            now = self.clock.monotonic()
            self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.rate)
            self.updated_at = now
            if self.tokens >= 1:
                self.tokens -= 1
                return
            await asyncio.sleep((1 - self.tokens) / self.rate)


class StoreCalls:
    """HTTP calls with JSON bodies. `endpoints` are base URLs, `rate` is in calls per second.

    `on_call` is called with the method and the result of each call. `epoch_header` names the field
    of each answer that carries the store's epoch; without it, the store is taken as never restored.
    """

    def __init__(
        self,
        endpoints: list[str],
        http: HttpClient,
        clock: Clock,
        rng: Random,
        rate: float = CALLS_PER_SECOND,
        on_call: Callable[[str, str], None] = lambda method, result: None,
        epoch_header: str = "",
    ) -> None:
        self._endpoints = endpoints
        self._http = http
        self._on_call = on_call
        self._epoch_header = epoch_header.lower()
        self.epoch = StoreEpoch()
        self._rng = rng
        self._clock = clock
        self._budget = CallBudget(clock, rate=rate, updated_at=clock.monotonic())
        self.calls = 0

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def call(
        self,
        method: str,
        path: str,
        request: dict[str, object] | None = None,
        timeout: float = CALL_TIMEOUT,
    ) -> StoreReply:
        """Make one call and return the reply, whatever its status.

        Raises `PlatformUnavailable` if the call cannot have been received, and
        `WriteUndetermined` if it may have taken effect or the store has been restored since.
        """
        await self._budget.acquire()
        self.calls += 1
        sent_at = self._clock.boottime()
        url = self.endpoint() + path
        body = None if request is None else msgspec.json.encode(request)
        try:
            answer = await self._http.call(method, url, body, timeout)
            self._on_call(method, str(answer.status))
            decoded = _decoded(answer.body) if answer.status == 200 else {}
        except NotConnected as exc:
            self._on_call(method, "no connection")
            raise PlatformUnavailable(f"no connection to {url}; is the service up?") from exc
        except _NO_VALID_ANSWER as exc:
            self._on_call(method, "no answer")
            raise WriteUndetermined(
                f"{path}: no answer ({exc!r}); read the key to see whether it took effect"
            ) from exc
        self._check_epoch(path, answer.headers.get(self._epoch_header, ""))
        return StoreReply(answer.status, decoded, sent_at)

    def _check_epoch(self, path: str, epoch: str) -> None:
        if not (epoch.isascii() and epoch.isdigit() and len(epoch) <= MAX_EPOCH_DIGITS):
            return
        if int(epoch) > self.epoch.current > 0:
            log_event(Event.PLATFORM_RESTORED, epoch=int(epoch))
        if not self.epoch.observe(int(epoch)):
            raise WriteUndetermined(
                f"{path}: answered before the store was restored; make the call again"
            )

    async def open_watch(self) -> None:
        """Wait until the budget allows a watch to be opened, and count it as a call."""
        await self._budget.acquire()
        self.calls += 1

    def endpoint(self) -> str:
        """Return the base URL for the next call."""
        return self._rng.choice(self._endpoints)


def _decoded(body: bytes) -> dict:
    """Return the decoded body; raises `ValueError` if it is no answer."""
    if body.count(b"{") + body.count(b"[") > MAX_OBJECTS:
        raise ValueError(f"more than {MAX_OBJECTS} objects")
    return msgspec.json.decode(body, type=dict)

"""Bound on the open connections of one HTTP server, and what happens to connections beyond it.

A new connection beyond the bound takes the place of the one that has been idle longest: nothing is
owed on that, and a request that crosses its close has not been read, so it may be sent again. If
none is idle, the new connection gets one request. The request is refused at the end of its head
(503, a promise that it has not run), unless `serves_surplus` says that a request that is already
running depends on it. Connections beyond that surplus take the place of one whose head has not
arrived in time, or are refused unread. A caller whose connection ends without a byte cannot know
whether its request has run, so each connection gets the refusal that has had no answer before.

All callers of a node may share one address, so connections are not counted by address.
"""

from collections.abc import Callable
from math import inf
from operator import itemgetter
from typing import Protocol

from thorntray.internal.connection.http_request import Header
from thorntray.internal.process.clock import Clock

# Seconds without use after which a connection counts as idle. The first request on a new one, or
# the next one of a busy caller, is likely to be in transit before; callers are on the same machine.
MIN_IDLE_TIME = 0.05
SURPLUS_TIMEOUT = 1.0  # seconds in which the one request of a connection in excess must arrive
# Time between searches for idle connections, in durations of a search. A search among 3,900 took 12
# to 20 ms beside other load, and would be made for each new connection while only a few are idle.
SCAN_PAUSE_RATIO = 20


class BoundedConnection(Protocol):
    """A connection of the server."""

    one_request: bool  # whether it closes with the answer to its first request

    @property
    def idle_since(self) -> float:
        """Return the monotonic time of the last use, infinite while the connection is in use."""
        ...

    @property
    def untaken_bytes(self) -> int:
        """Return the bytes of responses that the caller has not acknowledged yet."""
        ...

    def refuse_unread(self, header_lines: bytes) -> None:
        """Close the connection; one that has had no answer gets a refusal of a request not read."""
        ...

    def displace(self, header_lines: bytes) -> bool:
        """Refuse a request whose head has not arrived, and close; return False if it has."""
        ...


class ConnectionBound:
    """Keeps the number of open connections at `limit`; None: not bounded."""

    def __init__(self, connections: set[BoundedConnection], clock: Clock) -> None:
        self.limit: int | None = None
        self.surplus = 0  # connections beyond the limit that get one request
        # Called with the caller's IP address, the target and the header fields of a request.
        self.serves_surplus: Callable[[str, bytes, list[Header]], bool] = lambda *_: False
        self.refusal_lines: Callable[[], bytes] = lambda: b""  # header lines of a refusal
        self.on_reached: Callable[[], None] = lambda: None
        self.closed_idle = 0  # since the start, as the next two
        self.refused = 0
        self.closed_unread = 0
        self._connections = connections
        self._clock = clock
        self._idle: list[tuple[float, BoundedConnection]] = []  # idle longest last
        self._next_scan_at = -inf  # monotonic seconds
        # With the monotonic time of the accept, the first one first.
        self._in_excess: dict[BoundedConnection, float] = {}

    def accept(self, connection: BoundedConnection) -> None:
        """Decide about a new connection, which is already one of the open ones."""
        if self.limit is None or len(self._connections) <= self.limit:
            return
        self.on_reached()
        self.shrink()
        count = len(self._connections)
        if count <= self.limit:
            return
        if count <= self.limit + self.surplus or self._displace_slow():
            connection.one_request = True
            self._in_excess[connection] = self._clock.monotonic()
            return
        self.closed_unread += 1
        self._connections.discard(connection)
        connection.refuse_unread(self.refusal_lines())

    def refuses(self, host: str, target: bytes, headers: list[Header]) -> bool:
        """Return whether to refuse the request of a connection that gets only one."""
        if self.serves_surplus(host, target, headers):
            return False
        self.refused += 1
        return True

    def shrink(self) -> None:
        """Close idle connections until the limit is kept, as it may have been lowered."""
        while self.limit is not None and len(self._connections) > self.limit:
            if not self.close_longest_idle():
                return

    def close_longest_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle.

        Connections are searched only when those found before are used up, because a search takes
        as long as there are connections.
        """
        if not self._idle:
            self._scan()
        while self._idle:
            idle_since, connection = self._idle.pop()
            if connection.idle_since != idle_since or connection not in self._connections:
                continue  # used or closed since the search
            if connection.untaken_bytes:
                continue  # asked only here, as each question is a system call
            self._connections.discard(connection)
            connection.refuse_unread(self.refusal_lines())
            self.closed_idle += 1
            return True
        return False

    def _displace_slow(self) -> bool:
        """Make room for one more connection in excess; return False if each is in use or new."""
        latest = self._clock.monotonic() - MIN_IDLE_TIME
        for connection, accepted_at in list(self._in_excess.items()):
            if accepted_at > latest:
                break
            del self._in_excess[connection]
            if connection in self._connections and connection.displace(self.refusal_lines()):
                self._connections.discard(connection)
                self.refused += 1
                return True
        return False

    def forget(self, connection: BoundedConnection) -> None:
        """Forget a connection that has ended."""
        self._in_excess.pop(connection, None)

    def _scan(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_scan_at:
            return
        latest = now - MIN_IDLE_TIME
        idle = [(since, c) for c in self._connections if (since := c.idle_since) <= latest]
        self._idle = sorted(idle, key=itemgetter(0), reverse=True)
        ended_at = self._clock.monotonic()
        self._next_scan_at = ended_at + max(MIN_IDLE_TIME, SCAN_PAUSE_RATIO * (ended_at - now))

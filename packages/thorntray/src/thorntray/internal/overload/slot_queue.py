"""Slots of one instance: which requests get one and which wait.

Load pattern: requests arrive in bursts larger than the slots can serve. An instance that is sent
more requests than it has slots may never answer, and its own queue is unordered. All waiting
therefore happens here, where requests are sorted by worth and can be withdrawn. Some instances
slow down when nearly full, so the last few slots stay unused.

Calls of a request that is already running go before new requests of the same worth: their parents
hold slots elsewhere until the calls end. Of equal ones the first to expire goes first: a call tree
that makes many calls in turn is then completed rather than left halfway behind newer ones. Equal
ones of several workspaces are started in turn, so that the long backlog of one does not delay the
others (`fair_backlog`).

A request that takes long may hold each of a few slots while short nested calls wait, one after the
other, until their parent runs out of time. While nested calls are usual here, one slot is therefore
not given to other requests.

An instance with few slots keeps none of them unused: leaving one of three out would cost more
than any slow-down that it avoids.

An instance that names a rate limit gets no more than that allows (`rate_limit`). Requests then wait
beside free slots, in the same order.

An instance that has just started is slower but has all its slots; it gets fewer requests because
placement observes its longer service times.
"""

from collections.abc import Callable

from thorntray.internal.overload.fair_backlog import FairBacklog
from thorntray.internal.overload.rate_limit import RateLimit

UNUSED_SHARE = 0.07  # most of the slots of an instance that stay unused
NESTED_SLOTS = 1  # slots that only nested calls get, while they are usual
NESTED_WEIGHT = 0.1  # weight of the newest request in the share of nested calls
USUAL_NESTED_SHARE = 0.3  # share of nested calls from which they are usual
NESTED_FACTOR = 1.2  # of the worth of a nested call; below the smallest ratio of two worths


def _always() -> bool:
    return True


def _do_nothing() -> None:
    pass


class Ticket:
    """A request for a slot; `start` is called when it gets one."""

    __slots__ = ("worth", "nested", "expiry", "idempotent", "workspace", "sort_key", "start")
    __slots__ += ("holds_slot", "may_start")

    def __init__(
        self,
        worth: float,
        nested: bool,
        start: Callable[[], None],
        expiry: float = 0.0,
        idempotent: bool = True,
        workspace: str = "",
        may_start: Callable[[], bool] = _always,
    ) -> None:
        self.worth = worth
        self.nested = nested
        self.expiry = expiry  # monotonic seconds
        self.idempotent = idempotent
        self.workspace = workspace  # name, empty if there is none
        self.start = start
        self.may_start = may_start  # returns False while it has to wait even beside a free slot
        self.sort_key = (0.0, 0.0, 0)
        self.holds_slot = False

    def forget_request(self) -> None:
        """Give up the functions of the request, which has ended."""
        self.start, self.may_start = _do_nothing, _always


class SlotQueue:
    """The slots in use and the requests waiting for one, in order of worth."""

    def __init__(self, rate_limit: RateLimit | None = None) -> None:
        self._rate_limit = rate_limit
        self.limit = 0
        self.in_flight = 0
        self._sequence = 0
        self._nested_share = 0.0  # of the newest requests, moving average
        self._waiting: FairBacklog[Ticket] = FairBacklog()
        self._is_starting = False  # whether `start_waiting` runs

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def set_slots(self, slots: int) -> None:
        """Set the number of slots of the instance and start waiting requests that now fit."""
        self.limit = max(1, slots - int(slots * UNUSED_SHARE))
        self.start_waiting()

    def submit(self, ticket: Ticket) -> bool:
        """Start a request if a slot is free, else queue it; True if it was started."""
        self._nested_share += NESTED_WEIGHT * (ticket.nested - self._nested_share)
        if (
            not self._waiting
            and self._rate_allows(ticket.idempotent)
            and self._slot_allowed(ticket)
        ):
            self._assign_slot(ticket)
            return True
        self._sequence += 1
        rank = ticket.worth * (NESTED_FACTOR if ticket.nested else 1.0)
        ticket.sort_key = (-rank, ticket.expiry, self._sequence)
        self._waiting.add(ticket)
        self.start_waiting()
        return ticket.holds_slot

    def count_ahead(self, ticket: Ticket) -> int:
        """Return the number of waiting requests that go before a waiting one."""
        return self._waiting.count_ahead(ticket)

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting request; False if it is not waiting."""
        if ticket.holds_slot or ticket not in self._waiting:
            return False
        self._waiting.withdraw(ticket)
        return True

    def release(self, ticket: Ticket) -> None:
        """Return a slot, which then goes to the waiting request with the highest worth."""
        if ticket.holds_slot:
            ticket.holds_slot = False
            self.in_flight -= 1
            self.start_waiting()

    def drain(self) -> list[Ticket]:
        """Remove all waiting requests and return them."""
        tickets = list(self._waiting)
        self._waiting.clear()
        return tickets

    def _rate_allows(self, idempotent: bool) -> bool:
        return self._rate_limit is None or self._rate_limit.may_send(idempotent)

    def _slot_allowed(self, ticket: Ticket) -> bool:
        reserved = 0
        if not ticket.nested and self._nested_share > USUAL_NESTED_SHARE:
            reserved = min(NESTED_SLOTS, self.limit - 1)
        return self.in_flight < self.limit - reserved and ticket.may_start()

    def _startable_waiting(self) -> Ticket | None:
        """Return the first waiting request that may start now, None if there is none."""
        if self.in_flight >= self.limit:
            return None
        if not self._rate_allows(idempotent=True):
            return None
        startable = filter(self._slot_allowed, self._waiting)
        if self._rate_allows(idempotent=False):  # the usual case: one check for all requests
            return next(startable, None)
        return next((ticket for ticket in startable if ticket.idempotent), None)

    def start_waiting(self) -> None:
        """Start the waiting requests that fit now, by slots and by the rate limit.

        A request that is refused as it starts returns its slot at once. The loop that started it
        then goes on; a call of its own for each of hundreds would exhaust the stack.
        """
        if self._is_starting:
            return
        self._is_starting = True
        try:
            while (ticket := self._startable_waiting()) is not None:
                self._waiting.take(ticket)
                self._assign_slot(ticket)
        finally:
            self._is_starting = False

    def _assign_slot(self, ticket: Ticket) -> None:
        self.in_flight += 1
        ticket.holds_slot = True
        ticket.start()

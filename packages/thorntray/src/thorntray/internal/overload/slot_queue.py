"""Slots of one instance: who gets one, who waits, who is turned away at once.

Load pattern: arrivals come in bursts above what the slots carry. An instance that is sent more
than its slots may never answer, and its own queue knows no order, so all waiting happens here,
where it is sorted by value and can be withdrawn. Some instances slow down when nearly full, so
the last few slots stay unused.

Calls of a request that already runs somewhere go before fresh requests of the same value: their
parents hold slots elsewhere until they end.

An instance that has just started is slower but has all its slots; it gets less because placement
sees its longer times.
"""

from collections.abc import Callable

from sortedcontainers import SortedKeyList

USABLE_SHARE = 0.94  # of the slots
NESTED_BONUS = 0.5  # of a step of worth


class Ticket:
    """One request that wants a slot."""

    __slots__ = ("worth", "nested", "order", "start", "holds_slot", "entered_at")

    def __init__(self, worth: float, nested: bool, start: Callable[[], None]) -> None:
        self.worth = worth
        self.nested = nested
        self.start = start
        self.order = (0.0, 0)
        self.holds_slot = False
        self.entered_at = 0.0  # monotonic seconds


def _order(ticket: Ticket) -> tuple[float, int]:
    return ticket.order


class SlotQueue:
    """Slots in use and the requests that wait for one."""

    def __init__(self) -> None:
        self.limit = 0
        self.in_flight = 0
        self._sequence = 0
        self._waiting: SortedKeyList = SortedKeyList(key=_order)

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def set_slots(self, slots: int) -> None:
        """Take the number of slots that the instance has."""
        self.limit = max(1, int(slots * USABLE_SHARE))
        self._fill()

    def enter(self, ticket: Ticket) -> bool:
        """Start a request or let it wait; True if it was started."""
        if self.in_flight < self.limit and not self._waiting:
            self._take(ticket)
            return True
        self._sequence += 1
        rank = ticket.worth + (NESTED_BONUS if ticket.nested else 0.0)
        ticket.order = (-rank, self._sequence)
        self._waiting.add(ticket)
        return False

    def ahead_of(self, worth: float, nested: bool) -> int:
        """Return how many waiting requests would go before one of this worth."""
        rank = worth + (NESTED_BONUS if nested else 0.0)
        return self._waiting.bisect_key_right((-rank, self._sequence + 1))

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting request out; False if it is not waiting."""
        if ticket.holds_slot or ticket not in self._waiting:
            return False
        self._waiting.remove(ticket)
        return True

    def release(self, ticket: Ticket) -> None:
        """Give a slot back; the most valued waiting request takes it."""
        if ticket.holds_slot:
            ticket.holds_slot = False
            self.in_flight -= 1
            self._fill()

    def drain(self) -> list[Ticket]:
        """Take all waiting requests out and return them."""
        tickets = list(self._waiting)
        self._waiting.clear()
        return tickets

    def _fill(self) -> None:
        while self._waiting and self.in_flight < self.limit:
            self._take(self._waiting.pop(0))

    def _take(self, ticket: Ticket) -> None:
        self.in_flight += 1
        ticket.holds_slot = True
        ticket.start()

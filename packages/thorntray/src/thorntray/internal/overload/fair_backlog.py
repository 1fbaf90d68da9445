"""Waiting requests, ordered by rank, and round-robin by workspace among those of equal rank.

Load pattern: one workspace sends a long burst. Ordered by expiry alone, its requests go before all
that expire later, and the other workspaces wait for the whole burst. In turn, a request waits for
at most one of each other workspace, and for those of its own that expire before it. Without
workspaces, the order among equals is by expiry alone.

A workspace is known only while it has waiting requests. One that comes back joins at the end.

The usual case is a short queue, or a deployment without workspaces. Until requests of a second
workspace wait, they are kept in one list, which costs less than the order in turns, and again once
the queue has been empty.
"""

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Iterator
from operator import attrgetter
from typing import Generic, Protocol, TypeVar


class Waiting(Protocol):
    """A waiting request; `sort_key` is its negative rank, its expiry and a unique number."""

    sort_key: tuple[float, float, int]
    workspace: str


T = TypeVar("T", bound=Waiting)
_sort_key = attrgetter("sort_key")


class _RankBacklog(Generic[T]):
    """The waiting requests of one rank: of each workspace by expiry, the next workspace first."""

    __slots__ = ("size", "_by_workspace")

    def __init__(self) -> None:
        self.size = 0
        self._by_workspace: OrderedDict[str, list[T]] = OrderedDict()

    def add(self, ticket: T) -> None:
        self.size += 1
        tickets = self._by_workspace.get(ticket.workspace)
        if tickets is None:
            self._by_workspace[ticket.workspace] = [ticket]
        else:
            insort(tickets, ticket, key=_sort_key)

    def remove(self, ticket: T) -> None:
        self.size -= 1
        tickets = self._by_workspace[ticket.workspace]
        del tickets[_index_of(ticket, tickets)]
        if not tickets:
            del self._by_workspace[ticket.workspace]

    def end_turn(self, workspace: str) -> None:
        if workspace in self._by_workspace:
            self._by_workspace.move_to_end(workspace)

    def holds(self, ticket: T) -> bool:
        return _holds(self._by_workspace.get(ticket.workspace, []), ticket)

    def count_ahead(self, ticket: T) -> int:
        own = self._by_workspace.get(ticket.workspace, [])
        turn = _index_of(ticket, own)  # turns of its workspace before that of the ticket
        if len(self._by_workspace) == 1:
            return turn
        ahead, turns = 0, turn + 1
        for tickets in self._by_workspace.values():
            if tickets is own:
                turns = turn
            size = len(tickets)
            ahead += turns if turns < size else size
        return ahead

    def __iter__(self) -> Iterator[T]:
        backlogs = list(self._by_workspace.values())
        if len(backlogs) == 1:
            yield from backlogs[0]
            return
        turn = 0
        while backlogs:
            for tickets in backlogs:
                yield tickets[turn]
            turn += 1
            backlogs = [tickets for tickets in backlogs if len(tickets) > turn]


def _index_of(ticket: T, tickets: list[T]) -> int:
    return bisect_left(tickets, ticket.sort_key, key=_sort_key)


def _holds(tickets: list[T], ticket: T) -> bool:
    index = _index_of(ticket, tickets)
    return index < len(tickets) and tickets[index] is ticket


class _Turns(Generic[T]):
    """The waiting requests of several workspaces."""

    __slots__ = ("size", "_by_rank", "_ranks")

    def __init__(self, tickets: list[T]) -> None:
        self.size = 0
        self._by_rank: dict[float, _RankBacklog[T]] = {}
        self._ranks: list[float] = []  # negative ranks, the highest rank first
        for ticket in tickets:
            self.add(ticket)

    def add(self, ticket: T) -> None:
        rank = ticket.sort_key[0]
        backlog = self._by_rank.get(rank)
        if backlog is None:
            backlog = self._by_rank[rank] = _RankBacklog()
            insort(self._ranks, rank)
        backlog.add(ticket)
        self.size += 1

    def remove(self, ticket: T, started: bool) -> None:
        rank = ticket.sort_key[0]
        backlog = self._by_rank[rank]
        backlog.remove(ticket)
        self.size -= 1
        if not backlog.size:
            del self._by_rank[rank]
            self._ranks.remove(rank)
        elif started:
            backlog.end_turn(ticket.workspace)

    def count_ahead(self, ticket: T) -> int:
        ahead, own_rank = 0, ticket.sort_key[0]
        for rank in self._ranks:
            if rank > own_rank:
                break
            backlog = self._by_rank[rank]
            ahead += backlog.count_ahead(ticket) if rank == own_rank else backlog.size
        return ahead

    def holds(self, ticket: T) -> bool:
        backlog = self._by_rank.get(ticket.sort_key[0])
        return backlog is not None and backlog.holds(ticket)

    def __iter__(self) -> Iterator[T]:
        for rank in self._ranks:
            yield from self._by_rank[rank]


class FairBacklog(Generic[T]):
    """The requests that wait, in the order in which they are to be started."""

    def __init__(self) -> None:
        self._in_order: list[T] = []  # until a second workspace waits
        self._turns: _Turns[T] | None = None  # those of several

    def add(self, ticket: T) -> None:
        """Add a request."""
        tickets = self._in_order
        if self._turns is not None:
            self._turns.add(ticket)
        elif not tickets or tickets[0].workspace == ticket.workspace:
            insort(tickets, ticket, key=_sort_key)
        else:
            self._turns = _Turns([*tickets, ticket])
            tickets.clear()

    def withdraw(self, ticket: T) -> None:
        """Remove a waiting request; its workspace keeps its turn."""
        self._remove(ticket, started=False)

    def take(self, ticket: T) -> None:
        """Remove a request that is started; its workspace goes behind the others of its rank."""
        self._remove(ticket, started=True)

    def _remove(self, ticket: T, started: bool) -> None:
        if self._turns is None:
            del self._in_order[_index_of(ticket, self._in_order)]
            return
        self._turns.remove(ticket, started)
        if not self._turns.size:
            self._turns = None

    def count_ahead(self, ticket: T) -> int:
        """Return the number of requests that go before one."""
        if self._turns is None:
            return _index_of(ticket, self._in_order)
        return self._turns.count_ahead(ticket)

    def clear(self) -> None:
        """Remove all requests."""
        self._in_order.clear()
        self._turns = None

    def __contains__(self, ticket: T) -> bool:
        if self._turns is not None:
            return self._turns.holds(ticket)
        return _holds(self._in_order, ticket)

    def __iter__(self) -> Iterator[T]:
        return iter(self._in_order if self._turns is None else self._turns)

    def __len__(self) -> int:
        return len(self._in_order) if self._turns is None else self._turns.size

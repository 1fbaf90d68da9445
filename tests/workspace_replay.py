"""Test helpers for shares of workspaces: times of decisions, and a replay without a network.

The replay is of an overloaded service: entry nodes, one instance and many workspaces. Each entry
node has its own `RootAdmission` and receives a part of each workspace's requests. The instance has
one `SlotQueue` and one `SlotPrice`, which reaches the entry nodes with each result.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

from thorntray.internal.overload.root_admission import RootAdmission
from thorntray.internal.overload.slot_price import SlotPrice
from thorntray.internal.overload.slot_queue import SlotQueue, Ticket
from thorntray.internal.request.result import SlotUse
from thorntray.internal.version.workspaces import Workspace

ROUTE, SERVICE, WORTH = "prices>tariff", "tariff", 1.0
SERVICE_TIME = 0.1  # seconds
MAX_WAIT = 0.1  # seconds that a request may wait for a slot
TIMEOUT = 1.0  # seconds
PRICE_PERIOD = 0.1  # seconds between updates of the price
TIMED_BATCHES = 10


class Replay(NamedTuple):
    """What to play; `overload` is the usual demand in relation to the capacity."""

    sizes: dict[str, float]  # relative demand by workspace
    hot: str = ""  # workspace that sends `factor` times its usual load
    factor: float = 10.0
    hot_from: float = 0.0  # seconds after the start
    overload: float = 1.5
    slots: int = 21
    entry_nodes: int = 4
    seconds: float = 60.0
    warm_up: float = 20.0  # seconds whose requests are not counted
    fair_admission: bool = True
    fair_queue: bool = True
    seed: int = 1


class Answered(NamedTuple):
    """Requests sent and answered in time, by workspace."""

    sent: dict[str, int]
    in_time: dict[str, int]

    def share(self, without: str = "") -> float:
        """Return the share answered in time, of all workspaces or of all but one."""
        names = [name for name in self.sent if name != without]
        return sum(self.in_time[n] for n in names) / sum(self.sent[n] for n in names)

    def share_of(self, name: str) -> float:
        """Return the share answered in time of one workspace."""
        return self.in_time[name] / self.sent[name]


class _Player:
    def __init__(self, replay: Replay) -> None:
        self.replay = replay
        self.queue = SlotQueue()
        self.queue.set_slots(replay.slots)
        self.price = SlotPrice(0.0)
        self.nodes = [RootAdmission() for _ in range(replay.entry_nodes)]
        for node in self.nodes:
            node.costs.record_success(ROUTE, {SERVICE: SlotUse(SERVICE_TIME, 1.0)})
        self.events: list[tuple[float, int, Callable[[], None]]] = []  # time, number, action
        self.number = 0
        self.now = 0.0
        self.sent = dict.fromkeys(replay.sizes, 0)
        self.in_time = dict.fromkeys(replay.sizes, 0)
        self.rng = Random(replay.seed)

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.number += 1
        heappush(self.events, (time, self.number, action))

    def play(self) -> Answered:
        replay = self.replay
        capacity = self.queue.limit / SERVICE_TIME
        scale = replay.overload * capacity / sum(replay.sizes.values())
        for name, size in replay.sizes.items():
            rate, arrivals = scale * size, Random(f"{name} {replay.seed}")
            time = 0.0
            while time < replay.seconds:
                hot = name == replay.hot and time >= replay.hot_from
                time += arrivals.expovariate(rate * replay.factor if hot else rate)
                self.at(time, lambda name=name: self.arrive(name))
        for step in range(int(replay.seconds / PRICE_PERIOD)):
            self.at(step * PRICE_PERIOD, self.update_price)
        while self.events:
            self.now, _, action = heappop(self.events)
            action()
        return Answered(self.sent, self.in_time)

    def update_price(self) -> None:
        present = self.queue.in_flight + self.queue.waiting
        self.price.update(present, self.queue.limit, self.now)

    def arrive(self, name: str) -> None:
        replay, counted = self.replay, self.now >= self.replay.warm_up
        self.sent[name] += counted
        node = self.rng.choice(self.nodes)
        workspace = Workspace(name) if replay.fair_admission else None
        if not node.admit(ROUTE, WORTH, self.now, workspace):
            return
        ticket = Ticket(
            WORTH,
            False,
            lambda: self.at(self.now + SERVICE_TIME, lambda: self.end(ticket, node, counted, name)),
            self.now + TIMEOUT,
            True,
            name if replay.fair_queue else "",
        )
        if not self.queue.submit(ticket):
            expected = self.queue.count_ahead(ticket) * SERVICE_TIME / self.queue.limit
            wait = MAX_WAIT if expected <= MAX_WAIT else 0.0
            self.at(self.now + wait, lambda: self.give_up(ticket, node))

    def give_up(self, ticket: Ticket, node: RootAdmission) -> None:
        if self.queue.withdraw(ticket):
            self.report(node)

    def end(self, ticket: Ticket, node: RootAdmission, counted: bool, name: str) -> None:
        self.in_time[name] += counted
        self.queue.release(ticket)
        self.report(node)

    def report(self, node: RootAdmission) -> None:
        node.prices.update(SERVICE, {SERVICE: self.price.price}, self.now)


def play(replay: Replay) -> Answered:
    """Play a load and return what was answered in time."""
    return _Player(replay).play()


def usual_time(times: list[float]) -> float:
    """Return the median time of a decision, in the batch least disturbed by other processes."""
    size = len(times) // TIMED_BATCHES
    batches = (times[start : start + size] for start in range(0, size * TIMED_BATCHES, size))
    return min(sorted(batch)[size // 2] for batch in batches)

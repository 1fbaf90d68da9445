"""The faults of one run, drawn from a seed: what happens when, to whom, and for how long."""

from enum import Enum
from random import Random
from typing import NamedTuple


class Kind(Enum):
    """Kinds of fault."""

    NODE_KILL = "node killed, started again after the time"
    NODE_STOP = "node told to stop, started again when it has ended"
    NODE_FREEZE = "node paused for the time"
    NODE_HANGUP = "node told that its settings file changed"
    LINK_DELAY = "what peers send to a node comes late"
    LINK_RESET = "connections of peers to a node are reset"
    LINK_ONE_WAY = "nothing comes back from a node to its peers"
    LINK_SILENT = "nothing passes between peers and a node"
    DATAGRAM_LOSS = "two in five datagrams to a node are lost"
    APP_RESET = "connections between a node and its worker are reset"
    APP_DELAY = "what passes between a node and its worker comes late"
    WORKER_CRASH = "worker ends, starts again under its id after the time"
    WORKER_REPLACE = "worker drains, leaves and starts again"
    WORKER_SLOW = "worker takes eight times as long"
    WORKER_LOSES = "worker loses two answers in five"
    STORE_BUSY = "the store answers 503"
    STORE_SILENT = "the store does not answer"
    STORE_LOSES = "answers to writes of the store are lost"
    STORE_COMPACT = "the store drops its history"
    CHANGE = "the operators move a route"
    SURGE = "callers send four times as much"


OF_STORE = frozenset({Kind.STORE_BUSY, Kind.STORE_SILENT, Kind.STORE_LOSES, Kind.STORE_COMPACT})
ON_NODE = frozenset(
    {
        Kind.NODE_KILL,
        Kind.NODE_STOP,
        Kind.NODE_FREEZE,
        Kind.LINK_DELAY,
        Kind.LINK_RESET,
        Kind.LINK_ONE_WAY,
        Kind.LINK_SILENT,
        Kind.DATAGRAM_LOSS,
    }
)
SHORTEST, LONGEST = 0.5, 4.0  # seconds of one fault
FAULTS_PER_SECOND = 0.5


class Fault(NamedTuple):
    """One fault; `at` in seconds from the start of the load."""

    at: float
    kind: Kind
    node: str
    seconds: float

    @property
    def end(self) -> float:
        """Return when it is over."""
        return self.at + self.seconds


def draw_plan(rng: Random, nodes: list[str], seconds: float) -> list[Fault]:
    """Return faults for a run, in order; several may overlap."""
    faults = [
        Fault(
            round(rng.uniform(1.0, seconds), 2),
            rng.choice(list(Kind)),
            rng.choice(nodes),
            round(rng.uniform(SHORTEST, LONGEST), 2),
        )
        for _ in range(max(2, int(seconds * FAULTS_PER_SECOND)))
    ]
    return sorted(faults, key=lambda fault: fault.at)

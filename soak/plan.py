"""The fault plan of one run, drawn from a seed: kind, start, target node and duration of faults."""

from enum import Enum
from random import Random
from typing import NamedTuple

from thorntray.internal.store.seeds import role_rank


class FaultKind(Enum):
    """Kinds of faults; the values describe them."""

    NODE_KILL = "node process is killed, and restarted after the duration"
    NODE_STOP = "node process gets SIGTERM, and is restarted after its exit and the duration"
    NODE_FREEZE = "node process is suspended for the duration"
    NODE_HANGUP = "node process gets SIGHUP to reload its settings file"
    LINK_DELAY = "connections and datagrams from peers to a node are delayed"
    LINK_RESET = "connections from peers to a node are reset"
    LINK_ONE_WAY = "data from a node is dropped on connections that peers opened"
    LINK_SILENT = "connections from peers to a node stay open but pass no data"
    DATAGRAM_LOSS = "40 % of the datagrams to a node are lost"
    APP_RESET = "connections between a node and its worker are reset"
    APP_DELAY = "traffic between a node and its worker is delayed"
    WORKER_CRASH = "worker crashes, and restarts under the same id after the duration"
    WORKER_REPLACE = "worker drains, deregisters and restarts"
    WORKER_SLOW = "worker takes eight times as long for each request"
    WORKER_LOSES = "worker drops 40 % of its responses"
    WORKER_LIMITS = "worker names a rate limit in its answers"
    WORKER_LEAVES = "worker names its leaving in its answers only, deregisters and restarts"
    WORKER_ENDLESS = "10 % of the worker's responses have a body without end"
    WORKER_DIES = "a caller sends a request that crashes each worker, again and again"
    STORE_BUSY = "store responds 503"
    STORE_SILENT = "store does not respond"
    STORE_LOSES = "store applies a write but its response is lost"
    STORE_COMPACT = "store compacts its history"
    STORE_RESTORE = "store responds 503, then returns to a copy of its data some seconds old"
    CHANGE = "route `moving` is moved to another service"
    KEY_WITHDRAWN = "an API key is withdrawn and replaced, while callers go on using it"
    SURGE = "callers send at four times the rate"
    SIZES = "callers send bodies and read answers of very different sizes, some of them slowly"
    BODY_BURST = "a hundred callers or more send a large body each to a slow service at one node"
    IDLE_CONNECTIONS = "callers keep as many idle connections to a node as it may have sockets"
    NODE_EARLY_HANGUP = "node process is killed, restarted, and gets SIGHUP while it starts"
    NODE_FROZEN_STOP = "node process is suspended for the duration, and gets SIGTERM as it ends"
    PORT_HELD = "a port of a node is taken while its process stops and starts"
    STREAMS_CLOSED = "node process stops, runs without standard output or error, and stops again"
    SETTINGS_BROKEN = "settings file is incomplete or gone for a moment, at a start and later"
    SIGNAL_SERIES = "node process gets a series of signals from its start on"
    STOP_UNDER_NEW_CONNECTIONS = "new connections are opened at a high rate at a node that stops"
    STORE_CONNECTIONS_SILENT = "open connections to the store are not answered any more"


STORE_FAULTS = frozenset(
    {
        FaultKind.STORE_BUSY,
        FaultKind.STORE_SILENT,
        FaultKind.STORE_LOSES,
        FaultKind.STORE_COMPACT,
        FaultKind.STORE_RESTORE,
        FaultKind.STORE_CONNECTIONS_SILENT,
    }
)
# Each begins with a planned stop; what else happens is no excuse for a lost request.
START_KINDS = (
    FaultKind.PORT_HELD,
    FaultKind.STREAMS_CLOSED,
    FaultKind.SETTINGS_BROKEN,
    FaultKind.SIGNAL_SERIES,
    FaultKind.STOP_UNDER_NEW_CONNECTIONS,
)
NODE_FAULTS = frozenset(
    {
        *START_KINDS,
        FaultKind.NODE_KILL,
        FaultKind.NODE_STOP,
        FaultKind.NODE_FREEZE,
        FaultKind.NODE_EARLY_HANGUP,
        FaultKind.NODE_FROZEN_STOP,
        FaultKind.LINK_DELAY,
        FaultKind.LINK_RESET,
        FaultKind.LINK_ONE_WAY,
        FaultKind.LINK_SILENT,
        FaultKind.DATAGRAM_LOSS,
    }
)
UNPLANNED_FAULTS = (NODE_FAULTS - {FaultKind.NODE_STOP, *START_KINDS}) | {
    FaultKind.APP_RESET,
    FaultKind.APP_DELAY,
    FaultKind.WORKER_CRASH,
    FaultKind.WORKER_SLOW,
    FaultKind.WORKER_LOSES,
    FaultKind.WORKER_ENDLESS,
}
HEAVY_KINDS = (
    FaultKind.SIZES,
    FaultKind.BODY_BURST,
    FaultKind.IDLE_CONNECTIONS,
    FaultKind.NODE_EARLY_HANGUP,
    FaultKind.NODE_FROZEN_STOP,
)
DRAWN_APART = {
    FaultKind.WORKER_DIES,
    FaultKind.STORE_CONNECTIONS_SILENT,
    *HEAVY_KINDS,
    *START_KINDS,
}
DRAWN_KINDS = [kind for kind in FaultKind if kind not in DRAWN_APART]
DEADLY_SHARE = 0.4  # of the plans that have one fault `WORKER_DIES`
DEADLY_DURATION = 9.0  # seconds; longer than three crashes and the time to learn of them
STRIKE_SHARE = 0.5  # of the plans that kill a node with a role around a silence of the store
# As the nodes rank their members: first watcher of the policy, holder of a seed entry, coordinator
# of the quota of the workspace `LIMITED`.
ROLES = ("policy", "seed", "quota\0limited")
MIN_SILENCE, MAX_SILENCE = 0.2, 4.5  # seconds
HEAVY_SHARE = 0.5  # of the plans that have faults of `HEAVY_KINDS` and a stop of two nodes at once
MIN_HEAVY_FAULTS, MAX_HEAVY_FAULTS = 2, 4
PAIR_SHARE = 0.6  # of the plans with heavy faults that stop two nodes in the same moment
MIN_HEAVY_TIME, MAX_HEAVY_TIME = 3.0, 7.0  # seconds, of the kinds that are load
MIN_FREEZE, MAX_FREEZE = 0.1, 1.0  # seconds before the SIGTERM of `NODE_FROZEN_STOP`
ENVIRONMENT_SHARE = 0.5  # of the plans that have faults of `START_KINDS` and those below
MIN_START_FAULTS, MAX_START_FAULTS = 2, 3
START_DURATION = 10.0  # seconds; a fault of `START_KINDS` takes no longer, its stops included
ALL_KILLED_SHARE = 0.3  # of these plans that kill all nodes, and start all at once
UNANSWERED_SHARE = 0.5  # of these plans that make connections to the store silent
SECOND_SILENCE_SHARE, SECOND_SILENCE_DELAY = 0.5, 2.0  # of these again, after seconds
MIN_LATER_CHANGE, MAX_LATER_CHANGE = 3.2, 5.0  # seconds from such a silence to a change
MAX_STRIKE_DELAY = 0.5  # seconds from the end of the silence
MAX_CHANGE_DELAY = 4.0  # seconds from the kill
MIN_DURATION, MAX_DURATION = 0.5, 4.0  # seconds
FAULTS_PER_SECOND = 0.5  # average, at least two faults in a run
STOP_SERIES_SHARE = 0.6  # of the plans
MIN_STOP_GAP, MAX_STOP_GAP = 0.8, 2.0  # seconds between the stops of a series
MIN_OUTAGE_LEAD, MAX_OUTAGE_LEAD = 0.0, 2.0  # seconds from an outage of the store to the series
MIN_OUTAGE_TAIL, MAX_OUTAGE_TAIL = 3.0, 7.0  # seconds that the outage lasts after the last SIGTERM


class Fault(NamedTuple):
    """One fault; `start` in seconds after the start of the load, `duration` in seconds."""

    start: float
    kind: FaultKind
    node: str
    duration: float

    @property
    def end(self) -> float:
        """Return the end of the fault, in seconds after the start of the load."""
        return self.start + self.duration


def draw_plan(rng: Random, nodes: list[str], duration: float) -> list[Fault]:
    """Return the faults of a run by start time; they may overlap.

    `duration` is the number of seconds in which faults start.
    """
    faults = [
        Fault(
            round(rng.uniform(1.0, duration), 2),
            rng.choice(DRAWN_KINDS),
            rng.choice(nodes),
            round(rng.uniform(MIN_DURATION, MAX_DURATION), 2),
        )
        for _ in range(max(2, int(duration * FAULTS_PER_SECOND)))
    ]
    if rng.random() < STOP_SERIES_SHARE:
        faults += draw_stop_series(rng, nodes, duration)
    # Drawn apart, so that the other faults of a seed stay the same.
    deadly_rng = Random(repr(faults))
    if deadly_rng.random() < DEADLY_SHARE:
        start = round(deadly_rng.uniform(1.0, duration), 2)
        node = deadly_rng.choice(nodes)
        faults.append(Fault(start, FaultKind.WORKER_DIES, node, DEADLY_DURATION))
    strike_rng = Random(f"strike {faults!r}")
    if strike_rng.random() < STRIKE_SHARE:
        faults += draw_strike(strike_rng, nodes, duration)
    heavy_rng = Random(f"heavy {faults!r}")
    # The label of a generator is part of its seed: another one would change the plan of each seed.
    environment_rng = Random(f"surroundings {faults!r}")
    if heavy_rng.random() < HEAVY_SHARE:
        faults += draw_heavy(heavy_rng, nodes, duration)
    if environment_rng.random() < ENVIRONMENT_SHARE:
        faults += draw_environment(environment_rng, nodes, duration)
    return sorted(faults, key=lambda fault: fault.start)


def draw_strike(rng: Random, nodes: list[str], duration: float) -> list[Fault]:
    """Return a silence of the store and the kill of a node with a role, meanwhile or just after.

    The node is the first one in the order of the role, as long as all are alive. A route is changed
    soon, as other nodes have to take the role over by then.
    """
    role = rng.choice(ROLES)
    holder = max(nodes, key=lambda name: role_rank(role, name))
    start = round(rng.uniform(0.5, duration), 2)
    silence = round(rng.uniform(MIN_SILENCE, MAX_SILENCE), 2)
    killed_at = start + silence * rng.uniform(0.2, 1.0) + rng.choice([0.0, MAX_STRIKE_DELAY])
    changed_at = killed_at + rng.uniform(0.0, MAX_CHANGE_DELAY)
    restart_delay = round(rng.uniform(MIN_DURATION, MAX_DURATION), 2)
    return [
        Fault(start, FaultKind.STORE_SILENT, holder, silence),
        Fault(round(killed_at, 2), FaultKind.NODE_KILL, holder, restart_delay),
        Fault(round(changed_at, 2), FaultKind.CHANGE, holder, 0.0),
    ]


def draw_heavy(rng: Random, nodes: list[str], duration: float) -> list[Fault]:
    """Return load and signals that bring nodes to the limits of their process.

    Two nodes that stop in the same moment may be the origin and the owner of one request.
    """
    faults: list[Fault] = []
    for _ in range(rng.randint(MIN_HEAVY_FAULTS, MAX_HEAVY_FAULTS)):
        kind = rng.choice(HEAVY_KINDS)
        lengths = (MIN_HEAVY_TIME, MAX_HEAVY_TIME)
        if kind in (FaultKind.NODE_FROZEN_STOP, FaultKind.NODE_EARLY_HANGUP):
            lengths = (MIN_FREEZE, MAX_FREEZE)
        start, length = rng.uniform(0.5, duration), rng.uniform(*lengths)
        faults.append(Fault(round(start, 2), kind, rng.choice(nodes), round(length, 2)))
    if rng.random() < PAIR_SHARE:
        at = round(rng.uniform(1.0, duration), 2)
        for node in rng.sample(nodes, 2):
            restart_delay = round(rng.uniform(MIN_DURATION, MAX_DURATION), 2)
            faults.append(Fault(at, FaultKind.NODE_STOP, node, restart_delay))
    return faults


def draw_environment(rng: Random, nodes: list[str], duration: float) -> list[Fault]:
    """Return faults of what a process finds at its start, and of its connections to the store."""
    faults = [
        Fault(
            round(rng.uniform(0.5, duration), 2),
            rng.choice(START_KINDS),
            rng.choice(nodes),
            START_DURATION,
        )
        for _ in range(rng.randint(MIN_START_FAULTS, MAX_START_FAULTS))
    ]
    if rng.random() < ALL_KILLED_SHARE:
        at, restart_delay = rng.uniform(0.5, duration), rng.uniform(MIN_DURATION, MAX_DURATION)
        faults += [
            Fault(round(at, 2), FaultKind.NODE_KILL, node, round(restart_delay, 2))
            for node in nodes
        ]
    if rng.random() < UNANSWERED_SHARE:
        silences = [rng.uniform(0.5, duration)]
        if rng.random() < SECOND_SILENCE_SHARE:
            silences.append(silences[0] + SECOND_SILENCE_DELAY)
        changed_at = silences[-1] + rng.uniform(MIN_LATER_CHANGE, MAX_LATER_CHANGE)
        kind = FaultKind.STORE_CONNECTIONS_SILENT
        faults += [Fault(round(at, 2), kind, nodes[0], 0.0) for at in silences]
        faults.append(Fault(round(changed_at, 2), FaultKind.CHANGE, nodes[0], 0.0))
    return faults


def draw_stop_series(rng: Random, nodes: list[str], duration: float) -> list[Fault]:
    """Return stops of two nodes to half of them, shortly one after the other, in a store outage.

    The stops overlap, since each takes longer than `MAX_STOP_GAP`.
    """
    stopped = rng.sample(nodes, rng.randint(2, max(2, len(nodes) // 2)))
    start = rng.uniform(1.0, max(1.0, duration - MAX_STOP_GAP * (len(stopped) - 1)))
    stops: list[Fault] = []
    for node in stopped:
        restart_delay = round(rng.uniform(MIN_DURATION, MAX_DURATION), 2)
        stops.append(Fault(round(start, 2), FaultKind.NODE_STOP, node, restart_delay))
        start += rng.uniform(MIN_STOP_GAP, MAX_STOP_GAP)
    outage_start = max(
        0.0, round(stops[0].start - rng.uniform(MIN_OUTAGE_LEAD, MAX_OUTAGE_LEAD), 2)
    )
    outage_end = stops[-1].start + rng.uniform(MIN_OUTAGE_TAIL, MAX_OUTAGE_TAIL)
    kind = rng.choice([FaultKind.STORE_BUSY, FaultKind.STORE_SILENT])
    return [Fault(outage_start, kind, stopped[0], round(outage_end - outage_start, 2)), *stops]

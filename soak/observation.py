"""What one run has recorded, as the input of the checks."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from soak.clients import Attempt
from soak.plan import NODE_FAULTS, STORE_FAULTS, UNPLANNED_FAULTS, Fault
from soak.process_watch import MemoryKill, OwnEnd
from standins.worker import FleetRecord

STABILIZATION_TIME = 3.0  # seconds without a fault after which a node or the store is stable


class RouteChange(NamedTuple):
    """A change of the service of the route `moving`; confirmed at monotonic seconds."""

    confirmed_at: float
    service: str
    sent_at: float | None = None  # monotonic seconds; None: at its confirmation


class NodeStop(NamedTuple):
    """A planned stop of one boot of a node; SIGTERM was sent at monotonic seconds."""

    node: str
    boot: int
    sigterm_at: float


class Hangup(NamedTuple):
    """A SIGHUP to one boot of a node, sent at monotonic seconds."""

    node: str
    boot: int
    sent_at: float


class Observation(NamedTuple):
    """All observations of a run; `load_started_at` is the monotonic time when the load starts."""

    load_started_at: float
    attempts: list[Attempt]
    record: FleetRecord
    faults: list[Fault]
    changes: list[RouteChange]
    stops: list[NodeStop]
    refusable_keys: frozenset[str] = frozenset()  # API keys whose requests may rightly be refused
    ended_nodes: tuple[str, ...] = ()  # names of the nodes whose process is not running at the end
    running_workers: Mapping[str, str] = {}  # service by name, of the workers running at the end
    hangups: Sequence[Hangup] = ()
    memory_kills: Sequence[MemoryKill] = ()
    own_ends: Sequence[OwnEnd] = ()

    def node_stable(self, node: str, since: float, until: float) -> bool:
        """Return whether no fault hit the node in a span or in `STABILIZATION_TIME` before it."""
        return not any(
            fault.node == node and fault.kind in NODE_FAULTS and self._recent(fault, since, until)
            for fault in self.faults
        )

    def undisturbed(self, node: str, since: float, until: float) -> bool:
        """Return whether no unplanned fault hit the node or its worker, as in `node_stable`."""
        return not any(
            fault.node == node
            and fault.kind in UNPLANNED_FAULTS
            and self._recent(fault, since, until)
            for fault in self.faults
        )

    def store_stable(self, since: float, until: float) -> bool:
        """Return whether no fault hit the store in a span or in `STABILIZATION_TIME` before it."""
        return not any(
            fault.kind in STORE_FAULTS and self._recent(fault, since, until)
            for fault in self.faults
        )

    def stop_during(self, attempt: Attempt) -> NodeStop | None:
        """Return the stop of the node that took a request, if it began before the request ended."""
        for stop in self.stops:
            same_process = (stop.node, stop.boot) == (attempt.node, attempt.boot)
            if same_process and stop.sigterm_at <= attempt.ended_at:
                return stop
        return None

    def _recent(self, fault: Fault, since: float, until: float) -> bool:
        return (
            self.load_started_at + fault.start < until
            and self.load_started_at + fault.end > since - STABILIZATION_TIME
        )

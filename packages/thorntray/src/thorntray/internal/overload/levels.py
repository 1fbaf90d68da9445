"""Admission levels and load that other nodes have reported.

A calling node that knows the level of another node refuses a request below that level before
spending any work on it. Reports expire quickly, and one request in `PROBE_ONE_IN` passes although
it is below the level, so that a stale level cannot lock a class out permanently.
"""

from dataclasses import dataclass
from random import Random

from thorntray.internal.process.clock import Clock

LEVEL_LIFETIME = 1.0  # seconds after which a report expires
PROBE_ONE_IN = 50  # one in this many requests below the level passes


@dataclass(slots=True)
class _Report:
    level: float
    load: float
    received_at: float


class LevelTable:
    """The latest report for each route of each node."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._reports: dict[str, dict[str, _Report]] = {}

    def update(self, node: str, route: str, level: float, load: float) -> None:
        """Store the level and load reported with a response from `node`."""
        routes = self._reports.setdefault(node, {})
        routes[route] = _Report(level, load, self._clock.monotonic())

    def forget(self, node: str) -> None:
        """Drop all reports of a node that has left."""
        self._reports.pop(node, None)

    def level(self, node: str, route: str) -> float:
        """Return the level of a node for a route; 0, which admits everything, if unknown."""
        report = self._fresh(self._reports.get(node, {}).get(route))
        return report.level if report else 0.0

    def load(self, node: str, route: str) -> float:
        """Return the load that a node last reported for a route, as a share of its limit."""
        report = self._fresh(self._reports.get(node, {}).get(route))
        return report.load if report else 0.0

    def highest_level(self, node: str) -> float:
        """Return the highest unexpired level of a node over all its routes."""
        reports = [self._fresh(report) for report in self._reports.get(node, {}).values()]
        return max((report.level for report in reports if report), default=0.0)

    def admits(self, node: str, route: str, shed_key: float) -> bool:
        """Return whether the last known level of a node admits the key."""
        return shed_key >= self.level(node, route)

    def allow_probe(self) -> bool:
        """Return at random whether a request may pass although it is below the level."""
        return self._rng.randrange(PROBE_ONE_IN) == 0

    def _fresh(self, report: _Report | None) -> _Report | None:
        if report is None or self._clock.monotonic() - report.received_at > LEVEL_LIFETIME:
            return None
        return report

"""What this node has learned of other nodes' admission levels and load.

A caller's node that knows a level refuses a request below it before anything is spent on it.
What was learned fades: an entry counts for a short time only, and one request in
`PROBE_ONE_IN` passes although it is below the level, so that a stale level cannot lock a class
out for good.
"""

from dataclasses import dataclass
from random import Random

from thorntray.internal.process.clock import Clock

LEVEL_LIFETIME = 1.0  # seconds for which a reported level counts
PROBE_ONE_IN = 50


@dataclass(slots=True)
class _Report:
    level: float
    load: float
    at: float


class LevelTable:
    """Latest report of each route of each node."""

    def __init__(self, clock: Clock, rng: Random) -> None:
        self._clock = clock
        self._rng = rng
        self._reports: dict[str, dict[str, _Report]] = {}

    def report(self, node: str, route: str, level: float, load: float) -> None:
        """Take what an answer of `node` said."""
        routes = self._reports.setdefault(node, {})
        routes[route] = _Report(level, load, self._clock.monotonic())

    def forget(self, node: str) -> None:
        """Drop all reports of a node that left."""
        self._reports.pop(node, None)

    def level(self, node: str, route: str) -> float:
        """Return the level of a node for a route; 0 admits everything."""
        report = self._fresh(self._reports.get(node, {}).get(route))
        return report.level if report else 0.0

    def load(self, node: str, route: str) -> float:
        """Return the share of used slots that a node last reported."""
        report = self._fresh(self._reports.get(node, {}).get(route))
        return report.load if report else 0.0

    def service_level(self, node: str) -> float:
        """Return the highest level that a node has lately reported for any of its routes."""
        reports = [self._fresh(report) for report in self._reports.get(node, {}).values()]
        return max((report.level for report in reports if report), default=0.0)

    def admits(self, node: str, route: str, shed_key: float) -> bool:
        """Return whether a node is believed to admit the key."""
        return shed_key >= self.level(node, route)

    def probe(self) -> bool:
        """Return whether this request may pass although it is below the level."""
        return self._rng.randrange(PROBE_ONE_IN) == 0

    def _fresh(self, report: _Report | None) -> _Report | None:
        if report is None or self._clock.monotonic() - report.at > LEVEL_LIFETIME:
            return None
        return report

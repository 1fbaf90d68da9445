"""Counters and gauges of a `Node`, sent to statsd periodically.

Counting only adds to a dictionary. All values are sent together once per `FLUSH_PERIOD`, so that
the number of datagrams does not grow with the load. docs/METRICS.md lists all names.
"""

from collections import Counter
from collections.abc import Callable

import statsd

FLUSH_PERIOD = 5.0  # seconds
DATAGRAM_BYTES = 1200

METRICS: dict[str, tuple[str, str]] = {
    "ingress.done": ("counter", "requests that entered here and were done"),
    "ingress.not-run": ("counter", "requests that entered here and ran nowhere"),
    "ingress.failed": ("counter", "requests that entered here, ran and failed"),
    "ingress.unknown": ("counter", "requests that entered here with unknown outcome"),
    "inbound.done": ("counter", "requests completed by the own instance"),
    "inbound.not-run": ("counter", "requests refused before the own instance"),
    "inbound.failed": ("counter", "requests that failed at the own instance"),
    "inbound.unknown": ("counter", "requests at the own instance with unknown outcome"),
    "attempts": ("counter", "attempts sent to instances"),
    "retries": ("counter", "attempts that were retries"),
    "messages.bad": ("counter", "messages and datagrams refused"),
    "control.bytes": ("counter", "bytes of membership datagrams, both directions"),
    "platform.calls": ("counter", "calls to the platform's service"),
    "limit": ("gauge", "requests that may be in flight at the instance"),
    "in-flight": ("gauge", "requests in flight at the instance"),
    "queued": ("gauge", "requests waiting for a slot"),
    "level": ("gauge", "admission level, thousandths of a shed key"),
    "members": ("gauge", "members that have neither died nor left"),
    "grants": ("gauge", "grants held in memory"),
    "settings.revision": ("gauge", "sum of the revisions of all teams"),
}


class Metrics:
    """Counters of the process; `totals` holds the counts since the start, by name."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self._flushed: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.totals[name] += amount

    def set_total(self, name: str, total: int) -> None:
        """Set the value of a counter that is maintained elsewhere."""
        self.totals[name] = total

    def flush(self, client: statsd.StatsClient, gauges: Callable[[], dict[str, float]]) -> None:
        """Send the counter increments since the last flush and the current gauges."""
        with client.pipeline() as pipe:
            for name, total in self.totals.items():
                pipe.incr(name, total - self._flushed[name])
            for name, value in gauges().items():
                pipe.gauge(name, value)
        self._flushed = self.totals.copy()

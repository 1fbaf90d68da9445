"""Counters, histograms and gauges of a node on the lean path, in the text form of Prometheus.

A request counts twice at most, at its origin and at its owner, so children of labelled metrics are
kept at hand: looking them up by their labels costs more than counting. Gauges are read when the
text is asked for. docs/METRICS.md lists all names; a test holds it and this module to each other.
"""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from thorntray.internal.request.result import Result

# Upper bounds in seconds.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
WAIT_BUCKETS = (0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1.0)
LAG_BUCKETS = (0.001, 0.005, 0.02, 0.1, 0.5)

NODE_METRICS: dict[str, tuple[str, str]] = {
    "thorntray_requests": ("counter", "requests ended, by side, route, end and cause"),
    "thorntray_request_seconds": ("histogram", "time of requests, by side and route"),
    "thorntray_queue_wait_seconds": ("histogram", "wait for a slot of the own instance"),
    "thorntray_repeats": ("counter", "wishes to repeat a request, by service and whether paid"),
    "thorntray_store_calls": ("counter", "calls to the platform's store, by method and result"),
    "thorntray_loop_lag_seconds": ("histogram", "delay of timers of the event loop"),
    "thorntray_in_flight": ("gauge", "requests in slots of the own instance"),
    "thorntray_waiting": ("gauge", "requests that wait for a slot of the own instance"),
    "thorntray_limit": ("gauge", "slots of the own instance in use at most"),
    "thorntray_slot_price": ("gauge", "price of a slot-second of the own instance"),
    "thorntray_failing_share": ("gauge", "share of its requests that the own instance fails"),
    "thorntray_repeat_budget": ("gauge", "repeats that this node may still cause, by service"),
    "thorntray_members": ("gauge", "members believed alive"),
    "thorntray_policy_version": ("gauge", "version of the policy in force, 0 for none"),
    "thorntray_gossip_sent_bytes": ("gauge", "bytes of membership datagrams sent since the start"),
    "thorntray_gossip_received_bytes": ("gauge", "bytes of membership datagrams received"),
    "thorntray_instance_connections": ("gauge", "connections opened to the instance"),
    "thorntray_log_lines_dropped": ("gauge", "log lines that wait to be reported as dropped"),
}


class NodeMetrics:
    """All metrics of one node."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = self._counter("thorntray_requests", "side", "route", "end", "cause")
        self._seconds = self._histogram(
            "thorntray_request_seconds", LATENCY_BUCKETS, "side", "route"
        )
        self._queue_wait = self._histogram("thorntray_queue_wait_seconds", WAIT_BUCKETS)
        self._repeats = self._counter("thorntray_repeats", "service", "paid")
        self._store_calls = self._counter("thorntray_store_calls", "method", "result")
        self._loop_lag = self._histogram("thorntray_loop_lag_seconds", LAG_BUCKETS)
        self._labelled: list[tuple[Gauge, Callable[[], dict[str, float]]]] = []
        self._request_children: dict[tuple[str, str, int, int], Counter] = {}
        self._seconds_children: dict[tuple[str, str], Histogram] = {}

    def request_ended(self, side: str, route: str, result: Result, seconds: float) -> None:
        """Count the end of a request at its `side`, origin or owner."""
        key = (side, route, result.kind, result.cause)
        child = self._request_children.get(key)
        if child is None:
            child = self._requests.labels(side, route, result.kind.name, result.cause.name)
            self._request_children[key] = child
        child.inc()
        timed = self._seconds_children.get((side, route))
        if timed is None:
            timed = self._seconds_children[(side, route)] = self._seconds.labels(side, route)
        timed.observe(seconds)

    def waited(self, seconds: float) -> None:
        """Note how long a request has waited for a slot."""
        self._queue_wait.observe(seconds)

    def repeat(self, service: str, paid: bool) -> None:
        """Count the wish to repeat a request, and whether the budget paid for it."""
        self._repeats.labels(service, str(paid).lower()).inc()

    def store_call(self, method: str, result: str) -> None:
        """Count a call to the platform's store; `result` is a status or what went wrong."""
        self._store_calls.labels(method, result).inc()

    def loop_lag(self, seconds: float) -> None:
        """Note how late a timer has fired."""
        self._loop_lag.observe(max(0.0, seconds))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read when it is asked for."""
        Gauge(name, NODE_METRICS[name][1], registry=self._registry).set_function(read)

    def labelled_gauge(self, name: str, label: str, read: Callable[[], dict[str, float]]) -> None:
        """Show one value for each label, read when they are asked for."""
        self._labelled.append(
            (Gauge(name, NODE_METRICS[name][1], [label], registry=self._registry), read)
        )

    def text(self) -> bytes:
        """Return all metrics as text."""
        for gauge, read in self._labelled:
            for label, value in read().items():
                gauge.labels(label).set(value)
        return generate_latest(self._registry)

    def _counter(self, name: str, *labels: str) -> Counter:
        return Counter(name, NODE_METRICS[name][1], labels, registry=self._registry)

    def _histogram(self, name: str, buckets: tuple[float, ...], *labels: str) -> Histogram:
        return Histogram(
            name, NODE_METRICS[name][1], labels, buckets=buckets, registry=self._registry
        )

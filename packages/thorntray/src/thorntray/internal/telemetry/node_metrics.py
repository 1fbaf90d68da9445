"""Counters, histograms and gauges of a `MeshNode`, in the Prometheus text format.

A request is counted at its origin and, if it gets that far, at its owner. The children of labelled
metrics are cached, since looking them up by labels takes longer than counting. Gauges are read when
the metrics are scraped. docs/METRICS.md lists all names; a test checks that it matches this module.
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
    "thorntray_refused_callers": ("counter", "requests refused for their caller, by reason"),
    "thorntray_request_seconds": ("histogram", "time of requests, by side and route"),
    "thorntray_queue_wait_seconds": ("histogram", "wait for a slot of the own instance"),
    "thorntray_repeats": (
        "counter",
        "retries requested, by service and whether the budget covered them",
    ),
    "thorntray_unanswered": (
        "counter",
        "requests whose connection ended before the answer, by who ended it",
    ),
    "thorntray_store_calls": ("counter", "calls to the platform's store, by method and result"),
    "thorntray_instance_crashes": (
        "counter",
        "crashes of the own instance while it ran requests",
    ),
    "thorntray_instance_mismatches": (
        "counter",
        "requests that the own instance rejected as sent to another instance",
    ),
    "thorntray_loop_lag_seconds": ("histogram", "delay of timers of the event loop"),
    "thorntray_in_flight": ("gauge", "requests in slots of the own instance"),
    "thorntray_waiting": ("gauge", "requests waiting for a slot of the own instance"),
    "thorntray_limit": ("gauge", "concurrency limit of the own instance, in slots"),
    "thorntray_rate_limit": (
        "gauge",
        "requests a second that the own instance takes, -1: no limit",
    ),
    "thorntray_instance_sends": (
        "gauge",
        "requests sent to the own instance since the start, by kind",
    ),
    "thorntray_slot_price": ("gauge", "price of a slot-second of the own instance"),
    "thorntray_failing_share": ("gauge", "share of its requests that the own instance fails"),
    "thorntray_quota_refusals": (
        "gauge",
        "requests refused for the quota since the start, by workspace; at most 20 and `other`",
    ),
    "thorntray_quota_asks": ("gauge", "queries for quota tokens sent to other nodes"),
    "thorntray_quota_coordinated": ("gauge", "workspaces whose quota this node counts"),
    "thorntray_repeat_budget": ("gauge", "retries left in the budget of this node, by service"),
    "thorntray_crash_suspects": (
        "gauge",
        "requests known to have run when an instance crashed, and not cleared by a success",
    ),
    "thorntray_isolated_requests": (
        "gauge",
        "requests at the own instance that run apart, since one of them may have crashed another",
    ),
    "thorntray_blocked_fingerprints": ("gauge", "requests refused since instances crash of them"),
    "thorntray_members": ("gauge", "members considered alive"),
    "thorntray_member_restarts": (
        "gauge",
        "restarts of other members seen since the start, by the end of the earlier process",
    ),
    "thorntray_policy_version": ("gauge", "version of the policy in force, 0 for none"),
    "thorntray_policy_behind_seconds": (
        "gauge",
        "time since this node has heard of a policy above the one in force, 0 if it has not",
    ),
    "thorntray_policy_store_age_seconds": (
        "gauge",
        "time since the newest answer of the store to any watcher that is known, -1: none",
    ),
    "thorntray_policy_watch": ("gauge", "1 if this node watches the policy in the store, else 0"),
    "thorntray_policy_evidence_age_seconds": (
        "gauge",
        "age of the proof that the policy in force is the newest one, -1: none or not needed",
    ),
    "thorntray_gossip_sent_bytes": ("gauge", "bytes of membership datagrams sent since the start"),
    "thorntray_gossip_received_bytes": ("gauge", "bytes of membership datagrams received"),
    "thorntray_instance_connections": ("gauge", "connections opened to the instance"),
    "thorntray_memory_refusals": (
        "counter",
        "requests refused, and answers not kept, for lack of memory",
    ),
    "thorntray_held_bytes": ("gauge", "bytes held for requests and answers, by kind"),
    "thorntray_memory_budget_bytes": (
        "gauge",
        "most bytes that may be held for requests and answers, -1: no limit",
    ),
    "thorntray_sockets": ("gauge", "open sockets, by kind"),
    "thorntray_socket_limit": ("gauge", "sockets that the process may open, -1: not known"),
    "thorntray_caller_connection_bound": (
        "gauge",
        "connections that callers may hold, -1 while no limit is known",
    ),
    "thorntray_bounded_connections": (
        "gauge",
        "connections of callers ended for the bound since the start, by what they got",
    ),
    "thorntray_log_lines_dropped": ("gauge", "dropped log lines not yet reported"),
}


class NodeMetrics:
    """The metrics of one node, in a registry of their own."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = self._counter("thorntray_requests", "side", "route", "end", "cause")
        self._durations = self._histogram(
            "thorntray_request_seconds", LATENCY_BUCKETS, "side", "route"
        )
        self._queue_wait = self._histogram("thorntray_queue_wait_seconds", WAIT_BUCKETS)
        self._repeats = self._counter("thorntray_repeats", "service", "paid")
        self._refused_callers = self._counter("thorntray_refused_callers", "reason")
        self._unanswered = self._counter("thorntray_unanswered", "closed_by")
        self._store_calls = self._counter("thorntray_store_calls", "method", "result")
        self._instance_crashes = self._counter("thorntray_instance_crashes")
        self._instance_mismatches = self._counter("thorntray_instance_mismatches")
        self._loop_lag = self._histogram("thorntray_loop_lag_seconds", LAG_BUCKETS)
        self._memory_refusals = self._counter("thorntray_memory_refusals", "side")
        self._labelled_gauges: list[tuple[Gauge, Callable[[], dict[str, float]]]] = []
        self._request_children: dict[tuple[str, str, int, int], Counter] = {}
        self._duration_children: dict[tuple[str, str], Histogram] = {}

    def request_ended(self, side: str, route: str, result: Result, seconds: float) -> None:
        """Record the result and duration of a request; `side` is origin or owner."""
        key = (side, route, result.kind, result.cause)
        child = self._request_children.get(key)
        if child is None:
            child = self._requests.labels(side, route, result.kind.name, result.cause.name)
            self._request_children[key] = child
        child.inc()
        duration = self._duration_children.get((side, route))
        if duration is None:
            duration = self._duration_children[(side, route)] = self._durations.labels(side, route)
        duration.observe(seconds)

    def observe_queue_wait(self, seconds: float) -> None:
        """Record how long a request waited for a slot."""
        self._queue_wait.observe(seconds)

    def retry_requested(self, service: str, paid: bool) -> None:
        """Count a requested retry; `paid` is whether the retry budget covered it."""
        self._repeats.labels(service, str(paid).lower()).inc()

    def caller_refused(self, reason: str) -> None:
        """Count a request that was refused for its caller; `reason` is a name from a fixed set."""
        self._refused_callers.labels(reason).inc()

    def request_unanswered(self, closed_by: str) -> None:
        """Count a request whose connection ended before its answer."""
        self._unanswered.labels(closed_by).inc()

    def store_call_ended(self, method: str, result: str) -> None:
        """Count a call to the platform's store; `result` is the status or the kind of failure."""
        self._store_calls.labels(method, result).inc()

    def instance_crashed(self) -> None:
        """Count a crash of the own instance."""
        self._instance_crashes.inc()

    def instance_mismatched(self) -> None:
        """Count a request that the own instance rejected as sent to another one."""
        self._instance_mismatches.inc()

    def refused_for_memory(self, side: str) -> None:
        """Count a request or an answer (`side` is origin, owner or answer) without room for it."""
        self._memory_refusals.labels(side).inc()

    def observe_loop_lag(self, seconds: float) -> None:
        """Record how late a timer of the event loop fired."""
        self._loop_lag.observe(max(0.0, seconds))

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read on each scrape."""
        Gauge(name, NODE_METRICS[name][1], registry=self._registry).set_function(read)

    def add_labelled_gauge(
        self, name: str, label: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Register a gauge with one value per label value, read on each scrape.

        Label values that `read` no longer returns are no longer shown.
        """
        self._labelled_gauges.append(
            (Gauge(name, NODE_METRICS[name][1], [label], registry=self._registry), read)
        )

    def exposition(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        for gauge, read in self._labelled_gauges:
            gauge.clear()
            for label, value in read().items():
                gauge.labels(label).set(value)
        return generate_latest(self._registry)

    def _counter(self, name: str, *labels: str) -> Counter:
        return Counter(name, NODE_METRICS[name][1], labels, registry=self._registry)

    def _histogram(self, name: str, buckets: tuple[float, ...], *labels: str) -> Histogram:
        return Histogram(
            name, NODE_METRICS[name][1], labels, buckets=buckets, registry=self._registry
        )

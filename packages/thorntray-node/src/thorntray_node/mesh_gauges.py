"""Gauges for the state of a `MeshNode`, evaluated when the metrics are scraped."""

from collections.abc import Callable
from math import inf, isfinite
from typing import Protocol

from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.membership.membership import Membership
from thorntray.internal.overload.crash_isolation import CrashIsolation
from thorntray.internal.overload.crash_suspects import CrashSuspects
from thorntray.internal.overload.rate_limit import RateLimit
from thorntray.internal.overload.retry_budget import RetryBudget
from thorntray.internal.overload.slot_queue import SlotQueue
from thorntray.internal.process.memory_budget import MemoryBudget
from thorntray.internal.request.owner import Owner
from thorntray.internal.request.quotas import Quotas
from thorntray.internal.store.policy_watch import PolicyWatch
from thorntray.internal.telemetry.node_metrics import NodeMetrics
from thorntray.internal.version.freshness import Freshness
from thorntray.internal.version.policy import PolicyHolder
from thorntray_node.connection_limits import ConnectionLimits


class GaugeSources(Protocol):
    """The components of a node whose state the gauges show."""

    metrics: NodeMetrics
    queue: SlotQueue
    rate_limit: RateLimit
    owner: Owner
    suspects: CrashSuspects
    isolation: CrashIsolation
    membership: Membership
    holder: PolicyHolder
    policy_watch: PolicyWatch
    freshness: Freshness
    quotas: Quotas
    pool: InstancePool
    budget: RetryBudget
    memory: MemoryBudget
    connection_limits: ConnectionLimits


def _or_minus_one(value: float | None) -> float:
    return -1.0 if value is None else value


def _evidence_age(node: GaugeSources) -> float:
    age = node.freshness.age(node.holder.version)
    return age if node.freshness.is_needed(node.holder.policy) and isfinite(age) else -1.0


def _store_age(watch: PolicyWatch) -> float:
    age = inf if watch.check is None else watch.check.contact.age
    return age if isfinite(age) else -1.0


def register_gauges(node: GaugeSources) -> None:
    """Register the gauges of a node; call once, after all its components are created."""
    gauges: dict[str, Callable[[], float]] = {
        "thorntray_in_flight": lambda: node.queue.in_flight,
        "thorntray_waiting": lambda: node.queue.waiting,
        "thorntray_limit": lambda: node.queue.limit,
        "thorntray_rate_limit": lambda: _or_minus_one(node.rate_limit.rate),
        "thorntray_slot_price": lambda: node.owner.deps.price.price,
        "thorntray_failing_share": lambda: node.owner.failure_rate,
        "thorntray_crash_suspects": lambda: node.suspects.suspect_count,
        "thorntray_isolated_requests": lambda: node.isolation.running,
        "thorntray_blocked_fingerprints": lambda: len(node.suspects.blocked),
        "thorntray_members": lambda: len(node.membership.alive()),
        "thorntray_policy_version": lambda: node.holder.version,
        "thorntray_policy_behind_seconds": lambda: node.policy_watch.behind,
        "thorntray_policy_store_age_seconds": lambda: _store_age(node.policy_watch),
        "thorntray_policy_watch": lambda: float(node.policy_watch.duty.on_duty()),
        "thorntray_policy_evidence_age_seconds": lambda: _evidence_age(node),
        "thorntray_gossip_sent_bytes": lambda: node.membership.bytes_sent,
        "thorntray_gossip_received_bytes": lambda: node.membership.bytes_received,
        "thorntray_quota_asks": lambda: node.quotas.asks_sent,
        "thorntray_quota_coordinated": lambda: node.quotas.coordinated,
        "thorntray_socket_limit": lambda: _or_minus_one(node.connection_limits.budget.limit),
        "thorntray_caller_connection_bound": lambda: _or_minus_one(
            node.connection_limits.caller_bound
        ),
        "thorntray_instance_connections": lambda: node.pool.connections_opened,
        "thorntray_memory_budget_bytes": lambda: _or_minus_one(node.memory.limit),
    }
    for name, read_gauge in gauges.items():
        node.metrics.add_gauge(name, read_gauge)
    node.metrics.add_labelled_gauge(
        "thorntray_instance_sends", "kind", lambda: dict(node.owner.sends)
    )
    restarts = node.membership.restarts
    node.metrics.add_labelled_gauge("thorntray_member_restarts", "former", lambda: restarts.counts)
    node.metrics.add_labelled_gauge("thorntray_held_bytes", "kind", node.memory.held_by_kind)
    node.metrics.add_labelled_gauge("thorntray_quota_refusals", "workspace", node.quotas.refusals)
    node.metrics.add_labelled_gauge("thorntray_repeat_budget", "service", node.budget.remaining)
    limits = node.connection_limits
    node.metrics.add_labelled_gauge("thorntray_sockets", "kind", limits.sockets_by_kind)
    node.metrics.add_labelled_gauge(
        "thorntray_bounded_connections", "end", limits.bounded_connections
    )

"""The state dump: one JSON object with the state of a node, for operators."""

import asyncio
import resource
from typing import Any, TypedDict

from thorntray.internal.membership.member import Health
from thorntray_node.node import Node

DUMP_VERSION = 1


class StateDump(TypedDict):
    """Top level of the dump; `version` changes when the meaning of a field changes."""

    version: int
    node: dict[str, Any]
    instance: dict[str, Any]
    settings: dict[str, Any]
    members: list[dict[str, Any]]
    limits: dict[str, Any]
    grants: dict[str, Any]
    attempts: dict[str, Any]
    counters: dict[str, int]
    control: dict[str, Any]
    tasks: list[str]


def state_dump(node: Node) -> StateDump:
    """Return the state of a node; updates the totals of its counters first."""
    node._collect_totals()
    return StateDump(
        version=DUMP_VERSION,
        node=_node(node),
        instance={"state": node.instance.state.value, "hints": node.instance.hints},
        settings={"revisions": node.holder.revisions(), "refused": node.holder.refused_documents},
        members=_members(node),
        limits=_limits(node),
        grants={"remembered": len(node.traffic.grants), "running": node.traffic.grants.running},
        attempts={
            "remembered": len(node.traffic.attempts),
            "executing": len(node.traffic.executions),
            "active": node.traffic.inbound.active,
        },
        counters=dict(node.metrics.totals),
        control=_control(node),
        tasks=sorted(task.get_coro().__qualname__ for task in asyncio.all_tasks()),
    )


def _node(node: Node) -> dict[str, Any]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "name": node.cfg.name,
        "session": node.session.hex(),
        "service": node.cfg.service,
        "domain": node.cfg.domain,
        "region": node.cfg.region,
        "started_at": node.started_at,
        "draining": node.draining,
        "cpu_seconds": usage.ru_utime + usage.ru_stime,
        "max_rss_kb": usage.ru_maxrss,
    }


def _members(node: Node) -> list[dict[str, Any]]:
    return [
        {
            "name": m.name,
            "service": m.service,
            "domain": m.domain,
            "health": Health(m.health).name.lower(),
            "ready": m.ready,
            "version": m.version,
            "level": round(node.traffic.levels.highest_level(m.name), 3),
        }
        for m in sorted(node.membership.view.all(), key=lambda m: m.name)
    ]


def _limits(node: Node) -> dict[str, Any]:
    admission = node.traffic.admission
    return {
        "limit": admission.limiter.limit,
        "in_flight": admission.in_flight,
        "queued": admission.queued,
        "queue_bound": admission.queue_bound,
        "level": round(admission.level(), 3),
        "own_latency": admission.limiter.baseline,
        "waiting_on": node.traffic.dependencies.snapshot(),
    }


def _control(node: Node) -> dict[str, Any]:
    return {
        "bytes_sent": node.membership.bytes_sent,
        "bytes_received": node.membership.bytes_received,
        "platform_calls": node.platform.calls,
        "roles": node.roles.state,
        "peer_connections": len(node.links),
    }

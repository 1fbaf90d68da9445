"""Runs a node with one mechanism disabled, or a baseline node, for `bench.overload`.

Run: `python -m bench.variant_node VARIANT --config=node.ini`. Each variant patches functions or
constants of the node before it starts, so that the product needs no settings for this.
"""

import random
import sys
from collections.abc import Callable

from thorntray.internal.overload import admission, levels
from thorntray.internal.overload.dependencies import DependencyWaits
from thorntray.internal.overload.limiter import Limiter
from thorntray.internal.overload.service_times import ServiceTimes
from thorntray.internal.request import order, outbound
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.outcome import Done, NotRun, Outcome, Reason
from thorntray_node.main import run

PER_HOP_ATTEMPTS = 4  # one attempt and three retries
NO_LIMIT = 1_000_000


def _no_levels() -> None:
    admission.AdmissionLevel.record_refusal = lambda self, key: None


def _per_hop_retries() -> None:
    async def send(
        self: outbound.Outbound,
        req: outbound.OutgoingRequest,
        escrow: Escrow,
        tried: set[str] | None = None,
    ) -> Outcome:
        outcome: Outcome = NotRun(Reason.NO_INSTANCE, 0.1)
        for _ in range(PER_HOP_ATTEMPTS):
            members = self._parts.directory.members_of(req.route.service)
            member = self._parts.router.pick(
                [m for m in members if m.routable], req.route.name, 9.9
            )
            if member is None or req.deadline.passed(self._parts.clock):
                return outcome
            if not isinstance(outcome, NotRun) or outcome.reason is not Reason.NO_INSTANCE:
                self.retries_sent += 1
            outcome = (await self._try_member(member, req, Escrow(0))).outcome
            if isinstance(outcome, Done):
                return outcome
        return outcome

    outbound.Outbound.send = send


def _pass_through() -> None:
    _no_levels()
    _per_hop_retries()
    Limiter.limit = property(lambda self: NO_LIMIT)
    DependencyWaits.share_used_up = lambda self, service, share, limit: False


def _replace_shed_key(shed_key: Callable[[int, bytes, int], float]) -> None:
    original = order.shed_key
    for module in list(sys.modules.values()):
        if getattr(module, "shed_key", None) is original:
            module.shed_key = shed_key


def _fixed_fifo() -> None:
    _no_levels()
    DependencyWaits.share_used_up = lambda self, service, share, limit: False
    Limiter.limit = property(lambda self: self._slots)
    _replace_shed_key(lambda priority, root_id, depth: 0.0)


def _no_root_rank() -> None:
    order.root_rank = lambda root_id: random.random()


def _no_nested_call_step() -> None:
    order.NESTED_CALL_STEP = 0.0


def _no_priority_classes() -> None:
    _replace_shed_key(lambda priority, root_id, depth: order.root_rank(root_id))


def _no_dependency_levels() -> None:
    outbound.Outbound.lowest_admission_level = lambda self, service: 0.0


def _no_dependency_share() -> None:
    DependencyWaits.share_used_up = lambda self, service, share, limit: False


def _no_limiter() -> None:
    Limiter.limit = property(lambda self: self._slots)


def _no_deadline_check() -> None:
    ServiceTimes.expected = lambda self, route: 0.0


def _no_retries() -> None:
    outbound.take_retry = lambda *args: False


def _no_probe() -> None:
    levels.LevelTable.allow_probe = lambda self: False


VARIANTS: dict[str, Callable[[], None]] = {
    "thorntray": lambda: None,
    "pass-through": _pass_through,
    "fixed-fifo": _fixed_fifo,
    "no-levels": _no_levels,
    "no-needs": _no_dependency_levels,
    "no-rank": _no_root_rank,
    "no-step": _no_nested_call_step,
    "no-classes": _no_priority_classes,
    "no-dep-share": _no_dependency_share,
    "no-limiter": _no_limiter,
    "no-hopeless": _no_deadline_check,
    "no-retries": _no_retries,
    "no-probe": _no_probe,
}

if __name__ == "__main__":
    VARIANTS[sys.argv.pop(1)]()
    run()

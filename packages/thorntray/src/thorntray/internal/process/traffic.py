"""Wires the request-handling components of one node together.

A request enters at the ingress, the outbound component sends it to the node of a chosen instance,
and the inbound component of that node runs it. The node and the tests use the same wiring; tests
pass in-memory peers and instances.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from thorntray.internal.connection.message import (
    Call,
    GrantRequest,
    Message,
    Refusal,
    Revoke,
)
from thorntray.internal.connection.reply import reply_from_attempt
from thorntray.internal.overload.admission import Admission
from thorntray.internal.overload.dependencies import DependencyWaits
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.levels import LevelTable
from thorntray.internal.overload.limiter import Limiter
from thorntray.internal.overload.routing import Router
from thorntray.internal.overload.service_times import ServiceTimes
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.attempts import AttemptTable
from thorntray.internal.request.execution import ExecutionTable
from thorntray.internal.request.grant import GrantTable
from thorntray.internal.request.inbound import Acceptance, Inbound, InboundParts, Upstream
from thorntray.internal.request.ingress import Ingress, IngressParts
from thorntray.internal.request.outbound import Directory, Outbound, OutboundParts, Peers
from thorntray.internal.request.outcome import AttemptResult, outcome_name
from thorntray.internal.telemetry.metrics import Metrics
from thorntray.internal.version.settings import RouteSettings, ServiceSettings, Settings

INITIAL_SLOTS = 50  # like the other initial values, until the service's settings are known
INITIAL_QUEUE_BOUND = 25  # requests
INITIAL_QUEUE_WAIT = 0.1  # seconds


@dataclass(frozen=True, slots=True)
class NodeContext:
    """Identity of a node, and the interfaces that its request components depend on."""

    name: str
    session: bytes
    service: str
    domain: str
    upstream: Upstream
    acceptance: Acceptance
    peers: Peers
    directory: Directory
    settings: Callable[[], Settings]
    clock: Clock
    rng: Random


class Traffic:
    """Admission, grants, routing and the request components of one node."""

    def __init__(self, context: NodeContext, metrics: Metrics, slots: int = INITIAL_SLOTS) -> None:
        clock, rng = context.clock, context.rng
        self._metrics = metrics
        self.admission = Admission(
            Limiter(slots, clock), INITIAL_QUEUE_BOUND, INITIAL_QUEUE_WAIT, clock
        )
        self.grants = GrantTable(context.name, context.session, clock, rng)
        self.attempts = AttemptTable(clock)
        self.executions = ExecutionTable(rng)
        self.dependencies = DependencyWaits()
        self.service_times = ServiceTimes(clock)
        self.levels = LevelTable(clock, rng)
        self.ejection = Ejection(clock)
        self.outbound = Outbound(self._outbound_parts(context))
        self.inbound = Inbound(self._inbound_parts(context))
        self.ingress = Ingress(self._ingress_parts(context))

    @property
    def idle(self) -> bool:
        """Return whether no inbound or outbound request is in progress."""
        return not (self.inbound.active or self.ingress.active or len(self.executions))

    def apply(self, service: ServiceSettings) -> None:
        """Apply the settings of this node's own service."""
        self.admission.queue_bound = service.queue
        self.admission.max_wait = service.queue_wait
        self.admission.limiter.set_slots(service.slots)
        self.admission.admit_waiting()

    def forget(self, node: str) -> None:
        """Drop the state kept about a node that has died or left."""
        self.levels.forget(node)
        self.ejection.forget(node)

    def needs_level(self, route: RouteSettings) -> float:
        """Return the highest admission level among the services that a route needs, or 0.0."""
        return max(
            (self.outbound.lowest_admission_level(need) for need in route.needs), default=0.0
        )

    async def handle(self, message: Message) -> Message:
        """Process a message of another node and return the reply."""
        match message:
            case Call():
                return reply_from_attempt(message.attempt_id, await self.run_here(message))
            case GrantRequest():
                return self.inbound.grant(message)
            case Revoke():
                return self.inbound.revoke(message)
        return Refusal(f"a {type(message).__name__} is no request")

    async def run_here(self, call: Call) -> AttemptResult:
        """Run a call at this node's own instance."""
        attempt = await self.inbound.run(call)
        self._metrics.count(f"inbound.{outcome_name(attempt.outcome)}")
        return attempt

    def _outbound_parts(self, context: NodeContext) -> OutboundParts:
        return OutboundParts(
            own_name=context.name,
            run_here=self.run_here,
            grant_here=lambda request: self.inbound.grant(request),
            peers=context.peers,
            directory=context.directory,
            router=Router(context.domain, self.levels, self.ejection, context.rng),
            levels=self.levels,
            ejection=self.ejection,
            settings=context.settings,
            clock=context.clock,
            rng=context.rng,
        )

    def _inbound_parts(self, context: NodeContext) -> InboundParts:
        return InboundParts(
            service=context.service,
            session=context.session,
            upstream=context.upstream,
            acceptance=context.acceptance,
            admission=self.admission,
            grants=self.grants,
            attempts=self.attempts,
            executions=self.executions,
            dependencies=self.dependencies,
            service_times=self.service_times,
            settings=context.settings,
            needs_level=self.needs_level,
            retry_elsewhere=self.outbound.retry_elsewhere,
            clock=context.clock,
        )

    def _ingress_parts(self, context: NodeContext) -> IngressParts:
        return IngressParts(
            service=context.service,
            outbound=self.outbound,
            directory=context.directory,
            executions=self.executions,
            dependencies=self.dependencies,
            slot_limit=lambda: self.admission.limiter.limit,
            settings=context.settings,
            clock=context.clock,
            rng=context.rng,
        )

"""The parts of one node that carry requests, put together.

A request enters at the ingress, leaves by the outbound half towards the node of a chosen
instance, and is run there by the inbound half. The same wiring serves the node and the tests,
which give it in-memory peers and instances.
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
from thorntray.internal.connection.reply import reply_from
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

INITIAL_SLOTS = 50  # until the service's settings are known
INITIAL_QUEUE = 25  # requests
INITIAL_QUEUE_WAIT = 0.1  # seconds


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a node's traffic meets: who it is, and the interfaces around it."""

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
    """Admission, grants, routing and both halves of one node."""

    def __init__(self, around: Surroundings, metrics: Metrics, slots: int = INITIAL_SLOTS) -> None:
        clock, rng = around.clock, around.rng
        self._metrics = metrics
        self.admission = Admission(Limiter(slots, clock), INITIAL_QUEUE, INITIAL_QUEUE_WAIT, clock)
        self.grants = GrantTable(around.name, around.session, clock, rng)
        self.attempts = AttemptTable(clock)
        self.executions = ExecutionTable(rng)
        self.dependencies = DependencyWaits()
        self.service_times = ServiceTimes(clock)
        self.levels = LevelTable(clock, rng)
        self.ejection = Ejection(clock)
        self.outbound = Outbound(self._outbound_parts(around))
        self.inbound = Inbound(self._inbound_parts(around))
        self.ingress = Ingress(self._ingress_parts(around))

    @property
    def idle(self) -> bool:
        """Return whether no request is here, in either direction."""
        return not (self.inbound.active or self.ingress.active or len(self.executions))

    def apply(self, service: ServiceSettings) -> None:
        """Take the settings of the own service."""
        self.admission.queue_bound = service.queue
        self.admission.max_wait = service.queue_wait
        self.admission.limiter.set_slots(service.slots)
        self.admission.admit_waiting()

    def forget(self, node: str) -> None:
        """Drop what was learned of a node that has gone."""
        self.levels.forget(node)
        self.ejection.forget(node)

    def needs_level(self, route: RouteSettings) -> float:
        """Return the highest admission level of the services that a route needs."""
        return max(
            (self.outbound.lowest_admission_level(need) for need in route.needs), default=0.0
        )

    async def handle(self, message: Message) -> Message:
        """Answer a message of another node."""
        match message:
            case Call():
                return reply_from(message.attempt_id, await self.run_here(message))
            case GrantRequest():
                return self.inbound.grant(message)
            case Revoke():
                return self.inbound.revoke(message)
        return Refusal(f"a {type(message).__name__} is no request")

    async def run_here(self, call: Call) -> AttemptResult:
        """Run a call at the own instance."""
        attempt = await self.inbound.run(call)
        self._metrics.count(f"inbound.{outcome_name(attempt.outcome)}")
        return attempt

    def _outbound_parts(self, around: Surroundings) -> OutboundParts:
        return OutboundParts(
            own_name=around.name,
            run_here=self.run_here,
            grant_here=lambda ask: self.inbound.grant(ask),
            peers=around.peers,
            directory=around.directory,
            router=Router(around.domain, self.levels, self.ejection, around.rng),
            levels=self.levels,
            ejection=self.ejection,
            settings=around.settings,
            clock=around.clock,
            rng=around.rng,
        )

    def _inbound_parts(self, around: Surroundings) -> InboundParts:
        return InboundParts(
            service=around.service,
            session=around.session,
            upstream=around.upstream,
            acceptance=around.acceptance,
            admission=self.admission,
            grants=self.grants,
            attempts=self.attempts,
            executions=self.executions,
            dependencies=self.dependencies,
            service_times=self.service_times,
            settings=around.settings,
            needs_level=self.needs_level,
            retry_elsewhere=self.outbound.retry_elsewhere,
            clock=around.clock,
        )

    def _ingress_parts(self, around: Surroundings) -> IngressParts:
        return IngressParts(
            service=around.service,
            outbound=self.outbound,
            directory=around.directory,
            executions=self.executions,
            dependencies=self.dependencies,
            slot_limit=lambda: self.admission.limiter.limit,
            settings=around.settings,
            clock=around.clock,
            rng=around.rng,
        )

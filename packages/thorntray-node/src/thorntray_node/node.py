"""One node: all its parts, put together, started and stopped."""

import asyncio
import time
from dataclasses import dataclass
from random import Random, SystemRandom
from typing import Self

import statsd
from thorntray.internal.connection.documents import DocumentClient, DocumentServer
from thorntray.internal.connection.message import (
    Call,
    GrantReply,
    GrantRequest,
    Message,
    Refusal,
    Revoke,
)
from thorntray.internal.connection.peer import PeerLinks, PeerListener
from thorntray.internal.connection.reply import reply_from
from thorntray.internal.connection.upstream import UpstreamConnections
from thorntray.internal.process.admission import Admission
from thorntray.internal.process.clock import Clock, SystemClock
from thorntray.internal.process.dependencies import DependencyWaits
from thorntray.internal.process.ejection import Ejection
from thorntray.internal.process.events import Event, log_event
from thorntray.internal.process.gossip import Address
from thorntray.internal.process.instance import Instance
from thorntray.internal.process.levels import LevelTable
from thorntray.internal.process.limiter import Limiter
from thorntray.internal.process.member import SESSION_BYTES, Member
from thorntray.internal.process.membership import Membership
from thorntray.internal.process.metrics import FLUSH_PERIOD, Metrics
from thorntray.internal.process.platform import PlatformClient
from thorntray.internal.process.roles import Roles
from thorntray.internal.process.routing import Router
from thorntray.internal.process.service_times import ServiceTimes
from thorntray.internal.process.settings_sync import SettingsSync
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.process.udp import UdpTransport
from thorntray.internal.request.attempts import AttemptTable
from thorntray.internal.request.execution import ExecutionTable
from thorntray.internal.request.grant import GrantBook
from thorntray.internal.request.inbound import Inbound, InboundParts
from thorntray.internal.request.ingress import Ingress, IngressParts
from thorntray.internal.request.outbound import Outbound, OutboundParts
from thorntray.internal.request.outcome import Attempt, Done, Failed, NotRun, Unknown
from thorntray.internal.version.holder import SettingsHolder
from thorntray.internal.version.settings import RouteSettings, ServiceSettings

from thorntray_node.config import NodeConfig

DEFAULT_SLOTS = 50  # until the service's settings are known
DEFAULT_QUEUE = 25
DEFAULT_QUEUE_WAIT = 0.1  # seconds
DEFAULT_CONNECTIONS = 400
HOUSEKEEPING_PERIOD = 1.0  # seconds
LEAVING_LINGER = 3.0  # seconds in which the others learn that this node leaves
DRAIN_POLL = 0.02  # seconds


@dataclass(slots=True)
class _Traffic:
    """The parts that carry requests."""

    admission: Admission
    grants: GrantBook
    attempts: AttemptTable
    executions: ExecutionTable
    dependencies: DependencyWaits
    service_times: ServiceTimes
    levels: LevelTable
    ejection: Ejection


class Node:
    """A running node."""

    def __init__(self, cfg: NodeConfig, clock: Clock, rng: Random) -> None:
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.session = rng.randbytes(SESSION_BYTES)
        self.metrics = Metrics()
        self.started_at = clock.time()
        self.draining = False
        self.holder = SettingsHolder(cfg.team_keys, self._settings_changed)
        self.instance = Instance(clock, self._instance_changed)
        self.traffic = self._make_traffic()
        self.links = PeerLinks(clock)
        self._tasks = BackgroundTasks()

    @classmethod
    def from_config(cls, cfg: NodeConfig) -> Self:
        """Return a node on the machine's clock and random numbers."""
        return cls(cfg, SystemClock(), SystemRandom())

    def _make_traffic(self) -> _Traffic:
        limiter = Limiter(DEFAULT_SLOTS, self.clock)
        return _Traffic(
            Admission(limiter, DEFAULT_QUEUE, DEFAULT_QUEUE_WAIT, self.clock),
            GrantBook(self.cfg.name, self.session, self.clock, self.rng),
            AttemptTable(self.clock),
            ExecutionTable(self.rng),
            DependencyWaits(),
            ServiceTimes(self.clock),
            LevelTable(self.clock, self.rng),
            Ejection(self.clock),
        )

    async def start(self) -> None:
        """Open all sockets and begin."""
        cfg = self.cfg
        self.upstream = UpstreamConnections(cfg.upstream, DEFAULT_CONNECTIONS)
        self._udp = await UdpTransport.open(Address(cfg.address, cfg.gossip_port))
        self.sync = SettingsSync(self.holder, DocumentClient())
        self.membership = Membership(
            self._own_member(),
            self._udp,
            self.clock,
            self.rng,
            self.holder.heads,
            self.sync.on_heads,
            self._member_gone,
        )
        self._udp.receive = self.membership.on_datagram
        self._connect_halves()
        self.listener = PeerListener(cfg.address, cfg.peer_port, self._handle)
        await self.listener.start()
        self.documents = DocumentServer(cfg.address, cfg.document_port, self.holder)
        self.documents.start()
        self.platform = PlatformClient(list(cfg.platform), self.clock, self.rng)
        self.roles = Roles(self.membership, self.platform, self.holder, list(cfg.seeds), self.rng)
        self.membership.start()
        self.roles.start()
        self._tasks.spawn(self._housekeeping())
        log_event(Event.STARTED, service=cfg.service, domain=cfg.domain, http=cfg.http_port)

    def _own_member(self) -> Member:
        cfg = self.cfg
        return Member(
            cfg.name,
            self.session,
            int(self.clock.time() * 1000),
            cfg.address,
            cfg.http_port,
            cfg.peer_port,
            cfg.document_port,
            cfg.gossip_port,
            cfg.service,
            cfg.domain,
            cfg.region,
        )

    def _connect_halves(self) -> None:
        traffic = self.traffic
        router = Router(self.cfg.domain, traffic.levels, traffic.ejection, self.rng)
        self.outbound = Outbound(
            OutboundParts(
                own_name=self.cfg.name,
                run_here=self._run_here,
                grant_here=self._grant_here,
                peers=self.links,
                directory=self.membership,
                router=router,
                levels=traffic.levels,
                ejection=traffic.ejection,
                settings=lambda: self.holder.settings,
                clock=self.clock,
                rng=self.rng,
            )
        )
        self.inbound = Inbound(
            InboundParts(
                service=self.cfg.service,
                session=self.session,
                upstream=self.upstream,
                acceptance=self.instance,
                admission=traffic.admission,
                grants=traffic.grants,
                attempts=traffic.attempts,
                executions=traffic.executions,
                dependencies=traffic.dependencies,
                service_times=traffic.service_times,
                settings=lambda: self.holder.settings,
                needs_level=self.needs_level,
                elsewhere=self.outbound.elsewhere,
                clock=self.clock,
            )
        )
        self.ingress = Ingress(
            IngressParts(
                service=self.cfg.service,
                outbound=self.outbound,
                directory=self.membership,
                executions=traffic.executions,
                dependencies=traffic.dependencies,
                slot_limit=lambda: traffic.admission.limiter.limit,
                settings=lambda: self.holder.settings,
                clock=self.clock,
                rng=self.rng,
            )
        )

    def needs_level(self, route: RouteSettings) -> float:
        """Return the highest admission level of the services that a route needs."""
        return max((self.outbound.level_of(need) for need in route.needs), default=0.0)

    # Messages of other nodes.

    async def _handle(self, message: Message) -> Message:
        match message:
            case Call():
                return reply_from(message.attempt_id, await self._run_here(message))
            case GrantRequest():
                return self._grant_here(message)
            case Revoke():
                return self.inbound.revoke(message)
        return Refusal(f"a {type(message).__name__} is no request")

    async def _run_here(self, call: Call) -> Attempt:
        attempt = await self.inbound.run(call)
        match attempt.outcome:
            case Done():
                self.metrics.count("inbound.done")
            case NotRun():
                self.metrics.count("inbound.not-run")
            case Failed():
                self.metrics.count("inbound.failed")
            case Unknown():
                self.metrics.count("inbound.unknown")
        return attempt

    def _grant_here(self, ask: GrantRequest) -> GrantReply:
        return self.inbound.grant(ask)

    # Changes.

    @property
    def service_settings(self) -> ServiceSettings | None:
        """Return the settings of the own service."""
        return self.holder.settings.services.get(self.cfg.service)

    def _settings_changed(self) -> None:
        service = self.service_settings
        if service is not None:
            admission = self.traffic.admission
            admission.queue_bound = service.queue
            admission.max_wait = service.queue_wait
            admission.limiter.set_slots(service.slots)
            admission.admit_waiting()
        self.membership.tell_heads()
        self._instance_changed()

    def _instance_changed(self) -> None:
        serving = self.instance.refusal() is None and self.service_settings is not None
        self.membership.announce(ready=serving)

    def _member_gone(self, name: str) -> None:
        self.links.forget(name)
        self.traffic.levels.forget(name)
        self.traffic.ejection.forget(name)

    async def _housekeeping(self) -> None:
        target = self.cfg.statsd
        client = None
        if target is not None:
            prefix = f"thorntray.{self.cfg.service}.{self.cfg.name}"
            client = statsd.StatsClient(target.host, target.port, prefix=prefix)
        next_flush = self.clock.monotonic() + FLUSH_PERIOD
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD)
            self.instance.check_lapse()
            self.links.close_idle()
            self.traffic.admission.admit_waiting()
            if client is not None and self.clock.monotonic() >= next_flush:
                next_flush += FLUSH_PERIOD
                self._collect_totals()
                self.metrics.flush(client, self.gauges)

    def _collect_totals(self) -> None:
        membership = self.membership
        control = membership.bytes_sent + membership.bytes_received
        self.metrics.set_total("control.bytes", control)
        bad = membership.bad_datagrams + self.listener.bad_messages
        self.metrics.set_total("messages.bad", bad)
        self.metrics.set_total("platform.calls", self.platform.calls)
        self.metrics.set_total("attempts", self.outbound.attempts_sent)
        self.metrics.set_total("retries", self.outbound.retries_sent)

    def gauges(self) -> dict[str, float]:
        """Return the gauges of this moment."""
        admission = self.traffic.admission
        return {
            "limit": admission.limiter.limit,
            "in-flight": admission.in_flight,
            "queued": admission.queued,
            "level": round(admission.level() * 1000),
            "members": len(self.membership.alive()),
            "grants": len(self.traffic.grants),
            "settings.revision": sum(self.holder.heads().values()),
        }

    # Stop.

    async def drain(self) -> None:
        """Stop gracefully: refuse new work, tell everybody, wait for what runs."""
        if self.draining:
            return
        self.draining = True
        began = time.monotonic()
        log_event(Event.DRAIN_BEGUN, active=self.inbound.active)
        self.instance.drain_node()
        try:
            async with asyncio.timeout(self.cfg.drain_limit):
                await asyncio.sleep(LEAVING_LINGER)
                await self.inbound.drained()
                while self.inbound.active or self.ingress.active or self.traffic.executions:
                    await asyncio.sleep(DRAIN_POLL)
        except TimeoutError:
            log_event(Event.DRAIN_CUT, active=self.inbound.active)
        log_event(Event.DRAIN_ENDED, seconds=round(time.monotonic() - began, 3))

    async def stop(self) -> None:
        """Leave the membership and close all sockets."""
        await self.roles.stop()
        self.membership.leave()
        await self._tasks.stop()
        await self.membership.stop()
        await self.listener.close()
        await self.documents.close()
        await self.links.close()
        await self.upstream.close()
        await self.platform.close()
        self._udp.close()

"""The node with an INI file: creates, connects, starts and stops its components."""

import asyncio
import time
from random import Random, SystemRandom
from typing import Self

import statsd

from thorntray.internal.connection.documents import DocumentClient, DocumentServer
from thorntray.internal.connection.listening_sockets import SocketServer
from thorntray.internal.connection.peer import PeerLinks, PeerListener
from thorntray.internal.connection.upstream import UpstreamConnections
from thorntray.internal.membership.member import SESSION_BYTES, Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.process.clock import Clock, SystemClock
from thorntray.internal.process.instance import Instance
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.process.traffic import NodeContext, Traffic
from thorntray.internal.store.platform import PlatformClient
from thorntray.internal.store.roles import Roles
from thorntray.internal.store.settings_sync import SettingsSync
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.telemetry.metrics import FLUSH_PERIOD, Metrics
from thorntray.internal.version.holder import SettingsHolder
from thorntray.internal.version.settings import ServiceSettings
from thorntray_node.config import NodeConfig
from thorntray_node.ini_node_ports import IniNodePorts

HOUSEKEEPING_PERIOD = 1.0  # seconds
LEAVE_PROPAGATION_DELAY = 3.0  # seconds for the other nodes to learn that this node is leaving
DRAIN_POLL_PERIOD = 0.02  # seconds


class Node:
    """A node configured by an INI file, with its components."""

    def __init__(self, cfg: NodeConfig, clock: Clock, rng: Random) -> None:
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.session = rng.randbytes(SESSION_BYTES)
        self.metrics = Metrics()
        self.started_at = clock.time()
        self._was_shedding = False
        self._last_limit = 0
        self.holder = SettingsHolder(cfg.team_keys, self._settings_changed)
        self.instance = Instance(clock, self._instance_changed)
        self.links = PeerLinks(clock)
        self._tasks = BackgroundTasks()
        self._drain: asyncio.Future[None] | None = None

    @classmethod
    def from_config(cls, cfg: NodeConfig) -> Self:
        """Return a node that uses the system clock and the system random generator."""
        return cls(cfg, SystemClock(), SystemRandom())

    async def start(self, callers: SocketServer) -> None:
        """Bind all ports, serve them, that of `callers` last, and start the background tasks.

        Raises `OSError` or `pynng.NNGException` if a port cannot be opened in time.
        """
        ports = await IniNodePorts.bind(self.cfg, self.clock)
        self._create_components(ports.gossip)
        try:
            await ports.documents.serve(self.documents)
            await ports.peers.serve(self.listener)
            await ports.callers.serve(callers)
        except BaseException:
            ports.close()
            for part in (self.listener, self.documents, self.upstream, self.platform):
                await part.close()
            raise
        self._begin()

    def _create_components(self, udp: UdpTransport) -> None:
        cfg = self.cfg
        self.upstream = UpstreamConnections(
            cfg.upstream, clock=self.clock, on_leaving=self.instance.leave
        )
        self._udp = udp
        self.sync = SettingsSync(self.holder, DocumentClient())
        self.membership = Membership(
            self._own_member(),
            self._udp,
            self.clock,
            self.rng,
            self.holder.revisions,
            self.sync.on_revisions,
            self._member_removed,
        )
        self.traffic = Traffic(self._traffic_dependencies(), self.metrics)
        self.listener = PeerListener(cfg.address, cfg.peer_port, self.traffic.handle)
        self.documents = DocumentServer(cfg.address, cfg.document_port, self.holder)
        self.platform = PlatformClient(list(cfg.platform), self.clock, self.rng)
        self.roles = Roles(self.membership, self.platform, self.holder, list(cfg.seeds), self.rng)

    def _begin(self) -> None:
        """Join the other nodes; runs without a pause after the ports are open."""
        cfg = self.cfg
        self._udp.receive = self.membership.on_datagram
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

    def _traffic_dependencies(self) -> NodeContext:
        return NodeContext(
            name=self.cfg.name,
            session=self.session,
            service=self.cfg.service,
            domain=self.cfg.domain,
            upstream=self.upstream,
            acceptance=self.instance,
            peers=self.links,
            directory=self.membership,
            settings=lambda: self.holder.settings,
            clock=self.clock,
            rng=self.rng,
        )

    # Callbacks on changes, and housekeeping.

    @property
    def service_settings(self) -> ServiceSettings | None:
        """Return the settings of this node's service, or None if there are none yet."""
        return self.holder.settings.services.get(self.cfg.service)

    def _settings_changed(self) -> None:
        service = self.service_settings
        if service is not None:
            self.traffic.apply(service)
        self.membership.spread_revisions()
        self._instance_changed()

    def _instance_changed(self) -> None:
        serving = self.instance.refusal() is None and self.service_settings is not None
        self.membership.announce(ready=serving)

    def _member_removed(self, name: str) -> None:
        self.links.close_link(name)
        self.traffic.forget(name)

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
            self._log_overload_changes()
            if client is not None and self.clock.monotonic() >= next_flush:
                next_flush += FLUSH_PERIOD
                self._collect_totals()
                self.metrics.flush(client, self.gauges)

    def _log_overload_changes(self) -> None:
        admission = self.traffic.admission
        shedding, limit = admission.level() > 0, admission.limiter.limit
        if shedding and not self._was_shedding:
            log_event(Event.LEVEL_RAISED, level=round(admission.level(), 2))
        if limit < self._last_limit:
            log_event(Event.LIMIT_LOWERED, limit=limit, before=self._last_limit)
        self._was_shedding, self._last_limit = shedding, limit

    def _collect_totals(self) -> None:
        membership = self.membership
        control = membership.bytes_sent + membership.bytes_received
        self.metrics.set_total("control.bytes", control)
        bad = membership.bad_datagrams + self.listener.bad_messages
        self.metrics.set_total("messages.bad", bad)
        self.metrics.set_total("platform.calls", self.platform.calls)
        self.metrics.set_total("attempts", self.traffic.outbound.attempts_sent)
        self.metrics.set_total("retries", self.traffic.outbound.retries_sent)

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges."""
        admission = self.traffic.admission
        return {
            "limit": admission.limiter.limit,
            "in-flight": admission.in_flight,
            "queued": admission.queued,
            "level": round(admission.level() * 1000),
            "members": len(self.membership.alive()),
            "grants": len(self.traffic.grants),
            "settings.revision": sum(self.holder.revisions().values()),
        }

    # Drain and stop.

    @property
    def draining(self) -> bool:
        """Return whether a drain has begun; it does not end before the process."""
        return self._drain is not None

    async def drain(self) -> None:
        """Refuse new requests, announce the drain, and wait for the running requests.

        The wait ends at `drain_limit`. Later calls wait for the end of the first one.
        """
        if self._drain is None:
            self._drain = asyncio.ensure_future(self._run_drain())
        await asyncio.shield(self._drain)

    async def _run_drain(self) -> None:
        began = time.monotonic()
        log_event(Event.DRAIN_BEGUN, active=self.traffic.inbound.active)
        self.instance.drain_node()
        try:
            async with asyncio.timeout(self.cfg.drain_limit):
                await asyncio.sleep(LEAVE_PROPAGATION_DELAY)
                await self.traffic.inbound.wait_drained()
                while not (self.traffic.idle and self.listener.idle):
                    await asyncio.sleep(DRAIN_POLL_PERIOD)
        except TimeoutError:
            log_event(Event.DRAIN_CUT, active=self.traffic.inbound.active)
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

"""The start of a `MeshNode`: binds its ports, creates what needs them, and begins to serve.

A connection that was accepted is answered, so nothing may fail once callers are accepted: their
port is the last one that begins to listen, and membership and loops begin right after it.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.http_request import RequestLimits
from thorntray.internal.connection.http_server import HttpServer
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.membership.crash_reports import CrashReports
from thorntray.internal.membership.departure_copies import DepartureCopies
from thorntray.internal.membership.departures import Departures
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.process.descriptor_budget import DescriptorBudget
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.origin import Origin
from thorntray.internal.request.quotas import Quotas
from thorntray.internal.store.crash_archive import CrashArchive
from thorntray.internal.store.freshness_check import FreshnessCheck
from thorntray.internal.store.kept_entries import KeptEntries
from thorntray.internal.store.policy_watch import POLICY_REVISION_KEY, PolicyWatch
from thorntray.internal.store.seeds import PlatformState, Seeds, SeedTiming
from thorntray.internal.store.start_read import StartRead
from thorntray.internal.store.watch_check import WatchCheck
from thorntray.internal.store.watch_duty import WatchDuty
from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.connection_limits import (
    REFUSAL_RETRY_AFTER,
    BoundedServers,
    ConnectionLimits,
    process_descriptor_limit,
)
from thorntray_node.mesh_config import PeerPorts
from thorntray_node.mesh_gauges import register_gauges
from thorntray_node.metrics_endpoint import MetricsEndpoint
from thorntray_node.node_ports import NodePorts
from thorntray_node.peer_requests import PeerRequests
from thorntray_node.platform_store import PlatformStore

if TYPE_CHECKING:
    from thorntray_node.mesh_node import MeshNode

# Of the servers for readiness, announcements and metrics, whose bodies no budget counts.
OWN_SERVER_LIMITS = RequestLimits(body_bytes=64 * 1024)
SEED_TIMING = SeedTiming(
    ttl=10,
    renew_period=3.0,
    settle_time=0.5,
    first_lookup_delay=0.2,
    second_lookup_delay=1.0,
    retry_pause=0.5,
)


class MeshStart:
    """Starts a node, whose components without ports exist already."""

    def __init__(self, node: "MeshNode", store: PlatformStore, tasks: BackgroundTasks) -> None:
        self._node = node
        self._store = store
        self._tasks = tasks

    async def run(self, announcements: Callable[[Exchange], None]) -> None:
        """Start the node; raises `OSError` if a port cannot be opened."""
        node = self._node
        ports = await NodePorts.bind(node.cfg, node.clock)
        try:
            self._create_fleet_components(ports.peers.gossip, ports.peer_ports)
            self._create_servers(announcements)
            await self._serve(ports)
        except BaseException:
            ports.close()
            raise
        self._begin()

    def _create_fleet_components(self, udp: UdpTransport, ports: PeerPorts) -> None:
        """Create the components that need other nodes or the store."""
        node, store, keys = self._node, self._store, self._node.store_keys
        clock, rng = node.clock, node.rng
        state = PlatformState()
        node.udp = udp
        node.policy_watch = PolicyWatch(
            store, keys.policy_key, node.decode_policy, node.holder, node.links, state, rng
        )
        node.membership = Membership(
            self._own_member(ports),
            udp,
            clock,
            rng,
            node.policy_watch.revisions,
            node.policy_watch.on_revisions,
            node.member_removed,
        )
        node.crash_reports = CrashReports(node.suspects, node.membership, clock, rng)
        start_read = StartRead(store, keys.root_prefix)
        node.entries = KeptEntries(store, start_read, keys.kept_prefix, clock, rng)
        node.departures = Departures(
            node.registration, node.membership, node.entries, clock, self._tasks
        )
        node.departure_copies = DepartureCopies(node.membership, clock)
        node.registration.hold()
        node.crash_archive = CrashArchive(node.suspects, node.membership, node.entries, clock)
        node.seeds = Seeds(
            node.membership,
            store,
            state,
            keys.seeds_prefix,
            [Address(*seed) for seed in node.cfg.seeds],
            SEED_TIMING,
            rng,
            start_read,
        )
        self._connect_policy_watch(WatchDuty(node.membership, node.seeds, clock, rng))
        node.quotas = Quotas(
            node.membership,
            lambda: node.holder.policy,
            lambda: node.seeds.looked_up,
            clock,
            rng,
        )
        node.origin = Origin(node.origin_dependencies())

    def _own_member(self, ports: PeerPorts) -> Member:
        node, cfg = self._node, self._node.cfg
        return Member(
            name=cfg.name,
            session=node.session,
            version=int(node.clock.time() * 1000),
            address=cfg.host,
            http_port=cfg.callers.port,
            peer_port=ports.links,
            document_port=0,
            gossip_port=ports.gossip,
            service=cfg.service,
            domain=cfg.domain,
            region=cfg.region,
        )

    def _connect_policy_watch(self, duty: WatchDuty) -> None:
        node, watch = self._node, self._node.policy_watch
        watch.duty = duty
        watch.check = WatchCheck(node.membership, duty, node.clock, node.rng)
        if not node.freshness.strict:
            return
        node.freshness_check = watch.evidence = FreshnessCheck(
            node.freshness,
            node.holder,
            node.membership,
            duty,
            watch.read_again,
            lambda member, version: watch.on_revisions(member, {POLICY_REVISION_KEY: version}),
            node.clock,
            node.rng,
        )

    def _create_servers(self, announcements: Callable[[Exchange], None]) -> None:
        node, cfg = self._node, self._node.cfg
        node.callers = HttpServer(node.origin.handle, node.clock)
        node.callers.on_unanswered = node.request_unanswered
        node.readiness = HttpServer(node.answer_readiness, node.clock)
        node.announcements = HttpServer(announcements, node.clock)
        self._metrics = MetricsEndpoint(
            cfg.bind_host, cfg.metrics_port, node.metrics, node.drain, node.clock
        )
        node.metrics_server = self._metrics.server
        for server in (node.readiness, node.announcements, node.metrics_server):
            server.limits = OWN_SERVER_LIMITS
        node.peer_requests = PeerRequests(node.owner, node.policy_watch)
        node.listener = LinkListener(
            cfg.bind_host, cfg.link_port, node.peer_requests, node.clock, node.memory
        )
        node.memory_bounds.connect(node.callers, node.origin, node.owner, node.pool)
        node.memory_bounds.connect_links(node.links, node.listener)
        self._bound_connections()
        register_gauges(node)

    def _bound_connections(self) -> None:
        node = self._node
        servers = BoundedServers(
            node.callers, node.readiness, node.announcements, node.metrics_server
        )
        budget = DescriptorBudget(node.cfg.descriptor_limit, process_descriptor_limit())
        node.connection_limits = ConnectionLimits(budget, servers, self._count_sockets)
        node.connection_limits.use_for(node.pool.opener)
        node.connection_limits.use_for(node.links.opener)
        node.callers.bound.serves_surplus = node.origin.is_nested_call
        node.callers.bound.refusal_lines = lambda: node.origin.retry_after_line(REFUSAL_RETRY_AFTER)

    def _count_sockets(self) -> dict[str, int]:
        node = self._node
        return {
            "links in": node.listener.connection_count,
            "links out": node.links.connection_count,
            "instance": node.queue.in_flight + node.pool.idle_connections,
        }

    async def _serve(self, ports: NodePorts) -> None:
        """Begin to listen, on the callers' port last; after it nothing may pause or fail."""
        node = self._node
        try:
            await ports.peers.links.serve(node.listener)
            await self._metrics.try_serve()
            await ports.readiness.serve(node.readiness)
            await ports.announcements.serve(node.announcements)
            await ports.callers.serve(node.callers)
        except BaseException:
            servers = (node.metrics_server, node.listener, node.readiness, node.announcements)
            for server in servers:
                server.close()
            raise

    def _begin(self) -> None:
        """Join the fleet and begin the loops; runs without a pause after the ports are open."""
        node = self._node
        node.registration.hold()  # again, as announcements may arrive from now on
        node.udp.receive = node.membership.on_datagram
        node.membership.start()
        node.seeds.start()
        loops = [
            node.policy_watch.run,
            node.entries.run,
            node.entries.check,
            node.links.watch,
            node.crash_reports.run,
            node.quotas.run,
            *node.periodic_tasks(),
            node.crash_archive.restore,
            self._metrics.serve_when_free,
        ]
        if node.freshness_check is not None:
            loops += [node.freshness_check.query_peers, node.freshness_check.check_store]
        servers = (node.callers, node.readiness, node.announcements, node.metrics_server)
        loops += [server.sweep for server in servers]
        for loop in loops:
            self._tasks.supervise(loop)
        log_event(Event.STARTED, service=node.cfg.service, domain=node.cfg.domain)

"""A node on the lean path: all its parts, put together, started and stopped."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from thorntray.internal.connection.frame import CallFrame, CancelFrame, FetchPolicy, Frame
from thorntray.internal.connection.http_server import Exchange, HttpServer
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.link import LinkConnection, LinkListener, Links
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.member import SESSION_BYTES, Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.overload.call_parents import RunningRequests
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.placement import Placement
from thorntray.internal.overload.retry_budget import RetryBudget
from thorntray.internal.overload.root_admission import RootAdmission
from thorntray.internal.overload.slot_price import MIN_PRICE, SlotPrice
from thorntray.internal.overload.slot_queue import SlotQueue
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.registration import Registration
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.origin import Origin
from thorntray.internal.request.origin_request import OriginDependencies, OriginRequest
from thorntray.internal.request.owner import Owner, OwnerDependencies, OwnerRequest
from thorntray.internal.request.request_log import RequestLog
from thorntray.internal.request.result import Cause, Result
from thorntray.internal.request.result_frames import frame_from_result
from thorntray.internal.store.policy_watch import PolicyDecoder, PolicyStore, PolicyWatch
from thorntray.internal.store.seeds import PlatformState, Seeds, SeedStore, SeedTiming
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.telemetry.node_metrics import NodeMetrics
from thorntray.internal.version.policy import Policy, PolicyHolder
from thorntray_node.mesh_config import MeshConfig
from thorntray_node.mesh_gauges import show_state

TICK = 0.1  # seconds between looks at the load
REST_AFTER_LINK_LOSS = 1.0  # seconds
HOUSEKEEPING_PERIOD = 0.5  # seconds
UNREADY_LINGER = 2.2  # seconds after the first "not ready" in which callers still come
STOP_POLL = 0.05  # seconds
STOP_RESERVE = 0.4  # seconds of the stop limit that are left for closing
OK, UNAVAILABLE = 200, 503
METRICS_TYPE = b"Content-Type: text/plain; version=0.0.4\r\n"


class Store(SeedStore, PolicyStore, Protocol):
    """The platform's key-value service."""

    async def close(self) -> None:
        """Close all connections."""
        ...


class StorePlaces(NamedTuple):
    """Where things lie in the platform's service."""

    seeds_prefix: str
    policy_key: str


class MeshNode:
    """A running node."""

    def __init__(
        self,
        cfg: MeshConfig,
        store: Store,
        places: StorePlaces,
        decode_policy: PolicyDecoder,
        clock: Clock,
        rng: Random,
        metrics: NodeMetrics | None = None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.stopping = False
        self.metrics = metrics or NodeMetrics()
        self._store = store
        self._places = places
        self._decode_policy = decode_policy
        self._session = rng.randbytes(SESSION_BYTES)
        self._tasks = BackgroundTasks()
        self._held: dict[tuple[LinkConnection, int], OwnerRequest] = {}
        self._make_owner_side()
        self._make_origin_side()

    def _make_owner_side(self) -> None:
        cfg, clock = self.cfg, self.clock
        address = f"{cfg.instance.host}:{cfg.instance.port}"
        self.registration = Registration(cfg.service, address, clock, self._instance_changed)
        self.queue = SlotQueue()
        self.running = RunningRequests()
        names = cfg.header_names
        self.pool = InstancePool(*cfg.instance, names.request_id.lower(), clock)
        self.log = RequestLog(clock)
        self.owner = Owner(
            OwnerDependencies(
                service=cfg.service,
                names=names,
                pool=self.pool,
                registration=self.registration,
                queue=self.queue,
                price=SlotPrice(clock.monotonic()),
                running=self.running,
                clock=clock,
                on_finish=self._owner_ended,
                on_slot_wait=self.metrics.observe_queue_wait,
            )
        )

    def _make_origin_side(self) -> None:
        cfg, clock = self.cfg, self.clock
        self.holder = PolicyHolder(self._policy_changed)
        self.links = Links(cfg.name, self._session, cfg.domain, clock)
        self.links.on_non_result_frame = self._peer_frame
        self.links.on_link_failure = self._link_trouble
        self.ejection = Ejection(clock)
        self.placement = Placement(cfg.domain, self.ejection, self.rng)
        self.admission = RootAdmission()
        self.budget = RetryBudget(cfg.budget, clock.monotonic())

    def _origin_parts(self) -> OriginDependencies:
        cfg = self.cfg
        return OriginDependencies(
            own_name=cfg.name,
            own_service=cfg.service,
            names=cfg.header_names,
            policy=lambda: self.holder.policy,
            directory=self.membership,
            owner=self.owner,
            links=self.links,
            running=self.running,
            admission=self.admission,
            placement=self.placement,
            ejection=self.ejection,
            budget=self.budget,
            clock=self.clock,
            rng=self.rng,
            on_finish=self._origin_ended,
            on_retry=self._repeat_wanted,
        )

    async def start(self, announcements: Callable[[Exchange], None]) -> None:
        """Open all sockets and begin; raises `OSError` when a port is taken."""
        cfg = self.cfg
        udp = await UdpTransport.open(Address(cfg.bind_host, cfg.gossip_port))
        state = PlatformState()
        self.policy_watch = PolicyWatch(
            self._store,
            self._places.policy_key,
            self._decode_policy,
            self.holder,
            self.links,
            state,
            self.rng,
        )
        self.membership = Membership(
            self._own_member(),
            udp,
            self.clock,
            self.rng,
            self.policy_watch.revisions,
            self.policy_watch.on_revisions,
            self._member_gone,
        )
        udp.receive = self.membership.on_datagram
        self.seeds = Seeds(
            self.membership,
            self._store,
            state,
            self._places.seeds_prefix,
            [Address(*seed) for seed in cfg.seeds],
            SEED_PACE,
            self.rng,
        )
        origin = Origin(self._origin_parts())
        self.callers = HttpServer(origin.handle, self.clock)
        self.readiness = HttpServer(self._answer_readiness, self.clock)
        self.announcements = HttpServer(announcements, self.clock)
        await self.callers.start(*cfg.callers)
        await self.readiness.start(*cfg.readiness)
        await self.announcements.start(*cfg.announcements)
        await self._serve_metrics()
        self.listener = LinkListener(cfg.bind_host, cfg.link_port, self, self.clock)
        await self.listener.start()
        self.membership.start()
        self.seeds.start()
        for work in (self.policy_watch.run, self.links.watch, self._tick, self._housekeeping):
            self._tasks.spawn(work())
        servers = (self.callers, self.readiness, self.announcements, self.metrics_server)
        for server in servers:
            self._tasks.spawn(server.sweep())
        log_event(Event.STARTED, service=cfg.service, domain=cfg.domain)

    async def _serve_metrics(self) -> None:
        """Serve the metrics; a node without them works as well, so that is no reason to stop."""
        show_state(self)
        self.metrics_server = HttpServer(self._answer_metrics, self.clock)
        if not self.cfg.metrics_port:
            return
        try:
            await self.metrics_server.start(self.cfg.bind_host, self.cfg.metrics_port)
        except OSError as exc:
            log_event(Event.METRICS_NOT_SERVED, port=self.cfg.metrics_port, detail=repr(exc))

    def _own_member(self) -> Member:
        cfg = self.cfg
        return Member(
            name=cfg.name,
            session=self._session,
            version=int(self.clock.time() * 1000),
            address=cfg.host,
            http_port=cfg.callers.port,
            peer_port=cfg.link_port,
            document_port=0,
            gossip_port=cfg.gossip_port,
            service=cfg.service,
            domain=cfg.domain,
            region=cfg.region,
        )

    # Frames of peers.

    def on_frame(self, link: LinkConnection, frame: Frame) -> None:
        """Take a frame that a peer sent on a link that it dialled."""
        match frame:
            case CallFrame(number):
                self._run(link, number, frame)
            case CancelFrame(number):
                held = self._held.get((link, number))
                if held is not None:
                    held.cancel()
            case FetchPolicy():
                policy = self.policy_watch.reply_to_fetch(frame)
                if policy is not None:
                    link.send(policy)

    def on_lost(self, link: LinkConnection) -> None:
        """Withdraw what a lost peer has asked for: nobody waits for it."""
        for key in [key for key in self._held if key[0] is link]:
            held = self._held.get(key)
            if held is not None:
                held.cancel()

    def _run(self, link: LinkConnection, number: int, call: CallFrame) -> None:
        key = (link, number)
        done = False

        def on_result(result: Result) -> None:
            nonlocal done
            done = True
            self._held.pop(key, None)
            link.send(frame_from_result(number, result))

        held = self.owner.submit(call, on_result)
        if not done:
            self._held[key] = held

    def _peer_frame(self, member: Member, frame: Frame) -> None:
        self.policy_watch.on_peer_frame(member, frame)

    # Changes.

    def _policy_changed(self, policy: Policy) -> None:
        self.callers.limits = policy.limits
        self.membership.spread_revisions()

    def _instance_changed(self) -> None:
        registration = self.registration
        current = registration.current
        if current is not None and current.slots > 0:
            self.queue.set_slots(current.slots)
        if not registration.available:
            self.owner.reject_queued(Cause.DRAINING)
        self.membership.announce(ready=registration.available)

    def _member_gone(self, name: str) -> None:
        self.links.close_link(name)
        self.placement.forget(name)
        self.ejection.forget(name)

    def _link_trouble(self, member: Member) -> None:
        """Send nothing there for a while, and let the membership look at it now."""
        self.placement.pause(member.name, self.clock.monotonic(), REST_AFTER_LINK_LOSS)
        self.membership.probe_now(member.name)

    def _owner_ended(self, call: CallFrame, result: Result, seconds: float) -> None:
        self.log.owner_finished(call, result, seconds)
        self.metrics.request_ended("owner", call.route, result, seconds)

    def _origin_ended(self, req: OriginRequest, result: Result) -> None:
        self.log.origin_finished(req, result)
        seconds = self.clock.monotonic() - req.arrived_at
        self.metrics.request_ended("origin", req.route_key, result, seconds)

    def _repeat_wanted(self, req: OriginRequest, result: Result, paid: bool) -> None:
        self.log.retried(req, result, paid)
        self.metrics.retry_requested(req.service, paid)

    # Time.

    async def _tick(self) -> None:
        while True:
            began = self.clock.monotonic()
            await asyncio.sleep(TICK)
            now = self.clock.monotonic()
            self.metrics.observe_loop_lag(now - began - TICK)
            self.owner.update_price(now)

    def _log_load(self) -> None:
        queue, price = self.queue, self.owner.deps.price.price
        shares = {route: round(s, 2) for route, s in self.admission.shares.items() if s < 1}
        if price <= MIN_PRICE and not shares:
            return
        log_event(
            Event.LOAD,
            service=self.cfg.service,
            in_flight=queue.in_flight,
            waiting=queue.waiting,
            limit=queue.limit,
            price=round(price, 3),
            shares=shares,
        )

    async def _housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_PERIOD)
            self._log_load()
            self.registration.check_timeout()
            self.pool.close_idle()
            self.budget.set_nodes(len(self.membership.alive()))
            policy = self.holder.policy
            if policy is not None:
                self.budget.refill(list(policy.services), self.clock.monotonic())

    # Readiness and stop.

    @property
    def ready(self) -> bool:
        """Return whether callers may come."""
        return not self.stopping and self.holder.policy is not None

    def _answer_readiness(self, exchange: Exchange) -> None:
        exchange.respond(OK if self.ready else UNAVAILABLE, b"", b"")

    def _answer_metrics(self, exchange: Exchange) -> None:
        exchange.respond(OK, METRICS_TYPE, self.metrics.exposition())

    async def stop(self) -> None:
        """Stop gracefully: turn new work away, finish what runs, close."""
        self.stopping = True
        log_event(Event.DRAIN_BEGUN, active=self.callers.active, held=len(self.owner.requests))
        started = self.clock.monotonic()
        self.callers.closing = True
        # Callers come until they have seen twice that this node is not ready, so this time passes
        # in any case; the instance works on for peers meanwhile, since others may be stopping too.
        await asyncio.sleep(UNREADY_LINGER)
        self.registration.drain_node()
        limit = started + self.cfg.stop_limit - STOP_RESERVE
        while self.clock.monotonic() < limit and (self.callers.active or self.owner.requests):
            await asyncio.sleep(STOP_POLL)
        seconds = round(self.clock.monotonic() - started, 3)
        log_event(Event.DRAIN_ENDED, seconds=seconds, active=self.callers.active)
        self.membership.leave()
        self.callers.close()
        self.metrics_server.close()
        self.listener.close()
        await asyncio.sleep(0.05)
        await self.seeds.stop()
        await self._store.close()


SEED_PACE = SeedTiming(
    ttl=10,
    renew_period=3.0,
    settle_time=0.5,
    first_lookup_delay=0.2,
    second_lookup_delay=1.0,
    retry_pause=0.5,
)

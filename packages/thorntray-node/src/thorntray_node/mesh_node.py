"""The node on the users' platform: creates, connects, starts and stops its components."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from thorntray.internal.connection.exchange import Exchange
from thorntray.internal.connection.frame import CallFrame, Frame
from thorntray.internal.connection.http_request import ClosedBy
from thorntray.internal.connection.instance_pool import InstancePool
from thorntray.internal.connection.link import Links
from thorntray.internal.membership.departures import Departures
from thorntray.internal.membership.instance_notices import InstanceNotices
from thorntray.internal.membership.member import SESSION_BYTES, Health, Member
from thorntray.internal.overload.call_parents import RunningRequests
from thorntray.internal.overload.crash_isolation import CrashIsolation
from thorntray.internal.overload.crash_suspects import Crash, CrashSuspects
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.placement import Placement
from thorntray.internal.overload.rate_limit import RateLimit
from thorntray.internal.overload.retry_budget import RetryBudget
from thorntray.internal.overload.root_admission import RootAdmission
from thorntray.internal.overload.slot_price import MIN_PRICE, SlotPrice
from thorntray.internal.overload.slot_queue import SlotQueue
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.drain import Drain
from thorntray.internal.process.memory_budget import MemoryBudget
from thorntray.internal.process.pauses import Pauses, varied_factors
from thorntray.internal.process.registration import Registration
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.caller_identity import CallerIdentity
from thorntray.internal.request.crash_watch import CrashWatch, CrashWatchDependencies
from thorntray.internal.request.instance_tracker import InstanceTracker
from thorntray.internal.request.origin_context import OriginDependencies, RequestHead
from thorntray.internal.request.origin_request import OriginRequest
from thorntray.internal.request.owner import Owner, OwnerDependencies
from thorntray.internal.request.request_log import RequestLog
from thorntray.internal.request.result import Cause, Result
from thorntray.internal.store.freshness_check import FreshnessCheck
from thorntray.internal.store.policy_watch import PolicyDecoder
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.telemetry.node_metrics import NodeMetrics
from thorntray.internal.version.freshness import Freshness
from thorntray.internal.version.policy import Policy, PolicyHolder, Route
from thorntray_node.memory_bounds import MemoryBounds
from thorntray_node.mesh_config import MeshConfig
from thorntray_node.mesh_start import MeshStart
from thorntray_node.node_stop import NodeStop, StopDependencies
from thorntray_node.platform_store import PlatformStore, StoreKeys

PRICE_UPDATE_PERIOD = 0.1  # mean seconds between updates of the slot price
LINK_FAILURE_PAUSE = 1.0  # seconds without new requests to a member after a link failure
HOUSEKEEPING_PERIOD = 0.5  # seconds
LOOPBACK_HOST = "127.0.0.1"
OK, UNAVAILABLE = 200, 503


class MeshNode:
    """A node on the users' platform, with its components."""

    def __init__(
        self,
        cfg: MeshConfig,
        store: PlatformStore,
        store_keys: StoreKeys,
        decode_policy: PolicyDecoder,
        clock: Clock,
        rng: Random,
        metrics: NodeMetrics | None = None,
    ) -> None:
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.drain = Drain(cfg.stop_limit, clock)
        self.metrics = metrics or NodeMetrics()
        self._store = store
        self.store_keys = store_keys
        self.decode_policy = decode_policy
        self.session = rng.randbytes(SESSION_BYTES)
        self.memory = MemoryBudget(cfg.memory_limit)
        self.memory_bounds = MemoryBounds(self.memory, self.metrics, clock)
        self._tasks = BackgroundTasks()
        self.departures: Departures | None = None  # None before the start
        self._create_owner_components()
        self._create_origin_components()

    def _create_owner_components(self) -> None:
        cfg, clock = self.cfg, self.clock
        self.registration = Registration(
            cfg.service, str(cfg.instance), clock, self._instance_changed
        )
        self.rate_limit = RateLimit(clock)
        self.tracker = InstanceTracker(
            self.registration, self.rate_limit, self.metrics.instance_mismatched
        )
        self.queue = SlotQueue(self.rate_limit)
        self.running = RunningRequests()
        self.pauses = Pauses(clock)
        names = cfg.header_names
        self.pool = InstancePool(*cfg.instance, names.request_id.lower(), clock, self.memory)
        self.log = RequestLog(clock)
        self.suspects = CrashSuspects(clock, self._request_blocked)
        self.isolation = CrashIsolation(self.suspects, clock)
        self.crash_watch = CrashWatch(
            CrashWatchDependencies(
                node=cfg.name,
                registration=self.registration,
                refuses_connections=self.pool.refuses_connections,
                suspects=self.suspects,
                on_crash=self._instance_crashed,
                spawn=self._tasks.spawn,
                clock=clock,
                rng=self.rng,
            )
        )
        self.owner = Owner(
            OwnerDependencies(
                service=cfg.service,
                names=names,
                pool=self.pool,
                registration=self.registration,
                queue=self.queue,
                price=SlotPrice(clock.monotonic()),
                rate_limit=self.rate_limit,
                tracker=self.tracker,
                running=self.running,
                pauses=self.pauses,
                isolation=self.isolation,
                crash_watch=self.crash_watch,
                clock=clock,
                on_finish=self._owner_finished,
                on_slot_wait=self.metrics.observe_queue_wait,
                memory=self.memory,
                on_memory_refused=self.memory_bounds.call_refused,
            )
        )

    def _create_origin_components(self) -> None:
        cfg, clock = self.cfg, self.clock
        self.holder = PolicyHolder(self._policy_changed)
        self.freshness = Freshness(clock, cfg.max_policy_age)
        self.freshness_check: FreshnessCheck | None = None  # None: keys need no evidence
        self.links = Links(cfg.name, self.session, cfg.domain, clock, self.memory)
        self.links.on_non_result_frame = self._peer_frame_received
        self.links.on_link_failure = self._link_failed
        self.notices = InstanceNotices(clock)
        self.links.notices_of = self.notices.of_member
        self.ejection = Ejection(clock)
        self.placement = Placement(cfg.domain, self.ejection, self.rng)
        self.admission = RootAdmission()
        self.budget = RetryBudget(cfg.budget, clock.monotonic())

    def origin_dependencies(self) -> OriginDependencies:
        """Return what a request needs of this node; the components of the fleet must exist."""
        cfg = self.cfg
        return OriginDependencies(
            own_name=cfg.name,
            own_hosts=frozenset({LOOPBACK_HOST, cfg.host, cfg.instance.host}),
            own_service=cfg.service,
            names=cfg.header_names,
            policy=lambda: self.holder.policy,
            directory=self.membership,
            owner=self.owner,
            links=self.links,
            notices=self.notices,
            running=self.running,
            admission=self.admission,
            placement=self.placement,
            ejection=self.ejection,
            budget=self.budget,
            drain=self.drain,
            clock=self.clock,
            pauses=self.pauses,
            rng=self.rng,
            identity=CallerIdentity(self.freshness, self.clock),
            suspects=self.suspects,
            isolation=self.isolation,
            on_success=self.crash_reports.report_success,
            quotas=self.quotas,
            memory=self.memory,
            on_answer_dropped=self.memory_bounds.answer_dropped,
            on_refused=self._caller_refused,
            on_finish=self._origin_finished,
            on_retry=self._retry_requested,
        )

    async def start(self, announcements: Callable[[Exchange], None]) -> None:
        """Open all ports, then serve; raises `OSError` if a port cannot be opened in time."""
        await MeshStart(self, self._store, self._tasks).run(announcements)

    def reconfigure(self, cfg: MeshConfig) -> None:
        """Apply the settings that can be changed at run time (`settings_reload`)."""
        self.cfg = cfg
        self.drain.set_limit(cfg.stop_limit)
        self.budget.set_bound(cfg.budget)

    def _peer_frame_received(self, member: Member, frame: Frame) -> None:
        self.policy_watch.on_peer_frame(member, frame)

    # Callbacks on changes.

    def _policy_changed(self, policy: Policy) -> None:
        self.callers.limits = policy.limits
        if self.freshness_check is not None:
            self.freshness_check.policy_changed()
        self.membership.spread_revisions()

    def _instance_changed(self) -> None:
        registration = self.registration
        self.tracker.update_boot()
        self.crash_watch.boot_changed()
        current = registration.current
        if current is not None and current.slots > 0:
            self.queue.set_slots(current.slots)
        if not registration.available:
            self.owner.reject_queued(Cause.DRAINING)
        self.membership.announce(ready=registration.available)

    def _instance_crashed(self, crash: Crash) -> None:
        self.metrics.instance_crashed()
        self.crash_reports.report_crash(crash)
        self.crash_archive.keep_crash(crash)

    def _request_blocked(self, fingerprint: int, crashes: int, seconds: float) -> None:
        log_event(
            Event.REQUEST_BLOCKED,
            fingerprint=f"{fingerprint:016x}",
            crashes=crashes,
            seconds=round(seconds, 1),
        )
        self.crash_archive.keep_block(fingerprint)

    def member_removed(self, name: str) -> None:
        """Forget a member that has left, died or restarted."""
        self.links.drain_link(name)
        self.placement.forget(name)
        self.ejection.forget(name)
        member = self.membership.view.get(name)
        restarted = member is not None and member.health is Health.ALIVE
        if restarted and self.notices.of_member(name):
            self.links.link_to(member).open()  # tells the new process what it has lost
        if member is not None:
            self.departures.member_changed(member)
        if restarted:
            self.departure_copies.member_restarted(member)

    def _link_failed(self, member: Member) -> None:
        """Pause new requests to the member, and have the membership probe it now."""
        self.placement.pause(member.name, self.clock.monotonic(), LINK_FAILURE_PAUSE)
        self.membership.probe_now(member.name)

    def _owner_finished(self, call: CallFrame, result: Result, seconds: float) -> None:
        self.log.owner_finished(call, result, seconds)
        self.metrics.request_ended("owner", call.route, result, seconds)

    def _origin_finished(self, req: OriginRequest, result: Result) -> None:
        self.log.origin_finished(req, result)
        seconds = self.clock.monotonic() - req.arrived_at
        self.metrics.request_ended("origin", req.route_key, result, seconds)

    def _caller_refused(self, head: RequestHead, route: Route | None, reason: str) -> None:
        self.log.refused(head, route, reason, self.holder.version)
        self.metrics.caller_refused(reason)

    def request_unanswered(self, exchange: Exchange, closed_by: ClosedBy) -> None:
        """Record a request whose connection ended before its answer."""
        held_by = self.origin.holder_of(exchange)
        self.log.unanswered(self._request_id(exchange), closed_by, held_by)
        self.metrics.request_unanswered(closed_by.value)

    def _request_id(self, exchange: Exchange) -> bytes:
        wanted = self.cfg.header_names.request_id.lower()
        for name, value in exchange.request.headers:
            if name.lower() == wanted:
                return value
        return b""

    def _retry_requested(self, req: OriginRequest, result: Result, paid: bool) -> None:
        self.log.retried(req, result, paid)
        self.metrics.retry_requested(req.service, paid)

    # Periodic tasks.

    def periodic_tasks(self) -> list[Callable[[], Coroutine[None, None, None]]]:
        """Return the node's own loops, which run from its start to its end."""
        return [self._recall_departures, self._tick, self._housekeeping]

    async def _recall_departures(self) -> None:
        if self.departures is not None:
            await self.departures.recall(lambda: self.seeds.looked_up)

    async def _tick(self) -> None:
        factors = varied_factors()
        while True:
            period = PRICE_UPDATE_PERIOD * next(factors)
            began = self.clock.monotonic()
            self.pauses.expect(period)
            await asyncio.sleep(period)
            self.pauses.observe()
            now = self.clock.monotonic()
            if self.pauses.has_backlog(now):
                self.owner.reject_queued(Cause.FULL)
            self.metrics.observe_loop_lag(now - began - period)
            self.owner.update_price(now)
            self.memory_bounds.review()

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
            self.notices.remove_expired()
            self.departures.renew_copies()
            self.departure_copies.remove_expired()
            self.crash_archive.review()
            members = self.membership.count_possible()
            self.budget.set_nodes(members)
            self.connection_limits.update(members, self.queue.limit)
            policy = self.holder.policy
            if policy is not None:
                self.budget.refill(list(policy.services), self.clock.monotonic())

    # Readiness and stop.

    @property
    def ready(self) -> bool:
        """Return whether callers should send requests to this node."""
        return not self.drain.begun and self.holder.policy is not None

    def answer_readiness(self, exchange: Exchange) -> None:
        """Answer whether the node is ready."""
        exchange.respond(OK if self.ready else UNAVAILABLE, b"", b"")

    async def stop(self) -> None:
        """Stop gracefully: serve until callers can have noticed, answer everything, leave."""
        dependencies = StopDependencies(
            drain=self.drain,
            clock=self.clock,
            callers=self.callers,
            other_servers=(self.readiness, self.announcements, self.metrics_server),
            listener=self.listener,
            origin=self.origin,
            owner=self.owner,
            registration=self.registration,
            membership=self.membership,
            seeds=self.seeds,
            store=self._store,
            tasks=self._tasks,
        )
        await NodeStop(dependencies).run()

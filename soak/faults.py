"""Injects the faults of a plan into a running fleet. Faults may overlap."""

import asyncio
import signal
import time
from contextlib import suppress
from random import Random

from soak.api_keys import KeyRing
from soak.clients import Callers
from soak.heavy_load import HeavyLoad
from soak.observation import RouteChange
from soak.plan import START_KINDS, Fault, FaultKind
from soak.process_control import ProcessControl
from soak.routes import SERVICES, build_routes
from soak.start_faults import StartFaults
from standins.mesh_fleet import HOST_NAME, MeshFleet, NodeProcess
from standins.worker import DEADLY_BODY, send_request

PROXY_DELAY = 0.2  # seconds, of delayed links
LOSS_RATE = 0.4  # share of lost datagrams and of dropped responses
RESTORED_COPY_AGE = 5.0  # seconds, at the start of the fault
SURGE_FACTOR = 4.0
SLOW_FACTOR = 8.0
ENDLESS_RATE = 0.1  # share of the responses
RATE_LIMITS = (0.0, 0.5, 2.0)  # requests a second that a worker names
LIMIT_DURATION = 7.0  # seconds; longer than the window of the check
EARLY_HANGUP_TIME = 0.1  # seconds after the start within which a SIGHUP is sent
RESTART_DELAY = 1.0  # seconds from the end of a process to its start, if no fault draws it
DEADLY_PERIOD = 0.3  # seconds between the requests that crash workers
DEADLY_TIMEOUT = 3.0  # seconds
DEADLY_PATH = "/views/1"
SILENT_SHARES = (0.5, 0.7, 1.0)  # of the open connections to the store


class FaultInjector:
    """Injects faults, and records the changes of the route `moving`."""

    def __init__(
        self, fleet: MeshFleet, callers: Callers, rng: Random, ring: KeyRing | None = None
    ) -> None:
        self.control = ProcessControl(fleet)
        self.start_faults = StartFaults(fleet, self.control)
        self.changes: list[RouteChange] = []
        self.heavy_load: HeavyLoad | None = None
        self._fleet = fleet
        self._callers = callers
        self._rng = rng
        self._ring = ring
        self._active: list[Fault] = []

    async def inject(self, fault: Fault) -> None:
        """Start a fault now; returns after its end."""
        node = self._fleet.nodes[fault.node]
        match fault.kind:
            case FaultKind.NODE_KILL | FaultKind.NODE_STOP:
                await self._end_process(node, fault)
            case FaultKind.NODE_HANGUP:
                self.control.hang_up(node)
            case FaultKind.NODE_EARLY_HANGUP:
                await self._hang_up_early(node, fault)
            case FaultKind.NODE_FROZEN_STOP:
                await self._stop_frozen(node, fault)
            case FaultKind.SIZES | FaultKind.BODY_BURST | FaultKind.IDLE_CONNECTIONS:
                if self.heavy_load is not None:
                    await self.heavy_load.run(fault)
            case FaultKind.WORKER_REPLACE:
                await self._replace_worker(node, announced=True)
            case FaultKind.WORKER_LEAVES:
                await self._replace_worker(node, announced=False)
            case FaultKind.WORKER_LIMITS:
                await self._limit_worker(node)
            case FaultKind.WORKER_DIES:
                await self._send_deadly(fault)
            case FaultKind.CHANGE:
                await self._change_route()
            case FaultKind.KEY_WITHDRAWN:
                await self._withdraw_key()
            case FaultKind.STORE_COMPACT:
                await self._fleet.store.compact()
            case FaultKind.STORE_LOSES:
                self._fleet.store.responses_to_drop += 1
            case FaultKind.STORE_CONNECTIONS_SILENT:
                rng = Random(f"silence {fault!r}")
                self._fleet.store.silence_connections(rng.choice(SILENT_SHARES), rng)
            case kind if kind in START_KINDS:
                await self.start_faults.run(fault)
            case _:
                await self._inject_temporary(node, fault)

    async def _end_process(self, node: NodeProcess, fault: Fault) -> None:
        if not node.running:
            return
        if fault.kind is FaultKind.NODE_STOP:
            self.control.terminate(node)
        else:
            node.signal(signal.SIGKILL)
        await self.control.restart(node, fault.duration)

    async def _hang_up_early(self, node: NodeProcess, fault: Fault) -> None:
        if not node.running:
            return
        node.signal(signal.SIGKILL)
        await self.control.restart(node, fault.duration)
        await asyncio.sleep(Random(f"hang up {fault!r}").uniform(0.0, EARLY_HANGUP_TIME))
        self.control.hang_up(node)

    async def _stop_frozen(self, node: NodeProcess, fault: Fault) -> None:
        if not node.running:
            return
        boot = node.boot
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration)
        if node.boot != boot or not node.running:
            return
        if Random(f"order {fault!r}").random() < 0.5:
            node.signal(signal.SIGCONT)
            self.control.terminate(node)
        else:
            self.control.terminate(node)
            node.signal(signal.SIGCONT)
        await self.control.restart(node, RESTART_DELAY)

    async def _replace_worker(self, node: NodeProcess, announced: bool) -> None:
        if node.worker.listening:
            await node.worker.drain_and_restart(announced)

    async def _limit_worker(self, node: NodeProcess) -> None:
        if node.worker.rate_limit is not None:
            return
        node.worker.rate_limit = self._rng.choice(RATE_LIMITS)
        await asyncio.sleep(LIMIT_DURATION)
        node.worker.rate_limit = None

    async def _send_deadly(self, fault: Fault) -> None:
        """Send one request that crashes workers again and again, at any node."""
        body = DEADLY_BODY + f"{fault.node} {fault.start}".encode()
        rng = Random(body)
        senders: set[asyncio.Task[None]] = set()
        for number in range(int(fault.duration / DEADLY_PERIOD)):
            node = rng.choice(list(self._fleet.nodes.values()))
            request_id = f"deadly-{fault.start}-{number}"
            senders.add(asyncio.create_task(_send_ignoring_failure(node, request_id, body)))
            await asyncio.sleep(DEADLY_PERIOD)
        await asyncio.gather(*senders)

    async def _change_route(self) -> None:
        others = [s for s in SERVICES if s != self.changes[-1].service]
        service = self._rng.choice(others)
        sent_at = time.monotonic()
        await self._fleet.publish(build_routes(service))
        self.changes.append(RouteChange(time.monotonic(), service, sent_at))

    async def _withdraw_key(self) -> None:
        if self._ring is None:
            return
        keys = self._ring.replace_key(self._rng)
        self._fleet.workspaces = self._ring.workspaces()
        await self._fleet.publish(self._fleet.routes)
        self._ring.confirm(*keys)

    async def _inject_temporary(self, node: NodeProcess, fault: Fault) -> None:
        self._active.append(fault)
        match fault.kind:
            case FaultKind.LINK_RESET:
                node.link_proxy.reset()
            case FaultKind.APP_RESET:
                node.app_proxy.reset()
            case FaultKind.NODE_FREEZE:
                node.signal(signal.SIGSTOP)
            case FaultKind.WORKER_CRASH:
                await node.worker.crash()
            case FaultKind.SURGE:
                self._callers.rate *= SURGE_FACTOR
        self._apply_active(node)
        await asyncio.sleep(fault.duration)
        if fault.kind is FaultKind.STORE_RESTORE:
            await self._fleet.store.restore(fault.duration + RESTORED_COPY_AGE)
            await self._fleet.publish_again()
        self._active.remove(fault)
        self._apply_active(node)
        match fault.kind:
            case FaultKind.NODE_FREEZE if not self._is_active(FaultKind.NODE_FREEZE, node):
                node.signal(signal.SIGCONT)
            case FaultKind.WORKER_CRASH if not self._is_active(FaultKind.WORKER_CRASH, node):
                if not node.worker.listening:
                    await node.worker.start()
            case FaultKind.SURGE:
                self._callers.rate /= SURGE_FACTOR

    def _is_active(self, kind: FaultKind, node: NodeProcess | None = None) -> bool:
        """Return whether a fault of a kind is active, at one node or at any."""
        return any(
            fault.kind is kind and (node is None or fault.node == node.name)
            for fault in self._active
        )

    def _apply_active(self, node: NodeProcess) -> None:
        """Set proxies, worker and store to the state that the active faults require."""
        link, app, worker, store = node.link_proxy, node.app_proxy, node.worker, self._fleet.store
        link.delay = PROXY_DELAY if self._is_active(FaultKind.LINK_DELAY, node) else 0.0
        link.drop_responses = self._is_active(FaultKind.LINK_ONE_WAY, node)
        link.blackhole = self._is_active(FaultKind.LINK_SILENT, node)
        lossy = self._is_active(FaultKind.DATAGRAM_LOSS, node)
        link.datagram_loss_rate = LOSS_RATE if lossy else 0.0
        app.delay = PROXY_DELAY if self._is_active(FaultKind.APP_DELAY, node) else 0.0
        worker.slowdown = SLOW_FACTOR if self._is_active(FaultKind.WORKER_SLOW, node) else 1.0
        drops = self._is_active(FaultKind.WORKER_LOSES, node)
        worker.response_loss_rate = LOSS_RATE if drops else 0.0
        endless = self._is_active(FaultKind.WORKER_ENDLESS, node)
        worker.endless_rate = ENDLESS_RATE if endless else 0.0
        store.fault_mode = self._store_fault_mode()

    def _store_fault_mode(self) -> str:
        if self._is_active(FaultKind.STORE_SILENT):
            return "silent"
        if self._is_active(FaultKind.STORE_BUSY) or self._is_active(FaultKind.STORE_RESTORE):
            return "busy"
        return ""


async def _send_ignoring_failure(node: NodeProcess, request_id: str, body: bytes) -> None:
    headers = {"Host": HOST_NAME, "X-Request-Id": request_id, "X-Request-Deadline": "1500"}
    with suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(DEADLY_TIMEOUT):
            await send_request(node.outbound, "POST", DEADLY_PATH, headers, body)

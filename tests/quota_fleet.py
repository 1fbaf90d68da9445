"""Test helper: the quotas of many nodes over an in-memory network, in virtual time."""

import asyncio
from bisect import bisect_left
from collections.abc import Callable, Iterable
from random import Random

from tests.mesh_builders import make_policy
from tests.policy_fleet import PolicyFleet, PolicyNode
from thorntray.internal.membership.gossip import Address
from thorntray.internal.request.quota_wait import QuotaRefusal
from thorntray.internal.request.quotas import Quotas
from thorntray.internal.version.workspaces import Workspace, Workspaces

WINDOW = 5.0  # seconds
POLICY = make_policy()
STEP = 0.01  # seconds between the requests that a load sends at once


class _QuotaNode(PolicyNode):
    """A node with quotas; `suspended` nodes get their datagrams when they go on."""

    def __init__(self, fleet: "QuotaFleet", name: str, domain: str) -> None:
        super().__init__(fleet.network, fleet.store, name, domain)
        self.quota_fleet = fleet
        self.suspended = False
        self._inbox: list[tuple[bytes, Address]] = []
        self.workspaces = fleet.workspaces
        self.quotas = Quotas(
            self.membership,
            lambda: POLICY._replace(workspaces=self.workspaces),
            lambda: self.seeds.looked_up,
            self.clock,
            Random(f"quota {name}"),
        )

    def start(self) -> None:
        super().start()
        self._quota_task = asyncio.ensure_future(self.quotas.run())

    def receive(self, data: bytes, address: Address) -> None:
        if self.suspended:
            self._inbox.append((data, address))
        else:
            super().receive(data, address)

    async def kill(self) -> None:
        """End without notice."""
        self.running = False
        self._quota_task.cancel()
        self._task.cancel()
        await self.membership.stop()
        await self.seeds._tasks.stop()

    async def suspend(self) -> None:
        """Stop all timers of the node; what it had sent is on its way."""
        self.suspended = True
        self._quota_task.cancel()
        await self.membership.stop()

    def resume(self) -> None:
        """Go on with the datagrams of the time in between."""
        self.suspended = False
        self.membership.start()
        self._quota_task = asyncio.ensure_future(self.quotas.run())
        inbox, self._inbox = self._inbox, []
        for data, address in inbox:
            self.receive(data, address)


class QuotaFleet(PolicyFleet):
    """Nodes with quotas, and the times of all requests that they admit or refuse."""

    def __init__(self, count: int, workspaces: list[Workspace], seed: int = 1) -> None:
        self.workspaces = Workspaces.from_keys([(w, []) for w in workspaces])
        self.admitted: list[float] = []
        self.refused: list[tuple[float, QuotaRefusal]] = []
        self.rng = Random(seed)
        super().__init__(0, seed=seed)
        for index in range(count):
            self.add(f"n{index:04}", f"d{index % 3}")

    def add(self, name: str, domain: str) -> _QuotaNode:
        node = _QuotaNode(self, name, domain)
        self.network.nodes[name] = node
        self.network.nodes_by_address[node.address] = node
        return node

    def restart(self, name: str) -> None:
        """Start a new process in place of one that was killed."""
        old = self.nodes[name]
        old_address = old.address
        self.network.next_port = old_address.port - 1
        node = self.add(name, old.membership.own.domain)
        self.network.next_port = 1000
        assert node.address == old_address
        node.start()

    def set_limits(self, workspace: Workspace, names: Iterable[str] | None = None) -> None:
        """Put another version of a workspace in force."""
        workspaces = Workspaces.from_keys([(workspace, [])])
        for name in names if names is not None else self.nodes:
            self.nodes[name].workspaces = workspaces

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def coordinator(self, workspace: str, of: str = "n0000") -> str:
        """Return who coordinates a workspace in the view of a node."""
        return self.nodes[of].quotas._members.coordinator(workspace)

    def request(self, name: str, workspace: str) -> None:
        """Send a request of a workspace to a node."""
        node = self.nodes[name]
        if node.suspended or not node.running:
            return
        ws = node.workspaces.find(workspace)
        if node.quotas.take(ws):
            self.admitted.append(self.now)
            return
        outcome = node.quotas.wait(ws, self._decided)
        if isinstance(outcome, QuotaRefusal):
            self._decided(outcome)

    def _decided(self, refusal: QuotaRefusal | None) -> None:
        if refusal is None:
            self.admitted.append(self.now)
        else:
            self.refused.append((self.now, refusal))

    async def load(
        self, workspace: str, rate: float, seconds: float, node_at: Callable[[int], str]
    ) -> int:
        """Send requests evenly; `node_at` returns the node of the nth. Return their number."""
        began, sent = self.now, 0
        while self.now < began + seconds:
            while sent < (self.now - began) * rate:
                self.request(node_at(sent), workspace)
                sent += 1
            await asyncio.sleep(min(STEP, 1 / rate))
        return sent

    def most_in_window(self, since: float = 0.0) -> int:
        """Return the most requests admitted in any window that begins after `since`."""
        times = sorted(t for t in self.admitted if t >= since)
        return max((bisect_left(times, t + WINDOW) - i for i, t in enumerate(times)), default=0)

    def admitted_between(self, begin: float, end: float) -> int:
        return sum(begin <= t < end for t in self.admitted)


def bound(rate: float, burst: float) -> float:
    """Return the most requests that a window may hold."""
    return (rate * WINDOW + burst) * 1.1 + 20


def run_fleet(scenario, count: int = 60, workspaces=(), seed: int = 1):
    """Run a scenario with a started fleet in virtual time and return its result."""
    from tests.builders import run_virtual

    async def work():
        fleet = QuotaFleet(count, list(workspaces), seed)
        await fleet.start()
        return await scenario(fleet)

    return run_virtual(work())

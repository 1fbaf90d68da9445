"""Test helper: a fleet in virtual time whose nodes need evidence to serve API keys.

Version n + 1 of their policy withdraws `key-n` (`make_key_policy`).
"""

import asyncio
from collections.abc import Callable

from tests.builders import LoopClock
from tests.fleet_builders import MemoryFleet
from tests.mesh_builders import make_key_policy, make_route
from tests.policy_fleet import KEY, CountingStore, NodeStore, PolicyFleet, PolicyNode
from thorntray.errors import BadDocument, PlatformUnavailable
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.caller_identity import CallerIdentity
from thorntray.internal.store.freshness_check import FreshnessCheck
from thorntray.internal.store.policy_watch import POLICY_REVISION_KEY, WatchWait
from thorntray.internal.store.store_calls import WatchBatch
from thorntray.internal.store.store_epoch import StoreEpoch
from thorntray.internal.version.freshness import Freshness
from thorntray.internal.version.policy import Policy
from thorntray.internal.version.workspaces import Workspace

BOUND = 5.0  # seconds, as on the deployments with strict revocation
SAMPLE_PERIOD = 0.05  # seconds
SILENCE = 2.0  # seconds until a call that is not answered fails


class SuspendableClock(LoopClock):
    """A clock of a machine that was suspended for `suspended` seconds."""

    def __init__(self) -> None:
        self.suspended = 0.0

    def boottime(self) -> float:
        return self.monotonic() + self.suspended


class RestorableStore(CountingStore):
    """A store with an epoch; `silent` names the nodes that get no answer."""

    def __init__(self) -> None:
        super().__init__()
        self.epoch.observe(1)
        self.silent: set[str] = set()

    def of_node(self, name: str) -> "RestorableNodeStore":
        return RestorableNodeStore(self, name)

    def restore(self, values: dict[str, tuple[bytes, int]]) -> None:
        """Return to an older copy, in a new epoch."""
        self.values = dict(values)
        self.revision = max((revision for _, revision in values.values()), default=1)
        self.epoch.observe(self.epoch.current + 1)
        self._change_event.set()
        self._change_event = asyncio.Event()


class RestorableNodeStore(NodeStore):
    """The store as one node sees it, which learns of the epoch from answers only."""

    def __init__(self, store: RestorableStore, name: str) -> None:
        super().__init__(store, name)
        self.epoch = StoreEpoch()

    async def _answered(self) -> None:
        if self._name in self._store.silent:
            await asyncio.sleep(SILENCE)
            raise PlatformUnavailable("no answer")
        self.epoch.observe(self._store.epoch.current)

    async def read(self, key: str, *, prefix: bool = False):
        reply = await super().read(key, prefix=prefix)
        await self._answered()
        return reply

    async def watch(self, prefix: str, start_revision: int, wait: WatchWait):
        epoch = self.epoch.current
        async for batch in super().watch(prefix, start_revision, wait):
            await self._answered()
            if self.epoch.current > epoch:
                yield WatchBatch((), batch.revision, compacted=True)
                return
            yield batch


class FreshNode(PolicyNode):
    """A policy node with the exchange of evidence."""

    make_clock = SuspendableClock
    bound: float | None = BOUND

    def __init__(self, fleet: MemoryFleet, store: CountingStore, name: str, domain: str) -> None:
        super().__init__(fleet, store, name, domain)
        self.freshness = Freshness(self.clock, self.bound)
        self.identity = CallerIdentity(self.freshness, self.clock)
        self.check: FreshnessCheck | None = None
        self.tasks = BackgroundTasks()
        if not self.freshness.strict:
            return
        self.check = FreshnessCheck(
            self.freshness,
            self.holder,
            self.membership,
            self.watch.duty,
            self.watch.read_again,
            lambda peer, v: self.watch.on_revisions(peer, {POLICY_REVISION_KEY: v}),
            self.clock,
            self.rng,
        )
        self.watch.evidence = self.check

    def start(self) -> None:
        super().start()
        if self.check is not None:
            self.tasks.spawn(self.check.query_peers())
            self.tasks.spawn(self.check.check_store())

    async def kill(self) -> None:
        """End the node's process."""
        self.running = False
        self._task.cancel()
        await self.tasks.stop()
        await self.membership.stop()
        await self.seeds._tasks.stop()

    def decode(self, document: bytes) -> Policy:
        if not document.isdigit():
            raise BadDocument("not a version")
        return make_key_policy(int(document))

    def serves(self, key: str) -> bool:
        """Return whether a request with a key would run now."""
        policy = self.holder.policy
        if not self.running or policy is None:
            return False
        authorization = f"Bearer {key}".encode()
        caller = self.identity.identify(policy, make_route(), authorization, lambda: False)
        return isinstance(caller, Workspace)

    @property
    def evidence_age(self) -> float:
        """Return the age of the evidence for the policy in force in seconds."""
        return self.freshness.age(self.holder.version)

    def _on_change(self, policy: Policy) -> None:
        super()._on_change(policy)
        if self.check is not None:
            self.check.policy_changed()


class FreshFleet(PolicyFleet):
    """Nodes that serve the key `key-1` of policy version 1."""

    node_type = FreshNode
    store_type = RestorableStore

    def watchers(self, domain: str | None = None) -> set[str]:
        """Return the names of the nodes that watch the store, of one domain or of all."""
        return {
            name
            for name, node in self.nodes.items()
            if node.running
            and node.watch.duty.on_duty()
            and domain in (None, node.membership.own.domain)
        }

    def withdraw_key(self, version: int = 1) -> None:
        """Write the next version, which withdraws the version's key."""
        self.store.write(KEY, str(version + 1).encode())

    async def sample(self, seconds: float, take: Callable[[float], None]) -> None:
        """Call `take` with the seconds since the start of sampling, in short periods."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() - began < seconds:
            take(loop.time() - began)
            await asyncio.sleep(SAMPLE_PERIOD)

    async def last_served(self, key: str, seconds: float) -> dict[str, float]:
        """Return for how many seconds from now each node served a key, minus 1 for never."""
        last = dict.fromkeys(self.nodes, -1.0)

        def take(elapsed: float) -> None:
            for name, node in self.nodes.items():
                if node.serves(key):
                    last[name] = elapsed

        await self.sample(seconds, take)
        return last

    async def refusals(self, key: str, seconds: float) -> set[str]:
        """Return the names of the running nodes that refused a key at any time."""
        refusing: set[str] = set()

        def take(elapsed: float) -> None:
            running = [node for node in self.nodes.values() if node.running]
            refusing.update(node.name for node in running if not node.serves(key))

        await self.sample(seconds, take)
        return refusing

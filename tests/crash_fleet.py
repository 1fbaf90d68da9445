"""Test helper: whole nodes in virtual time whose instances crash of some requests and return."""

import asyncio
from typing import NamedTuple

from tests.instance_replies import answer_bytes
from tests.mesh_builders import HOST, request_bytes
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.overload.crash_suspects import Crash
from thorntray.internal.request.fingerprint import fingerprint

CULPRIT = "/prices/culprit"
OTHER_CULPRIT = "/prices/other-culprit"
SERVICE_TIME = 0.12  # seconds that an instance takes for a request
RESTART_TIME = 3.0  # seconds from a crash to the next boot
ANNOUNCEMENT_PERIOD = 1.5  # seconds
KNOWN_TIME = 3.0  # seconds in which all nodes must know what is blocked
SLOTS = 100


class InstanceCrash(NamedTuple):
    """A crash of an instance by the request of a path; `at` in seconds of the event loop."""

    at: float
    path: str
    instance: str


class Restart(NamedTuple):
    """How an instance starts again: after some seconds, and what it announces then."""

    seconds: float = RESTART_TIME
    new_id: bool = True
    names_start: bool = False


NEW_UNNAMED_BOOT = Restart()


class CrashingInstance:
    """Reply of an instance that crashes of some paths and is back later as a new boot."""

    def __init__(self, fleet, name, run, restart=NEW_UNNAMED_BOOT):
        self.served = 0
        self._restart = restart
        self._boots = 0
        self._sequence = 0
        self._fleet, self._name, self._run = fleet, name, run
        self._writers = set()

    async def __call__(self, request_id, writer):
        self._writers.add(writer)
        path = self._fleet.instances[self._name].heads[-1].split(b" ")[1].decode()
        if path in (CULPRIT, OTHER_CULPRIT):
            crashed_at = asyncio.get_running_loop().time()
            self._run.crashes.append(InstanceCrash(crashed_at, path, self._name))
            self._crash()
            return
        boots = self._boots
        await asyncio.sleep(SERVICE_TIME)
        if boots == self._boots and not writer.is_closing():
            self.served += 1
            writer.write(answer_bytes(request_id))

    def _crash(self):
        self._boots += 1
        self._sequence = 0
        loop = asyncio.get_running_loop()
        loop.refusing.add(self._address)
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        loop.call_later(self._restart.seconds, self._start_again)

    def _start_again(self):
        asyncio.get_running_loop().refusing.discard(self._address)
        self._announce()

    def _announce(self):
        self._sequence += 1
        self._fleet.announce(self._name, sequence=self._sequence, **self.boot)

    async def announce_periodically(self):
        """Announce the instance while it is up, until cancelled."""
        while True:
            if self._address not in asyncio.get_running_loop().refusing:
                self._announce()
            await asyncio.sleep(ANNOUNCEMENT_PERIOD)

    @property
    def _address(self):
        return HOST, self._fleet.instances[self._name].port

    @property
    def boot(self):
        """Return the fields of the boot's announcements."""
        suffix = f"-{self._boots}" if self._restart.new_id else ""
        started_ms = 1000 * (self._boots + 1) if self._restart.names_start else 0
        return {"instance_id": self._name + suffix, "started_ms": started_ms, "slots": SLOTS}


class Run:
    """What happened in one run: the crashes, and the statuses that callers got, by path.

    `available` tells for each instance whether its node sends it work at the end, `served_at_end`
    how many of the last requests it served.
    """

    def __init__(self):
        self.crashes = []
        self.statuses = {}
        self.available = []
        self.served_at_end = []

    def most_down(self):
        """Return the most instances that were down at one moment."""
        return max(
            len({c.instance for c in self.crashes if moment - RESTART_TIME < c.at <= moment})
            for moment in [crash.at for crash in self.crashes]
        )

    def late_sends(self, path):
        """Return the crashes of a path later than `KNOWN_TIME` after its third one."""
        times = [crash.at for crash in self.crashes if crash.path == path]
        return [at for at in times[3:] if at > times[2] + KNOWN_TIME]

    def last_statuses(self, prefix):
        """Return the last status of each path that begins with `/prices/` and the prefix."""
        return [s[-1] for path, s in self.statuses.items() if path.startswith(f"/prices/{prefix}")]


class Load(NamedTuple):
    """The requests of a run: `beside` innocent ones, then culprits every `period` seconds."""

    instances: int = 3
    beside: int = 16
    period: float = 0.45  # seconds
    seconds: float = 14.0
    culprits: tuple[str, ...] = (CULPRIT,)
    restart: Restart = NEW_UNNAMED_BOOT


async def get(fleet, run, node, path, number):
    """Send a request and record its status; one retry of the caller after a failure."""
    for attempt in range(2):
        reader, writer = await asyncio.open_connection(*fleet.nodes[node].cfg.callers)
        writer.write(request_bytes(b"GET", path, f"{number}-{attempt}"))
        answer = await reader.read(1 << 20)
        writer.close()
        run.statuses.setdefault(path, []).append(int(answer[9:12]))
        if answer[9:12] == b"200":
            return


async def start_fleet(fleet, run, count, restart=NEW_UNNAMED_BOOT):
    """Start nodes with `count` crashing instances and two of another service.

    Returns the instances by the names of their nodes, and the tasks that announce them.
    """
    instances = {f"t{n}": CrashingInstance(fleet, f"t{n}", run, restart) for n in range(count)}
    for name, instance in instances.items():
        await fleet.add(name, "tariff", instance, **instance.boot)
    for name in ("h1", "h2"):
        await fleet.add(name, "haul")
    tasks = [asyncio.ensure_future(i.announce_periodically()) for i in instances.values()]
    await fleet.share_membership()
    return instances, tasks


def report_crash(fleet, crash_id, paths, age=0.0):
    """Tell all nodes of a crash `age` seconds ago, with the requests of some paths."""
    ran = frozenset(fingerprint("prices", b"GET", path.encode(), "", b"") for path in paths)
    crashed_at = fleet.clock.boottime() - age
    for node in fleet.nodes.values():
        node.suspects.add_crash(Crash(crash_id, crashed_at, len(ran), ran))


def run_load(load):
    """Run a load with whole nodes in virtual time; return what happened."""

    async def scenario(fleet):
        run = Run()
        instances, announcing = await start_fleet(fleet, run, load.instances, load.restart)
        entries = list(fleet.nodes)
        warm_up = [get(fleet, run, "h1", f"/prices/warm-{n}", f"w{n}") for n in range(80)]
        await asyncio.gather(*warm_up)
        run.statuses.clear()
        tasks = []

        def send(path, number):
            node = entries[number % len(entries)]
            tasks.append(asyncio.ensure_future(get(fleet, run, node, path, f"{path}{number}")))

        for number in range(load.beside):
            send(f"/prices/beside-{number}", number)
        await asyncio.sleep(0.05)
        for number in range(int(load.seconds / load.period)):
            for culprit in load.culprits:
                send(culprit, number)
            send(f"/prices/after-{number}", number + 1)
            await asyncio.sleep(load.period)
        await asyncio.gather(*tasks)
        served = [instance.served for instance in instances.values()]
        for number in range(20):
            await get(fleet, run, "h1", f"/prices/end-{number}", f"e{number}")
        run.served_at_end = [i.served - n for i, n in zip(instances.values(), served, strict=True)]
        for task in announcing:
            task.cancel()
        run.available = [fleet.nodes[name].registration.available for name in instances]
        return run

    return run_virtual_scenario(scenario)

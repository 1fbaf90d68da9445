"""API keys at real nodes over loopback, with the client of the store and a stand-in of it."""

import asyncio
import itertools
import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from kv_store import KvStore  # noqa: E402
from node_process import STORE_CALLS_PER_SECOND  # noqa: E402
from standins.fleet import free_port  # noqa: E402
from standins.kv_store import KvStoreStandIn  # noqa: E402
from tests.mesh_builders import (  # noqa: E402
    HOST,
    MeshFleet,
    make_key_policy,
    make_route,
    request_bytes,
)
from thorntray.internal.connection.http_client import KeptConnections  # noqa: E402
from thorntray.internal.process.clock import SystemClock  # noqa: E402
from thorntray.internal.store.freshness_check import PERIOD_JITTER, WATCH_WAIT  # noqa: E402
from thorntray.internal.store.store_calls import StoreCalls  # noqa: E402
from thorntray_node.mesh_start import SEED_TIMING  # noqa: E402
from wire_names import STORE_EPOCH_HEADER  # noqa: E402

BOUND = 5.0  # seconds
CALLER_HOST = "127.0.0.2"  # not the address of the instances, whose calls need no key
LOOP_DELAY = 0.3  # seconds that a loaded machine may take for a request
JOIN_TIME = 10.0  # seconds, the most that the nodes take until they serve keys
ROUTES = [make_route(), make_route(name="status", prefix="/status/", anonymous=True)]


class KeyFleet(MeshFleet):
    """Nodes with strict revocation. Each has a client of the store with an endpoint of its own."""

    def __init__(self):
        super().__init__()
        self.stand_in = KvStoreStandIn()
        self.port = free_port()
        self.clients = {}
        self.heartbeats = None

    def decode_policy(self, document):
        return make_key_policy(int(document), ROUTES)

    def make_store(self, name):
        calls = StoreCalls(
            [f"http://{HOST}:{self.port}"],
            KeptConnections(SystemClock()),
            SystemClock(),
            Random(name),
            STORE_CALLS_PER_SECOND,
            epoch_header=STORE_EPOCH_HEADER,
        )
        self.clients[name] = calls
        return KvStore(calls)

    async def start(self):
        """Start the store and a node for each of two domains, and wait until both serve keys."""
        await self.stand_in.start(HOST, self.port)
        await self.stand_in.write("policy", b"1")
        for name, domain in (("n1", "a"), ("n2", "b")):
            await self.add(name, "tariff", domain=domain)
        async with asyncio.timeout(JOIN_TIME):
            for name in self.nodes:
                while await self.status(name, "/prices/1", "key-1") != 200:
                    await asyncio.sleep(0.1)
        self.heartbeats = asyncio.ensure_future(self._send_heartbeats())

    async def _send_heartbeats(self):
        for sequence in itertools.count(2):
            for name in self.nodes:
                self.announce(name, sequence=sequence)
            await asyncio.sleep(1.0)

    async def _start_node(self, cfg):
        return await super()._start_node(cfg._replace(max_policy_age=BOUND))

    def lose_store(self, name):
        """Let all further calls of a node to the store fail."""
        self.clients[name]._endpoints = [f"http://{HOST}:{free_port()}"]

    async def status(self, name, path, key=""):
        """Send a request as a client and return the status of the answer."""
        return int((await self.ask(name, path, key)).split()[1])

    async def ask(self, name, path, key=""):
        """Send a request as a client and return the answer."""
        reader, writer = await asyncio.open_connection(
            *self.nodes[name].cfg.callers, local_addr=(CALLER_HOST, 0)
        )
        data = request_bytes(b"GET", path, f"id-{time.monotonic_ns()}")
        if key:
            data = data[:-2] + b"Authorization: Bearer %b\r\n\r\n" % key.encode()
        writer.write(data)
        answer = await reader.read(1 << 20)
        writer.close()
        return answer

    async def close(self):
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        await super().close()
        for client in self.clients.values():
            await client.close()
        await self.stand_in.close()


def run_key_fleet(scenario):
    async def work():
        fleet = KeyFleet()
        try:
            await fleet.start()
            return await asyncio.wait_for(scenario(fleet), 40)
        finally:
            await fleet.close()

    return asyncio.run(work())


def test_the_watch_calls_leave_a_part_of_the_call_limit_for_other_calls():
    """Guards against a watcher whose evidence ages while it waits for the limit."""
    watch_calls = 1 / (WATCH_WAIT * (1 - PERIOD_JITTER))
    renewals = 1 / (0.8 * SEED_TIMING.renew_period)
    assert watch_calls + renewals <= 0.75 * STORE_CALLS_PER_SECOND


def test_a_key_that_is_withdrawn_in_the_store_stops_at_all_nodes():
    async def scenario(fleet):
        await fleet.stand_in.write("policy", b"2")
        began, last = time.monotonic(), {}
        while time.monotonic() - began < 2.0:
            for name in fleet.nodes:
                if await fleet.status(name, "/prices/1", "key-1") == 200:
                    last[name] = time.monotonic() - began
        statuses = [await fleet.status(name, "/prices/1", "key-1") for name in fleet.nodes]
        new_key = [await fleet.status(name, "/prices/1", "key-2") for name in fleet.nodes]
        return last, statuses, new_key

    last, statuses, new_key = run_key_fleet(scenario)
    assert max(last.values(), default=0.0) < 1.0
    assert statuses == [401, 401]
    assert new_key == [200, 200]


def test_a_node_that_lost_the_store_refuses_keys_in_time_and_serves_anonymous_routes():
    async def scenario(fleet):
        for name in fleet.nodes:
            fleet.lose_store(name)
        began, last_served, answers = time.monotonic(), 0.0, set()
        while time.monotonic() - began < BOUND + 1.0:
            status = await fleet.status("n1", "/prices/1", "key-1")
            answers.add(status)
            if status == 200:
                last_served = time.monotonic() - began
            await asyncio.sleep(0.05)
        refusal = await fleet.ask("n1", "/prices/1", "key-1")
        anonymous = await fleet.status("n1", "/status/1")
        metrics = fleet.nodes["n1"].metrics.exposition().decode()
        return last_served, answers, refusal, anonymous, metrics

    last_served, answers, refusal, anonymous, metrics = run_key_fleet(scenario)
    assert 0.6 * BOUND - LOOP_DELAY <= last_served <= BOUND
    assert answers == {200, 503}
    assert b"retry-after" in refusal.lower()
    assert anonymous == 200
    assert 'thorntray_refused_callers_total{reason="STALE_POLICY"}' in metrics
    age = next(v for v in metrics.splitlines() if v.startswith("thorntray_policy_evidence_age"))
    assert float(age.split()[1]) > 4.0


def test_a_node_that_alone_lost_the_store_serves_keys_by_its_peer():
    async def scenario(fleet):
        fleet.lose_store("n1")
        began, refused = time.monotonic(), 0
        while time.monotonic() - began < 1.4 * BOUND:
            refused += await fleet.status("n1", "/prices/1", "key-1") != 200
            await asyncio.sleep(0.1)
        return refused

    assert run_key_fleet(scenario) == 0

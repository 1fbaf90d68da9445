"""The soak's faults end independently."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from soak.faults import PROXY_DELAY, SLOW_FACTOR, FaultInjector
from soak.plan import Fault, FaultKind
from standins.fault_proxy import FaultProxy
from standins.kv_store import KvStoreStandIn
from standins.mesh_fleet import NodeProcess
from standins.worker import Endpoint

UNUSED = Endpoint("127.0.0.1", 0)


@pytest.mark.parametrize(
    "kind, value_of, active_value",
    [
        (FaultKind.LINK_DELAY, lambda node, _: node.link_proxy.delay, PROXY_DELAY),
        (FaultKind.LINK_SILENT, lambda node, _: node.link_proxy.blackhole, True),
        (FaultKind.APP_DELAY, lambda node, _: node.app_proxy.delay, PROXY_DELAY),
        (FaultKind.WORKER_SLOW, lambda node, _: node.worker.slowdown, SLOW_FACTOR),
        (FaultKind.STORE_BUSY, lambda _, store: store.fault_mode, "busy"),
    ],
)
def test_the_end_of_a_fault_does_not_end_an_overlapping_one(kind, value_of, active_value):
    async def work():
        node, store = idle_node(), KvStoreStandIn()
        fleet = SimpleNamespace(nodes={"n1": node}, store=store)
        injector = FaultInjector(fleet, SimpleNamespace(rate=1.0), Random(1))
        initial = value_of(node, store)
        long_fault = asyncio.create_task(injector.inject(Fault(0.0, kind, "n1", 0.3)))
        for other in (kind, FaultKind.DATAGRAM_LOSS, FaultKind.SURGE):
            await injector.inject(Fault(0.0, other, "n1", 0.01))
            assert value_of(node, store) == active_value
        await long_fault
        assert value_of(node, store) == initial

    asyncio.run(work())


def idle_node():
    node = NodeProcess("n1", "tariff", "a", 1)
    node.link_proxy = FaultProxy(UNUSED, UNUSED, Random(1))
    node.app_proxy = FaultProxy(UNUSED, UNUSED, Random(1))
    node.worker = SimpleNamespace(slowdown=1.0, response_loss_rate=0.0)
    return node

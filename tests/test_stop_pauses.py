"""A node process that is paused during its stop, for longer than what is left of the stop."""

import asyncio
import re
import signal
import time
from random import Random

import pytest

from standins.mesh_fleet import HOST_NAME, STOP_TIMEOUT, MeshFleet, RouteConfig
from thorntray.internal.process.drain import CLOSE_TIME_RESERVE

pytestmark = pytest.mark.process

TIMEOUT = 9.0  # seconds; more than the pause
ROUTE = RouteConfig("prices", "tariff", timeout=TIMEOUT, target_latency=3.0)
JOIN_TIME = 2.0  # seconds
SERVICE_TIME = 1.0  # seconds; the instance answers during the pause
CONTINUE_AT = STOP_TIMEOUT - CLOSE_TIME_RESERVE + 0.15  # seconds after the SIGTERM
HEAD = "GET {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Request-Deadline: 9000\r\n\r\n"


async def read_statuses(address, request_id):
    reader, writer = await asyncio.open_connection(*address)
    writer.write(HEAD.format(ROUTE.path, HOST_NAME, request_id).encode())
    try:
        async with asyncio.timeout(TIMEOUT):
            data = await reader.read()
    except ConnectionError:
        return []
    finally:
        writer.close()
    return re.findall(rb"HTTP/1.1 (\d+) ", data)


async def pause_in_stop(instances, stopped):
    """Return the statuses that callers got, and the seconds until the process ended."""
    fleet = MeshFleet([ROUTE], {}, Random(56))
    try:
        await fleet.start(instances)
        await asyncio.sleep(JOIN_TIME)
        for each in fleet.nodes.values():
            each.worker.service_time = SERVICE_TIME
        node = fleet.nodes[stopped]
        node.signal(signal.SIGTERM)
        began = time.monotonic()
        calls = [asyncio.create_task(read_statuses(node.outbound, f"id-{n}")) for n in range(3)]
        await asyncio.sleep(0.3)
        node.signal(signal.SIGSTOP)
        node.signal(signal.SIGTERM)
        await asyncio.sleep(began + CONTINUE_AT - time.monotonic())
        node.signal(signal.SIGCONT)
        async with asyncio.timeout(STOP_TIMEOUT):
            while node.running:
                await asyncio.sleep(0.01)
        return await asyncio.gather(*calls), time.monotonic() - began
    finally:
        await fleet.close()


@pytest.mark.parametrize(
    ("instances", "stopped"),
    [([("tariff", "a")], "tariff-1"), ([("tariff", "a"), ("haul", "a")], "haul-2")],
    ids=["own instance", "instance of a peer"],
)
def test_answers_that_arrived_in_a_pause_are_passed_on_although_the_stop_is_overdue(
    instances, stopped
):
    # The timer of the stop is due before the loop has read the answers that wait in the kernel.
    statuses, seconds = asyncio.run(pause_in_stop(instances, stopped))
    assert statuses == [[b"200"]] * 3
    assert seconds < STOP_TIMEOUT + 0.2

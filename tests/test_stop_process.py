"""A node process that gets SIGTERM while callers go on using their connections."""

import asyncio
import signal
from random import Random

import pytest

from standins.mesh_fleet import HOST_NAME, STOP_TIMEOUT, MeshFleet, RouteConfig
from standins.worker import read_message

pytestmark = pytest.mark.process

ROUTES = [RouteConfig("prices", "tariff", timeout=3.0, target_latency=2.0)]
JOIN_TIME = 3.0  # seconds until the nodes know each other
SERVICE_TIME = 0.4  # seconds
SEND_PERIOD = 0.04  # seconds
PIPELINED = 3  # requests sent before the first answer is read
HEAD = "GET /prices/1 HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Request-Deadline: 3000\r\n\r\n"


async def read_answers(reader, request_ids, answers):
    """Record the status of each answer by request ID, until the connection ends."""
    for request_id in request_ids:
        try:
            status_line, _, _ = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        answers[request_id] = int(status_line.split(" ")[1])


async def send_pipelined(address, request_ids, answers):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write("".join(HEAD.format(HOST_NAME, i) for i in request_ids).encode())
        await read_answers(reader, request_ids, answers)
    finally:
        writer.close()


async def send_until_gone(node, answers):
    """Send requests on new connections until the node's process no longer listens."""
    tasks, number = [], 0
    while True:
        number += 1
        request_ids = [f"id-{number}-{k}" for k in range(PIPELINED if number % 3 == 0 else 1)]
        try:
            _, probe = await asyncio.open_connection(*node.outbound)
        except ConnectionError:
            break
        probe.close()
        tasks.append(asyncio.create_task(send_pipelined(node.outbound, request_ids, answers)))
        await asyncio.sleep(SEND_PERIOD)
    results = await asyncio.gather(*tasks, return_exceptions=True)
    assert all(result is None or isinstance(result, OSError) for result in results)


async def run_scenario(store_fault):
    """Return the statuses by request ID, and the IDs of the requests that a worker ran."""
    fleet = MeshFleet(ROUTES, {}, Random(25))
    answers = {}
    try:
        await fleet.start([("tariff", "a"), ("haul", "a")])
        await asyncio.sleep(JOIN_TIME)
        fleet.nodes["tariff-1"].worker.service_time = SERVICE_TIME
        node = fleet.nodes["haul-2"]
        sending = asyncio.create_task(send_until_gone(node, answers))
        await asyncio.sleep(0.5)
        fleet.store.fault_mode = store_fault
        node.signal(signal.SIGTERM)
        async with asyncio.timeout(STOP_TIMEOUT):
            while node.running:
                await asyncio.sleep(0.05)
        await sending
        return answers, {arrival.request_id for arrival in fleet.record.arrivals}
    finally:
        await fleet.close()


@pytest.mark.parametrize("store_fault", ["busy", "silent"])
def test_each_request_that_ran_is_answered_when_its_node_process_ends(store_fault):
    answers, ran = asyncio.run(run_scenario(store_fault))
    assert len(ran) > 20
    assert sorted(ran - answers.keys()) == []
    assert {answers[request_id] for request_id in ran} == {200}

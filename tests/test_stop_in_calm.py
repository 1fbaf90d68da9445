"""A planned stop in calm, with requests that arrive in each tenth of the grace time.

Guards against what another operator has reported: requests that came late in the grace time were
accepted and passed on, and were cut without an answer at its end. Real processes and sockets.
"""

import asyncio
import signal
from random import Random

import pytest

from standins.mesh_fleet import HOST_NAME, STOP_TIMEOUT, MeshFleet, RouteConfig
from standins.worker import read_message

pytestmark = pytest.mark.process

ROUTES = [
    RouteConfig("prices", "tariff", timeout=3.0, target_latency=2.0),
    RouteConfig("payouts", "tariff", kind="non_idempotent", timeout=3.0, target_latency=2.0),
]
JOIN_TIME = 3.0  # seconds until the nodes know each other
TENTHS = 10
SENT_IN_TENTH = 4  # over new connections; as many over kept ones
HEAD = (
    "{} {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Request-Deadline: 5000\r\n"
    "Content-Length: 0\r\n\r\n"
)
REFUSED, CLOSED, UNREAD = 503, "closed after sending", "refused connection"


class Caller:
    """Sends requests over one connection, and a new one once the node has closed it."""

    def __init__(self, address, keeps):
        self.address = address
        self.keeps = keeps
        self.connection = None
        self.idle = asyncio.Lock()

    async def send(self, method, path, request_id):
        """Send a request once the one before is answered; return what became of it."""
        async with self.idle:
            return await self._send(method, path, request_id)

    async def _send(self, method, path, request_id):
        try:
            if self.connection is None:
                self.connection = await asyncio.open_connection(*self.address)
        except ConnectionError:
            return UNREAD
        reader, writer = self.connection
        try:
            writer.write(HEAD.format(method, path, HOST_NAME, request_id).encode())
            status_line, headers, _ = await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.close()
            return CLOSED
        if not self.keeps or headers.get("connection", "").lower() == "close":
            self.close()
        return int(status_line.split(" ")[1])

    def close(self):
        if self.connection is not None:
            self.connection[1].close()
            self.connection = None


async def send_in_tenths(node, outcomes):
    """Send requests of both kinds in each tenth of the grace time, evenly."""
    began = asyncio.get_running_loop().time()
    kept = [Caller(node.outbound, True) for _ in range(SENT_IN_TENTH)]
    tasks = []

    async def send(caller, number):
        method, route = ("POST", ROUTES[1]) if number % 2 else ("GET", ROUTES[0])
        request_id = f"id-{number}"
        outcomes[request_id] = await caller.send(method, route.path, request_id)

    for number in range(TENTHS * SENT_IN_TENTH):
        at = began + STOP_TIMEOUT / TENTHS * number / SENT_IN_TENTH
        await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))
        new = Caller(node.outbound, False)
        tasks.append(asyncio.create_task(send(new, 2 * number + number % 2)))
        caller = kept[number % SENT_IN_TENTH]
        tasks.append(asyncio.create_task(send(caller, 2 * number + 1 - number % 2)))
    await asyncio.gather(*tasks)


async def run_stop(service_time):
    """Stop a node; return what became of each request, and the IDs that a worker ran, in order."""
    fleet = MeshFleet(ROUTES, {}, Random(31))
    outcomes = {}
    try:
        await fleet.start([("tariff", "a"), ("haul", "a")])
        await asyncio.sleep(JOIN_TIME)
        fleet.nodes["tariff-1"].worker.service_time = service_time
        node = fleet.nodes["haul-2"]
        node.signal(signal.SIGTERM)
        await send_in_tenths(node, outcomes)
        async with asyncio.timeout(STOP_TIMEOUT):
            while node.running:
                await asyncio.sleep(0.05)
        return outcomes, [arrival.request_id for arrival in fleet.record.arrivals]
    finally:
        await fleet.close()


@pytest.mark.parametrize("service_time", [0.1, 1.5])
def test_requests_that_arrive_in_a_planned_stop_are_answered_or_not_passed_on(service_time):
    outcomes, arrivals = asyncio.run(run_stop(service_time))
    ran = set(arrivals) & set(outcomes)
    assert len(ran) >= 2 * SENT_IN_TENTH
    assert {outcomes[request_id] for request_id in ran} == {200}
    others = {outcomes[request_id] for request_id in set(outcomes) - ran}
    assert others <= {REFUSED, CLOSED, UNREAD}
    assert REFUSED in others
    assert len(arrivals) == len(set(arrivals))  # nothing ran twice

"""Calls without an API key: which belong to a request that the instance runs, and which do not.

Whole nodes in virtual time. The instance of node a1 runs requests for the whole test; its calls
have IDs of their own and expire with the request that they belong to.
"""

import asyncio

from tests.mesh_builders import make_policy, make_route
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.version.workspaces import Workspace, Workspaces

# With a longer timeout than `inner`, so that the node knows late what its instance runs.
ROUTES = [make_route(), make_route(name="inner", prefix="/inner/"), make_route(name="other")]
POLICY = make_policy(routes=ROUTES)._replace(
    workspaces=Workspaces.from_keys([(Workspace("depots"), ["k-1"])])
)
KEY = b"Authorization: Bearer k-1\r\n"
VIRTUAL_HOST = "::1"  # from which connections in memory come
START_TIME = 2.0  # seconds after which the node has started all that its instance runs
PERIOD = 0.05  # seconds between calls
LATE = 0.06  # seconds; more than the tolerance with which expiries are matched
RUNNING_FOR = (2.0, 2.1, 2.3, 2.6)  # seconds until the running requests expire


def loop_time():
    return asyncio.get_running_loop().time()


class Caller:
    """Sends requests to node a1 and keeps the running requests of its instance."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.count = 0
        self.running = []

    def run_requests(self):
        """Replace the running requests by ones that expire in `RUNNING_FOR`."""
        self.end_requests()
        now = loop_time()
        self.running = [
            self.node.running.begin(now + left, 1.0, b"run-%d" % index)
            for index, left in enumerate(RUNNING_FOR)
        ]

    def end_requests(self):
        """End all running requests."""
        while self.running:
            self.node.running.end(self.running.pop())

    async def send(self, deadline, path="/inner/1", fields=b""):
        """Send a request that expires after `deadline` seconds; return the status."""
        self.count += 1
        self.fleet.announce("a1", sequence=self.count + 1)
        reader, writer = await asyncio.open_connection(*self.node.cfg.callers)
        writer.write(
            b"GET %b HTTP/1.1\r\nHost: a.example\r\nThorntray-Request-Id: %d\r\n"
            b"Thorntray-Deadline-Ms: %d\r\n%bConnection: close\r\n\r\n"
            % (path.encode(), self.count, round(deadline * 1000), fields)
        )
        answer = await reader.read(1 << 20)
        writer.close()
        return int(answer.split(b" ")[1])

    async def call(self, late=0.0):
        """Send a call of a running request, which reaches the node `late`; return the status."""
        self.run_requests()
        if late:
            asyncio.get_running_loop().stand_still(late)
        return await self.send(RUNNING_FOR[self.count % len(RUNNING_FOR)])

    async def calls(self, count, late=0.0):
        """Send calls one after the other; return their statuses."""
        statuses = []
        for _ in range(count):
            await asyncio.sleep(PERIOD)
            statuses.append(await self.call(late))
        return statuses


def run(scenario, start_time=START_TIME):
    """Run a scenario with a caller at a node that has run for `start_time`."""

    async def with_caller(fleet):
        node = await fleet.add("a1", "tariff")
        own_hosts = node.origin._deps.own_hosts | {VIRTUAL_HOST}
        node.origin._deps = node.origin._deps._replace(own_hosts=own_hosts)
        await asyncio.sleep(start_time)
        return await scenario(Caller(fleet, node))

    return run_virtual_scenario(with_caller, POLICY)


def test_calls_are_accepted_while_the_node_runs_late_and_afterwards():
    # Failure: a node that ran slowly for some seconds refused its instance's calls for good.
    async def scenario(caller):
        return await caller.calls(10), await caller.calls(60, LATE), await caller.calls(10)

    before, during, after = run(scenario)
    assert set(before) == set(after) == {200}
    assert set(during) == {200}


def test_calls_at_a_node_that_has_run_late_since_its_start_are_not_rejected_for_good():
    # Failure: the node learnt from late calls that no call on the route belongs to a request.
    async def scenario(caller):
        return await caller.calls(60, LATE), await caller.calls(20)

    during, after = run(scenario)
    assert 401 not in during
    assert set(during[5:]) == set(after) == {200}


def test_a_request_with_a_key_closes_no_route_for_the_calls_of_the_instance():
    # Failure: the first request on a route after a restart had a key, and each call got a 401.
    async def scenario(caller):
        with_key = await caller.send(1.0, fields=KEY)
        return with_key, await caller.calls(30)

    with_key, calls = run(scenario)
    assert with_key == 200
    assert set(calls) == {200}


def test_calls_are_accepted_within_a_second_on_a_route_that_callers_use():
    # Failure: refused calls were no evidence, so that the verdict on a route was final.
    async def scenario(caller):
        for _ in range(50):
            await caller.send(1.0, fields=KEY)
        return await caller.calls(20)

    calls = run(scenario)
    assert 401 not in calls
    assert set(calls[-10:]) == {200}


def test_calls_that_did_not_match_for_long_are_accepted_within_a_second_when_they_match():
    # Failure: as above, for calls that some program on the machine sent with odd deadlines.
    async def scenario(caller):
        for _ in range(60):
            caller.run_requests()
            await caller.send(0.9)
        return await caller.calls(20)

    calls = run(scenario)
    assert 401 not in calls
    assert set(calls[-10:]) == {200}


def test_a_stranger_without_a_key_is_refused_on_a_route_that_callers_use():
    # Failure: what lets late calls pass must not let a request without a key run.
    async def scenario(caller):
        for _ in range(20):
            await caller.send(1.0, "/prices/1", KEY)
        statuses = []
        for index in range(40):
            await asyncio.sleep(PERIOD)
            caller.run_requests()
            deadline = RUNNING_FOR[0] if index % 4 == 0 else 1.0 + index / 100
            statuses.append(await caller.send(deadline, "/prices/1"))
        return statuses

    statuses = run(scenario)
    assert set(statuses) <= {401, 503}


def test_a_stranger_without_a_key_is_refused_while_the_instance_runs_nothing():
    # Failure: a node that cannot judge accepts whatever comes.
    async def scenario(caller):
        caller.end_requests()
        return [await caller.send(1.0, "/prices/1") for _ in range(20)]

    assert set(run(scenario)) == {401}


def test_calls_are_accepted_soon_after_the_node_was_paused():
    # Failure: calls that were read after a pause count as evidence against the route.
    async def scenario(caller):
        before = await caller.calls(2)
        during = await caller.calls(1, 3.0)
        return before, during, await caller.calls(20)

    before, during, after = run(scenario)
    assert set(before) == {200}
    assert 401 not in during + after
    assert set(after[5:]) == {200}  # the backlog of the pause is refused as not run


def test_calls_are_accepted_soon_after_the_node_has_started():
    # Failure: calls of requests that the previous process has sent count as evidence.
    async def scenario(caller):
        statuses = []
        for _ in range(25):
            await asyncio.sleep(PERIOD)
            statuses.append(await caller.send(0.7))
        return statuses, await caller.calls(20)

    unmatched, calls = run(scenario, start_time=0.1)
    assert set(unmatched) == {503}
    assert set(calls) == {200}

"""Calls of workspaces through whole nodes: what reaches the instance, and what does not."""

import asyncio

from tests.instance_replies import answer_bytes
from tests.mesh_builders import header_of, make_policy, make_route, read_head, run_scenario
from thorntray.internal.version.workspaces import Workspace, Workspaces

ROUTES = [
    make_route(),
    make_route(name="views", prefix="/views/", anonymous=True),
    make_route(name="inner", prefix="/inner/"),
]
POLICY = make_policy(routes=ROUTES)._replace(
    workspaces=Workspaces.from_keys([(Workspace("depots"), ["k-1"]), (Workspace("shops"), ["k-2"])])
)
KEY = b"Authorization: Bearer k-1\r\n"


def request_with(fields, path="/prices/1", request_id="r-1"):
    return (
        b"GET %b HTTP/1.1\r\nHost: a.example\r\nThorntray-Request-Id: %b\r\n"
        b"Thorntray-Deadline-Ms: 3000\r\n%bConnection: close\r\n\r\n"
    ) % (path.encode(), request_id.encode(), fields)


async def exchange(fleet, request):
    reader, writer = await asyncio.open_connection(*fleet.nodes["a1"].cfg.callers)
    writer.write(request)
    answer = await reader.read(1 << 20)
    writer.close()
    return answer


def call(fields, reply=None, **where):
    """Return the status of a call through a new node, and the heads that its instance got."""

    async def scenario(fleet):
        await fleet.add("a1", "tariff", reply)
        answer = await exchange(fleet, request_with(fields, **where))
        return int(answer.split(b" ")[1]), fleet.instances["a1"].heads

    return run_scenario(scenario, POLICY)


def test_the_instance_gets_the_workspace_and_never_the_key():
    status, (head,) = call(KEY + b"X-Other: kept\r\n")
    assert status == 200
    assert header_of(head, b"Thorntray-Workspace") == b"depots"
    assert header_of(head, b"X-Other") == b"kept"
    assert b"k-1" not in head and b"authorization" not in head.lower()


def test_a_workspace_that_the_caller_names_is_ignored():
    _, (head,) = call(KEY + b"thorntray-workspace: shops\r\n")
    assert head.lower().count(b"thorntray-workspace:") == 1
    assert header_of(head, b"Thorntray-Workspace") == b"depots"
    status, (head,) = call(b"Thorntray-Workspace: shops\r\n", path="/views/1")
    assert status == 200 and b"thorntray-workspace" not in head.lower()


def test_calls_with_an_unknown_or_doubtful_key_reach_no_instance():
    assert call(b"Authorization: Bearer k-9\r\n") == (401, [])
    assert call(b"Authorization: Bearer k-9\r\n", path="/views/1") == (401, [])
    assert call(KEY + b"Authorization: Bearer k-2\r\n") == (400, [])


def test_a_call_without_a_key_that_no_running_request_makes_is_refused_as_not_run():
    assert call(b"") == (503, [])  # 401 once the node knows what its instance runs


def test_a_nested_call_needs_no_key_and_passes_on_no_workspace():
    nested_statuses = []

    async def reply_after_nested_call(request_id, writer):
        if not request_id.endswith(b".1"):
            reader, nested = await asyncio.open_connection(*callers)
            nested.write(request_with(b"", path="/inner/1", request_id="r-1.1"))
            nested_statuses.append((await read_head(reader)).split(b" ")[1])
            nested.close()
        writer.write(answer_bytes(request_id))

    async def scenario(fleet):
        nonlocal callers
        node = await fleet.add("a1", "tariff", reply_after_nested_call)
        callers = node.cfg.callers
        answer = await exchange(fleet, request_with(KEY))
        return answer.split(b" ")[1], fleet.instances["a1"].heads

    callers = None
    status, heads = run_scenario(scenario, POLICY)
    assert (status, nested_statuses) == (b"200", [b"200"])
    assert [header_of(head, b"Thorntray-Workspace") for head in heads] == [b"depots", b""]

"""Tests that requests and their nested calls carry their workspace to where they are queued."""

import asyncio

import msgspec

from tests.instance_replies import answer_bytes
from tests.mesh_builders import make_call, make_policy, request_bytes, run_scenario
from thorntray.internal.connection.frame import LENGTH_BYTES, CallFrame, decode_frame, encode_frame
from thorntray.internal.overload.root_admission import FLOOR_SHARE
from thorntray.internal.request.result import SlotUse
from thorntray.internal.version.workspaces import Workspace, Workspaces

KEY = b"Authorization: Bearer key-1\r\n\r\n"
WORKSPACES = Workspaces.from_keys([(Workspace("acme"), ["key-1"])])
POLICY = make_policy()._replace(workspaces=WORKSPACES)


def test_a_call_of_an_older_node_has_no_workspace_and_one_to_an_older_node_is_read():
    """Guards against lost calls while nodes are replaced one after the other."""
    fields = msgspec.msgpack.decode(encode_frame(make_call(workspace="acme"))[LENGTH_BYTES:])
    assert fields[-1] == "acme"
    older = msgspec.msgpack.encode(fields[:-1])
    assert decode_frame(older) == make_call()
    names = [name for name in CallFrame.__struct_fields__ if name != "workspace"]
    types = [(name, object) for name in names]
    reader = msgspec.defstruct("OlderCallFrame", types, tag=1, array_like=True)
    newer = msgspec.msgpack.encode(fields)
    assert msgspec.msgpack.decode(newer, type=reader).worth == make_call().worth


async def start_fleet(fleet, seen):
    """Start a called and a calling node; `seen` gets the workspaces of calls, tickets and runs."""

    async def answer(request_id, writer):
        runs = called.running._requests
        seen.append([run.workspace for run in runs if run.request_id == request_id])
        writer.write(answer_bytes(request_id))

    called = await fleet.add("t1", "tariff", answer)
    calling = await fleet.add("h1", "haul")
    await fleet.share_membership()
    submit = called.owner.submit

    def record(call, on_result):
        request = submit(call, on_result)
        seen.append((call.workspace, request.ticket.workspace))
        return request

    called.owner.submit = record
    return calling


async def send_with_key(node, request_id):
    """Send a request as a client does."""
    reader, writer = await asyncio.open_connection(*node.cfg.callers)
    request = request_bytes(b"GET", "/prices/1", request_id)
    writer.write(request.removesuffix(b"\r\n") + KEY)
    answer = await reader.read(1 << 20)
    writer.close()
    return answer


def test_a_request_with_a_key_is_queued_and_run_under_its_workspace():
    async def scenario(fleet):
        seen = []
        node = await start_fleet(fleet, seen)
        return await send_with_key(node, "id-1"), seen

    answer, seen = run_scenario(scenario, POLICY)
    assert answer.startswith(b"HTTP/1.1 200")
    assert seen == [("acme", "acme"), ["acme"]]


def test_a_nested_call_is_queued_under_the_workspace_of_the_request_it_belongs_to():
    """Guards against nested calls that all wait in one turn, whatever workspace they are for."""

    async def scenario(fleet):
        seen = []
        node = await start_fleet(fleet, seen)
        node.running.begin(node.clock.monotonic() + 5.0, 8.0, b"run", "acme")
        node.running.begin(node.clock.monotonic() + 4.0, 8.0, b"plain")
        await fleet.get("h1", "/prices/1", "run.1", deadline_ms=700)
        await fleet.get("h1", "/prices/1", "plain.1", deadline_ms=700)
        return seen

    assert run_scenario(scenario, POLICY) == [
        ("acme", "acme"),
        ["acme"],
        ("", ""),
        [""],
    ]


def test_the_workspace_of_a_key_decides_on_admission():
    """Guards against an admission that does not know who sends: one would crowd out the others."""

    async def scenario(fleet):
        node = await start_fleet(fleet, [])
        now = node.clock.monotonic()
        node.admission.costs.record_success("prices>tariff", {"tariff": SlotUse(0.5, 1.0)})
        for _ in range(20):
            node.admission.prices.update("tariff", {"tariff": 500.0}, now)
        await send_with_key(node, "id-1")
        return len(node.admission.fair_share), node.admission.shares["prices>tariff"]

    remembered, share = run_scenario(scenario, POLICY)
    assert (remembered, share) == (1, FLOOR_SHARE)

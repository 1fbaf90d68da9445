"""Links: faults that a review of incident 56 has shown."""

import asyncio

from tests.instance_replies import answer_bytes
from tests.link_builders import RecordingTransport
from tests.mesh_builders import make_call, make_result_frame, run_scenario
from thorntray.internal.connection import link as link_module
from thorntray.internal.connection.frame import CallFrame, Hello, encode_frame
from thorntray.internal.connection.link_connection import COMPRESSED_AT_ONCE, LinkConnection
from thorntray.internal.connection.receive_gate import ReceiveGate
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.memory_budget import MemoryBudget, Share

LARGE_BODY_BYTES = 20 * COMPRESSED_AT_ONCE
RESULT_BYTES = 3_000_000
BUDGET_BYTES = 10_000_000
READ_BYTES = 250_000


class Handler:
    """Records what a link delivers, and what it reports as never written at its end."""

    def __init__(self):
        self.frames = 0
        self.never_written = []

    def on_frame(self, link, frame):
        self.frames += 1

    def on_lost(self, link):
        calls = [frame for frame in link.unwritten_frames() if isinstance(frame, CallFrame)]
        self.never_written = [call.number for call in calls]


class FailingTransport(RecordingTransport):
    """A transport that fails to take large writes."""

    def write(self, data):
        if len(data) > LARGE_BODY_BYTES // 2:
            raise MemoryError
        super().write(data)


def open_link(transport, handler, **options):
    link = LinkConnection(handler, SystemClock(), Hello("n", b"s"), **options)
    link.connection_made(transport)
    return link


def test_a_call_that_was_written_is_never_reported_as_unwritten_when_a_later_write_fails():
    """Guards against a payout that runs a second time elsewhere."""

    async def scenario():
        handler, transport = Handler(), FailingTransport()
        link = open_link(transport, handler)
        await asyncio.sleep(0)
        payout = make_call(number=1, idempotent=False)
        link.send(payout)
        link.send(make_call(number=2, body=bytes(LARGE_BODY_BYTES)))
        await asyncio.sleep(0)
        written = encode_frame(payout) in b"".join(transport.sent)
        return written, 1 in handler.never_written, link.lost

    assert asyncio.run(scenario()) == (True, False, True)


def test_a_large_body_is_compressed_in_many_turns_of_the_event_loop():
    """Guards against a node whose peers give it up while it compresses."""

    async def scenario():
        transport = RecordingTransport()
        link = open_link(transport, Handler(), compressed=True)
        await asyncio.sleep(0)
        link.send(make_call(body=bytes(LARGE_BODY_BYTES)))
        turns = 0
        while link.unsent_bytes:
            await asyncio.sleep(0)
            turns += 1
        return turns

    assert asyncio.run(scenario()) >= LARGE_BODY_BYTES // COMPRESSED_AT_ONCE


def test_large_results_that_follow_each_other_without_a_gap_are_left_with_their_sender():
    """Guards against results that are taken in beyond the budget, and then dropped."""

    async def scenario():
        budget, clock, handler = MemoryBudget(1), SystemClock(), Handler()
        budget.limit = BUDGET_BYTES
        budget.add_source("results", lambda: handler.frames * RESULT_BYTES)
        gate = ReceiveGate(budget, Share.ANSWER)
        transport = RecordingTransport()
        link = open_link(transport, handler, gate=gate)
        frames = [make_result_frame(n, body=bytes(RESULT_BYTES)) for n in range(6)]
        stream = b"".join(map(encode_frame, frames))
        for start in range(0, len(stream), READ_BYTES):
            gate.admit("another link", 1_000_000, clock.monotonic())  # makes progress
            if transport.paused:
                break
            link.data_received(stream[start : start + READ_BYTES])
        link.abort()
        return handler.frames, transport.paused

    assert asyncio.run(scenario()) == (3, True)


def test_a_call_for_which_a_link_has_no_room_does_not_close_the_service_to_others(monkeypatch):
    """Guards against a pause of the only instance, and a price as if there were none."""

    async def serve(request_id, writer):
        writer.write(answer_bytes(request_id))

    async def scenario(fleet):
        await fleet.add("t1", "tariff", serve)
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        await fleet.get("h1", "/prices/1", "first")
        monkeypatch.setattr(link_module, "may_add_call", lambda *_: False)
        refused = await fleet.get("h1", "/prices/1", "refused")
        monkeypatch.undo()
        return refused, [await fleet.get("h1", "/prices/1", f"id-{n}") for n in range(20)]

    refused, answers = run_scenario(scenario)
    assert refused.startswith(b"HTTP/1.1 503") and b"Retry-After: " in refused
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)


def test_a_link_whose_first_frame_cannot_be_made_ends_its_calls():
    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.share_membership()
        notices_of, node.links.notices_of = node.links.notices_of, lambda name: 1 / 0
        failed = await fleet.get("h1", "/prices/1", "failed")
        node.links.notices_of = notices_of
        node.placement.forget("t1")
        return failed, await fleet.get("h1", "/prices/1", "sound")

    failed, sound = run_scenario(scenario)
    assert failed.startswith(b"HTTP/1.1 503")
    assert sound.startswith(b"HTTP/1.1 200")

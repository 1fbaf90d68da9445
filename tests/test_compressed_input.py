"""Compressed input of a link: what it expands to is bounded by the budget, as plain input is."""

import asyncio
import tracemalloc

from tests.link_builders import RecordingTransport
from tests.mesh_builders import make_call
from thorntray.internal.connection.frame import Hello
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.connection.receive_gate import RETRY_PERIOD, ReceiveGate
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.memory_budget import MemoryBudget, Share

BODY = bytes(40_000_000)  # compressed, it fits into one read of a socket
READ_BYTES = 256 * 1024
BUDGET_BYTES = 10_000_000
MAX_EXPANDED_BYTES = 2_000_000
ANOTHER_FRAME_BYTES = 1_000_000
INVALID_BLOCK = b"\x07"  # no type of block in a deflate stream


class Handler:
    """Records the frames of a link and its end."""

    def __init__(self):
        self.frames = []
        self.lost = False

    def on_frame(self, link, frame):
        self.frames.append(frame)

    def on_lost(self, link):
        self.lost = True


class ExpandingLink:
    """The accepting end of a compressed link, whose gate reads a frame of another link."""

    def __init__(self):
        self.held = BUDGET_BYTES
        self.handler, self.transport, self.clock = Handler(), RecordingTransport(), SystemClock()
        budget = MemoryBudget(1)
        budget.limit = BUDGET_BYTES
        budget.add_source("test", lambda: self.held)
        self.gate = ReceiveGate(budget, Share.REQUEST)
        self.gate.admit("another link", ANOTHER_FRAME_BYTES, self.clock.monotonic())
        self.connection = LinkConnection(self.handler, self.clock, gate=self.gate)
        self.connection.connection_made(self.transport)

    async def free_memory(self):
        """Free the budget, and wait until the link has asked again."""
        self.held = 0
        self.gate.release("another link")
        await asyncio.sleep(3 * RETRY_PERIOD)


async def compressed_stream(*frames):
    """Return what the opening end of a compressed link writes for some frames."""
    transport = RecordingTransport()
    link = LinkConnection(Handler(), SystemClock(), Hello("n", b"s"), compressed=True)
    link.connection_made(transport)
    for frame in frames:
        link.send(frame)
    await asyncio.sleep(0)
    while link.unsent_bytes:
        await asyncio.sleep(0)
    return b"".join(transport.sent)


# Failure: 256 KB of a body of zeros became 58 MB in one step, before the gate was asked.
def test_a_frame_for_which_there_is_no_room_is_not_expanded():
    async def scenario():
        data = (await compressed_stream(make_call(body=BODY)))[:READ_BYTES]
        link = ExpandingLink()
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            link.connection.data_received(data)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        link.connection.abort()
        return peak - before, link.transport.paused

    expanded, paused = asyncio.run(scenario())
    assert expanded < MAX_EXPANDED_BYTES
    assert paused


def test_a_frame_that_waited_for_room_arrives_complete_and_those_behind_it_too():
    async def scenario():
        data = await compressed_stream(make_call(number=1, body=BODY), make_call(number=2))
        link = ExpandingLink()
        link.connection.data_received(data)
        waiting = len(link.handler.frames)
        await link.free_memory()
        return waiting, link.handler

    waiting, handler = asyncio.run(scenario())
    calls = [frame for frame in handler.frames if hasattr(frame, "body")]
    assert waiting == 0
    assert [call.number for call in calls] == [1, 2]
    assert calls[0].body == BODY and not handler.lost


def test_input_that_waits_for_room_counts_as_held():
    async def scenario():
        data = await compressed_stream(make_call(body=BODY))
        link = ExpandingLink()
        link.connection.data_received(data)
        return link.connection.received_bytes, len(data)

    received, sent = asyncio.run(scenario())
    assert sent // 2 < received < MAX_EXPANDED_BYTES


def test_malformed_input_behind_a_frame_that_waited_closes_the_link():
    async def scenario():
        data = await compressed_stream(make_call(body=BODY))
        link = ExpandingLink()
        link.connection.data_received(data + INVALID_BLOCK)
        lost_before = link.handler.lost
        await link.free_memory()
        return lost_before, link.handler.lost

    assert asyncio.run(scenario()) == (False, True)

"""Tests that a large body is in memory once while it passes a link, and that its buffer goes."""

import asyncio
import tracemalloc

import pytest

from tests.link_builders import RecordingTransport
from tests.mesh_builders import LinkPeer, make_call, make_result_frame
from thorntray.internal.connection.frame import (
    LARGE_BODY_BYTES,
    FrameReader,
    Hello,
    PingFrame,
    encode_around_body,
    encode_frame,
)
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.process.clock import SystemClock

BODY_BYTES = 30_000_000
CHUNK_BYTES = 256 * 1024  # received at once


class DiscardingTransport(RecordingTransport):
    """Counts the bytes written and keeps none."""

    def __init__(self):
        super().__init__()
        self.count = 0

    def write(self, data):
        self.count += len(data)


@pytest.fixture
def traced():
    """Trace memory; returns a function for the bytes held and their peak since the start."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    yield lambda: tuple(count - before for count in tracemalloc.get_traced_memory())
    tracemalloc.stop()


@pytest.mark.parametrize("size", [LARGE_BODY_BYTES, LARGE_BODY_BYTES + 1, 1_000_000])
@pytest.mark.parametrize("make_frame", [make_call, make_result_frame])
def test_a_frame_encoded_around_its_body_has_the_same_bytes(make_frame, size):
    # Failure: a node of an older version cannot read a frame with a large body.
    frame = make_frame(number=7, body=b"x" * size)
    assert b"".join(encode_around_body(frame)) == encode_frame(frame)


def test_sending_a_large_body_does_not_copy_it(traced):
    # Failure: a body of 30 MB takes 75 MB more while it is sent, and 30 MB until it is taken.
    async def scenario():
        link = LinkConnection(LinkPeer(), SystemClock(), Hello("n", b"s"))
        transport = DiscardingTransport()
        link.connection_made(transport)
        body = bytes(BODY_BYTES)
        before = traced()[0]
        tracemalloc.reset_peak()
        link.send(make_call(body=body))
        queued = link.unsent_bytes
        await asyncio.sleep(0)
        assert link.unsent_bytes == 0
        return queued, transport.count, traced()[1] - before

    queued, written, peak = asyncio.run(scenario())
    assert queued >= BODY_BYTES and written >= BODY_BYTES
    assert peak < 1_000_000


def test_receiving_a_large_frame_holds_its_buffer_and_its_body_only(traced):
    # Failure: two further copies are made when the frame is complete.
    data = encode_frame(make_call(body=bytes(BODY_BYTES)))
    reader, frames = FrameReader(), []
    before = traced()[0]
    tracemalloc.reset_peak()
    for start in range(0, len(data), CHUNK_BYTES):
        frames += reader.feed(data[start : start + CHUNK_BYTES])
    assert [len(frame.body) for frame in frames] == [BODY_BYTES]
    assert traced()[1] - before < 2.2 * BODY_BYTES


def test_a_reader_keeps_no_memory_of_a_large_frame(traced):
    # Failure: each link keeps the capacity of the largest frame that it has read.
    reader = FrameReader()
    data = encode_frame(make_call(body=bytes(BODY_BYTES))) + encode_frame(PingFrame())[:3]
    before = traced()[0]
    for start in range(0, len(data), CHUNK_BYTES):
        reader.feed(data[start : start + CHUNK_BYTES])
    assert traced()[0] - before < 100_000
    assert reader.feed(encode_frame(PingFrame())[3:]) == [PingFrame()]


@pytest.mark.parametrize("compressed", [False, True])
def test_large_and_small_frames_arrive_in_their_order(compressed):
    # Failure: the parts of a large frame are mixed with other frames.
    async def scenario():
        peer, transport = LinkPeer(), RecordingTransport()
        sender = LinkConnection(LinkPeer(), SystemClock(), Hello("n", b"s"), compressed)
        receiver = LinkConnection(peer, SystemClock())
        sender.connection_made(transport)
        receiver.connection_made(RecordingTransport())
        sizes = [1, LARGE_BODY_BYTES, 0, 3 * LARGE_BODY_BYTES, 2]
        for number, size in enumerate(sizes):
            sender.send(make_call(number=number, body=bytes(size)))
        while sender.unsent_bytes:
            await asyncio.sleep(0)
        for data in transport.sent:
            receiver.data_received(data)
        return [(call.number, len(call.body)) for _, call in peer.calls] == list(enumerate(sizes))

    assert asyncio.run(scenario())


def test_a_large_call_that_was_not_written_is_known_as_such():
    # Failure: a payout that was never sent is answered as if it may have run.
    async def scenario():
        link = LinkConnection(LinkPeer(), SystemClock(), Hello("n", b"s"))
        link.connection_made(RecordingTransport())
        await asyncio.sleep(0)
        call = make_call(number=9, body=bytes(LARGE_BODY_BYTES))
        link.send(call)
        return link.unwritten_frames() == [call]

    assert asyncio.run(scenario())

"""Frames that arrive in one read with a malformed one are passed on before the link ends."""

import asyncio

import pytest

from tests.link_builders import RecordingTransport
from tests.mesh_builders import LinkPeer, make_call, make_links, make_result_frame, send_call
from tests.test_busy_links import run, wait_until
from thorntray.errors import BadMessage
from thorntray.internal.connection.frame import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    FrameReader,
    PingFrame,
    ResultFrame,
    encode_frame,
)
from thorntray.internal.connection.link_connection import PLAIN_STREAM, LinkConnection
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.request.result import Cause

MALFORMED = (1).to_bytes(LENGTH_BYTES, "big") + b"\xc1"
TOO_LONG = (MAX_FRAME_BYTES + 1).to_bytes(LENGTH_BYTES, "big")


@pytest.mark.parametrize("bad", [MALFORMED, TOO_LONG])
def test_a_reader_returns_the_frames_before_a_malformed_one_and_then_fails(bad):
    reader = FrameReader()
    assert reader.feed(encode_frame(PingFrame()) * 2 + bad) == [PingFrame()] * 2
    for _ in range(2):
        with pytest.raises(BadMessage):
            reader.feed(encode_frame(PingFrame()))


def test_a_result_before_a_malformed_frame_reaches_its_caller():
    # Failure: the answer of a payout that ran is dropped, and its caller gets 502.
    async def scenario():
        peer, links, results = LinkPeer(), make_links(), []
        await peer.listener.start()
        link = links.link_to(peer.member())
        for _ in range(2):
            send_call(link, results)
        await wait_until(lambda: len(peer.calls) == 2)
        link._connection.data_received(encode_frame(make_result_frame(1)) + MALFORMED)
        at_once = list(results)
        links.close()
        peer.listener.close()
        return at_once

    first, second = run(scenario)
    assert isinstance(first, ResultFrame) and second is Cause.LOST


def test_a_call_before_a_malformed_frame_is_passed_on_and_the_connection_ends():
    # Failure: a stream that is out of step is read on.
    async def scenario():
        peer, transport = LinkPeer(), RecordingTransport()
        link = LinkConnection(peer, SystemClock())
        link.connection_made(transport)
        link.data_received(PLAIN_STREAM + encode_frame(make_call()) + MALFORMED)
        return len(peer.calls), peer.lost == [link], transport.closed

    assert asyncio.run(scenario()) == (1, True, True)

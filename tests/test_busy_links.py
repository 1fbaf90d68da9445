"""Tests over loopback of links whose peers live but read slowly: no call may be lost by it."""

import asyncio
import time

import uvloop

from tests.link_builders import RecordingTransport, SlowOrigin, SlowOwner
from tests.mesh_builders import HOST, LinkPeer, make_call, make_links
from thorntray.internal.connection.call_bound import CALL_BUFFER_LIMIT
from thorntray.internal.connection.frame import (
    MAX_FRAME_BYTES,
    CancelFrame,
    FrameReader,
    PongFrame,
    ResultFrame,
    encode_frame,
)
from thorntray.internal.connection.link_connection import PLAIN_STREAM, LinkConnection
from thorntray.internal.connection.peer_watch import FULL_BUFFER_TIMEOUT
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.request.result import Cause

BODY_BYTES = 3_000_000
CALLS = 5  # sent at once; one more follows when the buffer has been full for a while
RESULTS = 13


def run(scenario, seconds=15):
    async def limited():
        return await asyncio.wait_for(scenario(), seconds)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(limited())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.01)


def test_payouts_on_a_link_whose_peer_reads_slowly_end_with_their_results():
    # Failure: the link is aborted while its peer takes bytes; each payout ends as unknown (502).
    async def scenario():
        owner, links, results = SlowOwner(expected=CALLS + 1), make_links(), []
        watch = asyncio.ensure_future(links.watch())
        link = links.link_to(LinkPeer().member()._replace(peer_port=owner.port))

        def send():
            link.call(
                lambda n: make_call(number=n, idempotent=False, body=bytes(BODY_BYTES)),
                results.append,
            )

        for _ in range(CALLS):
            send()
        await asyncio.sleep(FULL_BUFFER_TIMEOUT + 0.2)
        send()
        await wait_until(lambda: len(results) == CALLS + 1)
        watch.cancel()
        links.close()
        owner.close()
        return results

    results = run(scenario)
    assert {type(r) for r in results} == {ResultFrame}, results


def test_results_for_a_peer_that_reads_slowly_all_reach_it():
    # Failure: the owner's end aborts the link, and every result that it holds is lost.
    async def scenario():
        peer = LinkPeer()
        await peer.listener.start()
        origin = SlowOrigin(peer.port, RESULTS)
        await wait_until(lambda: len(peer.calls) == RESULTS)
        for index in range(RESULTS - 1):
            peer.answer(index, body=bytes(BODY_BYTES))
        await asyncio.sleep(FULL_BUFFER_TIMEOUT + 0.2)
        peer.answer(RESULTS - 1, body=bytes(BODY_BYTES))
        await wait_until(lambda: origin.results == RESULTS or peer.lost)
        return origin.results, peer.listener.close()

    assert run(scenario)[0] == RESULTS


def test_the_end_that_receives_a_large_frame_tells_that_it_lives():
    """Load pattern: a frame arrives over seconds; a ping behind it is read only after it."""

    # Failure: the sender takes the receiver for dead, whose pong waits for the end of the frame.
    async def scenario():
        transport, clock = RecordingTransport(), SystemClock()
        link = LinkConnection(LinkPeer(), clock)
        link.connection_made(transport)
        data = PLAIN_STREAM + encode_frame(make_call(body=bytes(BODY_BYTES)))
        third = len(data) // 3
        for start in (0, third):
            link.data_received(data[start : start + third])
            await asyncio.sleep(0.15)
        link.data_received(data[2 * third :])
        await asyncio.sleep(0.15)
        return FrameReader().feed(b"".join(transport.sent))

    assert run(scenario) == [PongFrame(), PongFrame()]


def test_a_peer_that_takes_no_bytes_is_given_up_although_no_further_frame_is_sent():
    # Failure: results for a frozen peer are held until another one is sent to it.
    async def scenario():
        peer, began = LinkPeer(), time.monotonic()
        await peer.listener.start()
        reader, writer = await asyncio.open_connection(HOST, peer.port, limit=1)
        writer.transport.pause_reading()
        writer.write(PLAIN_STREAM + encode_frame(make_call()))
        await wait_until(lambda: peer.calls)
        peer.answer(body=bytes(10 * BODY_BYTES))
        await wait_until(lambda: peer.lost)
        writer.transport.abort()
        peer.listener.close()
        return time.monotonic() - began

    assert FULL_BUFFER_TIMEOUT < run(scenario) < FULL_BUFFER_TIMEOUT + 1.5


def calls_to_a_peer(scenario):
    """Run a scenario with a link to a listening peer whose connection is open."""

    async def work():
        peer, links = LinkPeer(), make_links()
        await peer.listener.start()
        link = links.link_to(peer.member())
        link.open()
        await wait_until(lambda: peer.listener._connections)
        try:
            return await scenario(link, peer)
        finally:
            links.close()
            peer.listener.close()

    return run(work)


def send_body(link, size, results):
    return link.call(lambda n: make_call(number=n, body=bytes(size)), results.append)


def test_a_call_that_does_not_fit_into_a_link_ends_as_not_run_and_the_others_with_results():
    # Failure: the link is aborted for its full buffer, and every call on it ends as unknown.
    async def scenario(link, peer):
        results = []
        (accepted,) = peer.listener._connections
        accepted._transport.pause_reading()
        for _ in range(12):
            send_body(link, BODY_BYTES, results)
        at_once = list(results)
        await asyncio.sleep(0.2)
        refused = list(results)
        accepted._transport.resume_reading()
        await wait_until(lambda: len(peer.calls) == 12 - len(refused))
        for index in range(len(peer.calls)):
            peer.answer(index)
        await wait_until(lambda: len(results) == 12)
        return at_once, refused, list(results), list(peer.lost)

    at_once, refused, results, lost = calls_to_a_peer(scenario)
    assert at_once == [] and lost == []
    assert 3 <= len(refused) <= 8 and set(refused) == {Cause.FULL}
    assert {type(r) for r in results[len(refused) :]} == {ResultFrame}


def test_a_call_longer_than_the_bound_is_sent_on_an_idle_link():
    # Failure: a body that the policy allows is refused by every link, whatever their load.
    async def scenario(link, peer):
        results = []
        send_body(link, 2 * CALL_BUFFER_LIMIT, results)
        await wait_until(lambda: peer.calls)
        return list(results), len(peer.calls[0][1].body)

    assert calls_to_a_peer(scenario) == ([], 2 * CALL_BUFFER_LIMIT)


def test_a_call_too_long_for_any_frame_does_not_end_the_link():
    # Failure: the peer refuses the frame by closing the link with every call on it.
    async def scenario(link, peer):
        results = []
        send_body(link, 1, results)
        await wait_until(lambda: peer.calls)
        send_body(link, MAX_FRAME_BYTES, results)
        await wait_until(lambda: results)
        await asyncio.sleep(0.1)
        peer.answer()
        await wait_until(lambda: len(results) == 2)
        return results

    first, second = calls_to_a_peer(scenario)
    assert first is Cause.FULL and isinstance(second, ResultFrame)


def test_calls_made_before_the_connection_is_open_are_bounded_too():
    # Failure: a peer that accepts late is sent more than its link may hold.
    async def scenario():
        peer, links, results = LinkPeer(), make_links(), []
        await peer.listener.start()
        link = links.link_to(peer.member())
        numbers = [send_body(link, BODY_BYTES, results) for _ in range(12)]
        cancelled_unsent = [link.cancel(numbers[0]), link.cancel(numbers[-1])]
        await wait_until(lambda: len(peer.calls) + len(results) == 10)
        links.close()
        peer.listener.close()
        return cancelled_unsent, len(peer.calls), {r for r in results if r is not Cause.LOST}

    cancelled_unsent, sent, causes = run(scenario)
    assert cancelled_unsent == [False, False]  # neither was sent
    assert sent == 4 and causes == {Cause.FULL}


def test_small_frames_pass_a_full_link():
    # Failure: a call that its caller has left runs on, since its cancellation was refused.
    async def scenario(link, peer):
        frames, results = [], []
        peer.on_frame = lambda link, frame: frames.append(frame)
        (accepted,) = peer.listener._connections
        accepted._transport.pause_reading()
        numbers = [send_body(link, BODY_BYTES, results) for _ in range(8)]
        link.cancel(numbers[0])
        accepted._transport.resume_reading()
        await wait_until(lambda: any(isinstance(f, CancelFrame) for f in frames))
        return [f.number for f in frames if isinstance(f, CancelFrame)]

    assert calls_to_a_peer(scenario) == [1]

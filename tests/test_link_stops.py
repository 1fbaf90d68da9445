"""Tests of the end of a stopping node on its links: results arrive, late calls are never run."""

import asyncio
import socket
import subprocess
import sys
import time

import msgspec
import pytest

from standins.fleet import free_port
from tests.builders import ManualClock
from tests.mesh_builders import HOST, LinkPeer, make_call, make_links, send_call
from tests.test_busy_links import run, wait_until
from thorntray.internal.connection.frame import (
    CallFrame,
    FrameReader,
    GoAway,
    Hello,
    PingFrame,
    ResultFrame,
    encode_frame,
)
from thorntray.internal.connection.link_connection import PLAIN_STREAM
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.drain import CLOSE_TIME_RESERVE, Drain
from thorntray.internal.process.memory_budget import MemoryBudget
from thorntray.internal.request.result import Cause
from thorntray_node.request_drain import (
    FINAL_FLUSH_TIME,
    MAX_LINK_CLOSE_TIME,
    MIN_LINK_CLOSE_TIME,
    time_for_links,
)

RESULT_BYTES = 300_000  # more than the receive buffer takes, less than the send buffer


def read_to_end(link):
    """Return the frames that arrive until the connection ends, and whether it was reset."""
    reader, frames = FrameReader(), []
    while True:
        try:
            data = link.recv(65_536)
        except ConnectionResetError:
            return frames, True
        if not data:
            return frames, False
        frames += reader.feed(data)


def test_the_last_result_of_a_stopping_process_arrives_although_calls_and_pings_follow():
    # Failure: the kernel resets the connection at the exit and discards the rest of the result.
    port = free_port()
    command = [sys.executable, "-m", "tests.stopping_owner", str(port), str(RESULT_BYTES)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    try:
        assert process.stdout.readline() == b"listening\n"
        with socket.socket() as link:
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            link.settimeout(5)
            link.connect((HOST, port))
            hello = PLAIN_STREAM + encode_frame(Hello("origin", b"s"))
            link.sendall(hello + encode_frame(make_call(number=1)))
            time.sleep(0.4)  # the process has passed the result to its kernel and stops
            link.sendall(encode_frame(PingFrame()) + encode_frame(make_call(number=2)))
            time.sleep(0.1)
            frames, was_reset = read_to_end(link)
        assert process.wait(5) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
    results = [(f.number, len(f.body)) for f in frames if isinstance(f, ResultFrame)]
    assert results == [(1, RESULT_BYTES)] and not was_reset
    assert frames[-1] == GoAway(1)


def test_a_call_that_arrives_after_the_last_one_read_ends_as_not_run():
    # Failure: it ends as lost, so that a payout that never ran gets 502.
    async def scenario():
        peer, links, results = LinkPeer(), make_links(), []
        await peer.listener.start()
        link = links.link_to(peer.member())
        send_call(link, results)
        await wait_until(lambda: peer.calls)
        peer.answer()
        origin_end = link._connection._transport
        origin_end.pause_reading()  # the notice is on its way
        finish = asyncio.ensure_future(peer.listener.finish(1.0))
        await asyncio.sleep(0.05)
        send_call(link, results)
        await asyncio.sleep(0.05)
        origin_end.resume_reading()
        await wait_until(lambda: len(results) == 2)
        await finish
        after = len(peer.calls), len(peer.lost)
        send_call(link, results)
        await wait_until(lambda: len(results) == 3)
        links.close()
        return results, after

    (first, second, third), after = run(scenario)
    assert isinstance(first, ResultFrame)
    assert second is Cause.NO_INSTANCE and after == (1, 1)
    assert third is Cause.NO_INSTANCE  # a new connection, which is refused


def test_a_link_whose_reading_waits_for_memory_is_read_to_its_end_at_a_stop():
    # Failure: its unread input resets the connection at the exit, and results are discarded.
    async def scenario():
        budget, clock = MemoryBudget(1), SystemClock()
        budget.limit = 1
        budget.add_source("test", lambda: 2)
        peer, links, results = LinkPeer(), make_links(), []
        peer.listener = LinkListener(HOST, peer.port, peer, clock, budget)
        await peer.listener.start()
        peer.listener._gate.admit("arriving", RESULT_BYTES, clock.monotonic())
        link = links.link_to(peer.member())
        link.call(lambda n: make_call(number=n, body=bytes(30_000_000)), results.append)
        await wait_until(lambda: peer.listener.received_bytes)
        paused = all(c._reading_paused for c in peer.listener._connections)
        await peer.listener.finish(0.3)
        closed = not peer.listener._connections
        links.close()
        return paused, closed, results, peer.calls

    assert run(scenario) == (True, True, [Cause.NO_INSTANCE], [])


def test_a_call_read_before_the_end_without_a_result_may_have_run():
    # Failure: "not run" is said of a call that the stopping node has taken, and it is sent again.
    async def scenario():
        peer, links, results = LinkPeer(), make_links(), []
        await peer.listener.start()
        send_call(links.link_to(peer.member()), results)
        await wait_until(lambda: peer.calls)
        await peer.listener.finish(1.0)
        await wait_until(lambda: results)
        links.close()
        return results

    assert run(scenario) == [Cause.LOST]


def test_a_peer_that_does_not_close_delays_the_stop_for_the_bound_only():
    async def scenario():
        peer, began = LinkPeer(), time.monotonic()
        await peer.listener.start()
        reader, writer = await asyncio.open_connection(HOST, peer.port)
        writer.write(PLAIN_STREAM + encode_frame(Hello("origin", b"s")))
        await wait_until(lambda: peer.listener._connections)
        await peer.listener.finish(0.3)
        writer.transport.abort()
        return time.monotonic() - began

    assert 0.3 <= run(scenario) < 1.0


def test_a_node_of_an_older_version_skips_the_notice():
    # Failure: an older origin closes the link as malformed before it has read a result behind it.
    older = msgspec.msgpack.Decoder(CallFrame | ResultFrame | PingFrame)
    with pytest.raises(msgspec.ValidationError):
        older.decode(encode_frame(GoAway(3))[4:])
    fields = msgspec.msgpack.decode(encode_frame(GoAway(3))[4:])
    assert fields == [8, 3]  # a type that c8f754c does not know; it skips well-formed frames


def test_the_end_of_the_links_stays_within_the_limit_of_the_stop():
    clock = ManualClock()
    drain = Drain(5.0, clock)
    drain.begin()
    assert time_for_links(drain, clock.monotonic()) == MAX_LINK_CLOSE_TIME
    assert time_for_links(drain, drain.answers_due) == MIN_LINK_CLOSE_TIME
    assert FINAL_FLUSH_TIME + MIN_LINK_CLOSE_TIME < CLOSE_TIME_RESERVE

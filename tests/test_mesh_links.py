"""Tests over loopback of the links between nodes: calls end with their results where possible."""

import asyncio
import errno
import socket
import threading
import time

import pytest
import uvloop

from tests.instance_replies import answer_slowly
from tests.mesh_builders import (
    HOST,
    LinkPeer,
    make_call,
    make_links,
    make_result_frame,
    run_scenario,
    send_call,
)
from thorntray.internal.connection.frame import PingFrame, ResultFrame, encode_frame
from thorntray.internal.connection.link import LIVENESS_CHECK_PERIOD
from thorntray.internal.connection.peer_watch import (
    FULL_BUFFER_TIMEOUT,
    OUTPUT_CHECK_PERIOD,
    PING_AFTER_SILENCE,
    SILENCE_TIMEOUT,
)
from thorntray.internal.membership.gossip import Address, Spread, encode_datagram
from thorntray.internal.membership.member import Health
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.request.result import Cause

RESULT_BYTES = 12_000_000  # more than the socket buffers take
LARGE_RESULT_BYTES = 28_000_000
LARGEST_RESULT_BYTES = 80_000_000


def run_with_peer(scenario):
    """Run a scenario with new links, their watch, and a listening peer."""

    async def work():
        peer, links = LinkPeer(), make_links()
        await peer.listener.start()
        watch = asyncio.ensure_future(links.watch())
        try:
            return await asyncio.wait_for(scenario(links, peer), 10)
        finally:
            watch.cancel()
            links.close()
            peer.listener.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(work())


@pytest.mark.parametrize("removal", ["left or dead", "restarted"])
def test_a_call_to_a_removed_member_still_ends_with_its_result(removal):
    async def scenario(links, peer):
        results = []
        send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        if removal == "restarted":
            links.link_to(peer.member(b"session2"))
        else:
            links.drain_link("peer")
        peer.answer(body=b"late")
        await asyncio.sleep(0.1)
        return results, len(peer.lost)

    results, connections_closed = run_with_peer(scenario)
    assert [type(r) for r in results] == [ResultFrame] and results[0].body == b"late"
    assert connections_closed == 1


def test_a_call_not_yet_sent_to_a_removed_member_ends_at_once():
    async def scenario(links, peer):
        results = []
        send_call(links.link_to(peer.member()), results)
        links.drain_link("peer")
        at_once = list(results)
        await asyncio.sleep(0.1)
        return at_once, results, peer.calls

    at_once, results, calls = run_with_peer(scenario)
    assert at_once == results == [Cause.NO_INSTANCE] and calls == []


def test_a_new_call_to_a_removed_member_does_not_use_its_draining_link():
    async def scenario(links, peer):
        results = []
        send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        links.drain_link("peer")
        send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        peer.answer(1)
        await asyncio.sleep(0.05)
        first_open = not peer.lost
        peer.answer(0)
        await asyncio.sleep(0.05)
        (first, _), (second, _) = peer.calls
        return len(results), first is not second, first_open, [c is first for c in peer.lost]

    assert run_with_peer(scenario) == (2, True, True, [True])


def test_a_call_on_a_draining_link_whose_peer_is_silent_ends_within_a_second():
    async def scenario(links, peer):
        results, failures = [], []
        links.on_link_failure = failures.append
        send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        peer.calls[0][0]._transport.pause_reading()
        links.drain_link("peer")
        await asyncio.sleep(1.0)
        return results, failures

    # The failure says nothing about the process that may have replaced the member since.
    assert run_with_peer(scenario) == ([Cause.LOST], [])


def test_a_draining_link_is_closed_when_its_last_call_is_cancelled():
    async def scenario(links, peer):
        link = links.link_to(peer.member())
        number = send_call(link, [])
        await asyncio.sleep(0.1)
        links.drain_link("peer")
        link.cancel(number)
        await asyncio.sleep(0.1)
        return len(peer.lost)

    assert run_with_peer(scenario) == 1


def test_a_call_made_while_a_restarted_members_unsent_calls_end_is_watched():
    """The handler of an ended call may send the next one to the same member."""

    async def scenario(links, peer):
        new = peer.member(b"session2")
        made = []
        link = links.link_to(peer.member())
        link.call(lambda n: make_call(number=n), lambda cause: made.append(links.link_to(new)))
        return links.link_to(new) is made[0]

    assert run_with_peer(scenario)


@pytest.mark.parametrize("health", [Health.DEAD, Health.LEFT])
def test_a_caller_gets_the_answer_of_a_member_removed_while_its_instance_runs_the_request(health):
    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", answer_slowly)
        origin = await fleet.add("h1", "haul")
        await fleet.share_membership()
        pending = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "id-1"))
        await asyncio.sleep(0.15)
        own = owner.membership.own
        gone = own._replace(version=own.version + 1, health=health)
        news = encode_datagram(Spread(own, {}, (gone,)))
        origin.membership.on_datagram(news, Address(HOST, own.gossip_port))
        removed = not origin.membership.members_of("tariff")
        return removed, await pending

    removed, answer = run_scenario(scenario)
    assert removed
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"slow")


def test_a_result_not_yet_taken_by_the_operating_system_is_reported_before_an_exit():
    async def scenario(links, peer):
        results = []
        send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        origin_end = links.link_to(peer.member())._connection._transport
        idle = peer.listener.unsent_bytes
        origin_end.pause_reading()
        peer.answer(body=bytes(RESULT_BYTES))
        queued = peer.listener.unsent_bytes
        await asyncio.sleep(0.1)
        unread = peer.listener.unsent_bytes
        origin_end.resume_reading()
        while not results:
            await asyncio.sleep(0.01)
        return idle, queued, unread, peer.listener.unsent_bytes, len(results)

    idle, queued, unread, taken, results = run_with_peer(scenario)
    assert idle == taken == 0 and results == 1
    assert queued >= RESULT_BYTES and RESULT_BYTES > unread > 0


def test_a_lost_connection_owes_no_bytes():
    async def scenario(links, peer):
        send_call(links.link_to(peer.member()), [])
        await asyncio.sleep(0.1)
        connection = peer.calls[0][0]
        peer.answer()
        connection.abort()
        return connection.unsent_bytes, peer.listener.unsent_bytes, peer.listener._connections

    assert run_with_peer(scenario) == (0, 0, set())


def test_a_call_whose_frame_was_not_written_when_the_link_was_lost_is_not_run():
    async def scenario(links, peer):
        results = []
        link = links.link_to(peer.member())
        send_call(link, results)
        await asyncio.sleep(0.1)
        send_call(link, results)
        link._connection.abort()
        await asyncio.sleep(0.1)
        return results, [call.number for _, call in peer.calls]

    assert run_with_peer(scenario) == ([Cause.LOST, Cause.NO_INSTANCE], [1])


def test_a_call_made_after_the_peer_has_closed_the_link_uses_a_new_connection():
    async def scenario(links, peer):
        results = []
        link = links.link_to(peer.member())
        link.send(PingFrame())
        await asyncio.sleep(0.1)
        (accepted,) = peer.listener._connections
        connection = link._connection
        receive_eof = connection.eof_received

        def receive_eof_and_call():
            receive_eof()
            send_call(link, results)

        connection.eof_received = receive_eof_and_call
        accepted._transport.close()
        await asyncio.sleep(0.1)
        if peer.calls:
            peer.answer()
        await asyncio.sleep(0.1)
        return results

    results = run_with_peer(scenario)
    assert [type(r) for r in results] == [ResultFrame], results


def test_a_result_of_many_megabytes_reaches_a_peer_that_reads_it():
    async def scenario(links, peer):
        results = []
        for _ in range(2):
            send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        peer.answer(0, body=bytes(LARGE_RESULT_BYTES))
        await asyncio.sleep(0)
        peer.answer(1)
        while len(results) < 2:
            await asyncio.sleep(0.01)
        return results

    results = run_with_peer(scenario)
    assert [type(r) for r in results] == [ResultFrame] * 2, results


@pytest.mark.parametrize(
    ("seconds", "sizes"),
    [
        (FULL_BUFFER_TIMEOUT + 0.1, (LARGE_RESULT_BYTES, 1)),
        (0.0, (LARGE_RESULT_BYTES, LARGEST_RESULT_BYTES)),
        (0.0, (LARGE_RESULT_BYTES,)),
    ],
)
def test_results_that_a_peer_does_not_read_are_not_held_without_limit(seconds, sizes):
    async def scenario(links, peer):
        link = links.link_to(peer.member())
        for _ in sizes:
            send_call(link, [])
        await asyncio.sleep(0.1)
        link._connection._transport.pause_reading()
        # A receiver whose process is frozen does not check its links.
        link.check_liveness = lambda now: None
        for index, size in enumerate(sizes):
            peer.answer(index, body=bytes(size))
            await asyncio.sleep(seconds)
        await asyncio.sleep(FULL_BUFFER_TIMEOUT + 4 * OUTPUT_CHECK_PERIOD)
        return len(peer.lost), peer.listener.unsent_bytes

    assert run_with_peer(scenario) == (1, 0)


def test_calls_to_a_member_with_an_invalid_address_end_at_once():
    async def scenario(links, peer):
        results = []
        link = links.link_to(peer.member()._replace(peer_port=70_000))
        for _ in range(2):
            send_call(link, results)
            await asyncio.sleep(0.1)
        return results

    assert run_with_peer(scenario) == [Cause.NO_INSTANCE] * 2


def test_a_result_received_while_this_process_stalled_is_not_replaced_by_a_loss():
    """Load pattern: the process gets no processor time for a second, as on a busy machine."""

    class StallingClock(SystemClock):
        seconds = 0.0  # for which the process stalls at the next reading

        def monotonic(self):
            seconds, self.seconds = self.seconds, 0.0
            time.sleep(seconds)
            return super().monotonic()

    def answer_during_the_stall(server):
        connection, _ = server.accept()
        connection.recv(65_536)
        time.sleep(PING_AFTER_SILENCE + 0.5)
        connection.sendall(encode_frame(make_result_frame(1)))
        connection.recv(65_536)
        connection.close()

    async def scenario(links, peer):
        results = []
        links._clock = clock = StallingClock()
        with socket.create_server((HOST, 0)) as server:
            thread = threading.Thread(target=answer_during_the_stall, args=(server,))
            thread.start()
            port = server.getsockname()[1]
            send_call(links.link_to(peer.member()._replace(peer_port=port)), results)
            await asyncio.sleep(PING_AFTER_SILENCE + 2 * LIVENESS_CHECK_PERIOD)
            clock.seconds = SILENCE_TIMEOUT + 0.5
            await asyncio.sleep(2 * LIVENESS_CHECK_PERIOD)
            links.close()
            thread.join()
        return results

    results = run_with_peer(scenario)
    assert [type(r) for r in results] == [ResultFrame], results


def test_a_call_is_not_sent_on_a_link_that_went_silent_before():
    """The earlier call ended while the peer's response to a ping was awaited."""

    async def scenario(links, peer):
        results = []
        link = links.link_to(peer.member())
        number = send_call(link, [])
        await asyncio.sleep(PING_AFTER_SILENCE / 2)
        peer.calls[0][0]._transport.pause_reading()
        await asyncio.sleep(PING_AFTER_SILENCE + 2 * LIVENESS_CHECK_PERIOD)
        link.cancel(number)
        await asyncio.sleep(SILENCE_TIMEOUT + 2 * LIVENESS_CHECK_PERIOD)
        send_call(link, results)
        await asyncio.sleep(0.2)
        if len(peer.calls) == 2:
            peer.answer(1)
        await asyncio.sleep(0.1)
        return results

    results = run_with_peer(scenario)
    assert [type(r) for r in results] == [ResultFrame], results


@pytest.mark.parametrize(
    "exc, blames_peer",
    [
        (RuntimeError("a fault of the test"), True),
        (ConnectionRefusedError(), True),
        (OSError(errno.EMFILE, "no descriptor left"), False),
    ],
)
def test_a_link_that_cannot_be_opened_ends_its_calls_as_not_run_and_may_be_opened_again(
    exc, blames_peer
):
    """Guards against calls that wait for ever, and a peer paused for the own descriptors."""

    async def scenario():
        peer, links, results, failures = LinkPeer(), make_links(), [], []
        await peer.listener.start()
        links.on_link_failure = failures.append
        sound = links.opener.open

        async def fail(*_):
            raise exc

        links.opener.open = fail
        link = links.link_to(peer.member())
        send_call(link, results)
        await asyncio.sleep(0.05)
        blamed = bool(failures)
        links.opener.open = sound
        send_call(link, results)
        await asyncio.sleep(0.1)
        links.close()
        return results[0], len(peer.calls), blamed

    assert asyncio.run(scenario()) == (Cause.NO_INSTANCE, 1, blames_peer)

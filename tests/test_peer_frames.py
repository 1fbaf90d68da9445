"""Tests over real sockets that no reply between nodes is lost to its size."""

import asyncio
import socket
import threading
import time
from contextlib import asynccontextmanager
from random import Random

import pytest

from standins.fleet import HOST, free_port
from tests.builders import make_member
from tests.link_builders import read_slowly
from thorntray.internal.connection import peer
from thorntray.internal.connection.message import Call, body_digest
from thorntray.internal.connection.peer import FrameWriter, PeerLinks, PeerListener
from thorntray.internal.connection.reply import reply_from_attempt
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.request.ingress import MAX_BODY_BYTES
from thorntray.internal.request.outcome import Answer, AttemptResult, Done

BODY = Random(0).randbytes(MAX_BODY_BYTES)  # cannot be compressed
REQUEST_TIMEOUT = 10.0  # seconds


def make_call(body):
    return Call(b"", b"a", b"", "s", "r", "PUT", "/", (), body, body_digest(body), 0, 0, 1, 0, 0)


async def answer_with_the_largest_body(call):
    return reply_from_attempt(call.attempt_id, AttemptResult(Done(Answer(200, (), BODY))))


@asynccontextmanager
async def peer_links():
    """Yield the links of a node, a member to link to, and the member's listener."""
    port = free_port()
    listener = PeerListener(HOST, port, answer_with_the_largest_body)
    await listener.start()
    links = PeerLinks(SystemClock())
    try:
        yield links, make_member("m", address=HOST, peer_port=port), listener
    finally:
        await links.close()
        await listener.close()


def test_concurrent_requests_with_the_largest_bodies_are_all_answered():
    async def scenario():
        async with peer_links() as (links, member, _):
            await links.request(member, make_call(b""), REQUEST_TIMEOUT)  # opens the connection
            calls = [links.request(member, make_call(BODY), REQUEST_TIMEOUT) for _ in range(12)]
            return await asyncio.gather(*calls, return_exceptions=True)

    replies = asyncio.run(scenario())
    assert [len(getattr(reply, "body", b"")) for reply in replies] == [len(BODY)] * 12


def test_a_link_closed_while_it_is_opened_leaves_no_second_connection():
    async def scenario():
        async with peer_links() as (links, member, listener):
            first = asyncio.ensure_future(links.request(member, make_call(b""), REQUEST_TIMEOUT))
            await asyncio.sleep(0)
            links.close_link("m")
            second = asyncio.ensure_future(links.request(member, make_call(b""), REQUEST_TIMEOUT))
            await asyncio.gather(first, second, return_exceptions=True)
            links.close_link("m")
            await asyncio.sleep(0.1)
            return len(listener._connections)

    assert asyncio.run(scenario()) == 0


def test_concurrent_first_requests_to_a_peer_share_one_connection():
    async def scenario():
        async with peer_links() as (links, member, listener):
            calls = [links.request(member, make_call(b""), REQUEST_TIMEOUT) for _ in range(6)]
            await asyncio.gather(*calls)
            return len(listener._connections)

    assert asyncio.run(scenario()) == 1


@pytest.fixture
def short_timeout(monkeypatch):
    """Give up a peer after 0.5 s, so that a slow reader takes longer than that."""
    monkeypatch.setattr(peer, "WRITE_TIMEOUT", 0.5)
    monkeypatch.setattr(peer, "WRITE_CHECK_PERIOD", 0.1, raising=False)


def write_frames(read):
    """Write 24 MB in frames to a peer that reads by `read`; return whether it was kept."""

    async def scenario():
        near, far = socket.socketpair()
        near.setblocking(False)
        threading.Thread(target=read, args=(far,), daemon=True).start()
        _, writer = await asyncio.open_connection(sock=near)
        frames = FrameWriter(writer)
        async with asyncio.timeout(15):
            for number in range(6):
                await frames.write(number, bytes(4_000_000))
            while frames.unsent_bytes and not writer.is_closing():
                await asyncio.sleep(0.02)
        kept = not writer.is_closing()
        writer.transport.abort()
        far.close()
        return kept

    return asyncio.run(scenario())


def test_a_peer_that_reads_slowly_gets_all_frames(short_timeout):
    # Failure: the connection is aborted with all replies, while its peer takes bytes.
    def read_all(far):
        while read_slowly(far):
            pass

    assert write_frames(read_all)


def test_a_peer_that_reads_nothing_is_given_up(short_timeout):
    began = time.monotonic()
    assert not write_frames(lambda far: None)
    assert time.monotonic() - began < 2.0

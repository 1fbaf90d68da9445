"""Tests over real sockets that no reply between nodes is lost to its size."""

import asyncio
from contextlib import asynccontextmanager
from random import Random

from standins.fleet import HOST, free_port
from tests.builders import make_member
from thorntray.internal.connection.message import Call, body_digest
from thorntray.internal.connection.peer import PeerLinks, PeerListener
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

"""Frames that do not fit into the budget of the process are left unread, and all arrive in time."""

import asyncio

from tests.mesh_builders import HOST, LinkPeer, make_call, make_links
from tests.test_busy_links import run, wait_until
from thorntray.internal.connection.frame import ResultFrame
from thorntray.internal.connection.link_listener import LinkListener
from thorntray.internal.connection.receive_gate import (
    LARGE_FRAME_BYTES,
    PROGRESS_TIMEOUT,
    ReceiveGate,
)
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.memory_budget import MemoryBudget, Share

BODY_BYTES = 3_000_000


def make_budget(limit):
    """Return a budget of `limit` bytes, and a list whose sum is what is held."""
    budget, held = MemoryBudget(1), [0]
    budget.limit = limit
    budget.add_source("test", lambda: sum(held))
    return budget, held


def test_announced_frames_are_admitted_up_to_the_budget_and_the_rest_in_turn():
    """Load pattern: 20 peers begin a body of 1 MB each at once, and the budget has 5 MB."""
    # Failure: what is admitted together exceeds the limit, and the process is killed.
    gate = ReceiveGate(make_budget(5_000_000)[0], Share.ANSWER)
    waiting, read, now = list(range(20)), [], 0.0
    while waiting:
        now += 0.05
        admitted = [link for link in waiting if gate.admit(link, 1_000_000, now)]
        assert 1 <= len(admitted) <= 5
        for link in admitted:
            gate.release(link)
            waiting.remove(link)
        read += admitted
    assert sorted(read) == list(range(20))


def test_one_frame_is_read_whatever_is_held():
    # Failure: nothing is read at a full budget, which only the unread results would empty.
    budget, held = make_budget(1000)
    held[0] = 5000
    gate = ReceiveGate(budget, Share.ANSWER)
    assert gate.admit("a", 1_000_000, 0.0)
    assert not gate.admit("b", 1_000_000, 0.1)
    assert gate.admit("a", 500_000, 0.2)  # goes on
    gate.release("a")
    assert gate.admit("b", 1_000_000, 0.3)


def test_a_sender_that_stops_in_its_frame_does_not_hold_up_the_others():
    # Failure: a frozen peer keeps every other link from being read.
    budget, held = make_budget(1000)
    gate = ReceiveGate(budget, Share.ANSWER)
    assert gate.admit("frozen", 1_000_000, 0.0)
    assert not gate.admit("b", 1_000_000, PROGRESS_TIMEOUT - 0.1)
    assert gate.admit("b", 1_000_000, PROGRESS_TIMEOUT + 0.1)


def test_short_frames_and_nodes_without_a_limit_are_not_held_up():
    # Failure: pongs and small results wait behind the budget.
    budget, held = make_budget(1000)
    held[0] = 5000
    gate = ReceiveGate(budget, Share.ANSWER)
    assert gate.admit("a", 1_000_000, 0.0) and gate.admit("b", LARGE_FRAME_BYTES, 0.0)
    for unbounded in (
        ReceiveGate(None, Share.ANSWER),
        ReceiveGate(MemoryBudget(None), Share.REQUEST),
    ):
        assert all(unbounded.admit(link, 80_000_000, 0.0) for link in range(10))


def test_links_whose_calls_do_not_fit_wait_for_longer_than_the_timeouts_and_lose_nothing():
    # Failure: memory of the owner is exceeded, or a link that waits is taken for a silent one.
    async def scenario():
        budget, held = make_budget(2 * BODY_BYTES)
        peer, origins, results = LinkPeer(), [make_links() for _ in range(4)], []
        peer.listener = LinkListener(HOST, peer.port, peer, SystemClock(), budget)
        budget.add_source("received", lambda: peer.listener.received_bytes)
        await peer.listener.start()
        watches = [asyncio.ensure_future(links.watch()) for links in origins]
        held[0] = 2 * BODY_BYTES
        gate_busy = peer.listener._gate.admit("arriving", BODY_BYTES, 0.0)
        keep_arriving = asyncio.ensure_future(keep_busy(peer.listener._gate))
        for links in origins:
            links.link_to(peer.member()).call(
                lambda n: make_call(number=n, idempotent=False, body=bytes(BODY_BYTES)),
                results.append,
            )
        await asyncio.sleep(1.5)
        while_full = (len(peer.calls), list(results), peer.listener.received_bytes)
        held[0] = 0
        keep_arriving.cancel()
        peer.listener._gate.release("arriving")
        await wait_until(lambda: len(peer.calls) == 4)
        for index in range(4):
            peer.answer(index)
        await wait_until(lambda: len(results) == 4)
        for links, watch in zip(origins, watches, strict=True):
            watch.cancel()
            links.close()
        peer.listener.close()
        return gate_busy, while_full, results

    async def keep_busy(gate):
        clock = SystemClock()
        while gate.admit("arriving", BODY_BYTES, clock.monotonic()):
            await asyncio.sleep(0.05)

    gate_busy, (calls, early, received), results = run(scenario)
    assert gate_busy and calls == 0 and early == []
    assert received < 4 * 1_000_000
    assert {type(r) for r in results} == {ResultFrame}


def test_results_that_do_not_fit_wait_and_arrive():
    # Failure: the origin takes its own pause for the silence of its peer, and ends the call.
    async def scenario():
        budget, held = make_budget(BODY_BYTES)
        peer, links, results = LinkPeer(), make_links(), []
        links._gate = ReceiveGate(budget, Share.ANSWER)
        await peer.listener.start()
        watch = asyncio.ensure_future(links.watch())
        links.link_to(peer.member()).call(lambda n: make_call(number=n), results.append)
        await wait_until(lambda: peer.calls)
        held[0], clock = BODY_BYTES, SystemClock()
        peer.answer(body=bytes(5 * BODY_BYTES))
        for _ in range(30):
            links._gate.admit("arriving", BODY_BYTES, clock.monotonic())
            await asyncio.sleep(0.05)
        early, held[0] = list(results), 0
        links._gate.release("arriving")
        await wait_until(lambda: results)
        watch.cancel()
        links.close()
        peer.listener.close()
        return early, results

    early, results = run(scenario)
    assert early == [] and isinstance(results[0], ResultFrame)


def test_a_node_without_a_limit_pauses_no_link_and_counts_what_it_holds():
    async def scenario():
        peer, links = LinkPeer(), make_links()
        await peer.listener.start()
        link = links.link_to(peer.member())
        link.call(lambda n: make_call(number=n, body=bytes(BODY_BYTES)), lambda result: None)
        before = links.unsent_bytes
        await wait_until(lambda: peer.calls)
        after = links.unsent_bytes, links.received_bytes, peer.listener.received_bytes
        links.close()
        peer.listener.close()
        return before, after

    before, after = run(scenario)
    assert before >= BODY_BYTES and after == (0, 0, 0)

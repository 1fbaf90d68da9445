"""The soak opens new connections at a stopping node, and makes those to the store silent."""

import asyncio
from random import Random

import aiohttp
import pytest

from soak import new_connections
from soak.faults import FaultInjector
from soak.new_connections import (
    ACCEPT_TIME,
    ConnectionEnd,
    NewConnection,
    NewConnections,
    connection_summary,
    cut_connections,
)
from soak.plan import Fault, FaultKind
from standins.kv_store import KvStoreStandIn
from tests.soak_builders import make_observation, serve_node, small_fleet

HOST = "127.0.0.1"
ANSWER = b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"


def open_connections(answer, delay=0.0, seconds=0.3):
    """Return the new connections at a node that is stopped after a time."""

    async def work(fleet):
        await fleet.wait_started()
        server = await serve_node(fleet, answer, delay)
        connections = NewConnections()
        opening = asyncio.create_task(connections.open(fleet.node))
        await asyncio.sleep(seconds)
        server.close()
        await asyncio.sleep(0.1)
        fleet.node.process.terminate()
        await opening
        return connections.connections

    with small_fleet() as fleet:
        return asyncio.run(work(fleet))


def test_new_connections_are_opened_until_the_process_has_ended():
    connections = open_connections(ANSWER)
    ends = [conn.end for conn in connections]
    assert ends.count(ConnectionEnd.ANSWERED) >= 20
    assert ends.count(ConnectionEnd.REFUSED) > 0  # after the port was closed
    assert ConnectionEnd.TIMED_OUT not in ends
    assert list(cut_connections(make_observation(), connections)) == []


def test_a_connection_that_was_open_for_long_and_ends_without_an_answer_is_a_violation():
    connections = open_connections(b"", delay=ACCEPT_TIME + 0.05)
    cut = list(cut_connections(make_observation(), connections))
    assert cut and all(line.startswith("UNANSWERED: a new connection at n1") for line in cut)
    killed = make_observation([Fault(0.0, FaultKind.NODE_KILL, "n1", 10.0)])
    killed = killed._replace(load_started_at=min(conn.opened_at for conn in connections))
    assert list(cut_connections(killed, connections)) == []


def test_a_connection_without_any_answer_in_time_is_a_violation(monkeypatch):
    monkeypatch.setattr(new_connections, "ANSWER_TIMEOUT", 0.3)
    connections = open_connections(b"", delay=5.0, seconds=0.1)
    assert ConnectionEnd.TIMED_OUT in {conn.end for conn in connections}
    assert list(cut_connections(make_observation(), connections))


def test_a_connection_that_ends_as_the_port_is_closed_is_counted_only():
    young = NewConnection("n1", 1, 5.0, 5.04, ConnectionEnd.UNANSWERED)
    refused = NewConnection("n1", 1, 5.0, 5.5, ConnectionEnd.REFUSED)
    connections = [young, refused]
    assert list(cut_connections(make_observation(), connections)) == []
    summary = connection_summary(connections)
    assert "1 accepted and ended without an answer" in summary
    assert summary.endswith("unanswered after ms: 40")


def test_several_connections_that_end_as_the_port_is_closed_are_a_violation():
    # Failure: a node that closes its port without a look at the accept queue is not reported.
    young = NewConnection("n1", 1, 5.0, 5.003, ConnectionEnd.UNANSWERED)
    other_process = young._replace(boot=2)
    connections = [young, other_process, young]
    (line,) = cut_connections(make_observation(), connections)
    assert line.startswith("UNANSWERED: a new connection at n1 (boot 1)")


@pytest.mark.parametrize("share, silent", [(1.0, 2), (0.5, 1)])
def test_open_connections_to_the_store_go_silent_and_new_ones_are_served(share, silent):
    """Guards against a fault that resets connections, or that the store's clients can't outlive."""

    async def work():
        store = KvStoreStandIn()
        await store.start(HOST, 0)
        url = f"http://{HOST}:{store._runner.addresses[0][1]}/kv-key?Key=k"
        await store.write("k", b"v")
        sessions = [aiohttp.ClientSession() for _ in range(3)]
        before = [await get(session, url) for session in sessions[:2]]
        assert store.silence_connections(share, Random(1)) == silent
        after = [await get(session, url) for session in sessions]
        for session in sessions:
            await session.close()
        await store.close()
        return before, after

    before, after = asyncio.run(work())
    assert before == [200, 200]
    assert after.count(None) == silent and after[2] == 200


async def get(session, url):
    """Return the status of a call, None if there is no answer."""
    try:
        async with asyncio.timeout(0.3), session.get(url) as resp:
            return resp.status
    except TimeoutError:
        return None


def test_a_call_that_waits_on_a_connection_gets_no_answer_once_that_is_silent():
    async def work():
        store = KvStoreStandIn()
        await store.start(HOST, 0)
        url = f"http://{HOST}:{store._runner.addresses[0][1]}/kv-watch"
        async with aiohttp.ClientSession() as session:
            query = f"{url}?PathPrefix=k&after={store.revision}&WaitMs=5000"
            call = asyncio.create_task(get(session, query))
            while not store.call_counts["kv-watch"]:
                await asyncio.sleep(0.01)
            store.silence_connections(1.0, Random(1))
            await store.write("k", b"v")
            status = await call
        await store.close()
        return status

    assert asyncio.run(work()) is None


def test_the_soak_silences_a_share_of_the_connections():
    async def work(fleet):
        shares = []
        fleet.store.silence_connections = lambda share, rng: shares.append(share)
        injector = FaultInjector(fleet, None, Random(1))
        for number in range(12):
            kind = FaultKind.STORE_CONNECTIONS_SILENT
            await injector.inject(Fault(float(number), kind, "n1", 0.0))
        return shares

    with small_fleet() as fleet:
        shares = asyncio.run(work(fleet))
    assert len(shares) == 12 and {0.5, 0.7, 1.0} == set(shares)

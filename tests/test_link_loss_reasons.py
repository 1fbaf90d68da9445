"""The log tells why a link ended, and what waited on it, at both of its ends."""

import asyncio
import re
import struct
from types import SimpleNamespace

import pytest

from tests.mesh_builders import LinkPeer, make_links, send_call
from tests.test_busy_links import run, wait_until
from thorntray.internal.connection.frame import LENGTH_BYTES
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.connection.peer_watch import LostReason
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.telemetry.events import configure_events
from thorntray_node.peer_requests import PeerRequests

BODY_BYTES = 30_000_000  # more than the socket buffers take


@pytest.fixture(autouse=True)
def new_event_log():
    """Begin with no event written in this second, as their number is limited."""
    configure_events(as_json=False, node="-")


async def close(peer, link):
    peer.calls[0][0]._transport.close()


async def reset(peer, link):
    accepted = peer.calls[0][0]._transport
    sock = accepted.get_extra_info("socket")
    sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SOL_SOCKET, SO_LINGER: reset on close
    accepted.abort()


async def stop(peer, link):
    await peer.listener.finish(1.0)


async def fall_silent(peer, link):
    peer.calls[0][0]._transport.pause_reading()


async def send_garbage(peer, link):
    peer.calls[0][0]._transport.write((1).to_bytes(LENGTH_BYTES, "big") + b"\xc1")


async def close_here(peer, link):
    link.close()


@pytest.mark.parametrize(
    ("end", "reason"),
    [
        (close, LostReason.PEER_CLOSED),
        (reset, LostReason.RESET),
        (stop, LostReason.PEER_STOPPED),
        (fall_silent, LostReason.SILENT),
        (send_garbage, LostReason.MALFORMED),
        (close_here, LostReason.CLOSED_HERE),
    ],
)
def test_the_log_of_the_origin_names_the_reason_and_the_calls_that_ended(end, reason, caplog):
    # Failure: a peer that died cannot be told from a link that this node has given up.
    async def scenario():
        peer, links, results = LinkPeer(), make_links(), []
        await peer.listener.start()
        watch = asyncio.ensure_future(links.watch())
        link = links.link_to(peer.member())
        send_call(link, results)
        await wait_until(lambda: peer.calls)
        await end(peer, link)
        await wait_until(lambda: results)
        watch.cancel()
        links.close()
        peer.listener.close()

    run(scenario)
    (line,) = [line for line in caplog.messages if line.startswith("E410")]
    assert f"peer=peer waiting=1 reason={reason.value} unsent=0" in line


def test_the_log_of_the_owner_names_what_it_owed_and_could_not_send(caplog):
    # Failure: the owner's end gives up a link with results, and no line tells of it.
    async def scenario():
        peer, links = LinkPeer(), make_links()
        requests = PeerRequests(SimpleNamespace(), SimpleNamespace())
        peer.on_lost = requests.on_lost
        await peer.listener.start()
        link = links.link_to(peer.member())
        send_call(link, [])
        await wait_until(lambda: peer.calls)
        link._connection._transport.pause_reading()
        connection, call = peer.calls[0]
        requests._requests[(connection, call.number)] = SimpleNamespace(cancel=lambda: None)
        peer.answer(body=bytes(BODY_BYTES))
        await wait_until(lambda: connection.lost)
        links.close()
        peer.listener.close()

    run(scenario)
    line = next(line for line in caplog.messages if "peer=origin" in line)
    assert f"owed=1 reason={LostReason.NO_PROGRESS.value}" in line
    assert int(re.search(r"unsent=(\d+)", line)[1]) > BODY_BYTES / 4


def test_the_bytes_unsent_are_those_at_the_loss():
    async def scenario():
        connection = LinkConnection(LinkPeer(), SystemClock())
        connection.abort(LostReason.SILENT)
        connection.connection_lost(OSError())  # follows the abort
        return connection.lost_reason, connection.lost_bytes

    assert run(scenario) == (LostReason.SILENT, 0)

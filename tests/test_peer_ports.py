"""Whole nodes over loopback whose first port for peers is taken: the others find and use another.

Also which ports are tried, and what becomes of the bound ones when a start fails.
"""

import asyncio
import socket
from typing import NamedTuple

import pytest

from standins.fleet import free_port
from tests.mesh_builders import HOST, make_mesh_config, run_scenario
from tests.start_builders import HeldPort, Hold
from thorntray.errors import InvalidSettings, PortTaken, ThorntrayError
from thorntray.internal.connection import listening_sockets
from thorntray.internal.connection.listening_sockets import PortAddress, PortWait, bind_ports
from thorntray.internal.process.clock import SystemClock
from thorntray_node.mesh_config import Endpoint, PeerPorts


def with_spare_port(cfg):
    port = free_port()
    return cfg._replace(spare_peer_ports=range(port, port + 1))


class PortRange(NamedTuple):
    """The first and the last port for peers."""

    first: int
    last: int


def with_peer_range(ports):
    return make_mesh_config("n1", "tariff", 8301, "a")._replace(
        link_port=ports.first,
        gossip_port=ports.first,
        spare_peer_ports=range(ports.first + 1, ports.last + 1),
    )


async def wait_until_seen(node, peer):
    """Wait until a node knows the current process of a peer."""
    while node.membership.view.get(peer.cfg.name) != peer.membership.own:
        await asyncio.sleep(0.05)


# Failure: peers go on calling the port of the process before, and every call is lost.
@pytest.mark.parametrize("key", ["link_port", "gossip_port"])
def test_peers_use_the_new_ports_of_a_node_that_restarts_while_its_old_ones_are_taken(key):
    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        caller = await fleet.add("h1", "haul", domain="b")
        await fleet.share_membership()
        before = await fleet.get("h1", "/prices/1", "id-1")
        old = fleet.nodes["t1"]
        old.cfg = with_spare_port(old.cfg)
        taken = getattr(old.cfg, key)
        await close_ports(old)
        held = (socket.SOCK_STREAM, Hold.LISTENING) if key == "link_port" else (socket.SOCK_DGRAM,)
        with HeldPort(HOST, taken, *held):
            node = await fleet.restart_node("t1")
            fleet.announce("t1")
            await wait_until_seen(caller, node)
            return before, await fleet.get("h1", "/prices/1", "id-2"), node

    before, after, node = run_scenario(scenario)
    assert before.startswith(b"HTTP/1.1 200") and after.startswith(b"HTTP/1.1 200")
    own, spare = node.membership.own, node.cfg.spare_peer_ports.start
    assert (own.peer_port, own.gossip_port) == (spare, spare)


async def close_ports(node):
    node.listener.close()
    node.udp.close()
    await asyncio.sleep(0.05)


def test_the_spare_ports_for_peers_are_those_that_have_no_other_purpose():
    cfg = make_mesh_config("n1", "tariff", 8301, "a")._replace(
        link_port=7620, gossip_port=7620, metrics_port=7622, spare_peer_ports=range(7621, 7624)
    )
    assert list(cfg.peer_ports()) == [PeerPorts(port, port) for port in (7620, 7621, 7623)]
    callers = cfg._replace(callers=cfg.callers._replace(port=7621))
    assert [ports.links for ports in callers.peer_ports()] == [7620, 7623]


# Failure: the first port for peers was that of callers or metrics; the start ended with code 3.
@pytest.mark.parametrize("key", ["metrics_port", "callers", "readiness", "announcements"])
def test_a_first_peer_port_that_has_another_purpose_is_left_to_it(key):
    purpose = 7620 if key == "metrics_port" else Endpoint(HOST, 7620)
    cfg = with_peer_range(PortRange(7620, 7622))._replace(**{key: purpose})
    assert [ports.links for ports in cfg.peer_ports()] == [7621, 7622]


def test_the_port_of_the_metrics_is_used_for_peers_if_there_is_no_other():
    cfg = with_peer_range(PortRange(7620, 7620))._replace(metrics_port=7620)
    assert list(cfg.peer_ports()) == [PeerPorts(7620, 7620)]


def test_settings_without_a_port_for_peers_are_refused_with_the_remedy():
    cfg = with_peer_range(PortRange(7620, 7620))._replace(callers=Endpoint(HOST, 7620))
    with pytest.raises(InvalidSettings, match="link_port.*7620.*another purpose"):
        cfg.validated("boot.toml")


# Failure: the next attempt in the same process finds its own sockets.
def test_a_start_that_fails_gives_up_the_ports_that_it_has_bound(monkeypatch):
    monkeypatch.setattr(listening_sockets, "WAIT_LIMIT", 0.1)
    first, second = free_port(), free_port()
    addresses = [PortAddress("callers", HOST, first), PortAddress("readiness", HOST, second)]
    with HeldPort(HOST, second), pytest.raises(PortTaken) as raised:
        asyncio.run(bind_ports(addresses, PortWait(SystemClock())))
    assert isinstance(raised.value, OSError) and isinstance(raised.value, ThorntrayError)
    assert f"readiness, {HOST}:{second}" in str(raised.value)
    HeldPort(HOST, first).release()  # with SO_REUSEADDR, a port that is only bound looks free

"""Starts that fail give up every port, and how long a start waits for its ports.

Failure: the next attempt in the same process, or another process, finds ports that nobody serves.
"""

import asyncio
import errno
from random import Random

import pytest

from standins.fleet import free_port
from tests.builders import run_virtual
from tests.mesh_builders import HOST, make_mesh_config, run_scenario
from tests.port_builders import (
    FailingAttempts,
    FailingServer,
    ListeningAfterBind,
    held_ports,
    ports_of,
)
from tests.start_builders import HeldPort
from thorntray.errors import PortTaken
from thorntray.internal.connection import listening_sockets
from thorntray.internal.connection.documents import DocumentServer
from thorntray.internal.connection.listening_sockets import (
    POLL_PERIOD,
    WAIT_LIMIT,
    PortAddress,
    PortWait,
    accept_from,
    bind_tcp,
)
from thorntray.internal.process.clock import SystemClock
from thorntray_node import node_ports
from thorntray_node.config import NodeConfig
from thorntray_node.ini_node_ports import IniNodePorts
from thorntray_node.node import Node
from thorntray_node.node_ports import NodePorts

SHORT_WAIT = 0.1  # seconds
PORT = PortAddress("callers", HOST, 8304)
SUSPENDED = 60.0  # seconds
ATTEMPTS = round(WAIT_LIMIT / POLL_PERIOD)


@pytest.fixture
def short_wait(monkeypatch):
    monkeypatch.setattr(listening_sockets, "WAIT_LIMIT", SHORT_WAIT)


def make_cfg():
    return make_mesh_config("n1", "tariff", free_port(), "a")._replace(metrics_port=free_port())


def make_ini_cfg():
    ports = {f"{name}_port": free_port() for name in ("http", "peer", "document", "gossip")}
    names = {"domain": "a", "region": "r", "service": "tariff"}
    upstream = f"http://{HOST}:{free_port()}"
    return NodeConfig(
        name="n1", address=HOST, upstream=upstream, platform=(f"{HOST}:1",), **ports, **names
    )


@pytest.mark.parametrize("purpose", ["readiness", "announcements", "links", "gossip"])
def test_a_start_that_cannot_bind_a_port_gives_up_the_others(short_wait, purpose):
    cfg = make_cfg()
    with HeldPort(HOST, *ports_of(cfg)[purpose]):
        with pytest.raises(PortTaken) as raised:  # whose traceback refers to the sockets
            asyncio.run(NodePorts.bind(cfg, SystemClock()))
        assert held_ports(cfg) == [purpose]
    assert purpose in str(raised.value)


@pytest.mark.parametrize("purpose", ["peers", "documents", "gossip"])
def test_a_start_with_an_ini_file_that_cannot_bind_a_port_gives_up_the_others(short_wait, purpose):
    cfg = make_ini_cfg()
    with HeldPort(HOST, *ports_of(cfg)[purpose]):
        with pytest.raises(PortTaken) as raised:
            asyncio.run(IniNodePorts.bind(cfg, SystemClock()))
        assert held_ports(cfg) == [purpose]
    assert purpose in str(raised.value)


@pytest.mark.parametrize(
    "ports_class, cfg", [(NodePorts, make_cfg()), (IniNodePorts, make_ini_cfg())]
)
def test_bound_ports_that_are_closed_are_free(ports_class, cfg):
    async def bind_and_close():
        ports = await ports_class.bind(cfg, SystemClock())
        bound = held_ports(cfg)
        ports.close()
        await asyncio.sleep(0.05)
        return bound, held_ports(cfg), ports

    bound, held, _ = asyncio.run(bind_and_close())
    assert set(bound) == set(ports_of(cfg)) - {"metrics"} and held == []


@pytest.mark.parametrize("purpose", ["links", "readiness", "announcements", "callers"])
def test_a_start_whose_bound_port_is_taken_gives_up_all_ports(monkeypatch, short_wait, purpose):
    cfg = make_cfg()
    other = ListeningAfterBind(ports_of(cfg)[purpose].number, NodePorts.bind)
    monkeypatch.setattr("thorntray_node.mesh_start.NodePorts.bind", other.bind)

    async def scenario(fleet):
        with pytest.raises(PortTaken) as raised:
            await fleet._start_node(cfg)
        other.release()
        await asyncio.sleep(0.05)
        return held_ports(cfg), raised.value

    held, error = run_scenario(scenario)
    assert held == [] and purpose in str(error)


def test_a_start_with_an_ini_file_that_cannot_serve_callers_gives_up_all_ports():
    cfg = make_ini_cfg()

    async def start():
        node = Node(cfg, SystemClock(), Random(1))
        with pytest.raises(PermissionError) as raised:
            await node.start(FailingServer())
        await asyncio.sleep(0.05)
        return held_ports(cfg), raised.value, node

    assert asyncio.run(start())[0] == []


# Failure: the port looks free, and the node serves no documents or ends without a remedy.
def test_a_document_port_that_another_socket_has_come_to_serve_is_a_taken_port():
    port = free_port()
    own, other = bind_tcp(HOST, port), bind_tcp(HOST, port)
    with other:
        other.listen()
        server = DocumentServer(HOST, port, holder=None)
        with pytest.raises(OSError) as raised:
            asyncio.run(server.serve(own))
    assert (raised.value.errno, own.fileno()) == (errno.EADDRINUSE, -1)


# Failure: each port of a long range is tried in each attempt, though none can be opened.
def test_a_missing_address_is_no_reason_to_try_the_next_port_for_peers(monkeypatch):
    gossip = FailingAttempts(failures=1, error=errno.EADDRNOTAVAIL)
    monkeypatch.setattr(node_ports.UdpTransport, "open", lambda address: gossip.attempt())
    first = free_port()
    cfg = make_cfg()._replace(link_port=first, spare_peer_ports=range(first + 1, first + 9))

    async def bind():
        ports = await NodePorts.bind(cfg, SystemClock())
        for port in (ports.callers, ports.readiness, ports.announcements, ports.peers.links):
            port.close()
        return ports.peer_ports.links

    assert asyncio.run(bind()) == first


def test_a_socket_that_cannot_listen_is_closed():
    port = free_port()
    own, other = bind_tcp(HOST, port), bind_tcp(HOST, port)
    with other:
        other.listen()
        with pytest.raises(OSError, match="in use"):
            asyncio.run(accept_from(own, asyncio.Protocol, backlog=1))
        assert own.fileno() == -1


# Failure: a process that was suspended while it waited gives up at its first attempt afterwards.
def test_time_in_which_a_process_is_suspended_does_not_end_the_wait_for_a_port():
    attempts = FailingAttempts(failures=3, seconds=SUSPENDED)
    wait = PortWait(attempts.clock)
    assert run_virtual(wait.until_free(PORT, attempts.attempt)) == "opened"


# Failure: a start waits for each of its ports in turn, far beyond its limit.
def test_the_ports_of_a_start_share_one_limit_of_the_wait():
    first, second = FailingAttempts(failures=ATTEMPTS - 1), FailingAttempts(failures=2)
    wait = PortWait(first.clock)

    async def open_ports():
        await wait.until_free(PORT, first.attempt)
        await wait.until_free(PORT, second.attempt)

    with pytest.raises(PortTaken):
        run_virtual(open_ports())
    assert (first.count, second.count) == (ATTEMPTS, 2)


# Failure: an error that no wait mends is told after ten seconds, as a taken port.
def test_an_error_that_does_not_pass_is_raised_at_the_first_attempt():
    attempts = FailingAttempts(failures=1, error=errno.EACCES)
    with pytest.raises(PermissionError):
        run_virtual(PortWait(attempts.clock).until_free(PORT, attempts.attempt))
    assert attempts.count == 1

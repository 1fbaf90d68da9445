"""A start whose address the machine does not have, or whose port another socket takes meanwhile.

192.0.2.77 is reserved for documentation, so no machine has it.
"""

import asyncio
import errno
import json
import time

import pytest
import uvloop

from standins.fleet import free_port
from tests.mesh_builders import HOST
from tests.process_builders import PlatformProcess
from tests.start_builders import LateAddress
from thorntray.errors import AddressNotAvailable, ThorntrayError
from thorntray.internal.connection import listening_sockets
from thorntray.internal.connection.listening_sockets import (
    PortAddress,
    PortWait,
    accept_from,
    bind_ports,
    bind_tcp,
)
from thorntray.internal.membership.gossip import Address
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.process.clock import SystemClock

MISSING_HOST = "192.0.2.77"
PROMPT_END = 2.0  # seconds; less than the wait for ports


# Failure: `OSError` at once, and the platform starts a process that ends again and again.
def test_an_address_that_comes_up_later_is_waited_for(monkeypatch):
    address = PortAddress("callers", HOST, free_port())
    late = LateAddress(attempts=3)
    monkeypatch.setattr(listening_sockets, "bind_tcp", late.bind)
    (port,) = asyncio.run(bind_ports([address], PortWait(SystemClock())))
    port.close()
    assert late.failures == 3


def test_an_address_that_stays_missing_is_an_error_with_a_remedy(monkeypatch):
    monkeypatch.setattr(listening_sockets, "WAIT_LIMIT", 0.1)
    address = PortAddress("callers", MISSING_HOST, 8304)
    with pytest.raises(AddressNotAvailable, match="callers, 192.0.2.77:8304.*ip address") as raised:
        asyncio.run(bind_ports([address], PortWait(SystemClock())))
    assert isinstance(raised.value, OSError) and isinstance(raised.value, ThorntrayError)


# Failure: an address that is missing for datagrams was reported as a taken port.
def test_a_datagram_port_tells_a_missing_address_from_a_taken_port():
    async def open_port():
        await UdpTransport.open(Address(MISSING_HOST, 7620))

    with (
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        pytest.raises(OSError) as raised,
    ):
        runner.run(open_port())
    assert raised.value.errno == errno.EADDRNOTAVAIL


# Failure: uvloop drops the error of `listen`, so the node ran without a listener and said nothing.
def test_a_port_on_which_another_socket_has_come_to_listen_is_an_error():
    port = free_port()

    async def listen_twice():
        own, other = bind_tcp(HOST, port), bind_tcp(HOST, port)
        with other:
            other.listen()
            await accept_from(own, asyncio.Protocol, backlog=1)

    with (
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
        pytest.raises(OSError) as exc,
    ):
        runner.run(listen_twice())
    assert exc.value.errno == errno.EADDRINUSE


# Issue 59: exit code 3 at once, four times in 11 s.
@pytest.mark.process
def test_a_process_waits_for_its_address_names_it_and_can_be_stopped(tmp_path):
    node = PlatformProcess(tmp_path)
    node.settings.write_text(node.text.replace(f'"{node.host}:', f'"{MISSING_HOST}:'), "utf-8")
    with node:
        node.wait_for_log("EADDRNOTAVAIL")
        began = time.monotonic()
        node.process.terminate()
        assert node.wait_ended() == 0
        assert time.monotonic() - began < PROMPT_END
    (line,) = [json.loads(line) for line in node.log.splitlines() if '"PORT_TAKEN"' in line]
    assert (line["purpose"], line["host"]) == ("callers", MISSING_HOST)

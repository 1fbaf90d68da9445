"""The start of a real `thorntray-node` process while another socket holds one of its ports."""

import socket
import subprocess
import time

import pytest

from standins.fleet import HOST, Fleet, Site
from tests.start_builders import CallSeries, HeldPort

pytestmark = pytest.mark.process

START_TIME = 30.0  # seconds until a process has loaded its modules, on a loaded machine
HOLD_TIME = 2.5  # seconds
SERVE_TIME = 5.0  # seconds from a free port until a call is answered, on a loaded machine
SIGNAL_PERIOD = 0.0005  # seconds
PROMPT_END = 2.0  # seconds; less than a stop that drains
TCP_PORTS = ("http_port", "peer_port", "document_port")


@pytest.fixture
def fleet():
    with Fleet(["himal"]) as fleet:
        yield fleet


def start_node(fleet: Fleet, site: Site) -> subprocess.Popen:
    file = fleet.folder / f"{site.name}.ini"
    file.write_text(fleet._node_ini(site), "utf-8")
    return fleet._start(site.name, *fleet.node_command, f"--config={file}")


def read_log(fleet: Fleet, site: Site) -> str:
    return (fleet.folder / f"{site.name}.log").read_text("utf-8")


def wait_until_port_taken(fleet: Fleet, site: Site, node: subprocess.Popen) -> None:
    """Wait until a starting node has found a taken port; it may take seconds to get there."""
    deadline = time.monotonic() + START_TIME
    while "E123" not in read_log(fleet, site):
        assert node.poll() is None, read_log(fleet, site)
        assert time.monotonic() < deadline, read_log(fleet, site)
        time.sleep(0.05)


# Issue 59: the callers' port listened first; if a later one was taken, callers were reset.
@pytest.mark.parametrize("key", [*TCP_PORTS, "gossip_port"])
def test_a_port_taken_at_the_start_neither_ends_the_process_nor_loses_a_caller(fleet, key):
    site = Site("tariff-1", "tariff", "kalimati", 5, 0.005)
    kind = socket.SOCK_STREAM if key in TCP_PORTS else socket.SOCK_DGRAM
    with HeldPort(HOST, getattr(site, key), kind) as held:
        node = start_node(fleet, site)
        with CallSeries((HOST, site.http_port)) as calls:
            wait_until_port_taken(fleet, site, node)
            time.sleep(HOLD_TIME)
            assert node.poll() is None, read_log(fleet, site)
            assert calls.answered == 0
            held.release()
            assert calls.wait_answered(SERVE_TIME), read_log(fleet, site)
        assert calls.unanswered == 0


def test_a_stop_while_a_port_is_waited_for_ends_the_process_promptly(fleet):
    site = Site("tariff-1", "tariff", "kalimati", 5, 0.005)
    with HeldPort(HOST, site.document_port):
        node = start_node(fleet, site)
        wait_until_port_taken(fleet, site, node)
        began = time.monotonic()
        node.terminate()
        assert node.wait(PROMPT_END) == 0
        assert time.monotonic() - began < PROMPT_END


# Failure: a further signal ended the process with -15 after its last line had told code 0.
def test_signals_until_the_exit_do_not_change_the_end_of_a_start_that_was_stopped(fleet):
    site = Site("tariff-1", "tariff", "kalimati", 5, 0.005)
    with HeldPort(HOST, site.document_port):
        node = start_node(fleet, site)
        wait_until_port_taken(fleet, site, node)
        deadline = time.monotonic() + SERVE_TIME
        while node.poll() is None and time.monotonic() < deadline:
            node.terminate()
            time.sleep(SIGNAL_PERIOD)
        assert node.poll() == 0

"""A real node process that has few descriptors, by the operating system's limit or its settings."""

import resource
import socket
import time

import pytest

from tests.process_builders import REQUEST
from tests.start_builders import CALL_TIMEOUT, make_node

pytestmark = pytest.mark.process

DESCRIPTORS = 64
CALLERS = 160  # with a connection each, all at once
SETTLE_TIME = 0.2  # seconds after the last connection


def read_answer(caller):
    """Return the status line of an answer, empty if the connection ends without one."""
    try:
        return caller.recv(1 << 16).split(b"\r\n")[0]
    except OSError:
        return b""


def open_callers(node):
    return [socket.create_connection(node.outbound, timeout=CALL_TIMEOUT) for _ in range(CALLERS)]


def send_request(caller):
    try:
        caller.sendall(REQUEST)
    except OSError:
        return  # refused before; the answer may be there


# Issue 59: beyond the bound for callers, connections were closed without a byte.
@pytest.mark.parametrize("pause", [0.0, SETTLE_TIME])
def test_each_connection_that_is_accepted_with_few_descriptors_gets_an_answer(tmp_path, pause):
    node = make_node(tmp_path)
    with node:
        limits = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(node.process.pid, resource.RLIMIT_NOFILE, limits)
        node.wait_for_log("STARTED")
        callers = open_callers(node)
        time.sleep(pause)  # the requests come after the refusals
        for caller in callers:
            send_request(caller)
        answers = [read_answer(caller) for caller in callers]
        for caller in callers:
            caller.close()
        assert [answer[:12] for answer in answers] == [b"HTTP/1.1 503"] * CALLERS
        node.process.terminate()
        assert node.wait_ended() == 0

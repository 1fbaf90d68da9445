"""The end of a listening socket when callers leave or arrive meanwhile, or descriptors are missing.

Failure: a caller whose connection the kernel has accepted gets no answer, or the stop fails.
"""

import asyncio
import errno
import select
import socket
from types import SimpleNamespace

import pytest

from thorntray.internal.connection import accept_queue
from thorntray.internal.connection.accept_queue import close_listener
from thorntray.internal.telemetry.events import Event

HOST = "127.0.0.1"
ANSWER = b"answered"
CALLERS = 3
TIMEOUT = 2.0  # seconds


class Answering(asyncio.Protocol):
    """Answers as soon as the connection is made, and closes it."""

    def connection_made(self, transport):
        """Send the answer."""
        transport.write(ANSWER)
        transport.close()


class LimitedAccepts:
    """Accepts of a process that has descriptors for a few connections at each attempt only."""

    def __init__(self, per_attempt):
        self.attempts = 0
        self._per_attempt = per_attempt

    def accept_from(self, listener, accepted):
        """Accept what there are descriptors for; raises `OSError` if more may wait."""
        self.attempts += 1
        for _ in range(self._per_attempt):
            try:
                accepted.append(listener.accept()[0])
            except BlockingIOError:
                return
        raise OSError(errno.EMFILE, "no descriptor")


class OddListener:
    """A listening socket with the given results of `accept`."""

    def __init__(self, results):
        self._results = iter(results)

    def accept(self):
        """Return or raise the next result."""
        result = next(self._results)
        if isinstance(result, Exception):
            raise result
        return result, (HOST, 1)


def connect(address):
    """Return a connection that the kernel has accepted, None if it is refused."""
    try:
        return socket.create_connection(address, timeout=TIMEOUT)
    except ConnectionRefusedError:
        return None


def read_answer(caller):
    with caller:
        try:
            return caller.recv(100)
        except ConnectionResetError:
            return b""


def close_with_callers(before_close=lambda address: None):
    """Close a port while callers wait; return their answers, and whether it refuses new ones."""

    async def work():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answering, HOST, 0)
        address = server.sockets[0].getsockname()
        callers = [connect(address) for _ in range(CALLERS)]
        before_close(address)
        await asyncio.wait_for(close_listener(server, Answering), TIMEOUT)
        await asyncio.sleep(0.05)
        refuses = connect(address) is None
        answers = [await asyncio.to_thread(read_answer, caller) for caller in callers]
        return answers, refuses

    return asyncio.run(work())


def test_a_caller_that_connects_in_the_next_turn_of_the_loop_is_refused(monkeypatch):
    # Failure: callers that come between the last accept and the close are reset.
    late, accept = [], accept_queue._accept_waiting

    def accept_and_let_another_connect(server):
        result = accept(server)
        address = server.sockets[0].getsockname()
        asyncio.get_running_loop().call_soon(lambda: late.append(connect(address)))
        return result

    monkeypatch.setattr(accept_queue, "_accept_waiting", accept_and_let_another_connect)
    assert close_with_callers() == ([ANSWER] * CALLERS, True)
    assert late == [None]


def test_a_caller_that_connects_between_the_last_accept_and_the_close_is_never_reset():
    # Failure: its connection was made and then reset, so it could not know whether a request ran.
    late = socket.socket()
    late.setblocking(False)

    async def work():
        server = await asyncio.get_running_loop().create_server(Answering, HOST, 0)
        address = server.sockets[0].getsockname()

        def connect_and_close():
            late.connect_ex(address)
            server.close()

        closing = SimpleNamespace(sockets=server.sockets, close=connect_and_close)
        await close_listener(closing, Answering)

    with late:
        asyncio.run(work())
        select.select([], [late], [], TIMEOUT)
        assert late.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED


def test_connections_without_a_descriptor_are_answered_once_there_is_one(monkeypatch):
    # Failure: the first connections, or those left, are reset at once.
    accepts = LimitedAccepts(per_attempt=1)
    monkeypatch.setattr(accept_queue, "_accept_from", accepts.accept_from)
    assert close_with_callers() == ([ANSWER] * CALLERS, True)
    assert accepts.attempts >= 2  # the loop may accept the others between two attempts


def test_connections_that_get_no_descriptor_in_time_are_logged_and_the_port_is_closed(monkeypatch):
    # Failure: the port listens until the exit, or nothing tells of the connections.
    events = []
    monkeypatch.setattr(accept_queue, "log_event", lambda event, **_: events.append(event))
    monkeypatch.setattr(accept_queue, "_accept_from", LimitedAccepts(0).accept_from)
    answers, refuses = close_with_callers()
    # The loop may accept a connection itself between two attempts.
    assert refuses and len(answers) == CALLERS
    assert events == [Event.CONNECTIONS_NOT_ACCEPTED]


def test_a_caller_that_leaves_in_the_queue_hides_none_behind_it():
    # Failure: the kernel reports one aborted connection, and the others are reset.
    accepted = []
    conn = object()
    results = [ConnectionAbortedError(), conn, ConnectionAbortedError(), conn, BlockingIOError()]
    accept_queue._accept_from(OddListener(results), accepted)
    assert accepted == [conn, conn]


def test_a_caller_that_has_left_when_it_is_served_does_not_end_the_stop():
    # Failure: its error ends the stop of the node, and the others get no answer.
    async def fail(factory, conn):
        raise OSError(errno.ENOTCONN, "not connected")

    conn, other = socket.socketpair()
    loop = SimpleNamespace(connect_accepted_socket=fail)
    with other:
        asyncio.run(accept_queue._serve(loop, Answering, conn))
    assert conn.fileno() == -1


@pytest.mark.parametrize("listeners", [1, 2])
def test_all_listening_sockets_of_a_server_are_emptied(listeners):
    # Failure: callers of the second address of a server are reset.
    async def work():
        socks = [socket.create_server((HOST, 0)) for _ in range(listeners)]
        loop = asyncio.get_running_loop()
        server = await loop.create_server(Answering, sock=socks[0])
        callers = [connect(sock.getsockname()) for sock in socks]
        both = SimpleNamespace(sockets=socks, close=server.close)
        await close_listener(both, Answering)
        await asyncio.sleep(0.05)
        answers = [await asyncio.to_thread(read_answer, caller) for caller in callers]
        for sock in socks:
            sock.close()
        return answers

    assert asyncio.run(work()) == [ANSWER] * listeners

"""A node process that ends while the kernel still holds answers for slow readers."""

import asyncio
import json
import re
import signal
import socket
import time
from random import Random
from typing import NamedTuple

import pytest

from standins.mesh_fleet import HOST_NAME, STOP_TIMEOUT, MeshFleet, RouteConfig
from standins.worker import PathBehavior

pytestmark = pytest.mark.process

ROUTE = RouteConfig("prices", "tariff", timeout=3.0, target_latency=2.0)
JOIN_TIME = 1.0  # seconds
SERVICE_TIME = 0.1  # seconds
SENT_AFTER_SIGNAL = 1.8  # seconds; the node accepts requests for 2.2 s after the signal
READ_TIME = 2.0  # seconds that a caller takes to read its answer
READ_PERIOD = 0.02  # seconds
SEND_PERIOD = 0.1  # seconds between the further requests of a caller
RECEIVE_BUFFER = 4096  # bytes
CALM_STOP_TIME = 2.6  # seconds, in which a stop without slow readers has ended
HEAD = "GET {} HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {}\r\nX-Request-Deadline: 3000\r\n\r\n"


class Seen(NamedTuple):
    """What a caller received of its first answer, and how its connection ended."""

    received: int  # bytes of the body
    length: int  # the Content-Length of the answer
    error: str


def seen_of(data, error):
    head, _, body = bytes(data).partition(b"\r\n\r\n")
    length = re.search(rb"(?i)content-length: (\d+)", head)
    size = int(length[1]) if length else -1
    return Seen(min(len(body), size), size, error)


async def send_further(sock):
    """Send requests on no route until the node has closed the connection."""
    loop, number = asyncio.get_running_loop(), 1
    while True:
        await asyncio.sleep(SEND_PERIOD)
        number += 1
        await loop.sock_sendall(sock, HEAD.format("/none/1", HOST_NAME, f"id-{number}").encode())


async def read_slowly(address, body_bytes, goes_on_sending):
    """Send a request, and further ones behind it; read the answer in `READ_TIME`."""
    loop, data = asyncio.get_running_loop(), bytearray()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    sock.setblocking(False)
    await loop.sock_connect(sock, tuple(address))
    await loop.sock_sendall(sock, HEAD.format(ROUTE.path, HOST_NAME, "id-1").encode())
    sending = asyncio.create_task(send_further(sock)) if goes_on_sending else None
    started, error = loop.time(), ""
    while True:
        due = body_bytes * (loop.time() - started) / READ_TIME
        if len(data) >= due:
            await asyncio.sleep(READ_PERIOD)
            continue
        try:
            piece = await loop.sock_recv(sock, 1 << 16)
        except OSError as exc:
            error = repr(exc)
            break
        if not piece:
            break
        data += piece
    if sending is not None:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
    sock.close()
    return seen_of(data, error)


async def stop_with_readers(body_bytes, readers, goes_on_sending):
    """Return what the callers saw, the seconds that the stop took, and the node's events."""
    fleet = MeshFleet([ROUTE], {ROUTE.path: PathBehavior(body_bytes=body_bytes)}, Random(56))
    try:
        await fleet.start([("tariff", "a")])
        await asyncio.sleep(JOIN_TIME)
        node = fleet.nodes["tariff-1"]
        node.worker.service_time = SERVICE_TIME
        node.signal(signal.SIGTERM)
        began = time.monotonic()
        await asyncio.sleep(SENT_AFTER_SIGNAL)
        reading = [
            asyncio.create_task(read_slowly(node.outbound, body_bytes, goes_on_sending))
            for _ in range(readers)
        ]
        while node.running:
            await asyncio.sleep(0.01)
        seconds = time.monotonic() - began
        async with asyncio.timeout(STOP_TIMEOUT):
            seen = await asyncio.gather(*reading)
        lines = fleet.log_file(node).read_text().splitlines()
        return seen, seconds, [json.loads(line) for line in lines if line.startswith("{")]
    finally:
        await fleet.close()


@pytest.mark.parametrize("body_bytes", [30_000, 300_000, 3_000_000])
def test_an_answer_in_the_kernel_is_not_cut_by_what_its_caller_sends_meanwhile(body_bytes):
    # The kernel resets a closed connection on which input arrives, and discards its output.
    seen, seconds, _ = asyncio.run(stop_with_readers(body_bytes, 4, True))
    assert [(row.received, row.length) for row in seen] == [(body_bytes, body_bytes)] * 4, seen
    assert seconds < STOP_TIMEOUT


def test_a_stop_without_slow_readers_takes_no_longer():
    _, seconds, _ = asyncio.run(stop_with_readers(256, 0, False))
    assert seconds < CALM_STOP_TIME

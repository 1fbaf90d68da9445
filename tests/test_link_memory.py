"""Links into other domains stay within the memory of a node's control part at hundreds of nodes."""

import asyncio
import tracemalloc

from tests.mesh_builders import make_call
from thorntray.internal.connection.frame import Hello
from thorntray.internal.connection.link_connection import LinkConnection
from thorntray.internal.process.clock import SystemClock

CONTROL_MEMORY = 32_000_000  # bytes for each node; the users' target
REMOTE_PEERS = 156  # nodes in other domains, of 195 in five domains
LINKS_MEASURED = 20
FRAMES = 60  # sent over each link


class RecordingTransport:
    def __init__(self):
        self.sent = []

    def write(self, data):
        self.sent.append(bytes(data))

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0


class FrameCounter:
    def __init__(self):
        self.frames = 0

    def on_frame(self, link, frame):
        self.frames += 1

    def on_lost(self, link):
        pass


async def exchange_frames(handler):
    """Send frames over one compressed link; return both ends."""
    outgoing = LinkConnection(handler, SystemClock(), Hello("n", b"s"), compressed=True)
    incoming = LinkConnection(handler, SystemClock())
    transport = RecordingTransport()
    outgoing.connection_made(transport)
    incoming.connection_made(RecordingTransport())
    for number in range(FRAMES):
        outgoing.send(make_call(number=number, target=b"/prices/%d" % number))
        await asyncio.sleep(0)
        for data in transport.sent:
            incoming.data_received(data)
        transport.sent.clear()
    return outgoing, incoming


def test_a_link_to_and_from_every_node_of_other_domains_fits_into_the_memory_of_control():
    """Load pattern: each node comes to hold a link to each other, and each other one to it."""

    async def scenario():
        handler = FrameCounter()
        links = [await exchange_frames(handler)]
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            links += [await exchange_frames(handler) for _ in range(LINKS_MEASURED)]
            after = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        assert handler.frames == FRAMES * len(links)
        return (after - before) / LINKS_MEASURED

    bytes_a_link = asyncio.run(scenario())
    assert bytes_a_link * REMOTE_PEERS <= CONTROL_MEMORY

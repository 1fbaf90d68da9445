"""Malformed messages of the store, the operators, the instance or others end no part of a node."""

import asyncio
import sys
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from announcements import AnnouncementHandler
from desired_state import decode_desired_state
from kv_store import KvStore
from tests.builders import ManualClock
from tests.mesh_builders import HOST
from thorntray.errors import BadDocument, PlatformUnavailable, WriteUndetermined
from thorntray.internal.connection.exchange import HttpRequest
from thorntray.internal.connection.http_client import KeptConnections
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.registration import Registration
from thorntray.internal.store.seeds import _parse_address
from thorntray.internal.store.store_calls import StoreCalls, StoreReply
from thorntray.internal.store.store_epoch import StoreEpoch

DEEP = b'{"a":' * 100_000
SOUND_ITEM = {"Key": "seeds/a", "Value": "eA==", "Revision": 7, "Created": 7, "Lease": 0}
MALFORMED_ITEMS = [
    {},
    None,
    "text",
    {**SOUND_ITEM, "Key": 5},
    {**SOUND_ITEM, "Value": "not base64!"},
    {**SOUND_ITEM, "Value": None},
    {**SOUND_ITEM, "Revision": "x"},
    {**SOUND_ITEM, "Revision": None},
]


class FakeCalls:
    """Calls to a store that always gives the same reply."""

    def __init__(self, body):
        self.epoch = StoreEpoch()
        self._body = body

    async def call(self, *args, **options):
        return StoreReply(200, self._body)


def use_store(body, use):
    async def work():
        return await use(KvStore(FakeCalls(body)))

    return asyncio.run(work())


async def first_batch(store):
    async for batch in store.watch("seeds/", 1):
        return batch


@pytest.mark.parametrize("body", [{}, {"StoreRevision": "x"}, {"StoreRevision": None}])
def test_a_reply_without_a_revision_is_an_unavailable_store(body):
    with pytest.raises(PlatformUnavailable):
        use_store(body, lambda store: store.read("seeds/", prefix=True))
    with pytest.raises(PlatformUnavailable):
        use_store(body, first_batch)
    with pytest.raises(PlatformUnavailable):
        use_store({**SOUND_ITEM, **body}, lambda store: store.read("op/config"))


@pytest.mark.parametrize("body", [{}, {"Lease": "x"}, {"Lease": None}])
def test_a_reply_without_a_lease_is_an_unavailable_store(body):
    with pytest.raises(PlatformUnavailable):
        use_store(body, lambda store: store.lease_grant(10))


@pytest.mark.parametrize("item", MALFORMED_ITEMS)
def test_a_malformed_item_is_left_out_and_the_others_hold(item):
    body = {"items": [item, SOUND_ITEM], "events": [item, SOUND_ITEM], "StoreRevision": 9}
    entries, revision = use_store(body, lambda store: store.read("seeds/", prefix=True))
    assert [entry.key for entry in entries] == ["seeds/a"] and revision == 9
    batch = use_store(body, first_batch)
    assert [entry.key for entry in batch.entries] == ["seeds/a"]


@pytest.mark.parametrize("items", ["text", 5, None])
def test_items_that_are_no_list_are_an_unavailable_store(items):
    body = {"items": items, "events": items, "StoreRevision": 9}
    with pytest.raises(PlatformUnavailable):
        use_store(body, lambda store: store.read("seeds/", prefix=True))


def test_a_reply_nested_without_end_leaves_a_write_undetermined():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(DEEP) + DEEP)

    async def work():
        server = await asyncio.start_server(serve, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        clock = SystemClock()
        http = KeptConnections(clock)
        calls = StoreCalls([f"http://{HOST}:{port}"], http, clock, Random(1))
        try:
            await calls.call("GET", "/kv-key")
        finally:
            await calls.close()
            server.close()

    with pytest.raises(WriteUndetermined):
        asyncio.run(work())


@pytest.mark.parametrize(
    "document",
    [
        DEEP,
        b'{"Version":"r1","Resources":[{"EntryKind":"Services","Metadata":{},"Spec":{}}]}',
        b'{"Version":"r1","Resources":[{"EntryKind":"Routes","Metadata":{"Name":"a"},"Spec":5}]}',
        b"\xff",
    ],
)
def test_a_malformed_desired_state_is_refused(document):
    with pytest.raises(BadDocument):
        decode_desired_state(document)


@pytest.mark.parametrize(
    "value", [b"", b"x", b"host.example:80", b"10.0.0.1:99999", b"10.0.0.1:0", b"\xff:80"]
)
def test_a_seed_entry_that_is_no_address_is_left_out(value):
    assert _parse_address(value) is None


class FakeExchange:
    def __init__(self, path, body):
        self.request = HttpRequest(b"POST", path, [], body)
        self.status = 0

    def respond(self, status, header_lines, body):
        self.status = status


@pytest.mark.parametrize("call", [b"Heartbeat", b"Deregister"])
@pytest.mark.parametrize("body", [DEEP, b"\xff\xfe", b"null", b"[]"])
def test_a_malformed_announcement_is_answered_with_400(call, body):
    handler = AnnouncementHandler()
    handler.registration = Registration("s", "a", ManualClock(), lambda: None)
    exchange = FakeExchange(b"/Instances.%b/i-1" % call, body)
    handler.handle(exchange)
    assert exchange.status == 400

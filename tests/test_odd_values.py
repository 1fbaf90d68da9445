"""One odd value stops nothing: whatever comes first, a sound message is served as before.

Failure of issue 53: an announcement with a start time of 10^30 was taken in and failed when it was
sent and stored, so that no later leaving was confirmed. A reader that takes in more than is later
written, sent or computed with fails far from the message that brought it. One test a door.
"""

import asyncio
import json
import sys
from pathlib import Path
from random import Random
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from announcements import AnnouncementHandler
from desired_state import decode_desired_state
from kv_store import KvStore
from settings_file import read_settings
from tests.builders import LoopClock, ManualClock, make_member, run_virtual
from tests.mesh_builders import HOST
from tests.test_malformed_messages import FakeExchange
from thorntray.errors import (
    BadDocument,
    BadMessage,
    InvalidSettings,
    PlatformUnavailable,
    WriteUndetermined,
)
from thorntray.internal.bounded import MAX_INT, MAX_NAME_LENGTH
from thorntray.internal.connection.frame import decode_frame, encode_frame
from thorntray.internal.connection.http_client import HttpReply
from thorntray.internal.connection.instance_pool import _idle_timeout_from
from thorntray.internal.membership.departures import _decode as decode_departures
from thorntray.internal.membership.gossip import (
    Ack,
    Address,
    Digest,
    Join,
    Ping,
    PingRequest,
    Spread,
    decode_datagram,
    encode_datagram,
)
from thorntray.internal.membership.member import Health
from thorntray.internal.membership.membership import Membership
from thorntray.internal.membership.udp import UdpTransport
from thorntray.internal.overload.crash_suspects import CrashSuspects
from thorntray.internal.overload.rate_limit import parse_rate_limit
from thorntray.internal.process.registration import Registration
from thorntray.internal.request.origin import InvalidRequestHead, Origin
from thorntray.internal.store.crash_archive import CrashArchive
from thorntray.internal.store.store_calls import StoreCalls, StoreEntry
from wire_names import HEADERS

HUGE = 10**30
ODD_NUMBERS = [HUGE, -HUGE, 2**64, 2**63, -1, 1e308, -1e308, 1.5, True, None, "7", [], {}, 0]
SOUND = {
    "Address": "a",
    "Info": {"Service": "s", "Slots": 7},
    "Status": {"Phase": "ready", "Sequence": 3, "ColdRemainingS": 0},
    "born": 1_790_000_000_000,
}
FIELDS = [("born",), ("Info", "Slots"), ("Status", "Sequence"), ("Status", "ColdRemainingS")]
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


class Door:
    """The address for announcements of one node, without peers or store."""

    def __init__(self):
        self.left = []
        self.registration = Registration("s", "a", ManualClock(), lambda: None)
        self.registration.on_left = self.left.append
        self.handler = AnnouncementHandler()
        self.handler.registration = self.registration

    def post(self, path, body):
        exchange = FakeExchange(path, body)
        self.handler.handle(exchange)
        return exchange.status

    def beat(self, body, instance_id=b"i-1"):
        return self.post(b"/Instances.Heartbeat/" + instance_id, body)

    def assert_serves(self):
        """Assert that a sound boot is used, and that all state can be sent and stored."""
        assert (
            self.beat(json.dumps({**SOUND, "born": 1_790_000_200_000}).encode(), b"i-sound") == 200
        )
        assert self.registration.current.instance_id == "i-sound"
        msgspec.json.encode(self.left)
        msgspec.msgpack.encode((self.left, self.registration.current))


def with_field(path, value):
    beat = json.loads(json.dumps(SOUND))
    part = beat
    for name in path[:-1]:
        part = part[name]
    part[path[-1]] = value
    return json.dumps(beat).encode()


@pytest.mark.parametrize("path", FIELDS)
@pytest.mark.parametrize("value", ODD_NUMBERS, ids=repr)
def test_an_announcement_with_an_odd_number_leaves_nothing_that_cannot_be_sent(path, value):
    door = Door()
    assert door.beat(with_field(path, value)) in (200, 400)
    door.assert_serves()


@pytest.mark.parametrize("born", [HUGE, 2**64, 2**63, -HUGE, -1])
def test_a_leaving_with_an_odd_start_time_is_refused_and_the_next_one_is_taken(born):
    door = Door()
    odd = json.dumps({"born": born}).encode()
    assert door.post(b"/Instances.Deregister/i-1", odd) == 400
    assert door.post(b"/Instances.Deregister/i-2", b'{"born": 1790000000000}') == 200
    door.assert_serves()


@pytest.mark.parametrize("instance_id", [b"x" * 5000, b"a\x01b", b"a b", b"\xff", b""])
def test_an_instance_id_that_no_header_field_can_carry_is_refused(instance_id):
    door = Door()
    assert door.beat(json.dumps(SOUND).encode(), instance_id) == 400
    assert door.post(b"/Instances.Deregister/" + instance_id, b"{}") == 400
    door.assert_serves()


@given(st.binary(max_size=80) | json_values.map(lambda value: json.dumps(value).encode()))
def test_a_door_for_announcements_serves_after_any_bytes(body):
    door = Door()
    door.beat(body)
    door.post(b"/Instances.Deregister/i-1", body)
    door.assert_serves()


ROUTE = {
    "Host": "h",
    "PathPrefix": "/a/",
    "Kind": "idempotent",
    "TimeoutS": 1.0,
    "TargetLatencyS": 0.5,
    "Service": "s",
}


def desired_state(version="r7", **fields):
    entries = [
        {"EntryKind": "Services", "Metadata": {"Name": "s"}, "Spec": {}},
        {"EntryKind": "Routes", "Metadata": {"Name": "a"}, "Spec": {**ROUTE, **fields}},
    ]
    return json.dumps({"Version": version, "Resources": entries}).encode()


@pytest.mark.parametrize("version", [f"r{HUGE}", "r" + "9" * 5000, "r²", "r", "r-1", "r 1", "r١"])
def test_a_version_that_no_datagram_can_carry_is_refused(version):
    """Guards against the end of all gossip: each datagram carries the version in force."""
    with pytest.raises(BadDocument):
        decode_desired_state(desired_state(version))
    assert decode_desired_state(desired_state("r8")).version == 8


@pytest.mark.parametrize("field", ["TimeoutS", "TargetLatencyS", "MaxAttempts", "Priority"])
@pytest.mark.parametrize("value", [HUGE, 1e300, -HUGE])
def test_a_route_with_a_number_that_cannot_be_computed_with_is_refused(field, value):
    with pytest.raises(BadDocument):
        decode_desired_state(desired_state(**{field: value}))


@given(st.binary(max_size=80) | json_values.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_in_place_of_a_desired_state_are_refused_or_can_be_sent(document):
    try:
        policy = decode_desired_state(document)
    except BadDocument:
        return
    msgspec.msgpack.encode({"policy": policy.version})


def ping(**fields):
    return Ping(1, make_member("n1", address="10.0.0.1"), {}, (make_member("n2"),))


@pytest.mark.parametrize(
    "odd",
    [
        {"gossip_port": 70_000},
        {"gossip_port": -1},
        {"peer_port": 2**40},
        {"version": 2**64 - 1},
        {"name": "n" * 5000},
    ],
    ids=repr,
)
def test_an_odd_member_among_the_updates_is_left_out_and_the_others_hold(odd):
    """Guards against a gossip loop that ends when it sends to a port out of range."""
    sender, sound = make_member("n1", address="10.0.0.1"), make_member("n3", address="10.0.0.3")
    updates = (make_member("n2", address="10.0.0.2")._replace(**odd), sound)
    for datagram in (Ping(1, sender, {"policy": 3}, updates), Spread(sender, {}, updates)):
        decoded = decode_datagram(encode_datagram(datagram))
        assert decoded == msgspec.structs.replace(datagram, updates=(sound,))
        encode_datagram(decoded)


def test_a_datagram_of_an_odd_sender_is_refused():
    sender = make_member("n1", gossip_port=70_000)
    with pytest.raises(BadMessage):
        decode_datagram(encode_datagram(Spread(sender, {}, ())))


@given(st.binary(max_size=120) | json_values.map(msgspec.json.encode))
def test_any_bytes_are_a_datagram_that_can_be_sent_on_or_refused(data):
    for payload in (data, b"\x01" + data):
        try:
            decoded = decode_datagram(payload)
        except BadMessage:
            continue
        encode_datagram(decoded)


ODD_MEMBERS = [
    {"gossip_port": 0, "peer_port": 0},
    {"gossip_port": 65535, "address": ""},
    {"address": "no address"},
    {"version": MAX_INT},
    {"name": ""},
    {"name": "own"},
    {"name": "own", "version": MAX_INT},
    {"domain": "x" * MAX_NAME_LENGTH, "service": ""},
]


@pytest.mark.parametrize("odd", ODD_MEMBERS, ids=repr)
@pytest.mark.parametrize("health", Health)
def test_a_node_goes_on_with_gossip_after_any_member_that_it_takes_in(odd, health):
    """Guards against a loop of the protocol that ends when it meets a member of another writer."""
    member = make_member("n2", address=HOST)._replace(health=health, **odd)
    revisions = {"policy": MAX_INT, "policy-age": MAX_INT}
    received = []

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: failures.append(context))
        udp = await UdpTransport.open(Address(HOST, 0))
        own = make_member("own", address=HOST, version=5)
        node = Membership(
            own, udp, LoopClock(), Random(1), dict, lambda *args: None, lambda name: None
        )
        udp.receive = node.on_datagram
        node.start()
        for datagram in (
            Ping(MAX_INT, member, revisions, (member,)),
            Ack(MAX_INT, member, revisions, (member,)),
            PingRequest(1, member, "n9"),
            Spread(member, revisions, (member, member)),
            Join(member),
            Digest(member, revisions, (MAX_INT, 0)),
        ):
            node.on_datagram(encode_datagram(datagram), Address(HOST, 9))
        await asyncio.sleep(1.5)
        peer = await UdpTransport.open(Address(HOST, 0))
        peer.receive = lambda data, address: received.append(decode_datagram(data))
        port = peer._endpoint.get_extra_info("sockname")[1]
        sound = make_member("n3", address=HOST, gossip_port=port)
        node.on_datagram(encode_datagram(Ping(7, sound, {}, ())), Address(HOST, port))
        await asyncio.sleep(0.1)
        failed = [task for task in node._tasks._tasks if task.done()]
        await node.stop()
        udp.close()
        peer.close()
        return failed

    failures = []
    assert asyncio.run(scenario()) == [] and failures == []
    assert any(isinstance(datagram, Ack) and datagram.sequence == 7 for datagram in received)


@given(st.binary(max_size=120))
def test_any_bytes_are_a_frame_that_can_be_sent_on_or_refused(data):
    try:
        frame = decode_frame(data)
    except BadMessage:
        return
    encode_frame(frame)


@pytest.mark.parametrize(
    "address", [("10.0.0.1", 70_000), ("999.1.1.1", 7), ("no address", 7), ("::1", 7)]
)
def test_a_datagram_to_an_impossible_address_is_dropped(address):
    async def work():
        transport = await UdpTransport.open(Address(HOST, 0))
        transport.send(b"x", Address(*address))
        transport.close()

    asyncio.run(work())


@pytest.mark.parametrize("value", [b"[[", b'[["i",1e30,true]]', b"5", b"\xff"])
def test_odd_departures_in_the_store_are_refused(value):
    with pytest.raises((msgspec.MsgspecError, ValueError, RecursionError)):
        decode_departures(value)


@pytest.mark.parametrize("born", [HUGE, 2**64, -1])
def test_departures_in_the_store_with_an_odd_start_time_are_refused(born):
    with pytest.raises(msgspec.MsgspecError):
        decode_departures(json.dumps([["i-1", born, False]]).encode())


class NoEntries:
    async def recover(self):
        return []


def odd_crashes():
    numbers = [2**64 - 1, 2**63, 0]
    floats = [float("inf"), float("nan"), -1e308, 1e308, 0.0]
    for at in floats:
        yield "crashes/7", msgspec.msgpack.encode([at, 1, [5]])
        yield "blocks/7", msgspec.msgpack.encode([at])
    for number in numbers:
        yield "crashes/7", msgspec.msgpack.encode([0.0, number, [number]])
    yield f"crashes/{HUGE**3:x}", msgspec.msgpack.encode([0.0, 1, [5]])
    yield f"blocks/{HUGE**3:x}", msgspec.msgpack.encode([1e9])
    yield "blocks/-7", msgspec.msgpack.encode([1e9])


@pytest.mark.parametrize("key, value", list(odd_crashes()), ids=str)
def test_an_odd_crash_entry_in_the_store_leaves_nothing_that_cannot_be_sent(key, value):
    """Guards against reports of crashes that nobody sends any more, as one cannot be encoded."""
    clock = ManualClock()
    suspects = CrashSuspects(clock, lambda *args: None)
    archive = CrashArchive(suspects, None, NoEntries(), clock)
    archive._apply([StoreEntry(key, value, 7)])
    now = clock.boottime()
    for crash_id, crash in suspects.crashes.items():
        msgspec.msgpack.encode((crash_id, crash.running, tuple(crash.fingerprints)))
        assert int(now - crash.at) >= 0
    for fingerprint, until in suspects.blocked.items():
        msgspec.msgpack.encode(fingerprint)
        assert int(until - now) <= 600


class OneReply:
    """An HTTP client that always gives the same reply."""

    def __init__(self, body, headers):
        self._reply = HttpReply(200, headers, body)

    async def call(self, method, url, body, timeout):
        return self._reply

    async def close(self):
        pass


def call_store(body, headers, use):
    async def work():
        http = OneReply(body, headers)
        clock = ManualClock()
        calls = StoreCalls(["http://s:1"], http, clock, Random(1), epoch_header="Store-Era")
        return await use(KvStore(calls))

    return run_virtual(work())


@pytest.mark.parametrize("epoch", ["²", "9" * 5000, "-1", "1.5", "", "٣", str(HUGE)])
def test_an_odd_epoch_of_the_store_ends_no_reader(epoch):
    body = b'{"Key":"k","Value":"eA==","Revision":7,"StoreRevision":9}'
    entries, _ = call_store(body, {"store-era": epoch}, lambda store: store.read("k"))
    assert [entry.value for entry in entries] == [b"x"]


@given(st.binary(max_size=80) | json_values.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_of_the_store_are_an_answer_or_an_unavailable_store(body):
    async def use(store):
        for call in (store.read("k"), store.read("k", prefix=True), store.lease_grant(5)):
            try:
                msgspec.json.encode(await call)
            except (PlatformUnavailable, WriteUndetermined):
                pass
        try:
            async for batch in store.watch("k", 1):
                msgspec.json.encode(batch.revision)
                break
        except PlatformUnavailable:
            pass

    call_store(body, {}, use)


@pytest.mark.parametrize("number", ["9" * 5000, str(HUGE)])
@pytest.mark.parametrize("field", ["Revision", "StoreRevision", "Lease"])
def test_a_number_of_the_store_without_end_is_an_unavailable_store_or_an_item_left_out(
    field, number
):
    fields = {"Revision": "7", "StoreRevision": "9", "Lease": "3", field: number}
    numbers = ",".join(f'"{name}":{value}' for name, value in fields.items())
    body = f'{{"Key":"k","Value":"eA==",{numbers}}}'.encode()

    async def use(store):
        try:
            entries, revision = await store.read("k")
            msgspec.json.encode((entries, revision))
        except PlatformUnavailable:
            pass
        try:
            await store.put("k", b"x", await store.lease_grant(5))
        except (PlatformUnavailable, WriteUndetermined):
            pass

    call_store(body, {}, use)


READER = Origin(SimpleNamespace(names=HEADERS))
SETTINGS = """
[Self]
NodeName = "n"
Ip = "10.1.0.8"
Zone = "a"
Region = "r"
AppAddr = "10.1.0.8:8301"
Service = "s"
[Network]
PortRange = [7620, 7635]
[Network.Listen]
Inbound = "10.1.0.8:8300"
Outbound = "10.1.0.8:8304"
Ready = "10.1.0.8:8302"
Control = "10.1.0.8:8306"
[Platform.Platform]
Address = "10.2.0.1:8309"
[Terms.Bounds]
GraceS = 6
RetryBudgetRatio = 0.2
BudgetSlack = 48
BudgetWindowS = 10
"""


@pytest.mark.parametrize(
    "sound, odd",
    [
        ('AppAddr = "10.1.0.8:8301"', 'AppAddr = "10.1.0.8:99999"'),
        ("[7620, 7635]", "[99999, 100000]"),
        ("[7620, 7635]", "[7620.5, 7635]"),
        ('Ip = "10.1.0.8"', "Ip = 7"),
        ("GraceS = 6", "GraceS = " + "9" * 400),
        ("GraceS = 6", "GraceS = " + "9" * 5000),
        ("GraceS = 6", "GraceS = " + "[" * 3000 + "]" * 3000),
        ("GraceS = 6", "GraceS = nan"),
        ("BudgetWindowS = 10", "BudgetWindowS = 0"),
        ("BudgetSlack = 48", "BudgetSlack = -1"),
    ],
    ids=lambda text: text[:30],
)
def test_a_settings_file_with_an_odd_value_is_refused_with_a_clear_error(sound, odd, tmp_path):
    """Guards against a node that ends, or reads no settings any more, for one odd value."""
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace(sound, odd), "utf-8")
    with pytest.raises(InvalidSettings):
        read_settings(path)
    path.write_text(SETTINGS, "utf-8")
    assert read_settings(path).mesh.name == "n"


@given(st.binary(max_size=60))
def test_any_bytes_of_a_header_field_are_taken_or_refused(value):
    """Guards against a request head that ends more than its own request."""
    for name in (b"X-Request-Deadline", b"Authorization", b"Host", b"X-Request-Id", b"Connection"):
        head = [(b"Host", b"h"), (b"X-Request-Id", b"7"), (name, value)]
        for with_workspaces in (False, True):
            try:
                READER.read_head(head, with_workspaces)
            except InvalidRequestHead:
                pass
    parse_rate_limit(value)
    assert _idle_timeout_from(b"timeout=" + value) >= 0


settings.register_profile("doors", max_examples=150, deadline=None)
settings.load_profile("doors")

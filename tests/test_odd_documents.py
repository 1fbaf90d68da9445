"""One odd entry of the store, desired state or settings file stops nothing that reads the others.

Failure of issue 53: machines that read a list with one odd entry ended, or stopped following it, as
a value was taken in that is later written, sent or computed with.
"""

import json
import sys
from pathlib import Path
from random import Random

import msgspec
import pytest
from hypothesis import given

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from desired_state import decode_desired_state
from kv_store import KvStore
from settings_file import read_settings
from tests.builders import ManualClock, run_virtual
from tests.odd_values import HUGE, any_bytes, property_test
from thorntray.errors import (
    BadDocument,
    InvalidSettings,
    PlatformUnavailable,
    WriteUndetermined,
)
from thorntray.internal.connection.http_client import HttpReply
from thorntray.internal.membership.departures import _decode as decode_departures
from thorntray.internal.overload.crash_suspects import CrashSuspects
from thorntray.internal.store.crash_archive import CrashArchive
from thorntray.internal.store.store_calls import StoreCalls, StoreEntry

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


@given(any_bytes)
@property_test
def test_any_bytes_in_place_of_a_desired_state_are_refused_or_can_be_sent(document):
    try:
        policy = decode_desired_state(document)
    except BadDocument:
        return
    msgspec.msgpack.encode({"policy": policy.version})


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


@given(any_bytes)
@property_test
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
        ('Ip = "10.1.0.8"', 'Ip = "10.1.0.8"\nLimits = { MemoryMb = -1 }'),
        ('Ip = "10.1.0.8"', 'Ip = "10.1.0.8"\nLimits = { MaxFds = 100 }'),
        ('Ip = "10.1.0.8"', 'Ip = "10.1.0.8"\nLimits = { MaxFds = "many" }'),
    ],
    ids=lambda text: text[-40:],
)
def test_a_settings_file_with_an_odd_value_is_refused_with_a_clear_error(sound, odd, tmp_path):
    """Guards against a node that ends, or reads no settings any more, for one odd value."""
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS.replace(sound, odd), "utf-8")
    with pytest.raises(InvalidSettings):
        read_settings(path)
    path.write_text(SETTINGS, "utf-8")
    assert read_settings(path).mesh.name == "n"


def test_the_limits_of_the_process_are_read_from_the_settings_file(tmp_path):
    path = tmp_path / "boot.toml"
    limits = 'Ip = "10.1.0.8"\nLimits = { MemoryMb = 300, MaxFds = 4100 }'
    path.write_text(SETTINGS.replace('Ip = "10.1.0.8"', limits), "utf-8")
    cfg = read_settings(path).mesh
    assert (cfg.memory_limit, cfg.descriptor_limit) == (300_000_000, 3900)
    path.write_text(SETTINGS, "utf-8")
    cfg = read_settings(path).mesh
    assert (cfg.memory_limit, cfg.descriptor_limit) == (None, None)

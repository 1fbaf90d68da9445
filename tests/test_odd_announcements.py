"""One odd announcement or request head stops nothing: a sound one is served as before.

Failure of issue 53: a leaving with a start time of 10^30 was taken in and failed when it was sent
and stored, so that no later leaving was confirmed.
"""

import json
import sys
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from announcements import AnnouncementHandler
from tests.builders import ManualClock
from tests.odd_values import HUGE, any_bytes, property_test
from tests.test_malformed_messages import FakeExchange
from thorntray.internal.connection.instance_connection import _idle_timeout_from
from thorntray.internal.overload.rate_limit import parse_rate_limit
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.process.registration import Registration
from thorntray.internal.request.origin import InvalidRequestHead, Origin
from wire_names import HEADERS

ODD_NUMBERS = [HUGE, -HUGE, 2**64, 2**63, -1, 1e308, -1e308, 1.5, True, None, "7", [], {}, 0]
SOUND = {
    "Address": "a",
    "Info": {"Service": "s", "Slots": 7},
    "Status": {"Phase": "ready", "Sequence": 3, "ColdRemainingS": 0},
    "born": 1_790_000_000_000,
}
FIELDS = [("born",), ("Info", "Slots"), ("Status", "Sequence"), ("Status", "ColdRemainingS")]
READER = Origin(SimpleNamespace(names=HEADERS, clock=SystemClock()))


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


@given(any_bytes)
@property_test
def test_a_door_for_announcements_serves_after_any_bytes(body):
    door = Door()
    door.beat(body)
    door.post(b"/Instances.Deregister/i-1", body)
    door.assert_serves()


@given(st.binary(max_size=60))
@property_test
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

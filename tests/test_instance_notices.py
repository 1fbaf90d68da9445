"""What is known of an instance: by its own node, by its peers, and by placement."""

from random import Random

import msgspec

from tests.builders import ManualClock, make_member
from tests.mesh_builders import make_announcement
from thorntray.internal.connection.frame import LENGTH_BYTES, Hello, decode_frame, encode_frame
from thorntray.internal.membership.instance_notices import (
    LEAVING_LIFETIME,
    LIMIT_LIFETIME,
    InstanceNotice,
    InstanceNotices,
)
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.placement import Placement
from thorntray.internal.overload.rate_limit import InstanceState, RateLimit
from thorntray.internal.process.registration import Boot, Registration
from thorntray.internal.request.instance_tracker import InstanceTracker
from thorntray.internal.request.result import LoadReport

ADDRESS = "10.0.0.1:80"
LIMITED = InstanceNotice("i-1", 1000, 2.0, 0.5, False)
LEAVING = InstanceNotice("i-1", 1000, None, 0.0, True)


class Instance:
    """The registration, rate limit and tracker of one node's instance."""

    def __init__(self):
        self.clock = ManualClock()
        self.registration = Registration("tariff", ADDRESS, self.clock, lambda: None)
        self.rate_limit = RateLimit(self.clock)
        self.tracker = InstanceTracker(self.registration, self.rate_limit, lambda: None)

    def announce(self, **changes):
        self.registration.apply(make_announcement(address=ADDRESS, **changes))
        self.tracker.update_boot()


def test_a_limit_is_forgotten_after_its_lifetime_and_a_leaving_later():
    clock = ManualClock()
    notices = InstanceNotices(clock)
    notices.record("t1", LIMITED, 100.0)
    notices.record("t2", LEAVING, 100.0)
    clock.now += LIMIT_LIFETIME + 1
    notices.remove_expired()
    assert notices.of_member("t1") == () and notices.of_member("t2") == (LEAVING,)
    clock.now += LEAVING_LIFETIME
    notices.remove_expired()
    assert notices.of_member("t2") == ()


def test_a_result_without_a_limit_ends_the_one_that_peers_know():
    notices = InstanceNotices(ManualClock())
    notices.record("t1", LIMITED, 100.0)
    notices.record("t1", None, 100.0)
    assert notices.of_member("t1") == ()


def test_a_leaving_boot_stays_known_when_its_successor_is_in_use():
    notices = InstanceNotices(ManualClock())
    notices.record("t1", LEAVING, 100.0)
    notices.record("t1", None, 100.0)
    assert notices.of_member("t1") == (LEAVING,)


def test_the_limit_that_a_peer_knows_waits_for_the_announcement_of_its_boot():
    instance = Instance()
    instance.tracker.learn_from_peer(LIMITED)
    assert instance.rate_limit.rate is None
    instance.announce()
    assert instance.rate_limit.rate == 2.0


def test_the_limit_of_another_boot_is_not_adopted():
    instance = Instance()
    instance.tracker.learn_from_peer(LIMITED)
    instance.announce(started_ms=2000)
    assert instance.rate_limit.rate is None


def test_a_boot_that_a_peer_knows_to_leave_is_never_opened():
    instance = Instance()
    instance.tracker.learn_from_peer(LEAVING)
    instance.announce(sequence=5)
    assert not instance.registration.available
    instance.announce(started_ms=2000)
    assert instance.registration.available


def test_a_late_answer_of_an_earlier_boot_does_not_touch_the_present_one():
    instance = Instance()
    instance.announce()
    instance.announce(started_ms=2000)
    state = InstanceState(0.0, leaving=True)
    instance.tracker.record_answer(Boot("i-1", 1000), state, instance.clock.now)
    assert instance.rate_limit.rate is None and instance.registration.available


def test_a_notice_tells_the_limit_the_wait_and_the_leaving():
    instance = Instance()
    instance.announce()
    assert instance.tracker.notice(ahead=0) is None
    boot = instance.tracker.boot
    instance.tracker.record_answer(boot, InstanceState(4.0, leaving=True), instance.clock.now)
    assert instance.tracker.notice(ahead=1) == InstanceNotice("i-1", 1000, 4.0, 0.5, True)


def test_an_instance_that_names_a_limit_is_not_taken_for_the_fastest():
    """Load pattern of incident 28: the instance in need is idle and answers fast."""
    placement = Placement("home", Ejection(ManualClock()), Random(1))
    members = [make_member(n, domain="home", service="s", ready=True) for n in ("need", "sound")]
    placement.record_result("need", "r", LoadReport(0.0, 0.02, 0, 55), 0.0)
    placement.record_result("sound", "r", LoadReport(0.0, 0.12, 20, 55), 0.0)
    placement.record_notice("need", LIMITED, 0.0)
    assert placement.pick(members, "r", set(), 0.1).name == "sound"
    assert placement.pick(members, "r", set(), 0.5).name == "need"
    placement.record_dispatch("need")
    assert placement.pick(members, "r", set(), 0.6).name == "sound"
    placement.record_notice("need", None, 0.7)
    assert placement.pick(members, "r", set(), 0.7).name == "need"


class EarlierHello(msgspec.Struct, tag=0, array_like=True, frozen=True):
    """The frame of nodes that know no notices."""

    sender: str
    session: bytes


def test_nodes_with_and_without_notices_understand_each_other():
    newer = encode_frame(Hello("n1", b"session1", (LEAVING,)))[LENGTH_BYTES:]
    earlier = EarlierHello("n1", b"session1")
    assert msgspec.msgpack.decode(newer, type=EarlierHello) == earlier
    assert decode_frame(msgspec.msgpack.encode(earlier)) == Hello("n1", b"session1")
    assert decode_frame(newer).notices == (LEAVING,)

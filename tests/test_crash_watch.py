"""What a node takes for a crash of its instance, and what not. All tests run in virtual time."""

import asyncio
from random import Random

from tests.builders import LoopClock, run_virtual
from tests.mesh_builders import make_announcement, make_call
from thorntray.internal.overload.crash_suspects import CrashSuspects
from thorntray.internal.process.registration import Boot, Phase, Registration
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.request.crash_watch import (
    EVIDENCE_TIME,
    CrashWatch,
    CrashWatchDependencies,
)
from thorntray.internal.request.fingerprint import fingerprint, fingerprint_of_call
from thorntray.internal.request.result import Cause

ADDRESS = "10.0.0.1:80"


class LostRequest:
    """A request that the instance had begun when its connection ended."""

    def __init__(self, number, boot, started_at):
        self.call = make_call(target=b"/prices/%d" % number, request_id=b"id-%d" % number)
        self.boot = boot
        self.started_at = started_at
        self.cause = None

    def finish(self, result):
        self.cause = result.cause


class Instance:
    """An instance and what its node knows of it; `refuses` is whether nothing listens there."""

    def __init__(self, **announced):
        self.clock = LoopClock()
        self.refuses = False
        self.crashes = []
        self.tasks = BackgroundTasks()
        self.registration = Registration("tariff", ADDRESS, self.clock, self._changed)
        self.watch = CrashWatch(
            CrashWatchDependencies(
                "t1",
                self.registration,
                self._refuses_connections,
                CrashSuspects(self.clock, lambda *_: None),
                self.crashes.append,
                self.tasks.spawn,
                self.clock,
                Random(1),
            )
        )
        self.announce(**announced)

    async def _refuses_connections(self):
        return self.refuses

    def _changed(self):
        self.watch.boot_changed()

    def announce(self, **changes):
        self.registration.apply(make_announcement(address=ADDRESS, **changes))

    def lose(self, *numbers, boot=None, started_at=None):
        """Lose requests that ran since the last 10 ms; return them."""
        started_at = self.clock.monotonic() - 0.01 if started_at is None else started_at
        boot = boot or self.registration.current.boot
        requests = [LostRequest(number, boot, started_at) for number in numbers]
        for request in requests:
            if not self.watch.hold_lost(request):
                request.cause = Cause.LOST
        return requests


def watch_instance(scenario, **announced):
    """Run a scenario, then wait for all evidence; return the instance.

    `announced` are fields of the first announcement.
    """

    async def work():
        instance = Instance(**announced)
        await asyncio.sleep(1.0)
        instance.requests = await scenario(instance) or []
        await asyncio.sleep(EVIDENCE_TIME + 1.0)
        await instance.tasks.stop()
        return instance

    return run_virtual(work())


def test_a_refused_connection_after_lost_requests_is_a_crash():
    async def scenario(instance):
        instance.refuses = True
        return instance.lose(1, 2, 3)

    instance = watch_instance(scenario)
    [crash] = instance.crashes
    assert crash.running == 3
    assert crash.fingerprints == {fingerprint_of_call(r.call) for r in instance.requests}
    assert [r.cause for r in instance.requests] == [Cause.LOST] * 3
    assert not instance.registration.available


def test_a_request_that_ran_alone_is_reported_as_the_cause():
    """Guards against a retry that crashes the next instance."""

    async def scenario(instance):
        instance.refuses = True
        return instance.lose(1)

    instance = watch_instance(scenario)
    assert len(instance.crashes) == 1 and instance.requests[0].cause is Cause.CRASHED


def test_a_later_start_under_the_same_id_some_seconds_after_is_a_crash():
    async def scenario(instance):
        requests = instance.lose(1)
        await asyncio.sleep(5.0)
        assert requests[0].cause is Cause.LOST  # not held until then
        instance.announce(started_ms=9000)

    assert len(watch_instance(scenario).crashes) == 1


def test_a_new_id_after_lost_requests_is_a_crash():
    async def scenario(instance):
        instance.lose(1, 2)
        await asyncio.sleep(2.0)
        instance.announce(instance_id="i-2", started_ms=9000)

    assert len(watch_instance(scenario).crashes) == 1


def test_a_second_crash_under_the_same_id_counts_again():
    """Guards against instances that name no start time, whose second crash would be the first."""

    async def scenario(instance):
        for _ in range(2):
            instance.refuses = True
            instance.lose(1)
            await asyncio.sleep(0.1)
            instance.refuses = False
            for sequence in range(1, 5):
                instance.announce(started_ms=0, sequence=sequence)
                await asyncio.sleep(1.0)
            assert instance.registration.available

    crashes = watch_instance(scenario, started_ms=0, sequence=50).crashes
    assert len({crash.crash_id for crash in crashes}) == 2


def test_a_crash_is_judged_once():
    async def scenario(instance):
        instance.refuses = True
        instance.lose(1)
        await asyncio.sleep(0.5)
        instance.lose(2, boot=Boot("i-1", 1000), started_at=0.5)
        instance.announce(started_ms=9000)

    assert len(watch_instance(scenario).crashes) == 1


def test_a_connection_reset_while_the_instance_stays_alive_is_no_crash():
    async def scenario(instance):
        return instance.lose(1)

    instance = watch_instance(scenario)
    assert instance.crashes == [] and instance.requests[0].cause is Cause.LOST


def test_a_reset_does_not_count_if_the_instance_answered_before_it_restarted():
    """Guards against a reset that a later restart turns into a crash."""

    async def scenario(instance):
        instance.lose(1)
        await asyncio.sleep(0.1)
        instance.watch.record_success(instance.clock.monotonic() - 0.05)
        await asyncio.sleep(1.0)
        instance.refuses = True
        await asyncio.sleep(1.0)
        instance.announce(started_ms=int(instance.clock.time() * 1000))

    assert watch_instance(scenario).crashes == []


def test_a_new_boot_that_answers_before_its_announcement_does_not_hide_the_crash():
    """Guards against a quick restart, or one behind a proxy that accepts connections meanwhile."""

    async def scenario(instance):
        instance.lose(1)
        await asyncio.sleep(1.0)
        started_ms = int(instance.clock.time() * 1000)
        await asyncio.sleep(0.1)
        instance.watch.record_success(instance.clock.monotonic() - 0.05)
        await asyncio.sleep(0.5)
        instance.announce(started_ms=started_ms)

    assert len(watch_instance(scenario).crashes) == 1


def test_a_crash_after_a_reset_and_an_answer_is_that_of_the_later_requests():
    async def scenario(instance):
        instance.lose(1)
        await asyncio.sleep(0.1)
        instance.watch.record_success(instance.clock.monotonic() - 0.05)
        await asyncio.sleep(0.1)
        instance.refuses = True
        return instance.lose(2)

    instance = watch_instance(scenario)
    [crash] = instance.crashes
    assert crash.fingerprints == {fingerprint_of_call(instance.requests[0].call)}


def test_an_unresponsive_or_partitioned_instance_is_no_crash():
    """Guards against a pause that ends with the same boot, whose connections were lost."""

    async def scenario(instance):
        instance.lose(1, 2)
        await asyncio.sleep(4.0)
        instance.announce(sequence=2)

    assert watch_instance(scenario).crashes == []


def test_a_planned_shutdown_is_no_crash():
    async def scenario(instance):
        instance.announce(sequence=2, phase=Phase.DRAINING)
        instance.refuses = True
        [request] = instance.lose(1)
        assert request.cause is Cause.LOST  # not held

    assert watch_instance(scenario).crashes == []


def test_a_deregistration_after_the_lost_requests_is_no_crash():
    async def scenario(instance):
        instance.lose(1)
        await asyncio.sleep(0.1)
        instance.registration.deregister("i-1", None)
        instance.refuses = True
        await asyncio.sleep(1.0)
        instance.announce(started_ms=9000)

    assert watch_instance(scenario).crashes == []


def test_an_address_that_goes_to_another_instance_is_no_crash():
    """Guards against a replaced instance whose connections end after the new one's start."""

    async def scenario(instance):
        old = instance.registration.current.boot
        instance.announce(instance_id="i-2", started_ms=9000)
        instance.refuses = True
        instance.lose(1, 2, boot=old)

    assert watch_instance(scenario).crashes == []


def test_an_address_that_goes_to_another_service_is_no_crash():
    async def scenario(instance):
        instance.lose(1)
        await asyncio.sleep(0.1)
        instance.registration.set_target("settle", ADDRESS)
        instance.announce(instance_id="i-2", started_ms=9000, service="settle")

    assert watch_instance(scenario).crashes == []


def test_a_stopping_node_reports_no_crash():
    async def scenario(instance):
        instance.registration.drain_node()
        instance.refuses = True
        [request] = instance.lose(1)
        assert request.cause is Cause.LOST  # not held

    assert watch_instance(scenario).crashes == []


def test_requests_sent_after_the_first_loss_are_not_suspected():
    """Guards against blame of what was sent to an instance that was already dead."""

    async def scenario(instance):
        instance.lose(1)
        await asyncio.sleep(0.1)
        instance.lose(2)
        instance.announce(started_ms=9000)

    [crash] = watch_instance(scenario).crashes
    assert crash.running == 1


def test_a_request_given_up_shortly_before_a_crash_is_suspected_with_the_lost_ones():
    """Guards against a slow culprit whose caller has left, while others are blamed alone."""

    async def scenario(instance):
        boot = instance.registration.current.boot
        for number, given_up_at in ((7, 0.0), (8, 5.5)):
            await asyncio.sleep(given_up_at)
            instance.watch.record_abandoned(LostRequest(number, boot, 0.0))
        instance.watch.record_abandoned(LostRequest(9, Boot("i-0", 1), 0.0))
        instance.refuses = True
        return instance.lose(1)

    instance = watch_instance(scenario)
    [crash] = instance.crashes
    given_up = fingerprint_of_call(LostRequest(8, None, 0.0).call)
    lost = fingerprint_of_call(instance.requests[0].call)
    assert crash.fingerprints == {given_up, lost}
    assert instance.requests[0].cause is Cause.LOST


def test_the_fingerprint_is_that_of_the_entry_node_and_tells_each_part_apart():
    call = make_call(method=b"POST", target=b"/prices/1", body=b"b", workspace="w")
    parts = ("prices", b"POST", b"/prices/1", "w", b"b")
    assert fingerprint_of_call(call) == fingerprint(*parts)
    others = [
        ("price", b"sPOST", b"/prices/1", "w", b"b"),
        ("prices", b"GET", b"/prices/1", "w", b"b"),
        ("prices", b"POST", b"/prices/2", "w", b"b"),
        ("prices", b"POST", b"/prices/1", "", b"b"),
        ("prices", b"POST", b"/prices/1", "w", b"c"),
    ]
    assert fingerprint(*parts) not in {fingerprint(*other) for other in others}

"""Tests of instance registration: late, duplicate, foreign and outdated announcements."""

from tests.builders import ManualClock
from tests.mesh_builders import make_announcement
from thorntray.internal.process.registration import ANNOUNCEMENT_TIMEOUT, Phase, Registration


def make_registration():
    clock = ManualClock()
    changes = []
    registration = Registration("tariff", "10.0.0.1:80", clock, lambda: changes.append(1))
    return registration, clock, changes


def test_an_instance_accepts_work_from_its_first_announcement_until_it_drains():
    registration, _, _ = make_registration()
    assert not registration.available
    registration.apply(make_announcement())
    assert registration.available
    registration.apply(make_announcement(sequence=2, phase=Phase.DRAINING))
    assert not registration.available


def test_a_late_announcement_does_not_reopen_an_instance_that_leaves():
    registration, _, _ = make_registration()
    registration.apply(make_announcement(sequence=5))
    registration.apply(make_announcement(sequence=7, phase=Phase.DRAINING))
    registration.apply(make_announcement(sequence=6))
    registration.apply(make_announcement(sequence=8))
    assert not registration.available


def test_a_changed_number_of_slots_is_taken_over():
    """Guards against slots of the first announcement that stay in use for ever."""
    registration, _, changes = make_registration()
    registration.apply(make_announcement(slots=16))
    before = len(changes)
    registration.apply(make_announcement(sequence=2, slots=16))
    assert len(changes) == before
    registration.apply(make_announcement(sequence=3, slots=8))
    assert len(changes) == before + 1


def test_a_late_announcement_does_not_replace_a_newer_one():
    registration, _, _ = make_registration()
    registration.apply(make_announcement(sequence=5, slots=16))
    registration.apply(make_announcement(sequence=4, slots=8))
    assert registration.current.slots == 16


def test_an_instance_that_deregisters_without_draining_gets_no_new_work():
    registration, _, _ = make_registration()
    registration.apply(make_announcement())
    registration.deregister("i-1", None)
    registration.apply(make_announcement(sequence=9))
    assert not registration.available


def test_an_instance_that_deregisters_before_its_restarted_node_knows_it_stays_gone():
    """Failure of run hunt-853e-3: a restarted node learns of its instance by its deregistration.

    The node does not know the start time of that boot yet. A late announcement of the boot must
    not reopen the instance, while a boot started later is accepted.
    """
    registration, clock, _ = make_registration()
    registration.deregister("i-1", None)
    registration.apply(make_announcement(sequence=19))
    assert not registration.available
    born_later = int(clock.time() * 1000) + 500
    registration.apply(make_announcement(started_ms=born_later, sequence=1))
    assert registration.available


def test_sequence_numbers_start_over_when_the_same_id_is_restarted():
    registration, _, _ = make_registration()
    registration.apply(make_announcement(sequence=50))
    registration.deregister("i-1", 1000)
    assert registration.apply(make_announcement(started_ms=2000, sequence=1))
    assert registration.available


def test_an_announcement_of_an_ended_boot_does_not_replace_its_successor():
    registration, _, _ = make_registration()
    registration.apply(make_announcement(instance_id="i-2", started_ms=2000))
    registration.apply(make_announcement(instance_id="i-1", started_ms=1000, sequence=99))
    assert registration.current.instance_id == "i-2"


def test_the_deregistration_of_an_ended_boot_does_not_affect_its_successor():
    registration, _, _ = make_registration()
    registration.apply(make_announcement(instance_id="i-2", started_ms=2000))
    registration.deregister("i-1", 1000)
    assert registration.available


def test_an_announcement_of_another_service_or_address_is_rejected():
    registration, _, _ = make_registration()
    assert not registration.apply(make_announcement(service="other"))
    assert not registration.apply(make_announcement(address="10.0.0.9:80"))
    assert registration.current is None


def test_a_silent_instance_gets_no_new_work_until_it_announces_itself_again():
    registration, clock, _ = make_registration()
    registration.apply(make_announcement())
    clock.now += ANNOUNCEMENT_TIMEOUT + 0.1
    registration.check_timeout()
    assert not registration.available
    registration.apply(make_announcement(sequence=2))
    assert registration.available


def test_a_stopping_node_accepts_no_work_whatever_its_instance_announces():
    registration, _, changes = make_registration()
    registration.apply(make_announcement())
    registration.drain_node()
    registration.apply(make_announcement(sequence=2))
    assert not registration.available and changes

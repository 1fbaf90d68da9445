"""A leaving that was confirmed holds after all who knew of it were killed.

Whole nodes in virtual time. Guards against the failure of review/7: the store was down when the
leaving was confirmed, all nodes were killed, and the answers of processes as new as the asking one
were taken for knowledge. A late announcement then brought payouts to the instance.
"""

import asyncio
import itertools

import msgspec
import pytest

from tests.outage_store import OutageStore
from tests.test_departures import PEERS, confirm_leaving, is_used_within, loop_time, start_fleet
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.membership.departure_copies import MAX_KEPT
from thorntray.internal.membership.departures import MIN_LEAD
from thorntray.internal.membership.gossip import (
    DepartureReply,
    decode_datagram,
    encode_datagram,
)
from thorntray.internal.process.boot_order import Boot
from thorntray.internal.process.boot_trust import PROMPT_TIME, PROOF, PROOF_ALONE, RENEWAL_TIME

PERIOD = 1.5  # seconds between the announcements of a living instance
PROMPT_SERVICE_TIME = PERIOD + 0.6  # seconds from the start of a node until its instance is used
LEFT_BOOT = Boot("i-1", 1000)


async def go_on_announcing(fleet, name, first_after=0.0, first_sequence=20):
    """Announce the instance of a node each period, as a living one does."""
    await asyncio.sleep(first_after)
    for sequence in itertools.count(first_sequence):
        if name in fleet.nodes:
            fleet.announce(name, sequence=sequence)
        await asyncio.sleep(PERIOD)


async def availability(fleet, name, seconds):
    """Return at which times, in seconds from now, the instance of a node was used."""
    began, used = loop_time(), []
    while loop_time() - began < seconds:
        if fleet.nodes[name].registration.available:
            used.append(round(loop_time() - began, 2))
        await asyncio.sleep(0.05)
    return used


@pytest.mark.parametrize("back_after", [0.0, 1.0, 9.0])
def test_a_leaving_confirmed_without_the_store_holds_after_a_kill_of_all_nodes(back_after):
    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        confirmed, _ = await confirm_leaving(fleet)
        await fleet.restart_all()
        await asyncio.sleep(back_after)
        fleet.store.up = True
        await asyncio.sleep(max(0.0, 3.5 - back_after))
        used = [await is_used_within(fleet, 1.5, sequence=n) for n in (6, 7, 8)]
        return confirmed, used

    assert run_virtual_scenario(scenario) == (True, [False] * 3)


def test_a_late_announcement_right_after_the_start_brings_work_for_a_short_time_only():
    """Guards against an instance that has left and is used for as long as announcements last."""

    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        await confirm_leaving(fleet)
        await fleet.restart_all()
        fleet.announce("t1", sequence=7)
        used = await availability(fleet, "t1", 4.0)
        late = await is_used_within(fleet, 2.0, sequence=8)
        return max(used, default=0.0), late

    last_used, late = run_virtual_scenario(scenario)
    assert last_used <= RENEWAL_TIME + 0.1 and not late


@pytest.mark.parametrize("store", ["up", "down", "lapsed"])
@pytest.mark.parametrize("first_after", [0.1, 0.7, PERIOD])
def test_a_living_instance_is_used_at_once_and_for_good_after_a_kill_of_all_nodes(
    store, first_after
):
    """Guards against a fleet that waits for proof although nobody leaves.

    With the store down a node finds nobody to ask, and waits for proof as it did before.
    """

    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = store == "up"
        await fleet.restart_all()
        fleet.store.up = store != "down"
        announcing = asyncio.ensure_future(go_on_announcing(fleet, "t1", first_after))
        used = await availability(fleet, "t1", 8.0)
        announcing.cancel()
        return used

    used = run_virtual_scenario(scenario)
    proof = first_after + PROOF_ALONE.seconds + 0.1
    assert used[0] <= (proof if store == "down" else PROMPT_SERVICE_TIME)
    assert max(b - a for a, b in itertools.pairwise(used)) < 0.2 and used[-1] > 7.8


def test_an_instance_that_is_announced_late_and_goes_on_is_used():
    """Guards against a living instance that stays unused for good."""

    async def scenario(fleet):
        await start_fleet(fleet)
        await fleet.restart_all()
        announcing = asyncio.ensure_future(go_on_announcing(fleet, "t1", PROMPT_TIME + 1.0))
        used = await availability(fleet, "t1", 12.0)
        announcing.cancel()
        return used

    used = run_virtual_scenario(scenario)
    assert used[0] <= PROMPT_TIME + 1.0 + PROOF.seconds + 0.1 and used[-1] > 11.8


def test_a_boot_that_started_after_the_node_is_used_at_its_first_announcement():
    async def scenario(fleet):
        await start_fleet(fleet)
        await fleet.restart_all()
        await asyncio.sleep(5.0)
        now_ms = int(fleet.clock.time() * 1000)
        return await is_used_within(fleet, 0.1, instance_id="i-2", started_ms=now_ms)

    assert run_virtual_scenario(scenario)


def test_a_leaving_holds_if_its_holders_restart_in_turn_and_the_owner_last():
    """Guards against copies that are lost one by one while the store is down."""

    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        confirmed, _ = await confirm_leaving(fleet)
        for name in PEERS:
            await fleet.restart_node(name)
            await asyncio.sleep(2.0)
        await fleet.restart_node("t1")
        await asyncio.sleep(1.5)
        return confirmed, fleet.nodes["t1"].registration.has_left(LEFT_BOOT)

    assert run_virtual_scenario(scenario) == (True, True)


def test_holders_that_restart_in_turn_keep_the_leaving_of_a_node_that_is_down():
    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        await confirm_leaving(fleet)
        owner = fleet.nodes.pop("t1")
        owner.udp.close()
        for name in PEERS:
            await fleet.restart_node(name)
            await asyncio.sleep(2.0)
        copies = [fleet.nodes[name].departure_copies._boots_of("t1") for name in PEERS]
        fleet.nodes["t1"] = owner
        return copies

    copies = run_virtual_scenario(scenario)
    assert copies == [((*LEFT_BOOT, False),)] * len(PEERS)


def test_a_new_process_writes_a_leaving_again_that_the_store_does_not_have():
    """Guards against a leaving that only its holders know of once its node has restarted."""

    async def scenario(fleet):
        await start_fleet(fleet)
        fleet.store.up = False
        await confirm_leaving(fleet)
        await fleet.restart_node("t1")
        fleet.store.up = True
        await asyncio.sleep(3.0)
        return [key for key in fleet.store.entries if "departures/t1" in key]

    assert run_virtual_scenario(scenario)


def test_a_departure_that_is_too_old_to_keep_is_not_recorded_with_each_reply():
    """Guards against confirmations that each reply of a member delays anew."""

    async def scenario(fleet):
        await start_fleet(fleet)
        departures = fleet.nodes["t1"].departures
        for number in range(MAX_KEPT):
            fleet.nodes["t1"].registration.deregister(f"i-{number}", 2000)
        before = departures._sequence
        for _ in range(3):
            departures._learn((("i-old", 1000, False),))
        return departures._sequence - before

    assert run_virtual_scenario(scenario) == 0


class _ReplyOfTheReleaseBefore(msgspec.Struct, tag="K", array_like=True, frozen=True):
    boots: tuple[tuple[str, int, bool], ...]


def test_replies_pass_between_this_release_and_the_one_before():
    reply = DepartureReply(((*LEFT_BOOT, False),), MIN_LEAD)
    encoded = encode_datagram(reply)[1:]
    before = msgspec.msgpack.decode(encoded, type=_ReplyOfTheReleaseBefore)
    assert before.boots == reply.boots
    old = encode_datagram(reply)[:1] + msgspec.msgpack.encode(before)
    assert decode_datagram(old) == DepartureReply(reply.boots, 0.0)


def test_members_of_the_release_before_do_not_delay_a_restarted_node():
    """Their replies tell no age, so they are no proof that nothing was confirmed."""

    async def scenario(fleet):
        await start_fleet(fleet)
        for name in PEERS:
            node = fleet.nodes[name]
            node.departure_copies._began_at = node.clock.boottime() + 3600.0
        fleet.store = OutageStore()
        fleet.store.entries["policy"] = b"document"
        await fleet.restart_node("t1")
        announcing = asyncio.ensure_future(go_on_announcing(fleet, "t1", 0.5))
        used = await availability(fleet, "t1", 6.0)
        announcing.cancel()
        return used

    used = run_virtual_scenario(scenario)
    assert used[0] <= PROMPT_SERVICE_TIME and used[-1] > 5.8

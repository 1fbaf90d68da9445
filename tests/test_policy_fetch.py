"""A node that has heard of a policy version gets it, whichever peers are dead, paused or behind.

Failure of issue 53: a node asked one peer, and asked again only if another datagram told it of the
version; a failed read of the store ended its attempt. All in virtual time.
"""

import asyncio
from random import Random

from tests.builders import make_member, run_virtual
from tests.mesh_builders import make_policy
from tests.policy_fleet import PolicyFleet
from thorntray.internal.connection.frame import FetchPolicy
from thorntray.internal.store.policy_fetch import PolicyFetch
from thorntray.internal.version.policy import PolicyHolder

APPLY_TIME = 2.0  # seconds; the users' bound for a change to be in force
DOMAINS = 3


class RecordingLinks:
    """Links that answer nothing; `asked` holds the names of the members that were asked."""

    def __init__(self):
        self.asked = []

    def link_to(self, member):
        return RecordingLink(self.asked, member.name)


class RecordingLink:
    def __init__(self, asked, name):
        self._asked, self._name = asked, name

    def send(self, frame):
        assert isinstance(frame, FetchPolicy)
        self._asked.append(self._name)


def run_fetch(scenario):
    """Run a scenario with a fetch of a node that has version 1; return whom it asked."""

    async def work():
        holder, links = PolicyHolder(lambda policy: None), RecordingLinks()
        holder.replace_if_newer(make_policy(1))
        await scenario(PolicyFetch(holder, links, lambda sender: sender, Random(1)), holder)
        return links.asked

    return run_virtual(work())


def test_a_peer_that_does_not_reply_is_followed_by_the_other_holders_without_a_further_datagram():
    async def scenario(fetch, holder):
        for name in ("dead", "paused", "alive"):
            fetch.hear(make_member(name), 2)
        await asyncio.sleep(APPLY_TIME / 2)

    asked = run_fetch(scenario)
    assert asked[0] == "dead" and set(asked) == {"dead", "paused", "alive"}


def test_a_node_goes_on_asking_at_a_falling_rate_and_stops_when_the_version_is_in_force():
    async def scenario(fetch, holder):
        fetch.hear(make_member("peer"), 2)
        await asyncio.sleep(60.0)
        holder.replace_if_newer(make_policy(2))
        assert not fetch.is_behind
        await asyncio.sleep(60.0)

    assert 25 <= len(run_fetch(scenario)) <= 40


def test_a_version_below_the_one_in_force_is_not_fetched():
    async def scenario(fetch, holder):
        fetch.hear(make_member("peer"), 1)
        fetch.hear(make_member("peer"), 0)

    assert run_fetch(scenario) == []


def test_a_document_that_this_build_cannot_read_is_not_asked_for_without_end():
    """Guards against a fleet of older builds that all go on asking store and peers for it."""

    async def scenario(fetch, holder):
        fetch.hear(make_member("peer"), 7)
        fetch.refuse(7)
        for _ in range(40):
            await asyncio.sleep(0.5)
            fetch.hear(make_member("peer"), 7)
            assert not fetch.is_read_due

    assert len(run_fetch(scenario)) == 1


def test_a_version_after_one_that_cannot_be_read_is_fetched_at_once():
    async def scenario(fetch, holder):
        fetch.hear(make_member("peer"), 7)
        fetch.refuse(7)
        fetch.hear(make_member("other"), 9)
        await asyncio.sleep(1.0)
        assert fetch.is_behind

    assert "other" in run_fetch(scenario)


def test_a_failed_read_of_the_store_does_not_end_the_attempt_and_reads_become_rare():
    async def scenario(fetch, holder):
        fetch.hear(make_member("peer"), 2)
        reads = 0
        for _ in range(600):
            await asyncio.sleep(0.1)
            if fetch.is_read_due:
                reads += 1
                fetch.store_read()
        assert fetch.is_behind and 3 <= reads <= 10

    run_fetch(scenario)


def test_a_node_that_heard_once_of_a_change_has_it_in_time_although_its_domain_is_silent():
    """All watchers of its domain, whom it asks first, are paused, and the store refuses it."""

    async def scenario():
        fleet = PolicyFleet(36, DOMAINS)
        await fleet.start()
        duties = {name: node.watch.duty for name, node in fleet.nodes.items()}
        watching = {name for name, duty in duties.items() if duty.on_duty()}
        paused = {n for n in watching if fleet.nodes[n].membership.own.domain == "d0"}
        late = [
            name
            for name, node in fleet.nodes.items()
            if node.membership.own.domain == "d0" and name not in paused
        ]
        for name in paused:
            fleet.nodes[name].running = False
        fleet.store.refused = set(late)
        seconds = await fleet.change(2)
        return max(seconds[name] for name in late)

    assert run_virtual(scenario()) <= APPLY_TIME

"""The exchange of evidence with the store and with peers, of one node with fakes."""

import asyncio
from math import inf, nan
from random import Random

import pytest

from tests.builders import ManualClock, make_member, run_virtual
from tests.mesh_builders import make_key_policy, make_policy
from thorntray.internal.membership.gossip import Address, PolicyCheck, PolicyChecked
from thorntray.internal.store.freshness_check import (
    MAX_STORE_BACKOFF,
    PERIOD_JITTER,
    STORE_CHECK_AGE,
    WATCH_WAIT,
    FreshnessCheck,
)
from thorntray.internal.store.store_calls import WatchBatch
from thorntray.internal.telemetry.events import Event
from thorntray.internal.version.freshness import Evidence, Freshness
from thorntray.internal.version.policy import PolicyHolder

BOUND = 5.0
PEER = Address("peer", 4)
REACTION_TIME = 1.0  # seconds


class FakeMembership:
    """The members of one domain with a single watcher; it records what is sent."""

    def __init__(self, *others):
        self.own = make_member("own", domain="d0")
        self.others = list(others) or [make_member("peer", domain="d0")]
        self.handlers = {}
        self.sent = []

    def alive(self):
        return [self.own, *self.others]

    def send_datagram(self, datagram, address):
        self.sent.append((datagram, address))

    def receive(self, datagram):
        self.handlers[type(datagram)](datagram, PEER)


class FakeDuty:
    """Whether the node is on duty, and all other members as watchers."""

    def __init__(self, membership):
        self.on = False
        self._membership = membership

    def renews_evidence(self):
        return self.on

    def evidence_watchers_of(self, domain):
        return [m for m in self._membership.others if m.domain == domain]


class OneNode:
    """The exchange of one node, on a clock that the test sets."""

    def __init__(self, policy=None, clock=None, seed=1, others=(), bound=BOUND, on_duty=False):
        self.clock = clock or ManualClock()
        self.freshness = Freshness(self.clock, bound)
        self.holder = PolicyHolder(lambda policy: None)
        self.holder.policy = policy or make_key_policy(1)
        self.membership = FakeMembership(*others)
        self.duty = FakeDuty(self.membership)
        self.duty.on = on_duty
        self.reads = []
        self.newer = []
        self.check = FreshnessCheck(
            self.freshness,
            self.holder,
            self.membership,
            self.duty,
            self._read,
            lambda member, version: self.newer.append((member.name, version)),
            self.clock,
            Random(seed),
        )

    async def _read(self):
        self.reads.append(asyncio.get_running_loop().time())

    def query(self):
        """Let the node query its peers; return the datagrams."""
        self.membership.sent.clear()
        self.check._query_peers()
        return [datagram for datagram, _ in self.membership.sent]

    @property
    def serves(self):
        return self.freshness.allows_keys(self.holder.policy)


def test_a_reply_counts_from_when_the_query_was_sent():
    node = OneNode()
    query = node.query()[0]
    node.clock.now += 0.2
    node.membership.receive(PolicyChecked(query.sequence, 1, 0.5))
    assert node.check.evidence_age == pytest.approx(0.7)


def test_a_reply_that_waited_during_a_pause_is_old():
    """The node was paused after its query; the datagram was in its socket meanwhile."""
    node = OneNode()
    query = node.query()[0]
    node.clock.now += 30.0
    node.membership.receive(PolicyChecked(query.sequence, 1, 0.1))
    assert not node.serves


def test_an_answer_of_the_store_that_waited_during_a_pause_is_old():
    """The node was paused while its watch call was open."""
    node = OneNode()
    sent_at = node.clock.now
    node.clock.now += 30.0
    node.check.store_answered(1, sent_at, 0)
    assert not node.serves


def test_a_reply_to_the_process_before_a_restart_is_not_taken():
    before, after = OneNode(seed=1), OneNode(seed=2)
    query = before.query()[0]
    after.query()
    after.membership.receive(PolicyChecked(query.sequence, 1, 0.0))
    assert not after.serves


def test_a_reply_is_taken_once():
    """A duplicate datagram must not be taken for the answer to a later query."""
    node = OneNode()
    query = node.query()[0]
    node.membership.receive(PolicyChecked(query.sequence, 1, 3.0))
    node.membership.receive(PolicyChecked(query.sequence, 1, 0.0))
    assert node.check.evidence_age == pytest.approx(3.0)


@pytest.mark.parametrize("age", [nan, -1.0, -inf, inf])
def test_a_reply_with_an_impossible_age_is_no_evidence(age):
    node = OneNode()
    query = node.query()[0]
    node.membership.receive(PolicyChecked(query.sequence, 1, age))
    assert not node.serves


def test_a_newer_version_in_a_reply_is_fetched_and_counts_once_it_is_in_force():
    node = OneNode()
    query = node.query()[0]
    node.membership.receive(PolicyChecked(query.sequence, 2, 0.1))
    assert node.newer == [("peer", 2)]
    assert not node.serves
    node.holder.policy = make_key_policy(2)
    assert node.serves


def test_a_peer_with_an_older_version_does_not_cause_a_fetch():
    node = OneNode(make_key_policy(2))
    query = node.query()[0]
    node.membership.receive(PolicyChecked(query.sequence, 1, 0.1))
    assert node.newer == []
    assert node.serves


def test_a_node_answers_with_the_age_of_its_evidence_at_that_moment():
    node = OneNode()
    node.freshness.record(Evidence(1, node.clock.now))
    node.clock.now += 1.5
    node.membership.receive(PolicyCheck(7))
    assert node.membership.sent == [(PolicyChecked(7, 1, 1.5), PEER)]


def test_a_node_without_valid_evidence_does_not_answer():
    """Two nodes with an older version must not confirm each other."""
    node = OneNode()
    node.membership.receive(PolicyCheck(7))
    node.freshness.record(Evidence(1, node.clock.now))
    node.freshness.record(Evidence(2, node.clock.now + 4.0))
    node.clock.now += 4.5
    node.membership.receive(PolicyCheck(8))
    assert node.membership.sent == []


def test_a_watcher_whose_watch_is_answered_queries_nobody():
    node = OneNode()
    node.duty.on = True
    node.check.store_answered(1, node.clock.now, 0)
    node.clock.now += 2 * WATCH_WAIT
    assert node.query() == []
    node.clock.now += 1.0
    assert len(node.query()) == 1


def test_old_evidence_is_sought_outside_the_domain_at_watchers_and_members_in_turn():
    foreign = make_member("foreign", domain="d1")
    node = OneNode(others=[make_member("peer", domain="d0"), foreign])
    node.freshness.record(Evidence(1, node.clock.now))
    node.clock.now += 1.4
    node.query()
    assert {address.host for _, address in node.membership.sent} == {"peer"}
    node.clock.now += 0.2
    counts = []
    for _ in range(20):
        node.query()
        counts.append(sum(1 for _, address in node.membership.sent if address.host == "foreign"))
    assert counts[0::2] == [1] * 10, "each second query goes to a watcher of another domain"
    assert 0 in counts[1::2] and 1 in counts[1::2], "the others go to any member"


def test_a_watcher_that_does_not_answer_is_replaced_and_one_that_does_is_kept():
    others = [make_member(f"peer{n}", domain="d0") for n in range(4)]
    node = OneNode(others=others)

    def ask():
        query = node.query()[0]
        return query, node.membership.sent[0][1].host

    _, first = ask()
    query, second = ask()
    assert first != second
    node.membership.receive(PolicyChecked(query.sequence, 1, 0.2))
    assert ask()[1] == second
    query, third = ask()
    assert third != second
    node.membership.receive(PolicyChecked(query.sequence, 1, 2.0))  # second-hand evidence
    assert ask()[1] != third


def test_a_node_that_has_lost_all_peers_asks_the_store_at_a_bounded_rate():
    """The store is down for all: no answer is evidence, and the node keeps trying."""

    async def scenario():
        loop = asyncio.get_running_loop()
        clock = ManualClock()
        clock.boottime = loop.time
        node = OneNode(clock=clock)
        task = asyncio.ensure_future(node.check.check_store())
        await asyncio.sleep(60.0)
        first = len(node.reads)
        node.freshness.record(Evidence(1, loop.time()))
        node.reads.clear()
        await asyncio.sleep(STORE_CHECK_AGE - 0.1)
        task.cancel()
        return first, node.reads

    first, after_evidence = run_virtual(scenario())
    assert 60 / MAX_STORE_BACKOFF - 2 <= first <= 60 / MAX_STORE_BACKOFF * 1.25
    assert after_evidence == []


def test_a_node_whose_own_calls_renew_the_evidence_makes_them_before_others_run_out():
    """It may be the only one of its domain that reaches the store, and no watcher."""

    async def scenario(answered):
        loop = asyncio.get_running_loop()
        clock = ManualClock()
        clock.boottime = loop.time
        node = OneNode(clock=clock)

        async def read():
            node.reads.append(loop.time())
            if answered:
                node.check.store_answered(1, loop.time(), 0)

        node.check._read_policy = read
        task = asyncio.ensure_future(node.check.check_store())
        await asyncio.sleep(STORE_CHECK_AGE + 1.0)
        node.reads.clear()
        await asyncio.sleep(20.0)
        own = len(node.reads)
        for _ in range(100):  # a watcher answers again
            await asyncio.sleep(0.2)
            node.freshness.record(Evidence(1, loop.time()))
            if loop.time() < STORE_CHECK_AGE + 23.0:
                node.reads.clear()
        task.cancel()
        return own, len(node.reads)

    own, beside_a_watcher = run_virtual(scenario(True))
    assert own >= 20.0 / STORE_CHECK_AGE + 1
    assert beside_a_watcher == 0


def test_the_member_that_gave_newer_evidence_is_asked_again():
    """Only few members may have evidence when all watchers of the domain have failed."""
    others = [make_member(f"peer{n}", domain="d0") for n in range(30)]
    node = OneNode(others=others)

    def ask():
        node.query()
        return {address.host: datagram for datagram, address in node.membership.sent}

    node.freshness.record(Evidence(1, node.clock.now))
    node.clock.now += 2.0
    name, query = max(ask().items())
    node.membership.receive(PolicyChecked(query.sequence, 1, 1.9))
    assert all(name in ask() for _ in range(10))


def test_without_workspaces_nothing_is_asked_and_the_watch_waits_as_long_as_before():
    async def scenario():
        node = OneNode(make_policy(1))
        tasks = [
            asyncio.ensure_future(work())
            for work in (node.check.query_peers, node.check.check_store)
        ]
        node.clock.boottime = asyncio.get_running_loop().time
        await asyncio.sleep(30.0)
        quiet = (node.membership.sent == [], node.reads == [], node.check.watch_wait() is None)
        node.holder.policy = make_key_policy(2)
        node.check.policy_changed()
        await asyncio.sleep(0.1)
        asked = len(node.membership.sent)
        node.holder.policy = make_policy(3)
        node.check.policy_changed()
        await asyncio.sleep(30.0)
        for task in tasks:
            task.cancel()
        return quiet, asked, len(node.membership.sent), node.check.watch_wait()

    quiet, asked, asked_later, wait = run_virtual(scenario())
    assert quiet == (True, True, True)
    assert asked >= 1 and asked_later == asked and wait is None


def test_nodes_do_not_wait_equally_long():
    """Load pattern: a change wakes all watches at once, whose next calls must spread again."""
    waits = {OneNode(seed=seed, on_duty=True).check.watch_wait() for seed in range(20)}
    assert len(waits) == 20


def test_the_watch_waits_in_proportion_to_a_short_bound_down_to_a_least_time():
    """Guards against evidence that has run out before the next answer, and against a busy loop."""

    def wait_of(bound):
        node = OneNode(bound=bound, on_duty=True)
        node.freshness.record(Evidence(1, node.clock.now))
        return node.check.watch_wait()

    assert WATCH_WAIT * (1 - PERIOD_JITTER) <= wait_of(60.0) <= WATCH_WAIT
    assert wait_of(2.0) <= 0.4 * WATCH_WAIT
    assert wait_of(0.001) >= 0.01


def test_a_node_that_never_gets_evidence_makes_few_watch_calls_after_its_start():
    """The store may hold only an invalid document, which is no evidence after a start."""
    node = OneNode(on_duty=True)
    assert node.check.watch_wait() < WATCH_WAIT / 2
    node.clock.now += STORE_CHECK_AGE + 0.1
    assert node.check.watch_wait() > WATCH_WAIT / 2


def test_a_stop_and_a_start_of_serving_keys_are_logged_once_each(monkeypatch):
    events = []
    monkeypatch.setattr(
        "thorntray.internal.store.freshness_check.log_event",
        lambda event, **fields: events.append((event, fields["evidence_age"])),
    )
    node = OneNode()
    node.check._log_change()
    node.freshness.record(Evidence(1, node.clock.now))
    node.check._log_change()
    assert events == [], "a start is no change"
    node.clock.now += 4.0
    node.check._log_change()
    node.check._log_change()
    node.freshness.record(Evidence(1, node.clock.now))
    node.check._log_change()
    assert events == [(Event.KEYS_REFUSED, 4.0), (Event.KEYS_SERVED, 0.0)]


def test_a_node_that_finds_no_evidence_after_its_start_logs_it(monkeypatch):
    events = []
    monkeypatch.setattr(
        "thorntray.internal.store.freshness_check.log_event",
        lambda event, **fields: events.append((event, fields["evidence_age"])),
    )
    node = OneNode()
    node.clock.now += STORE_CHECK_AGE + 0.1
    node.check._log_change()
    node.check._log_change()
    assert events == [(Event.KEYS_REFUSED, None)]


def test_a_store_client_that_does_not_know_when_it_sent_a_call_gives_no_evidence():
    node = OneNode()
    node.check.store_answered(1, WatchBatch((), 9).sent_at, 0)
    assert not node.serves

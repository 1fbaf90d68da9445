"""What the policy watch tells of the store's answers, as evidence for the newest policy."""

import asyncio
from random import Random

import pytest

from tests.builders import ManualClock, run_virtual
from tests.mesh_builders import make_key_policy
from tests.policy_fleet import KEY
from thorntray.errors import BadDocument
from thorntray.internal.connection.link import Links
from thorntray.internal.store.policy_watch import PolicyWatch
from thorntray.internal.store.seeds import PlatformState
from thorntray.internal.store.store_calls import CallBudget, StoreEntry, WatchBatch
from thorntray.internal.store.store_epoch import StoreEpoch
from thorntray.internal.version.policy import PolicyHolder

REACTION_TIME = 1.0  # seconds


class ScriptedStore:
    """A store that holds one entry, and whose watch yields the batches of a script."""

    def __init__(self, value, batches):
        self.epoch = StoreEpoch()
        self.value = value
        self.mod_revision = 5
        self._batches = batches

    async def read(self, key, *, prefix=False):
        if self.value is None:
            return [], 0
        return [StoreEntry(KEY, self.value, self.mod_revision)], 9

    async def watch(self, prefix, start_revision, wait):
        for batch in self._batches:
            yield batch
        await asyncio.sleep(3600)


class RecordingSink:
    def __init__(self):
        self.answers = []

    def now(self):
        return 1.0

    def watch_wait(self):
        return None

    def store_answered(self, version, sent_at, epoch):
        self.answers.append((version, sent_at))


def change(value, mod_revision, sent_at, **fields):
    return WatchBatch(
        (StoreEntry(KEY, value, mod_revision),), mod_revision, False, sent_at
    )._replace(**fields)


def decode(document):
    if not document.isdigit():
        raise BadDocument("not a version")
    return make_key_policy(int(document))


def make_watch(store):
    holder = PolicyHolder(lambda policy: None)
    links = Links("n", b"s", "a", ManualClock())
    watch = PolicyWatch(store, KEY, decode, holder, links, PlatformState(), Random(1))
    watch.evidence = RecordingSink()
    return watch


def answers_of(value, batches):
    async def scenario():
        watch = make_watch(ScriptedStore(value, batches))
        task = asyncio.ensure_future(watch.run())
        await asyncio.sleep(REACTION_TIME)
        task.cancel()
        return watch.evidence.answers

    return run_virtual(scenario())


def test_each_answer_is_evidence_from_when_its_call_was_sent_also_one_without_changes():
    quiet = WatchBatch((), 9, sent_at=2.0)
    batches = [quiet, change(b"4", 10, 3.0), quiet._replace(sent_at=4.0)]
    assert answers_of(b"3", batches) == [(3, 1.0), (3, 2.0), (4, 3.0), (4, 4.0)]


def test_an_invalid_document_leaves_the_valid_version_before_it_the_newest():
    """An operator's mistake must not refuse the keys of the version that stays in force."""
    batches = [change(b"broken", 10, 2.0), WatchBatch((), 10, sent_at=3.0)]
    assert answers_of(b"3", batches) == [(3, 1.0), (3, 2.0), (3, 3.0)]


@pytest.mark.parametrize("value", [b"broken", None])
def test_a_store_without_a_valid_document_gives_no_evidence_to_a_node_that_has_just_started(value):
    """A valid version that withdrew a key may have been there before."""
    assert answers_of(value, [WatchBatch((), 9, sent_at=2.0)]) == []


def test_an_invalid_document_that_is_read_after_a_gap_gives_no_evidence():
    async def scenario(mod_revision):
        store = ScriptedStore(b"3", [])
        watch = make_watch(store)
        await watch.read()
        watch._apply_changes(change(b"broken", 7, 2.0))
        store.value, store.mod_revision = b"broken", mod_revision
        await watch.read()
        return watch.evidence.answers

    assert run_virtual(scenario(7)) == [(3, 1.0), (3, 1.0)], "this one has been seen before"
    assert run_virtual(scenario(8)) == [(3, 1.0)]


def test_a_change_that_cannot_be_decoded_ends_the_evidence():
    """The garbled item may be the version that withdraws a key."""
    garbled = WatchBatch((), 10, sent_at=2.0, complete=False)
    assert answers_of(b"3", [garbled, WatchBatch((), 10, sent_at=3.0)]) == [(3, 1.0)]


def test_a_read_that_is_answered_after_a_newer_change_was_watched_changes_nothing():
    """A read and a watch run at the same time; the older version must not count as the newest."""

    async def scenario():
        store = ScriptedStore(b"3", [])
        watch = make_watch(store)
        watch._apply_changes(change(b"4", 6, 2.0))
        await watch.read()
        watch._record_evidence(3.0)
        return watch.evidence.answers

    assert run_virtual(scenario()) == [(4, 1.0), (4, 3.0)]


def test_an_answer_of_the_store_before_its_restore_is_not_combined_with_the_new_epoch():
    async def scenario():
        store = ScriptedStore(b"3", [])
        watch = make_watch(store)
        await watch.read()
        store.epoch.observe(2)
        watch._record_evidence(2.0)
        return watch.evidence.answers

    assert run_virtual(scenario()) == [(3, 1.0)]


def test_calls_that_wait_for_the_budget_are_made_in_order():
    """Callers that retry often must not take the tokens that the renewal of evidence waits for."""

    async def scenario():
        loop = asyncio.get_running_loop()
        clock = ManualClock()
        clock.monotonic = loop.time
        budget = CallBudget(clock, rate=4.0, tokens=0.0)

        async def retry_often():
            while True:
                await budget.acquire()

        greedy = [asyncio.ensure_future(retry_often()) for _ in range(8)]
        await asyncio.sleep(3.0)
        waits = []
        for _ in range(5):
            began = loop.time()
            async with asyncio.timeout(60.0):
                await budget.acquire()
            waits.append(loop.time() - began)
            await asyncio.sleep(0.1)
        for task in greedy:
            task.cancel()
        return max(waits)

    assert run_virtual(scenario()) <= 9 / 4.0 + 0.01

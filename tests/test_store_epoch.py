"""The store comes back from an older copy of its data: revisions and lease ids are reused."""

import asyncio
import sys
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

import kv_store  # noqa: E402
from kv_store import KvStore  # noqa: E402
from standins.fleet import free_port  # noqa: E402
from standins.kv_store import KvStoreStandIn  # noqa: E402
from tests.builders import make_member, run_virtual  # noqa: E402
from tests.fleet_builders import MemoryFleet  # noqa: E402
from tests.mesh_builders import HOST, make_policy  # noqa: E402
from thorntray.errors import PlatformUnavailable, WriteUndetermined  # noqa: E402
from thorntray.internal.connection.http_client import KeptConnections  # noqa: E402
from thorntray.internal.connection.link import Links  # noqa: E402
from thorntray.internal.membership.membership import Membership  # noqa: E402
from thorntray.internal.process.clock import SystemClock  # noqa: E402
from thorntray.internal.store.policy_watch import PolicyWatch  # noqa: E402
from thorntray.internal.store.seeds import PlatformState, Seeds, SeedTiming  # noqa: E402
from thorntray.internal.store.store_calls import CALL_TIMEOUT, StoreCalls  # noqa: E402
from thorntray.internal.store.store_epoch import StoreEpoch  # noqa: E402
from thorntray.internal.version.policy import PolicyHolder  # noqa: E402
from wire_names import STORE_EPOCH_HEADER  # noqa: E402

KEY = "op/config"
RESTORED_AGE = 0.5  # seconds
REACTION_LIMIT = 1.5  # seconds until the nodes have reacted to a restore


def make_store(port: int, seed: int = 1) -> KvStore:
    calls = StoreCalls(
        [f"http://{HOST}:{port}"],
        KeptConnections(SystemClock()),
        SystemClock(),
        Random(seed),
        rate=50.0,
        epoch_header=STORE_EPOCH_HEADER,
    )
    return KvStore(calls)


def run_with_store(scenario):
    async def main():
        stand_in, port = KvStoreStandIn(), free_port()
        await stand_in.start(HOST, port)
        store, other_store = make_store(port, 1), make_store(port, 2)
        try:
            return await scenario(stand_in, store, other_store)
        finally:
            await store.close()
            await other_store.close()
            await stand_in.close()

    return asyncio.run(main())


def make_policy_watch(store: KvStore) -> PolicyWatch:
    return PolicyWatch(
        store,
        KEY,
        lambda document: make_policy(int(document)),
        PolicyHolder(lambda policy: None),
        Links("n", b"s", "a", SystemClock()),
        PlatformState(),
        Random(1),
    )


async def wait_until(condition, seconds=REACTION_LIMIT):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


async def reuse_lease(stand_in, store, other_store):
    """Restore the store so that it gives a lease of `store` to `other_store`; return both ids."""
    await stand_in.write("a/0", b"x")
    await asyncio.sleep(RESTORED_AGE)
    lease = await store.lease_grant(10)
    await store.put("a/1", b"mine", lease)
    await stand_in.restore(RESTORED_AGE / 2)
    other_lease = await other_store.lease_grant(10)
    await other_store.put("a/2", b"other", other_lease)
    return lease, other_lease


def test_a_watch_reads_the_key_again_although_the_restored_store_has_passed_its_revision(
    monkeypatch,
):
    """The new writes after a restore reuse the revisions that the watch has already seen."""
    monkeypatch.setattr(kv_store, "WATCH_WAIT", 0.3)

    async def scenario(stand_in, store, other_store):
        await stand_in.write(KEY, b"3")
        await asyncio.sleep(RESTORED_AGE)
        await stand_in.write("other/1", b"x")
        await stand_in.write("other/2", b"x")
        watch = make_policy_watch(store)
        task = asyncio.ensure_future(watch.run())
        await wait_until(lambda: watch._holder.version == 3)
        stand_in.fault_mode = "busy"
        await stand_in.restore(RESTORED_AGE / 2)
        await stand_in.write(KEY, b"4")  # has a revision that the watch has seen as another write
        await stand_in.write("other/3", b"x")
        stand_in.fault_mode = ""
        await wait_until(lambda: watch._holder.version == 4)
        task.cancel()

    run_with_store(scenario)


def test_a_waiting_watch_ends_when_another_call_learns_of_the_restore():
    """The connection of the watch is silent, as after a loss of the store's machine."""

    async def scenario(stand_in, store, other_store):
        await stand_in.write(KEY, b"3")
        _, revision = await store.read(KEY)
        pending = asyncio.ensure_future(anext(store.watch(KEY, revision + 1)))
        await asyncio.sleep(0.05)
        store.epoch.observe(stand_in.epoch + 1)
        batch = await asyncio.wait_for(pending, REACTION_LIMIT)
        return batch.compacted

    assert run_with_store(scenario)


def test_the_policy_in_force_stays_when_the_store_returns_with_an_older_one():
    async def scenario(stand_in, store, other_store):
        await stand_in.write(KEY, b"3")
        await asyncio.sleep(RESTORED_AGE)
        await stand_in.write(KEY, b"7")
        watch = make_policy_watch(store)
        task = asyncio.ensure_future(watch.run())
        await wait_until(lambda: watch._holder.version == 7)
        await stand_in.restore(RESTORED_AGE / 2)
        await asyncio.sleep(REACTION_LIMIT)
        after_restore = watch._holder.version
        await stand_in.write(KEY, b"7")
        await stand_in.write(KEY, b"8")
        await wait_until(lambda: watch._holder.version == 8)
        task.cancel()
        return after_restore

    assert run_with_store(scenario) == 7


def test_a_lease_of_an_earlier_epoch_is_neither_renewed_nor_written_under_nor_ended():
    """The restored store has given the lease id to another node."""

    async def scenario(stand_in, store, other_store):
        lease, other_lease = await reuse_lease(stand_in, store, other_store)
        renewed = await store.lease_keepalive(lease)
        with pytest.raises(PlatformUnavailable):
            await store.put("a/1", b"mine", lease)
        await store.lease_revoke(lease)
        return lease == other_lease, renewed, sorted(stand_in.items)

    same_id, renewed, keys = run_with_store(scenario)
    assert same_id and not renewed
    assert keys == ["a/0", "a/2"]


def test_a_stop_before_the_restore_is_known_does_not_end_the_lease_of_another_node():
    async def scenario(stand_in, store, other_store):
        lease, other_lease = await reuse_lease(stand_in, store, other_store)
        await store.lease_revoke(lease)
        return lease == other_lease, sorted(stand_in.items)

    assert run_with_store(scenario) == (True, ["a/0", "a/2"])


def test_a_write_under_a_lease_that_was_lost_meanwhile_is_undetermined():
    """The restored store accepts the write, under the lease of another node."""

    async def scenario(stand_in, store, other_store):
        await stand_in.write("a/0", b"x")
        await asyncio.sleep(RESTORED_AGE)
        lease = await store.lease_grant(10)
        await stand_in.restore(RESTORED_AGE / 2)
        await other_store.lease_grant(10)
        with pytest.raises(WriteUndetermined):
            await store.put("a/1", b"mine", lease)

    run_with_store(scenario)


def test_an_answer_of_an_earlier_epoch_that_arrives_late_changes_nothing():
    async def scenario(stand_in, store, other_store):
        await stand_in.write(KEY, b"3")
        await store.read(KEY)
        store.epoch.observe(stand_in.epoch + 1)
        with pytest.raises(PlatformUnavailable):
            await store.read(KEY)
        with pytest.raises(WriteUndetermined):
            await store.lease_grant(10)
        return store.epoch.current - stand_in.epoch

    assert run_with_store(scenario) == 1


@pytest.mark.parametrize("status", ["busy", "many"])
def test_a_refused_call_also_tells_of_the_restore(status):
    async def scenario(stand_in, store, other_store):
        await stand_in.write(KEY, b"3")
        await store.read(KEY)
        await stand_in.restore(RESTORED_AGE)
        stand_in.fault_mode = status
        with pytest.raises(PlatformUnavailable):
            await store.read(KEY)
        return store.epoch.current == stand_in.epoch

    assert run_with_store(scenario)


@pytest.mark.parametrize("reply_lost", [False, True])
def test_a_seed_entry_is_written_again_soon_after_a_restore_has_removed_it(reply_lost):
    """With a lost reply, the node cannot tell whether the write that is gone took effect."""

    async def scenario(stand_in, store, other_store):
        await stand_in.write("other/0", b"x")
        await asyncio.sleep(RESTORED_AGE)
        membership = Membership(
            make_member("n1"), MemoryFleet(Random(1)), SystemClock(), Random(1), dict, None, None
        )
        renew_period = 1.0 if reply_lost else 30.0
        timing = SeedTiming(10, renew_period, 0.01, 0.01, 0.01, 0.1)
        seeds = Seeds(membership, store, PlatformState(), "seeds/", [], timing, Random(1))
        seeds.start()
        await wait_until(lambda: any(key.startswith("seeds/") for key in stand_in.items))
        await stand_in.restore(RESTORED_AGE / 2)
        lost = not any(key.startswith("seeds/") for key in stand_in.items)
        stand_in.responses_to_drop = int(reply_lost)
        await store.read(KEY)  # any call tells of the restore
        limit = REACTION_LIMIT + (CALL_TIMEOUT if reply_lost else 0.0)
        await wait_until(lambda: any(key.startswith("seeds/") for key in stand_in.items), limit)
        await seeds.stop()
        return lost

    assert run_with_store(scenario)


def test_a_fleet_that_learns_of_a_restore_at_once_spreads_its_reads():
    async def scenario():
        reads: list[float] = []
        loop = asyncio.get_running_loop()
        epoch = StoreEpoch()
        epoch.observe(1)

        class Store:
            def __init__(self):
                self.epoch = epoch

            async def read(self, key, *, prefix=False):
                reads.append(loop.time())
                return [], 1

            async def watch(self, prefix, start_revision, wait):
                await epoch.wait_beyond(1 if epoch.current == 1 else 2)
                return
                yield

        watches = [make_policy_watch(Store()) for _ in range(400)]
        for index, watch in enumerate(watches):
            watch._rng = Random(index)
        tasks = [asyncio.ensure_future(watch.run()) for watch in watches]
        await asyncio.sleep(1.0)
        reads.clear()
        epoch.observe(2)
        await asyncio.sleep(2.0)
        for task in tasks:
            task.cancel()
        by_slot = [sum(1 for t in reads if int(t * 10) == slot) for slot in range(100)]
        return len(reads), max(by_slot)

    count, most_in_a_tenth = run_virtual(scenario())
    assert count == 400
    assert most_in_a_tenth < 150

"""Tests of admission, limits, routing and ejection under overload, in simulated time."""

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import (
    LoopClock,
    ManualClock,
    MemoryNetwork,
    header,
    make_member,
    make_settings,
    run_virtual,
)
from thorntray.errors import RequestRefused
from thorntray.internal.connection.message import decode
from thorntray.internal.overload.admission import Admission, AdmissionLevel
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.levels import LevelTable
from thorntray.internal.overload.limiter import Limiter
from thorntray.internal.overload.routing import Router
from thorntray.internal.overload.service_times import ServiceTimes
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.order import root_rank, shed_key
from thorntray.internal.request.outcome import NotRun, Reason

# Shed key, seconds until the arrival, service time and time budget in seconds.
arrivals = st.lists(
    st.tuples(st.floats(0, 9.99), st.floats(0, 0.05), st.floats(0.001, 0.1), st.floats(0.01, 0.3)),
    min_size=1,
    max_size=60,
)


@settings(max_examples=200)
@given(arrivals, st.integers(1, 5), st.integers(0, 6))
def test_no_request_is_shed_while_a_lower_key_waits_and_slots_and_queue_stay_bounded(
    arrivals, slots, queue
):
    async def scenario():
        clock = LoopClock()
        admission = Admission(Limiter(slots, clock), queue, 0.05, clock)
        peak = [0, 0]

        async def one_request(key, pause, work, budget):
            await asyncio.sleep(pause)
            waiting = [w.shed_key for w in admission._waiters]
            try:
                await admission.acquire(key, Deadline.after(budget, clock), 0.0)
            except RequestRefused as exc:
                if exc.reason == Reason.SHED and len(waiting) == queue:
                    lower = [w.shed_key for w in admission._waiters if w.shed_key < key]
                    assert not lower, (key, lower)
                return
            peak[0] = max(peak[0], admission.in_flight)
            peak[1] = max(peak[1], admission.queued)
            await asyncio.sleep(work)
            admission.release()

        await asyncio.gather(*(one_request(*arrival) for arrival in arrivals))
        return peak, admission.in_flight, admission.queued

    peak, in_flight, queued = run_virtual(scenario())
    assert peak[0] <= slots and peak[1] <= queue
    assert (in_flight, queued) == (0, 0)


def test_a_free_slot_goes_to_the_highest_key_and_a_full_queue_evicts_the_lowest_at_once():
    async def scenario():
        clock = LoopClock()
        admission = Admission(Limiter(1, clock), 2, 10.0, clock)
        order = []

        async def one_request(name, key):
            try:
                await admission.acquire(key, Deadline.after(10, clock), 0.0)
            except RequestRefused as exc:
                order.append((name, exc.reason, round(clock.monotonic(), 3)))
                return
            order.append((name, "in", round(clock.monotonic(), 3)))
            await asyncio.sleep(1)
            admission.release()

        tasks = []
        for name, key in (("first", 3.5), ("low", 3.1), ("mid", 4.0), ("high", 8.0)):
            tasks.append(asyncio.ensure_future(one_request(name, key)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        return order

    assert run_virtual(scenario()) == [
        ("first", "in", 0.0),
        ("low", "shed", 0.3),
        ("high", "in", 1.0),
        ("mid", "in", 2.0),
    ]


def test_a_request_that_cannot_finish_in_time_is_refused_while_still_queued():
    async def scenario():
        clock = LoopClock()
        admission = Admission(Limiter(1, clock), 5, 10.0, clock)
        await admission.acquire(5.0, Deadline.after(10, clock), 0.5)
        started_at = clock.monotonic()
        try:
            await admission.acquire(5.0, Deadline.after(0.8, clock), 0.5)
        except RequestRefused as exc:
            return exc.reason, round(clock.monotonic() - started_at, 3), exc.retry_after

    reason, waited, retry_after = run_virtual(scenario())
    assert (reason, waited) == ("deadline-too-near", 0.3)
    assert 0 < retry_after <= 5


def test_a_service_time_estimate_expires_without_new_samples():
    clock = ManualClock()
    times = ServiceTimes(clock)
    for _ in range(3):
        times.record("look", 0.4)
    assert round(times.expected("look"), 9) == 0.4
    clock.now += 1.5
    assert times.expected("look") == 0.0


def test_one_slow_request_gives_no_service_time_estimate():
    times = ServiceTimes(ManualClock())
    times.record("look", 1.2)
    assert times.expected("look") == 0.0


def test_every_hop_of_a_deep_chain_gets_the_whole_remaining_time():
    """Reserving half of the budget for a retry at each hop left an eighth of it at the third."""

    async def scenario():
        network = MemoryNetwork(Random(1), make_settings({"s": {}}))
        network.add("a", "s")
        entry = network.add("c", "other")
        budgets = []
        exchange = network.exchange

        async def spy(sender, target, data):
            budgets.append(decode(data).budget)
            return await exchange(sender, target, data)

        network.exchange = spy
        await entry.call("s", thorntray_deadline_ms="1000")
        return budgets

    assert run_virtual(scenario())[0] > 0.99


def test_the_wait_limit_is_at_least_the_expected_service_time():
    async def scenario():
        clock = LoopClock()
        admission = Admission(Limiter(1, clock), 5, 0.1, clock)
        await admission.acquire(5.0, Deadline.after(10, clock), 0.4)
        asyncio.get_running_loop().call_later(0.3, admission.release)
        await admission.acquire(8.0, Deadline.after(10, clock), 0.4)
        return admission.in_flight

    assert run_virtual(scenario()) == 1


def test_the_level_rises_with_refusals_and_decays_with_time():
    clock = ManualClock()
    level = AdmissionLevel(clock)
    for _ in range(200):
        level.record_refusal(3.6)
    assert 3.5 < level.read(slots_free=False) <= 3.6
    clock.now += 5
    assert level.read(slots_free=True) == 0.0


def test_root_ranks_are_evenly_spread_and_independent_of_the_priority():
    ranks = [root_rank(i.to_bytes(8, "big")) for i in range(2000)]
    assert all(0 <= rank < 1 for rank in ranks)
    assert 0.45 < sum(ranks) / len(ranks) < 0.55
    assert round(shed_key(8, b"x", 0) - shed_key(3, b"x", 0), 9) == 5


def test_a_nested_call_is_shed_after_new_roots_of_its_class_and_before_a_higher_class():
    roots = [i.to_bytes(8, "big") for i in range(500)]
    for root in roots:
        assert 3 <= shed_key(3, root, 0) < shed_key(3, root, 1) == shed_key(3, root, 7) < 4


def _saturate(limiter, clock, seconds, latency, refused_share=0.0):
    """Simulate an instance at its limit for `seconds`.

    `latency` returns the service time in seconds for a number of requests in flight;
    `refused_share` is the share of requests that the instance refuses.
    """
    rng = Random(1)
    end = clock.now + seconds
    while clock.now < end:
        in_flight = limiter.limit
        service_time = latency(in_flight)
        clock.now += service_time / in_flight
        limiter.record_start(in_flight)
        if rng.random() < refused_share:
            limiter.record_refusal()
        else:
            limiter.record_completion(service_time)


def test_the_limit_recovers_within_ten_seconds_after_refusals_end():
    clock = ManualClock()
    limiter = Limiter(50, clock)
    _saturate(limiter, clock, 5, lambda n: 0.02)
    before = limiter.limit
    _saturate(limiter, clock, 10, lambda n: 0.02, refused_share=0.3)
    assert limiter.limit < before / 2
    _saturate(limiter, clock, 10, lambda n: 0.02)
    assert limiter.limit >= 0.9 * before


def test_the_limit_recovers_when_few_requests_arrive():
    clock = ManualClock()
    limiter = Limiter(50, clock)
    _saturate(limiter, clock, 10, lambda n: 0.02, refused_share=0.5)
    for _ in range(20):
        clock.now += 0.5
        limiter.record_completion(0.02)
    assert limiter.limit >= 45


def test_an_instance_whose_requests_take_longer_keeps_its_slots():
    clock = ManualClock()
    limiter = Limiter(50, clock)
    _saturate(limiter, clock, 5, lambda n: 0.02)
    _saturate(limiter, clock, 30, lambda n: 0.08)
    assert limiter.limit >= 45


def test_an_instance_with_fewer_real_slots_than_declared_gets_fewer_requests():
    clock = ManualClock()
    limiter = Limiter(50, clock)
    _saturate(limiter, clock, 5, lambda n: 0.02)
    _saturate(limiter, clock, 30, lambda n: 0.02 * max(1, n / 10))
    assert limiter.limit < 45


def test_a_cold_instance_starts_with_a_low_limit_and_ramps_up_to_all_slots():
    clock = ManualClock()
    limiter = Limiter(50, clock, cold=True)
    assert limiter.limit == 15
    _saturate(limiter, clock, 10, lambda n: 0.02)
    assert limiter.limit == 50


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=300))
def test_ejection_never_exceeds_its_maximum_share(results):
    clock = ManualClock()
    ejection = Ejection(clock)
    names = [f"n{i}" for i in range(6)]
    for index, failed in results:
        ejection.record_attempt(names[index], failed)
        clock.now += 0.01
        assert len(ejection.in_rotation(names)) >= 4


def test_when_all_instances_fail_most_stay_in_rotation():
    clock = ManualClock()
    ejection = Ejection(clock)
    names = [f"n{i}" for i in range(6)]
    for name in names * 10:
        ejection.record_attempt(name, failed=True)
    assert len(ejection.in_rotation(names)) == 4


def test_a_failing_instance_is_ejected_and_returns_to_rotation():
    clock = ManualClock()
    ejection = Ejection(clock)
    names = ["a", "b", "c"]
    for _ in range(10):
        ejection.record_attempt("a", failed=True)
    assert ejection.in_rotation(names) == {"b", "c"}
    clock.now += 2
    assert ejection.in_rotation(names) == {"a", "b", "c"}


def _router(domain="east"):
    clock = ManualClock()
    levels = LevelTable(clock, Random(1))
    return Router(domain, levels, Ejection(clock), Random(1)), levels, clock


def test_the_local_failure_domain_is_preferred_unless_it_is_busy():
    router, levels, _ = _router()
    local, remote = make_member("h"), make_member("w", domain="west")
    assert router.pick([local, remote], "r", 5.0) == local
    levels.update("h", "r", 0.0, 1.2)
    levels.update("w", "r", 0.0, 0.3)
    assert router.pick([local, remote], "r", 5.0) == remote


def test_an_instance_that_admits_the_class_is_chosen_over_one_that_does_not():
    router, levels, clock = _router()
    local, remote = make_member("h"), make_member("w", domain="west")
    levels.update("h", "r", 8.9, 1.0)
    assert router.pick([local, remote], "r", 8.5) == remote
    assert not router.all_refuse([local, remote], "r", 8.5)
    levels.update("w", "r", 8.9, 1.0)
    assert router.all_refuse([local, remote], "r", 8.5)
    clock.now += 2
    assert not router.all_refuse(
        [local, remote], "r", 8.5
    ), "a stale level must not lock a class out"


def test_members_that_are_suspect_dead_or_not_ready_get_no_work():
    router, _, _ = _router()
    members = [
        make_member("ok"),
        make_member("new", ready=False),
        make_member("slow", health=1),
        make_member("dead", health=2),
    ]
    assert [m.name for m in router.candidates(members, set())] == ["ok"]


def test_a_payout_refused_by_one_instance_is_served_by_another():
    async def scenario():
        network = MemoryNetwork(Random(7), make_settings({"s": {}}))
        full, free = network.add("a", "s"), network.add("b", "s", "west")
        entry = network.add("c", "other")
        full.upstream.make_refusal = lambda: NotRun(Reason.UPSTREAM_SHED)
        grant = header(await entry.call("s", "POST"), "thorntray-grant")
        answer = await entry.call("s", "POST", thorntray_grant=grant, x_request="r")
        return header(answer, "thorntray-outcome"), free.upstream.executions["r"], len(full.grants)

    outcome, ran, granted_by_full = run_virtual(scenario())
    assert (outcome, ran, granted_by_full) == ("done", 1, 1)


def test_a_root_is_refused_at_the_ingress_when_all_instances_are_closed_for_its_class():
    async def scenario():
        network = MemoryNetwork(Random(8), make_settings({"s": {}}))
        network.add("a", "s")
        entry = network.add("c", "other")
        entry.levels.update("a", "s/look", 7.0, 1.0)
        answers = [await entry.call("s", x_request=f"r{i}") for i in range(30)]
        refused = [a for a in answers if header(a, "thorntray-outcome") == "not-run"]
        return len(refused), {header(a, "retry-after") for a in refused}

    refused, retry_after = run_virtual(scenario())
    assert refused >= 25 and retry_after == {"1"}


def test_a_parent_does_not_run_when_the_service_it_needs_is_closed_for_its_class():
    async def scenario():
        services = {"s": {"needs": "deep"}, "deep": {}}
        network = MemoryNetwork(Random(9), make_settings(services))
        parent = network.add("a", "s")
        network.add("b", "deep")
        entry = network.add("c", "other")
        parent.levels.update("b", "deep/look", 7.0, 1.0)
        answer = await entry.call("s", x_request="r")
        reported_level = entry.levels.level("a", "s/look")
        grant = header(await entry.call("s", "POST"), "thorntray-grant")
        payout = await entry.call("s", "POST", thorntray_grant=grant)
        return (
            header(answer, "thorntray-reason"),
            parent.upstream.executions["r"],
            reported_level,
            payout.status,
        )

    assert run_virtual(scenario()) == ("dependency-closed", 0, 7.0, 200)


def test_calls_to_one_dependency_cannot_occupy_all_slots():
    async def scenario():
        services = {"s": {"slots": 10, "dependency_share": "0.5"}, "deep": {}}
        network = MemoryNetwork(Random(9), make_settings(services))
        parent, deep = network.add("a", "s", slots=10), network.add("b", "deep")
        deep.upstream.service_time = 1.0

        async def work(call, token):
            answer = await parent.call("deep", thorntray_context=token)
            return (
                NotRun(Reason.SHED)
                if answer.status != 200
                else await parent.upstream._echo_request_id(call, token)
            )

        parent.upstream.handler = work
        tasks = [asyncio.ensure_future(parent.call("s")) for _ in range(10)]
        await asyncio.sleep(0.1)
        in_flight = deep.admission.in_flight
        await asyncio.gather(*tasks)
        return in_flight

    assert run_virtual(scenario()) == 5

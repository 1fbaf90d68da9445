"""The lean path with whole nodes over loopback: attempts, and what instances ran."""

import asyncio
import time

import pytest

from tests.mesh_builders import (
    PAYOUTS_OF_FIVE_SECONDS,
    drops,
    header_of,
    make_policy,
    make_route,
    play,
    silent,
    slow,
)
from thorntray.internal.overload.root_admission import CLOSED_PRICE
from thorntray.internal.request.result import Cause


def test_a_request_runs_at_an_instance_of_its_service_and_its_answer_comes_whole():
    async def scenario(fleet):
        await fleet.add("t1", "tariff")
        await fleet.add("h1", "haul", domain="b")
        await fleet.settle()
        answer = await fleet.get("h1", "/prices/7?x=1", "id-9")
        return answer, fleet.instances["t1"].heads[0], fleet.instances["h1"].ran

    answer, head, elsewhere = play(scenario)
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\nok")
    assert head.startswith(b"GET /prices/7?x=1 HTTP/1.1\r\n")
    assert header_of(head, b"Thorntray-Caller") == b"haul"
    assert header_of(head, b"Thorntray-Instance") == b"i-1"
    assert 0 < int(header_of(head, b"Thorntray-Deadline-Ms")) <= 1000
    assert elsewhere == []


def test_a_refusal_before_the_instance_is_tried_elsewhere_without_running_twice():
    async def scenario(fleet):
        first = await fleet.add("t1", "tariff")
        await fleet.add("t2", "tariff")
        await fleet.add("h1", "haul")
        await fleet.settle()
        # Its node refuses, though the others still believe it open.
        first.registration.accepting = False
        answers = [await fleet.send("h1", b"POST", "/payouts/1", f"id-{n}") for n in range(6)]
        return answers, fleet.instances["t1"].ran, fleet.instances["t2"].ran

    answers, refused, ran = play(scenario)
    assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
    assert refused == [] and ran == [b"id-%d" % n for n in range(6)]


def test_a_payout_whose_answer_is_lost_is_unknown_and_never_sent_again():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", drops)
        await fleet.add("t2", "tariff", drops)
        await fleet.add("h1", "haul")
        await fleet.settle()
        for node in fleet.nodes.values():
            node.budget._tokens["tariff"] = 50.0
        answer = await fleet.send("h1", b"POST", "/payouts/1", "id-1")
        await asyncio.sleep(0.3)
        return answer, fleet.instances["t1"].ran + fleet.instances["t2"].ran

    answer, ran = play(scenario)
    assert answer.startswith(b"HTTP/1.1 502")
    assert ran == [b"id-1"]


def test_a_lookup_whose_answer_is_lost_is_asked_again_within_the_budget():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", drops)
        await fleet.add("t2", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.settle()
        node.placement.record_dispatch("t2")
        answers = []
        for tokens in (0.0, 5.0):
            node.budget._tokens["tariff"] = tokens
            fleet.instances["t1"].ran.clear()
            answers.append(await fleet.get("h1", "/prices/1", f"id-{tokens}"))
        return answers

    without, with_budget = play(scenario)
    assert with_budget.startswith(b"HTTP/1.1 200")
    assert without[:12] in (b"HTTP/1.1 502", b"HTTP/1.1 200")


def test_an_unknown_end_stays_unknown_when_the_next_instance_refuses():
    async def scenario(fleet):
        await fleet.add("t1", "tariff", drops)
        refusing = await fleet.add("t2", "tariff")
        node = await fleet.add("h1", "haul")
        await fleet.settle()
        refusing.registration.accepting = False
        node.placement.pause("t2", node.clock.monotonic(), 5.0)
        node.budget._tokens["tariff"] = 5.0
        return await fleet.get("h1", "/prices/1", "id-1"), fleet.instances["t1"].ran

    answer, ran = play(scenario)
    assert ran == [b"id-1"]
    assert answer.startswith(b"HTTP/1.1 502")


def test_a_lookup_is_sent_to_no_more_instances_than_its_route_allows():
    async def scenario(fleet):
        for name in ("t1", "t2", "t3"):
            await fleet.add(name, "tariff", drops)
        node = await fleet.add("h1", "haul")
        await fleet.settle()
        node.budget._tokens["tariff"] = 50.0
        answer = await fleet.get("h1", "/prices/1", "id-1")
        return answer, sum(len(instance.ran) for instance in fleet.instances.values())

    answer, ran = play(scenario)
    assert answer.startswith(b"HTTP/1.1 502")
    assert ran == make_route().max_attempts


@pytest.mark.parametrize(("full", "price_is_closed"), [(True, False), (False, True)])
def test_a_full_service_is_not_told_as_closed(full, price_is_closed):
    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", silent)
        node = await fleet.add("h1", "haul")
        await fleet.settle()
        if full:
            owner.queue.limit = 0
        else:
            owner.registration.accepting = False
        answer = await fleet.get("h1", "/prices/1", "id-1")
        price = node.admission.prices.price("tariff", node.clock.monotonic())
        return answer, price >= CLOSED_PRICE

    answer, closed = play(scenario)
    assert answer.startswith(b"HTTP/1.1 503")
    assert closed is price_is_closed


def test_a_lost_link_leaves_a_payout_unknown():
    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", slow)
        origin = await fleet.add("h1", "haul")
        await fleet.settle()
        pending = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "id-1"))
        await asyncio.sleep(0.15)
        origin.links.link_to(owner.membership.own)._connection.abort()
        answer = await pending
        await asyncio.sleep(0.4)
        return answer, fleet.instances["t1"].ran

    answer, ran = play(scenario)
    assert answer.startswith(b"HTTP/1.1 502")
    assert ran == [b"id-1"]


def test_a_peer_that_falls_silent_is_left_within_a_second_and_rests():
    """Load pattern of a cut domain: connections to it go silent without a reset."""

    async def scenario(fleet):
        owner = await fleet.add("t1", "tariff", silent)
        origin = await fleet.add("h1", "haul")
        await fleet.settle()
        began = time.monotonic()
        pending = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "id-1"))
        await asyncio.sleep(0.1)
        for link, _ in list(owner._peer_requests):
            link._transport.pause_reading()
        answer = await pending
        seconds = time.monotonic() - began
        load = origin.placement._state("t1")
        return answer, seconds, load.paused_until > origin.clock.monotonic()

    answer, seconds, rests = play(scenario, make_policy(routes=[PAYOUTS_OF_FIVE_SECONDS]))
    assert answer.startswith(b"HTTP/1.1 502")
    assert seconds < 1.3 and rests


def test_causes_are_numbered_for_good():
    assert [cause.value for cause in Cause] == list(range(len(Cause)))

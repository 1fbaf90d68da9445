"""An exception in the handling of one request fails no other request."""

import asyncio

import msgspec
import pytest

from tests.instance_replies import answer_slowly
from tests.mesh_builders import LinkPeer, make_call, make_links, run_scenario, send_call
from thorntray.internal.connection.frame import ResultFrame
from thorntray.internal.request import origin_request
from thorntray.internal.request.result import Cause, ResultKind
from thorntray.internal.request.result_frames import result_from_frame
from thorntray_node import peer_requests

UNKNOWN_CAUSE = 999  # number of a cause that only a newer version knows


async def send_two(fleet, first="faulty", second="sound"):
    """Send two requests at the same time and return their status lines."""
    answers = await asyncio.gather(
        fleet.send("h1", b"POST", "/payouts/1", first),
        fleet.send("h1", b"POST", "/payouts/1", second),
    )
    return [answer.split(b"\r\n")[0] for answer in answers]


async def add_nodes(fleet):
    owner = await fleet.add("t1", "tariff", answer_slowly)
    origin = await fleet.add("h1", "haul")
    await fleet.share_membership()
    return owner, origin


ONLY_THE_FAULTY_ONE_FAILS = [b"HTTP/1.1 502 Bad Gateway", b"HTTP/1.1 200 OK"]


def test_a_frame_whose_handler_fails_does_not_end_the_connection():
    async def scenario():
        peer, links = LinkPeer(), make_links()
        await peer.listener.start()
        record_frame = peer.on_frame

        def fail_on_first_frame(connection, frame):
            record_frame(connection, frame)
            if len(peer.calls) == 1:
                raise RuntimeError("fault")

        peer.on_frame = fail_on_first_frame
        results = []
        send_call(links.link_to(peer.member()), results)
        send_call(links.link_to(peer.member()), results)
        await asyncio.sleep(0.1)
        if len(peer.calls) == 2:
            peer.answer(1)
        await asyncio.sleep(0.1)
        lost = len(peer.lost)
        links.close()
        peer.listener.close()
        return results[:1], lost

    results, lost = asyncio.run(scenario())
    assert lost == 0 and isinstance(results[0], ResultFrame)


@pytest.mark.parametrize("end", ["lost", "removed"])
def test_all_calls_of_a_link_end_though_one_of_their_handlers_fails_or_cancels_another(end):
    async def scenario():
        peer, links = LinkPeer(), make_links()
        await peer.listener.start()
        results = []
        link = links.link_to(peer.member())

        def fail(outcome):
            link.cancel(cancelled)
            raise RuntimeError("fault")

        link.call(lambda number: make_call(number=number), fail)
        cancelled = send_call(link, [])
        send_call(link, results)
        if end == "lost":
            await asyncio.sleep(0.1)
            link._connection.abort()
        else:
            links.drain_link("peer")
        peer.listener.close()
        return results

    expected = {"lost": [Cause.LOST], "removed": [Cause.NO_INSTANCE]}
    assert asyncio.run(scenario()) == expected[end]


async def mark_results_of_the_faulty_request(fleet, monkeypatch):
    """Let the owner send the results of the request with the ID `faulty` with an unknown cause."""
    owner, _ = await add_nodes(fleet)
    encode_result, submit = peer_requests.frame_from_result, owner.owner.submit
    owner_ids = {}

    def encode(number, result):
        frame = encode_result(number, result)
        faulty = owner_ids[number] == b"faulty"
        return msgspec.structs.replace(frame, reason=UNKNOWN_CAUSE) if faulty else frame

    def submit_and_record(call, on_result):
        owner_ids[call.number] = call.request_id
        return submit(call, on_result)

    owner.owner.submit = submit_and_record
    monkeypatch.setattr(peer_requests, "frame_from_result", encode)


def test_a_result_that_this_version_cannot_read_fails_only_its_own_request(monkeypatch):
    def read(frame):
        if frame.reason == UNKNOWN_CAUSE:
            raise ValueError("unreadable")
        return result_from_frame(frame)

    async def scenario(fleet):
        await mark_results_of_the_faulty_request(fleet, monkeypatch)
        monkeypatch.setattr(origin_request, "result_from_frame", read)
        return await send_two(fleet)

    assert run_scenario(scenario) == ONLY_THE_FAULTY_ONE_FAILS


def test_an_answer_with_a_cause_of_a_newer_version_is_delivered(monkeypatch):
    # Failure: an answer that is ready is replaced by 502 while two releases run side by side.
    async def scenario(fleet):
        await mark_results_of_the_faulty_request(fleet, monkeypatch)
        return await send_two(fleet)

    assert run_scenario(scenario) == [b"HTTP/1.1 200 OK"] * 2


def test_an_answer_is_delivered_though_the_next_request_in_the_queue_fails_to_start():
    async def scenario(fleet):
        owner, _ = await add_nodes(fleet)
        owner.queue.limit = 1
        start = owner.owner.start

        def fail_to_start(request):
            if request.call.request_id == b"faulty":
                raise RuntimeError("fault")
            start(request)

        owner.owner.start = fail_to_start
        sound = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "sound"))
        await asyncio.sleep(0.15)
        faulty = asyncio.ensure_future(fleet.send("h1", b"POST", "/payouts/1", "faulty"))
        answers = [await faulty, await sound]
        await asyncio.sleep(0.05)
        return [a.split(b"\r\n")[0] for a in answers], owner.queue.in_flight, owner.owner.requests

    assert run_scenario(scenario) == (ONLY_THE_FAULTY_ONE_FAILS, 0, set())


@pytest.mark.parametrize("side", ["owner", "origin"])
def test_an_answer_is_delivered_though_the_log_or_a_metric_of_it_fails(side):
    async def scenario(fleet):
        owner, origin = await add_nodes(fleet)

        def fail(*args):
            raise RuntimeError("fault")

        failing = owner if side == "owner" else origin
        failing.metrics.request_ended = fail
        return await fleet.send("h1", b"POST", "/payouts/1", "id-1")

    assert run_scenario(scenario).endswith(b"slow")


def test_a_request_that_fails_on_submission_is_answered_and_leaves_nothing_behind():
    async def scenario(fleet):
        owner, _ = await add_nodes(fleet)
        refusal_cause = owner.owner._refusal_cause

        def fail(request):
            if request.call.request_id == b"faulty":
                raise RuntimeError("fault")
            return refusal_cause(request)

        owner.owner._refusal_cause = fail
        return await send_two(fleet), owner.queue.in_flight, owner.owner.requests

    assert run_scenario(scenario) == (ONLY_THE_FAULTY_ONE_FAILS, 0, set())


def test_a_response_whose_handler_fails_does_not_end_the_next_request_on_its_connection():
    """The slot goes to the next request, on the same connection, before the handler fails."""

    async def scenario(fleet):
        owner, _ = await add_nodes(fleet)
        owner.queue.limit = 1

        def fail(result):
            raise RuntimeError("fault")

        owner.owner.submit(make_call(), fail)
        results = []
        owner.owner.submit(make_call(max_wait=0.9), results.append)
        await asyncio.sleep(0.8)
        return [(r.kind, r.cause) for r in results], fleet.instances["t1"].connections

    assert run_scenario(scenario) == ([(ResultKind.ANSWERED, Cause.NONE)], 1)

"""An answer of an instance that is not passed on because of a retry is still owed to the caller.

Guards against requests whose instance has answered, and whose caller gets an error of the node
instead, because the retry ended without an answer.
"""

import asyncio

import pytest

from tests.instance_replies import answer_bytes, close_without_answer, never_answer
from tests.mesh_builders import run_scenario

SIGNATURE = b"X-Signature: of-t1"


async def fail(request_id, writer):
    writer.write(answer_bytes(request_id, b"failure", 500, SIGNATURE + b"\r\n"))


class FirstFails:
    """Reply of several instances: the first request fails, later ones get another reply."""

    def __init__(self, reply_of_retry):
        self.arrivals = 0
        self._reply_of_retry = reply_of_retry

    async def __call__(self, request_id, writer):
        self.arrivals += 1
        await (fail if self.arrivals == 1 else self._reply_of_retry)(request_id, writer)


async def send_with_retry(fleet, reply, instances=2):
    """Send a lookup to `instances` instances with one reply; return the answer to the caller."""
    for number in range(instances):
        await fleet.add(f"t{number}", "tariff", reply)
    node = await fleet.add("h1", "haul")
    await fleet.share_membership()
    node.budget._tokens["tariff"] = 50.0
    return await fleet.get("h1", "/prices/1", "id-1")


def assert_answer_of_the_first_instance(answer):
    assert answer.startswith(b"HTTP/1.1 500")
    assert SIGNATURE in answer and answer.endswith(b"\r\n\r\nfailure")


def test_the_answer_of_the_first_instance_is_delivered_when_no_other_one_is_left():
    answer = run_scenario(lambda fleet: send_with_retry(fleet, fail, instances=1))
    assert_answer_of_the_first_instance(answer)


@pytest.mark.parametrize("reply_of_retry", [close_without_answer, never_answer])
def test_the_answer_of_the_first_instance_is_delivered_when_its_retry_gets_none(reply_of_retry):
    reply = FirstFails(reply_of_retry)
    answer = run_scenario(lambda fleet: send_with_retry(fleet, reply))
    assert reply.arrivals == 2
    assert_answer_of_the_first_instance(answer)


def test_the_answer_of_the_first_instance_is_delivered_when_the_next_one_refuses():
    async def scenario(fleet):
        async def fail_and_refuse_more(request_id, writer):
            for node in fleet.nodes.values():  # not known to the others yet
                node.registration.accepting = False
            await fail(request_id, writer)

        return await send_with_retry(fleet, fail_and_refuse_more)

    assert_answer_of_the_first_instance(run_scenario(scenario))


def test_the_answer_of_the_first_instance_is_delivered_when_the_node_stops_during_the_retry():
    reply = FirstFails(never_answer)

    async def scenario(fleet):
        sent = asyncio.ensure_future(send_with_retry(fleet, reply))
        while reply.arrivals < 2:
            await asyncio.sleep(0.01)
        fleet.nodes["h1"].origin.end_all()
        return await sent

    assert_answer_of_the_first_instance(run_scenario(scenario))


def test_a_success_of_the_retry_goes_before_the_kept_answer():
    async def serve(request_id, writer):
        writer.write(answer_bytes(request_id, b"served"))

    answer = run_scenario(lambda fleet: send_with_retry(fleet, FirstFails(serve)))
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"served")

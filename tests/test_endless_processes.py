"""Node processes whose instances send bytes without end, in a head or a body.

Guards against a report from other systems: the node that had called such an instance kept all that
came and ran out of memory, and the requests of its other callers ended with it.
"""

import asyncio
import time

import pytest

from standins.mesh_fleet import RouteConfig
from standins.worker import EndlessAnswer, response_body
from tests.memory_fleet import Answer, call, with_fleet

pytestmark = pytest.mark.process

BYTES_PER_MB = 1_000_000
MEMORY_MB = 150
CALLERS = 24  # of faulty instances
SOUND_CALLS, SOUND_PAUSE = 40, 0.1  # one after the other; seconds
ROUTE_TIMEOUT = 4.0  # seconds
ROUTES = [
    RouteConfig("prices", "tariff", timeout=ROUTE_TIMEOUT, target_latency=1.0),
    RouteConfig("payouts", "tariff", "non_idempotent", timeout=ROUTE_TIMEOUT, target_latency=1.0),
    RouteConfig("files", "archive", timeout=ROUTE_TIMEOUT, target_latency=1.0),
]
ENDLESS = {
    "body": EndlessAnswer(),
    "body by close": EndlessAnswer(b"\r\n", b"e" * 16_384),
    "body in drips": EndlessAnswer(part=b"400\r\n" + b"e" * 1024 + b"\r\n", pause=0.01),
    "head": EndlessAnswer(b"", b"X-More: " + b"e" * 16_384 + b"\r\n"),
    "head in drips": EndlessAnswer(b"", b"X-More: " + b"e" * 1024 + b"\r\n", pause=0.01),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_faulty_instances_take_neither_memory_nor_the_answers_of_other_callers(kind):
    async def scenario(fleet):
        for name in ("tariff-2", "tariff-3", "tariff-4"):
            worker = fleet.nodes[name].worker
            worker.endless_rate, worker.endless_answer = 1.0, ENDLESS[kind]
        address = fleet.nodes["haul-1"].outbound
        paths = ["/prices/1", "/payouts/1"]
        faulty = [
            call(address, "GET", paths[number % 2], f"faulty-{number}") for number in range(CALLERS)
        ]
        answers, sound = await asyncio.gather(
            asyncio.gather(*faulty, return_exceptions=True), call_sound(address)
        )
        return [*answers, *sound]

    async def call_sound(address):
        answers = []
        for number in range(SOUND_CALLS):
            began = time.monotonic()
            answers.append(await call(address, "GET", "/files/1", f"sound-{number}"))
            assert time.monotonic() - began < ROUTE_TIMEOUT
            await asyncio.sleep(SOUND_PAUSE)
        return answers

    instances = [("haul", "a"), ("tariff", "a"), ("tariff", "a"), ("tariff", "b"), ("archive", "a")]
    answers, peaks, fleet = asyncio.run(with_fleet(scenario, ROUTES, {}, instances, MEMORY_MB))
    assert max(peaks.values()) < MEMORY_MB * BYTES_PER_MB, peaks
    faulty, sound = answers[:CALLERS], answers[CALLERS:]
    assert [answer.status for answer in sound] == [200] * SOUND_CALLS
    assert all(answer.body == response_body(answer.request_id) for answer in sound)
    assert all(isinstance(answer, Answer) for answer in faulty)
    assert {answer.status for answer in faulty} <= {502, 503, 504}
    ran = {arrival.request_id for arrival in fleet.record.arrivals if arrival.executed}
    assert not [a for a in faulty if a.status == 503 and a.request_id in ran]

"""The worker stand-in records how each request that it received ended."""

import asyncio
from contextlib import suppress
from random import Random

import pytest

from standins.fleet import HOST, free_port
from standins.worker import (
    DEADLY_BODY,
    RESTART_DELAY,
    Endpoint,
    FleetRecord,
    PathBehavior,
    WorkerEndpoints,
    WorkerStandIn,
    response_body,
    send_request,
)

BODY_BYTES = 1000
BEHAVIORS = {"/exports/1": PathBehavior(body_bytes=BODY_BYTES), "/reports/1": PathBehavior()}
SERVICE_TIME = 0.2  # seconds
HEADERS = {"Host": "x", "X-Request-Id": "r", "X-Target-Instance": "w1"}


def run_with_worker(scenario):
    """Run `scenario(worker, endpoint)` with a started worker; returns its record."""

    async def work():
        listen = Endpoint(HOST, free_port())
        no_node = Endpoint(HOST, 1)
        endpoints = WorkerEndpoints(listen, listen, no_node, no_node)
        record = FleetRecord()
        worker = WorkerStandIn("w1", "stock", endpoints, record, Random(1), BEHAVIORS)
        worker.service_time = SERVICE_TIME
        await worker.start()
        try:
            await scenario(worker, listen)
            await asyncio.sleep(2 * SERVICE_TIME)
        finally:
            await worker.crash()
        return record

    return asyncio.run(work())


async def send_ignoring_loss(endpoint):
    with suppress(OSError, asyncio.IncompleteReadError):
        await send_request(endpoint, "GET", "/reports/1", HEADERS)


def test_a_worker_dies_of_a_deadly_body_and_starts_again():
    async def scenario(worker, endpoint):
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            await send_request(endpoint, "POST", "/reports/1", HEADERS, DEADLY_BODY + b"1")
        assert not worker.listening
        await asyncio.sleep(RESTART_DELAY + 0.1)
        await send_request(endpoint, "GET", "/reports/1", HEADERS)
        assert worker.boot == 2

    record = run_with_worker(scenario)
    assert [death.body for death in record.deaths] == [DEADLY_BODY + b"1"]
    assert len(record.arrivals) == 1


def test_a_response_has_the_size_for_its_path():
    async def scenario(worker, endpoint):
        response = await send_request(endpoint, "GET", "/exports/1", HEADERS)
        assert response.body == response_body("r", BODY_BYTES)
        assert len(response.body) == BODY_BYTES

    record = run_with_worker(scenario)
    assert not record.run_ends[0].broke_off
    assert record.run_ends[0].ended_at >= record.arrivals[0].received_at + SERVICE_TIME / 2


@pytest.mark.parametrize("restart", [False, True])
def test_a_crash_breaks_off_the_running_request(restart):
    async def scenario(worker, endpoint):
        sending = asyncio.create_task(send_ignoring_loss(endpoint))
        await asyncio.sleep(SERVICE_TIME / 4)
        await worker.crash()
        if restart:
            await worker.start()
        await sending

    assert run_with_worker(scenario).run_ends[0].broke_off


def test_a_dropped_response_breaks_off_the_request():
    async def scenario(worker, endpoint):
        worker.response_loss_rate = 1.0
        await send_ignoring_loss(endpoint)

    assert run_with_worker(scenario).run_ends[0].broke_off


def test_a_connection_that_its_sender_closes_is_not_broken_off_by_the_worker():
    async def scenario(worker, endpoint):
        sending = asyncio.create_task(send_ignoring_loss(endpoint))
        await asyncio.sleep(SERVICE_TIME / 4)
        sending.cancel()

    assert not run_with_worker(scenario).run_ends[0].broke_off


def test_a_rejected_request_ends_at_once():
    async def scenario(worker, endpoint):
        headers = {**HEADERS, "X-Target-Instance": "w2"}
        assert (await send_request(endpoint, "GET", "/reports/1", headers)).status == 421

    record = run_with_worker(scenario)
    assert record.run_ends[0] == (record.arrivals[0].received_at, False)

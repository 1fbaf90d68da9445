"""A node that was paused does not act on what it believed before the pause."""

import asyncio

from tests.builders import ManualClock
from tests.mesh_builders import HOST, make_call
from tests.virtual_mesh import run_virtual_scenario
from thorntray.internal.connection.frame import (
    LENGTH_BYTES,
    Hello,
    ResultFrame,
    decode_frame,
    encode_frame,
)
from thorntray.internal.connection.link_connection import PLAIN_STREAM
from thorntray.internal.process.pauses import BACKLOG_TIME, MIN_PAUSE, Pauses
from thorntray.internal.request.result import Cause, ResultKind

PAUSE = 1.3  # seconds


def make_pauses():
    clock = ManualClock()
    return clock, Pauses(clock)


def test_a_gap_between_observations_is_a_pause_until_the_backlog_is_read():
    clock, pauses = make_pauses()
    clock.now += MIN_PAUSE / 2
    assert not pauses.has_backlog(clock.now)
    clock.now += MIN_PAUSE + 0.1
    assert pauses.has_backlog(clock.now)
    clock.now += BACKLOG_TIME + 0.01
    assert not pauses.has_backlog(clock.now)


def test_a_suspended_machine_is_noticed_by_the_time_of_day():
    clock, pauses = make_pauses()
    now = clock.time()
    clock.time = lambda: now + 5.0
    assert pauses.has_backlog(clock.now)


def test_a_time_of_day_that_is_set_back_is_no_pause():
    clock, pauses = make_pauses()
    now = clock.time()
    clock.time = lambda: now - 5.0
    assert not pauses.has_backlog(clock.now)


def test_a_call_that_came_during_a_pause_is_refused_and_not_run():
    async def scenario(fleet):
        node = await fleet.add("t1", "tariff")
        await asyncio.sleep(0.3)
        reader, link = await asyncio.open_connection(HOST, node.cfg.link_port)
        call = make_call(number=7, budget=0.8)
        link.write(PLAIN_STREAM + encode_frame(Hello("peer", b"session1")) + encode_frame(call))
        asyncio.get_running_loop().stand_still(PAUSE)
        await asyncio.sleep(0.3)
        early = fleet.instances["t1"].run_ids[:]
        lines = b"Thorntray-Request-Id: later\r\n"
        later = make_call(number=8, request_id=b"later", header_lines=lines)
        link.write(encode_frame(later))
        await asyncio.sleep(0.3)
        data = await reader.read(1 << 16)
        link.close()
        return early, data, fleet.instances["t1"].run_ids

    early, data, run_ids = run_virtual_scenario(scenario)
    result = decode_frame(data[LENGTH_BYTES : LENGTH_BYTES + int.from_bytes(data[:4], "big")])
    assert early == []
    assert isinstance(result, ResultFrame) and result.number == 7
    assert (result.end, result.reason) == (ResultKind.NOT_RUN, Cause.FULL)
    assert run_ids == [b"later"]

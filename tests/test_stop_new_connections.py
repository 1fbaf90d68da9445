"""The end of a stop while callers open new connections: each one is answered or refused.

Guards against connections that the node or the kernel had accepted and that ended without a byte,
so that their callers could not know whether the request had run.
"""

import asyncio
import re
import time

import pytest

from tests.process_builders import REQUEST, PlatformProcess
from tests.stop_callers import NewConnections

pytestmark = pytest.mark.process

STOPS = 3
SHORT_LIMIT = 1  # seconds; GraceS in the settings of a node
EXIT_MARGIN = 0.8  # seconds for the end of a process on a machine under load
CALLERS = {  # arguments of `NewConnections`
    "at once": {"width": 8},
    "after a while": {"width": 40, "delay": 0.1},
    "in two parts": {"width": 40, "pause": 0.1},
}


async def stop_under_new_connections(node, arguments):
    """Stop a node while a caller connects; return the outcomes."""
    await asyncio.to_thread(lambda: node.connect().close())
    await asyncio.to_thread(node.wait_for_log, "STARTED")
    callers = NewConnections(node.outbound, **arguments)
    running = asyncio.create_task(callers.run())
    await asyncio.sleep(0.1)
    node.process.terminate()
    return await running


@pytest.mark.parametrize("arrival", CALLERS)
def test_no_accepted_connection_ends_without_an_answer_when_a_node_stops(tmp_path, arrival):
    for number in range(STOPS):
        folder = tmp_path / str(number)
        folder.mkdir()
        with PlatformProcess(folder) as node:
            outcomes = asyncio.run(stop_under_new_connections(node, CALLERS[arrival]))
            assert node.wait_ended() == 0, node.log
        assert outcomes.unanswered == [], f"{len(outcomes.answers)} answers\n{node.log[-2000:]}"
        assert outcomes.answers
        assert {answer[:12] for answer in outcomes.answers} == {b"HTTP/1.1 503"}
        assert all(b"Retry-After: " in answer for answer in outcomes.answers)


def test_a_request_that_never_becomes_complete_does_not_prolong_a_stop_beyond_its_limit(tmp_path):
    # Failure: the process is killed at the limit, with what it owes to others.
    node = PlatformProcess(tmp_path)
    text = re.sub(r"GraceS = \d+", f"GraceS = {SHORT_LIMIT}", node.text)
    node.settings.write_text(text, "utf-8")
    with node, node.connect() as caller:
        node.wait_for_log("STARTED")
        caller.sendall(REQUEST[: len(REQUEST) // 2])
        began = time.monotonic()
        node.process.terminate()
        answer = caller.recv(1 << 16)
        assert node.wait_ended() == 0
        seconds = time.monotonic() - began
    assert answer.startswith(b"HTTP/1.1 503")
    assert seconds < SHORT_LIMIT + EXIT_MARGIN, node.log

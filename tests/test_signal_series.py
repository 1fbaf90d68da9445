"""Signals in any order, at any moment from the start of a node process to its exit.

Guards against a signal that ends a process which has accepted connections, and against a stop that
is lost.
"""

import asyncio

import pytest

from tests.signal_series import run_series

pytestmark = pytest.mark.process
PROCESSES = 6  # at a time


@pytest.mark.parametrize("first_seed", [0, PROCESSES])
def test_a_process_that_has_accepted_connections_answers_them_whatever_signals_come(
    tmp_path, first_seed
):
    async def run():
        seeds = range(first_seed, first_seed + PROCESSES)
        series = (run_series(tmp_path / str(n), seed, n) for n, seed in enumerate(seeds, 1))
        return await asyncio.gather(*series)

    for seed, outcome in enumerate(asyncio.run(run()), first_seed):
        context = f"seed {seed}, exit code {outcome.exit_code}\n{outcome.log[-3000:]}"
        assert outcome.exit_code is not None, context
        assert outcome.unanswered == [], context
        assert outcome.exit_code == 0 or not outcome.accepted, context

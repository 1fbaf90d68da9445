"""A seeded run in virtual time is the same in every process.

Guards against an order that is taken from a set of strings. It differs between processes, so tests
with a fixed seed passed in one run and failed in the next.
"""

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HASH_SEEDS = ("1", "2", "3")


def digest_with(hash_seed: str) -> str:
    """Return what the program prints in a process of its own."""
    env = os.environ | {"PYTHONHASHSEED": hash_seed}
    program = [sys.executable, "-m", "tests.datagram_digest"]
    return subprocess.run(
        program, cwd=ROOT, env=env, check=True, capture_output=True, text=True
    ).stdout


def test_a_fleet_that_loses_datagrams_sends_the_same_ones_in_each_process():
    digests = {digest_with(hash_seed) for hash_seed in HASH_SEEDS}
    assert len(digests) == 1

"""Processes that run at the same time use different ports and addresses of this machine."""

import subprocess
import sys
from random import Random

import pytest

from standins.claims import claim
from standins.fleet import BLOCK_SIZE, BLOCKS, FIRST_PORT, HOST, ROOT, free_port
from standins.mesh_fleet import MeshFleet
from tests.start_builders import make_node

RUNS = 4
START_ALIKE = "import os; os.getpid = lambda: 1234"  # the process id decides on the first choice
PORTS = f"""
{START_ALIKE}
from standins.fleet import free_port
print(*(free_port() for _ in range(20)), flush=True)
input()
"""
NETWORK = f"""
{START_ALIKE}
from random import Random
from standins.mesh_fleet import MeshFleet
print(MeshFleet([], {{}}, Random(0))._network, flush=True)
input()
"""


@pytest.fixture
def start():
    """Start processes that print what they use, and keep it until they are killed."""
    processes = []

    def start_process(source):
        command = [sys.executable, "-c", source]
        pipe = subprocess.PIPE
        process = subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True, cwd=ROOT)
        processes.append(process)
        return process

    yield start_process
    for process in processes:
        process.kill()
        process.communicate()


def read_used(process):
    return process.stdout.readline().split()


@pytest.mark.parametrize("source", [PORTS, NETWORK], ids=["ports", "network"])
def test_concurrent_processes_share_no_port_and_no_network(start, source):
    """Guards against a node that cannot bind its port, or reaches a node of another run."""
    processes = [start(source) for _ in range(RUNS)]
    used = [item for process in processes for item in read_used(process)]
    assert len(used) >= RUNS and len(set(used)) == len(used)


def test_a_claim_is_refused_while_its_process_runs_and_ends_with_it(start):
    """Guards against ranges that run out on a machine where runs are often interrupted."""
    guards = [(HOST, free_port())]
    holder = start(
        f"from standins.claims import claim; print(claim({guards}), flush=True); input()"
    )
    assert read_used(holder) == ["0"]
    with pytest.raises(RuntimeError):
        claim(guards)
    holder.kill()
    holder.wait()
    assert claim(guards) == 0


def test_ports_are_outside_the_range_from_which_the_system_takes_ports():
    """Guards against an outgoing connection that holds the port of a process that is to start."""
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
        first_ephemeral = int(file.read().split()[0])
    assert FIRST_PORT + BLOCKS * BLOCK_SIZE <= first_ephemeral


def test_a_node_of_a_test_has_no_address_of_a_fleet_of_the_same_run(tmp_path):
    """Guards against a port in TIME_WAIT, which no test can hold to stand for another process."""
    fleet = MeshFleet([], {}, Random(0))
    used = {fleet._address(1, index) for index in range(1, 50)}
    assert make_node(tmp_path).host not in used

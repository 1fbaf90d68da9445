"""The environment of a real node process on the platform: its packages and its descriptors."""

import pytest

from standins.mesh_fleet import PACKAGES, ROOT
from tests.ini_process_builders import IniProcess
from tests.process_builders import REQUEST, PlatformProcess

pytestmark = pytest.mark.process


def test_a_build_that_switches_the_packages_during_the_imports_does_not_mix_them(tmp_path):
    # Failure: a starting process has modules of two releases, or finds half of a package.
    complete, empty, deps = (tmp_path / name for name in ("deps-1", "deps-2", "deps"))
    complete.mkdir()
    empty.mkdir()
    for source, package in zip(PACKAGES, ("thorntray", "thorntray_node"), strict=True):
        (complete / package).symlink_to(ROOT / source / package)
    deps.symlink_to(complete.name)
    with PlatformProcess(tmp_path, gated=True, options=("-S",), packages=deps) as node:
        with node.importing():
            deps.unlink()
            deps.symlink_to(empty.name)
        node.connect().close()
        node.wait_for_log("STARTED")
        node.process.terminate()
        assert node.wait_ended() == 0


STDIN, STDOUT, STDERR = range(3)
CLOSED = [(STDIN,), (STDOUT,), (STDERR,), (STDIN, STDOUT), (STDIN, STDOUT, STDERR)]


@pytest.mark.parametrize("closed", CLOSED)
def test_a_node_serves_and_stops_with_closed_standard_descriptors(tmp_path, closed):
    # Failure: AttributeError at the start, or an abort at the end, as the event loop has number 0
    # or 2 (`uv__close: Assertion fd > STDERR_FILENO`).
    with PlatformProcess(tmp_path, closed=closed) as node, node.connect() as caller:
        caller.sendall(REQUEST)
        assert caller.recv(1 << 16).startswith(b"HTTP/1.1 503")
        if len(closed) < 3:
            node.wait_for_log("STARTED")
        node.process.terminate()
        assert node.wait_ended() == 0, node.log


@pytest.mark.parametrize("closed", CLOSED)
def test_a_node_with_an_ini_file_starts_and_stops_with_closed_descriptors(tmp_path, closed):
    # Failure: as above; the libraries of this node open files when they are imported.
    with IniProcess(tmp_path, closed=closed) as node:
        node.wait_listening()
        node.process.terminate()
        assert node.wait_ended() == 0, node.log

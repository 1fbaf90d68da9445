"""The surroundings of a real node process on the platform: its packages and its descriptors."""

import pytest

from standins.mesh_fleet import PACKAGES, ROOT
from tests.process_builders import PlatformProcess

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

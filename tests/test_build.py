"""The build of `target/deps`: when it installs again, builds at once, and processes that start."""

import json
import os
import shutil
import sys
import time

import pytest

from tests.build_builders import ARM, X86, Checkout

HOUR = 3600.0  # seconds


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


def test_native_libraries_of_another_architecture_are_installed_again(checkout):
    # Failure: a build folder that was carried over is kept, the build succeeds, nothing starts.
    checkout.build(X86)
    checkout.build(ARM)
    assert checkout.installed("PLATFORM") == ARM


def test_libraries_of_another_interpreter_are_installed_again(checkout):
    # Failure: after an upgrade of Python, native libraries are kept that it cannot import.
    checkout.build()
    mark = checkout.deps / ".build.json"
    fields = json.loads(mark.read_text("utf-8"))
    assert sys.version in fields["interpreter"]
    mark.write_text(json.dumps({**fields, "interpreter": "3.10.1"}), "utf-8")
    checkout.build()
    assert checkout.pip_calls == 2


def test_changed_requirements_are_installed_also_if_the_file_looks_old(checkout):
    # Failure: a checkout sets file times that are older than the last build.
    checkout.build()
    checkout.requirements.write_text("native==2.0\n", "utf-8")
    os.utime(checkout.requirements, (0, 0))
    checkout.build()
    assert checkout.pip_calls == 2


def test_two_builds_at_once_both_succeed(checkout):
    # Failure: `cp: cannot create directory .. File exists`, and the deploy ends there.
    checkout.build()
    for release in range(2, 5):
        checkout.set_release(release)
        builds = [checkout.start_build() for _ in range(4)]
        outputs = [build.communicate()[0] for build in builds]
        assert [build.returncode for build in builds] == [0] * 4, outputs
        assert checkout.installed("RELEASE") == str(release)


def test_a_process_that_starts_during_a_build_finds_every_module(checkout):
    # Failure: the build removes the packages before it copies them, and an import fails.
    checkout.build()
    checkout.set_release(2)
    build, missing = checkout.start_build(), 0
    while build.poll() is None:
        missing += not (checkout.deps / "thorntray/__init__.py").exists()
        missing += not (checkout.deps / "thorntray_node/m99.py").exists()
    assert build.wait() == 0, build.stdout.read()
    assert missing == 0
    assert checkout.installed("RELEASE") == "2"


def test_a_build_without_changes_needs_no_network_and_keeps_the_folder(checkout):
    checkout.build()
    folder = checkout.deps.resolve()
    checkout.build(offline=True)
    assert checkout.deps.resolve() == folder


def test_a_change_of_the_packages_alone_needs_no_network(checkout):
    checkout.build()
    checkout.set_release(2)
    checkout.build(offline=True)
    assert checkout.installed("RELEASE") == "2"
    assert checkout.installed("PLATFORM") == ARM


def test_a_failed_build_leaves_the_installed_packages_as_they_are(checkout):
    checkout.build()
    checkout.requirements.write_text("native==2.0\n", "utf-8")
    build = checkout.start_build(offline=True)
    build.communicate()
    assert build.returncode != 0
    assert checkout.installed("RELEASE") == "1"
    assert [path.name for path in checkout.target.glob("deps-*")] == [checkout.deps.resolve().name]
    checkout.build()
    assert checkout.pip_calls == 3


def test_a_folder_that_an_earlier_release_has_built_is_replaced(checkout):
    # Failure: its libraries are taken for those of this interpreter, or the switch fails on it.
    (checkout.deps / "thorntray").mkdir(parents=True)
    (checkout.deps / "thorntray/__init__.py").write_text("RELEASE = 0\n", "utf-8")
    (checkout.target / ".libraries").write_text("", "utf-8")
    checkout.build()
    assert checkout.installed("RELEASE") == "1"
    assert checkout.installed("PLATFORM") == ARM


def test_libraries_that_an_earlier_release_has_changed_are_installed_again(checkout):
    # Failure: after a step back and forth, the mark tells of libraries that were replaced.
    checkout.build()
    (checkout.deps / "native/__init__.py").write_text("PLATFORM = 'other'\n", "utf-8")
    shutil.rmtree(checkout.deps / "native/__pycache__")  # used without a look at the source
    assert checkout.installed("PLATFORM") == "other"
    (checkout.target / ".libraries").write_text("", "utf-8")
    checkout.build()
    assert checkout.installed("PLATFORM") == ARM


def test_a_replaced_folder_stays_for_processes_that_are_starting_from_it(checkout):
    checkout.build()
    first = checkout.deps.resolve()
    os.utime(first, (time.time() - 2 * HOUR,) * 2)  # built long before it is replaced
    checkout.set_release(2)
    checkout.build()
    assert (first / "thorntray/__init__.py").exists()
    os.utime(first, (time.time() - 2 * HOUR,) * 2)
    checkout.set_release(3)
    checkout.build()
    assert not first.exists()
    assert checkout.installed("RELEASE") == "3"

"""A run of the tests names each failed test at once, and survives a failure to format a report."""

import subprocess
import sys
from types import SimpleNamespace

import pytest

from tests import conftest

CONFTEST = "from tests.conftest import pytest_configure, pytest_runtest_makereport\n"
# The second formatting of a failure works, as in CPython once the collector has run.
BROKEN_ONCE = """
import _pytest.nodes

original = _pytest.nodes.Node._repr_failure_py
tries = []

def format_failure(self, *args, **kwargs):
    tries.append(self)
    if len(tries) == 1:
        raise SystemError("AST constructor recursion depth mismatch (before=147, after=164)")
    return original(self, *args, **kwargs)

_pytest.nodes.Node._repr_failure_py = format_failure
"""
TESTS = """
import pytest

def test_passes():
    pass

def test_fails():
    assert 1 == 2

@pytest.mark.xfail(strict=True)
def test_is_known_to_fail():
    assert 1 == 2
"""


def run_tests(folder, setup, *options):
    """Return the output of a run of three tests, one of which fails."""
    (folder / "conftest.py").write_text(CONFTEST + setup, "utf-8")
    (folder / "test_three.py").write_text(TESTS, "utf-8")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *options]
    command += [f"--rootdir={folder}", "--config-file=/dev/null", str(folder)]
    process = subprocess.run(command, capture_output=True, text=True, cwd=conftest.ROOT)
    return process.stdout + process.stderr


@pytest.mark.parametrize("options", [(), ("--numprocesses=1",)])
def test_a_failure_that_cannot_be_formatted_at_first_is_reported(tmp_path, options):
    """Guards against a worker that ends with the report of a failure, as CPython 3.11 may do."""
    output = run_tests(tmp_path, BROKEN_ONCE, *options)
    assert "assert 1 == 2" in output
    assert "1 failed, 1 passed, 1 xfailed" in output
    assert "INTERNALERROR" not in output


def test_a_failed_test_is_named_before_the_summary(tmp_path):
    """Guards against a failure that is lost when a later internal error ends the run."""
    output = run_tests(tmp_path, "", "--numprocesses=1")
    name, _, summary = output.partition("= FAILURES =")
    assert "FAILED test_three.py::test_fails (call)" in name and summary
    assert "test_is_known_to_fail" not in name and "test_passes" not in name


def test_a_failed_test_is_named_by_its_phase():
    lines = []
    printer = conftest.FailurePrinter(lines.append)
    for failed, when in [(False, "setup"), (True, "setup"), (False, "call"), (True, "teardown")]:
        report = SimpleNamespace(failed=failed, when=when, nodeid="tests/test_a.py::test_b")
        printer.pytest_runtest_logreport(report)
    assert lines == [f"FAILED tests/test_a.py::test_b ({when})" for when in ("setup", "teardown")]

"""KNOWN-RED.txt names only tests that exist, and hinders nobody who runs one file."""

import pytest

from tests import conftest

ENTRY = "tests/test_known_red.py::test_that_fails"
OTHERS = {f"tests/test_other.py::test_{number}" for number in range(100)}


@pytest.fixture
def entries(monkeypatch):
    known = {}
    monkeypatch.setattr(conftest, "known_red", lambda: known)
    return known


def test_an_entry_whose_file_is_not_collected_does_not_fail_the_run(entries):
    """Guards against a usage error for everyone who runs a single large file."""
    entries[ENTRY] = "a fault"
    conftest.check_known_red(OTHERS)


def test_an_entry_that_matches_no_test_of_its_file_fails_the_run(entries):
    entries[ENTRY] = "a fault"
    collected = OTHERS | {"tests/test_known_red.py::test_of_another_name"}
    with pytest.raises(pytest.UsageError, match="test_that_fails"):
        conftest.check_known_red(collected)
    conftest.check_known_red(collected | {ENTRY})


def test_an_entry_of_a_file_that_is_gone_fails_the_run(entries):
    entries["tests/test_gone.py::test_that_fails"] = "a fault"
    with pytest.raises(pytest.UsageError, match="test_gone"):
        conftest.check_known_red(OTHERS)

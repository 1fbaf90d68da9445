"""Tests of the release that the deploy file names."""

import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]


def git(*args):
    return subprocess.run(["git", *args], cwd=ROOT, capture_output=True, text=True)


def test_the_production_release_is_a_commit_of_this_history():
    # Failure: an upgrade cannot be tried, since the release before it cannot be built.
    if git("rev-parse", "--is-shallow-repository").stdout.strip() != "false":
        pytest.skip("this clone has no whole history; fetch it to check the production release")
    commit = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))["production"]
    assert len(commit) == 40
    assert git("merge-base", "--is-ancestor", commit, "HEAD").returncode == 0
    assert git("cat-file", "-e", f"{commit}:platform/build.sh").returncode == 0

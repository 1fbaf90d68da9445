"""Test fixture: a small checkout with the real build script and a stand-in for pip.

The stand-in installs one library, which names the platform that it was built for, and writes its
calls down; it fails while `offline` is set.
"""

import os
import shutil
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
ARM, X86 = "linux-aarch64", "linux-x86_64"
BUILD_FILES = ("platform/build.sh", "deploy/build_deps.py")
PACKAGES = {"thorntray": "packages/thorntray/src", "thorntray_node": "packages/thorntray-node/src"}
MODULES_PER_PACKAGE = 100

FAKE_PYTHON = f"""#!/bin/sh
if [ "$2" != pip ]; then exec {sys.executable} "$@"; fi
echo "$@" >> "$PIP_CALLS"
[ -z "$PIP_FAILS" ] || exit 1
while [ "$1" != --target ]; do shift; done
mkdir -p "$2/native"
echo "PLATFORM = '$_PYTHON_HOST_PLATFORM'" > "$2/native/__init__.py"
"""


class Checkout:
    """A checkout in which `build` runs the build script as the deploy file does."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder / "checkout"
        self.target = self.folder / "target"
        self.deps = self.target / "deps"
        self.requirements = self.folder / "platform/requirements.txt"
        self._bin = folder / "bin"
        self._calls = folder / "pip-calls"
        for name in BUILD_FILES:
            if (ROOT / name).exists():
                (self.folder / name).parent.mkdir(parents=True, exist_ok=True)
                shutil.copy(ROOT / name, self.folder / name)
        self.requirements.write_text("native==1.0\n", "utf-8")
        for name, source in PACKAGES.items():
            package = self.folder / source / name
            package.mkdir(parents=True)
            for i in range(MODULES_PER_PACKAGE):
                (package / f"m{i}.py").write_text("", "utf-8")
            (package / "__init__.py").write_text("RELEASE = 1\n", "utf-8")
        self._bin.mkdir()
        (self._bin / "python3").write_text(FAKE_PYTHON, "utf-8")
        (self._bin / "python3").chmod(0o755)

    @property
    def pip_calls(self) -> int:
        """Return how often libraries were installed."""
        return len(self._calls.read_text("utf-8").splitlines()) if self._calls.exists() else 0

    def set_release(self, number: int) -> None:
        """Change the sources of this repository's packages."""
        source = self.folder / PACKAGES["thorntray"] / "thorntray/__init__.py"
        source.write_text(f"RELEASE = {number}\n", "utf-8")

    def start_build(self, platform: str = ARM, offline: bool = False) -> "subprocess.Popen[str]":
        """Start a build on a platform."""
        env = {
            "PATH": f"{self._bin}{os.pathsep}{os.environ['PATH']}",
            "PIP_CALLS": str(self._calls),
            "PIP_FAILS": "yes" if offline else "",
            "_PYTHON_HOST_PLATFORM": platform,  # what `sysconfig` takes for the platform
        }
        return subprocess.Popen(
            ["bash", "platform/build.sh"],
            cwd=self.folder,
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    def build(self, platform: str = ARM, offline: bool = False) -> None:
        """Run a build; raises `AssertionError` if it fails."""
        build = self.start_build(platform, offline)
        output, _ = build.communicate()
        assert build.returncode == 0, output

    def installed(self, attribute: str) -> str:
        """Return an attribute of the installed packages, as a new process sees it."""
        module = {"PLATFORM": "native", "RELEASE": "thorntray"}[attribute]
        code = f"import {module}; print({module}.{attribute})"
        env = {"PYTHONPATH": "target/deps"}
        return subprocess.run(
            [sys.executable, "-S", "-c", code],
            cwd=self.folder,
            env=env,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()

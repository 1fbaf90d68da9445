"""Installs what the programs of the deploy file need: `python3 deploy/build_deps.py`.

`target/deps` is a link to a folder with the pinned libraries and the packages of this repository.
A build fills a new folder beside it and then switches the link, so that a process that starts
meanwhile finds either all of the old folder or all of the new one. A mark in the folder names the
interpreter, the platform, the requirements and the packages that it was built from; nothing is
built if they are the same, and only other libraries need the network.
"""

import ctypes
import fcntl
import hashlib
import json
import os
import shutil
import subprocess
import sys
import sysconfig
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import NamedTuple, Self

TARGET = Path("target")
LINK = TARGET / "deps"
FOLDER_PREFIX = "deps-"
MARK_NAME = ".build.json"
# Builds of earlier releases change the folder in place, and leave this file.
IN_PLACE_MARK = TARGET / ".libraries"
REQUIREMENTS = Path("platform/requirements.txt")
PACKAGES = (
    Path("packages/thorntray/src/thorntray"),
    Path("packages/thorntray-node/src/thorntray_node"),
)
RETENTION = 3600.0  # seconds that a replaced folder is kept for processes that use it
AT_FDCWD, RENAME_EXCHANGE = -100, 2  # of Linux, see renameat2(2)


class Mark(NamedTuple):
    """What a folder was built from; all but `packages` concern the libraries."""

    interpreter: str
    platform: str
    requirements: str
    packages: str

    @classmethod
    def of_checkout(cls) -> Self:
        """Return the mark of a folder that would be built now."""
        return cls(
            interpreter=f"{sys.version} {sysconfig.get_config_var('SOABI')}",
            platform=sysconfig.get_platform(),
            requirements=_hash([REQUIREMENTS]),
            packages=_hash(sorted(path for root in PACKAGES for path in _sources(root))),
        )

    @classmethod
    def read(cls, folder: Path) -> Self | None:
        """Return the mark of a folder, None if it has no valid one."""
        try:
            return cls(**json.loads((folder / MARK_NAME).read_text("utf-8")))
        except (OSError, TypeError, ValueError):
            return None

    def write(self, folder: Path) -> None:
        """Mark a folder as complete."""
        (folder / MARK_NAME).write_text(json.dumps(self._asdict()), "utf-8")

    def has_libraries_of(self, other: "Mark") -> bool:
        """Return whether the libraries of the two are the same."""
        return self[:-1] == other[:-1]


def build() -> None:
    """Make `target/deps` what the checkout and the interpreter need."""
    wanted = Mark.of_checkout()
    installed = None if IN_PLACE_MARK.exists() else Mark.read(LINK)
    if installed == wanted:
        return
    folder = TARGET / f"{FOLDER_PREFIX}{time.time_ns()}-{os.getpid()}"
    keeps_libraries = installed is not None and installed.has_libraries_of(wanted)
    try:
        _fill(folder, keeps_libraries)
    except BaseException:
        shutil.rmtree(folder, ignore_errors=True)
        raise
    wanted.write(folder)
    _switch_to(folder)
    IN_PLACE_MARK.unlink(missing_ok=True)
    _remove_unused()


def _fill(folder: Path, keeps_libraries: bool) -> None:
    """Make a new folder with the libraries, installed anew or those in use, and the packages."""
    if keeps_libraries:
        shutil.copytree(LINK, folder, copy_function=_link_or_copy)
        (folder / MARK_NAME).unlink()
    else:
        _python("pip", "install", "-qq", "-U", "--target", str(folder), "-r", str(REQUIREMENTS))
        _compile(folder)
    for package in PACKAGES:
        shutil.rmtree(folder / package.name, ignore_errors=True)
        shutil.copytree(
            package, folder / package.name, ignore=shutil.ignore_patterns("__pycache__")
        )
        _compile(folder / package.name)


def _switch_to(folder: Path) -> None:
    """Make `LINK` a link to a folder of `TARGET` in one step; the old folder stays."""
    if LINK.exists():
        os.utime(LINK)  # the retention of the old folder begins
    link = folder.with_suffix(".link")
    link.symlink_to(folder.name)
    if LINK.is_symlink() or not LINK.exists():
        link.replace(LINK)
    else:  # a folder that a build of an earlier release has made
        _exchange(link, LINK)


def _exchange(one: Path, other: Path) -> None:
    """Exchange two files; in one step if the system can do that."""
    renameat2 = getattr(ctypes.CDLL(None), "renameat2", None)
    paths = os.fsencode(one), os.fsencode(other)
    if renameat2 is None or renameat2(AT_FDCWD, paths[0], AT_FDCWD, paths[1], RENAME_EXCHANGE):
        aside = one.with_suffix(".old")
        other.rename(aside)
        one.rename(other)


def _remove_unused() -> None:
    """Remove the folders that were replaced, or not completed, before the retention."""
    current = LINK.resolve()
    for folder in TARGET.glob(f"{FOLDER_PREFIX}*"):
        if folder.is_symlink():  # of a build that was interrupted
            folder.unlink()
        elif folder.resolve() != current and time.time() - folder.stat().st_mtime > RETENTION:
            shutil.rmtree(folder, ignore_errors=True)


def _compile(folder: Path) -> None:
    # Nodes start often: they use the compiled code as it is, without a look at its source.
    _python("compileall", "-q", "--invalidation-mode", "unchecked-hash", str(folder))


def _python(module: str, *args: str) -> None:
    """Run a module with the `python3` of PATH, which also runs the programs."""
    subprocess.run(["python3", "-m", module, *args], check=True)


def _link_or_copy(source: str, target: str) -> None:
    """Link a file, as compilers and pip replace files and never write into them."""
    try:
        os.link(source, target)
    except OSError:  # a file system without links
        shutil.copy2(source, target)


def _sources(root: Path) -> Iterator[Path]:
    return (p for p in root.rglob("*") if p.is_file() and "__pycache__" not in p.parts)


def _hash(paths: list[Path]) -> str:
    """Return a hash of the names and contents of files."""
    digest = hashlib.sha256()
    for path in paths:
        data = path.read_bytes()
        digest.update(f"{path}\0{len(data)}\0".encode() + data)
    return digest.hexdigest()


@contextmanager
def _lock() -> Iterator[None]:
    """Let one build run at a time; the next one then finds what it needs."""
    with (TARGET / ".lock").open("w") as file:
        with suppress(OSError):  # without locks, builds at once do the same work twice
            fcntl.flock(file, fcntl.LOCK_EX)
        yield


def main() -> int:
    """Build `target/deps`; return the exit code."""
    TARGET.mkdir(exist_ok=True)
    try:
        with _lock():
            build()
    except subprocess.CalledProcessError as exc:
        print(f"target/deps stays as it is: {exc}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

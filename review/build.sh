#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library only and are Python files that
# run as they are, so this compiles them to find a wrong version of Python before a case does.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in [*pathlib.Path("support").glob("*.py"), *pathlib.Path(".").glob("[0-9]/case.py")]:
    compile(path.read_text("utf-8"), str(path), "exec")
CHECK

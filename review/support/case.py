"""Runs a case and returns its exit code."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from support.fleet import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_RUN = 105.0  # seconds


def run_case(folder: Path, run: Callable[[Record], Awaitable[int]]) -> int:
    """Run a case that writes `record.txt` in its folder; it has to end its processes itself."""
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def limited() -> int:
        async with asyncio.timeout(LONGEST_RUN):
            return await run(record)

    try:
        return asyncio.run(limited())
    except Exception as exc:
        record.say(f"could not run: {exc!r}")
        return NOT_RUN
    finally:
        record.write()

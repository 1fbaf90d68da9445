"""The clock, passed in as an interface so that tests run in virtual time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Tells time in seconds, as the standard library's `time` module does."""

    def monotonic(self) -> float:
        """Return seconds that never go backwards."""
        ...

    def time(self) -> float:
        """Return seconds since 1970-01-01 UTC."""
        ...


class SystemClock:
    """The machine's own clock."""

    def monotonic(self) -> float:
        """Return `time.monotonic()`."""
        return time.monotonic()

    def time(self) -> float:
        """Return `time.time()`."""
        return time.time()

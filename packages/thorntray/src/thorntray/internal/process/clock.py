"""The clock interface, which lets tests run in virtual time."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of time in seconds, like the `time` module of the standard library."""

    def monotonic(self) -> float:
        """Return a time in seconds that never goes backwards."""
        ...

    def time(self) -> float:
        """Return the seconds since 1970-01-01 UTC."""
        ...

    def boottime(self) -> float:
        """Return a time like `monotonic` that also counts while the machine is suspended."""
        ...


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return `time.monotonic()`."""
        return time.monotonic()

    def time(self) -> float:
        """Return `time.time()`."""
        return time.time()

    def boottime(self) -> float:
        """Return the time of `CLOCK_BOOTTIME`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

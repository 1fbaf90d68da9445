"""Waits for a settings file that is being written when a process starts.

A file that is written in place is empty, cut off or gone for a moment, and may be valid as far as
it goes. A process that ended at once would be started again and end again.
"""

import time
from collections.abc import Callable
from typing import TypeVar

from thorntray.errors import InvalidSettings
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event

SETTINGS_WAIT = 1.0  # seconds in which invalid settings are read again
POLL_PERIOD = 0.05  # seconds

_T = TypeVar("_T")


def wait_for_settings(
    read: Callable[[], _T],
    clock: Clock,
    on_wait: Callable[[InvalidSettings], None],
    sleep: Callable[[float], None] = time.sleep,
) -> _T:
    """Return what `read` returns; raises its `InvalidSettings` if it stays for `SETTINGS_WAIT`.

    `on_wait` is called once, before the wait. Signals act as outside of it.
    """
    try:
        return read()
    except InvalidSettings as exc:
        on_wait(exc)
    deadline = clock.monotonic() + SETTINGS_WAIT
    while True:
        sleep(POLL_PERIOD)
        try:
            return read()
        except InvalidSettings:
            if clock.monotonic() >= deadline:
                raise


def log_wait(fault: InvalidSettings) -> None:
    """Log that the settings are waited for, and why."""
    log_event(Event.SETTINGS_AWAITED, seconds=SETTINGS_WAIT, detail=str(fault))

"""Signals of a node process: received whatever its parent has set, and handled until its exit.

The event loop's own handlers end with the loop. A signal that comes between that and the end of the
process would then end it with another exit code.
"""

import asyncio
import signal
from collections.abc import Callable, Iterable

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def reset_stop_signals() -> None:
    """Undo that the parent has blocked or ignored stop signals; their default ends the process."""
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.default_int_handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)


def handle_signals(signums: Iterable[signal.Signals], callback: Callable[[], None]) -> None:
    """Have the running event loop call `callback` for each of these signals, while it runs."""
    loop = asyncio.get_running_loop()

    def call_soon(*_: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(callback)

    for signum in signums:
        signal.signal(signum, call_soon)


def handle_stop_and_reload(reload: Callable[[], None]) -> asyncio.Event:
    """Handle stop signals and SIGHUP; return an event that is set when the node shall stop."""
    stop = asyncio.Event()
    handle_signals(STOP_SIGNALS, stop.set)
    handle_signals((signal.SIGHUP,), reload)
    return stop


def ignore_signals(signums: Iterable[signal.Signals]) -> None:
    """Ignore these signals until the process ends."""
    for signum in signums:
        signal.signal(signum, signal.SIG_IGN)

"""Command line of the node: `thorntray-node --config node.ini`.

Exit codes: 0 after a graceful stop or a successful `--check`, 1 for invalid flags or a failure, 2
for invalid settings, 3 when a port cannot be opened, also not within the time for which a taken one
is waited for.
"""

import signal
import sys
from collections.abc import Callable

from thorntray_node.standard_descriptors import open_standard_descriptors


def run() -> None:
    """Entry point of the `thorntray-node` command."""
    # The default action of these signals ends the process. The settings are not read again at
    # SIGHUP; the state dump at SIGUSR1 needs a node that has started.
    for signum in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(signum, signal.SIG_IGN)
    open_standard_descriptors()
    from thorntray_node.process_end import process_end
    from thorntray_node.process_signals import reset_stop_signals

    reset_stop_signals()
    sys.exit(process_end.run(_load_command, (sys.stderr, sys.stdout)))


def _load_command() -> Callable[[], int]:
    from thorntray_node.node_command import run_command  # its libraries open files

    return run_command

"""Standard input, output and error of a process whose parent has closed some of them.

The next file or socket that the process opens would get the number of a closed one. The event loop
aborts the process when it closes one of these numbers, and log lines would go into a socket.
Imports only built-in modules, as it comes before all others.
"""

import posix
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_descriptors() -> None:
    """Open the closed ones of the standard descriptors to the null device.

    If one of standard output and standard error was closed, `sys` uses the other one for both.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            posix.fstat(descriptor)
        except OSError:
            posix.open("/dev/null", posix.O_RDWR)  # gets the lowest free number, this one
    if sys.stdout is None and sys.stderr is None:
        sys.stdout = open(1, "w", closefd=False)
    sys.stdout = sys.stdout or sys.stderr
    sys.stderr = sys.stderr or sys.stdout

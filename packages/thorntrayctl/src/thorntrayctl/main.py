"""`thorntrayctl`: the command line tool for operators.

Exit codes: 0 success, 1 negative result (for example path not found or node not ready), 2 invalid
settings or arguments, 3 conflict with another change, 4 service or node unreachable and nothing
changed, 5 unknown whether a write was accepted.
"""

import argparse
import asyncio
import sys
from collections.abc import Awaitable, Callable

from absl import app
from absl.flags import argparse_flags

from thorntray import (
    BadDocument,
    InvalidSettings,
    PlatformUnavailable,
    WriteConflict,
    WriteUndetermined,
)
from thorntrayctl import log_commands, node_commands, settings_commands

EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_UNDETERMINED = 5

Command = Callable[[argparse.Namespace], Awaitable[int]]


def run() -> None:
    """Run the `thorntrayctl` command; entry point of the package."""
    app.run(_main, flags_parser=_parse)


def _parse(argv: list[str]) -> argparse.Namespace:
    parser = argparse_flags.ArgumentParser(prog="thorntrayctl", description="Operate thorntray.")
    commands = parser.add_subparsers(dest="command", required=True)
    settings_commands.add_commands(commands)
    node_commands.add_commands(commands)
    log_commands.add_commands(commands)
    return parser.parse_args(argv[1:])


def _main(args: argparse.Namespace) -> int:
    command: Command = args.run
    try:
        return asyncio.run(command(args))
    except InvalidSettings as exc:
        return _fail(exc, EXIT_BAD_INPUT)
    except BadDocument as exc:
        return _fail(exc, EXIT_BAD_INPUT)
    except WriteConflict as exc:
        return _fail(exc, EXIT_CONFLICT)
    except PlatformUnavailable as exc:
        return _fail(exc, EXIT_UNREACHABLE)
    except WriteUndetermined as exc:
        return _fail(exc, EXIT_UNDETERMINED)


def _fail(exc: Exception, code: int) -> int:
    print(f"thorntrayctl: {exc}", file=sys.stderr)
    return code

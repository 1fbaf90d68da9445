"""Commands that read node logs: explain."""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from thorntray import InvalidSettings
from thorntray.errors import Fault
from thorntrayctl.request_trace import RequestTrace, trace_request

EXIT_NEGATIVE = 1


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Register the commands with the parser."""
    command = commands.add_parser(
        "explain",
        help="Print the log lines of a request and the cause of its failure, from node logs.",
    )
    command.add_argument("request_id", help="Id of the request.")
    command.add_argument(
        "files", nargs="*", help="Log files of nodes; standard input if none is given."
    )
    command.add_argument("--json", action="store_true", help="Print JSON.")
    command.set_defaults(run=_explain)


async def _explain(args: argparse.Namespace) -> int:
    trace = trace_request(_read_lines(args.files), args.request_id)
    if args.json:
        print(json.dumps(_as_json(trace), indent=2))
    else:
        _print_trace(trace, args.request_id)
    return 0 if trace.lines else EXIT_NEGATIVE


def _read_lines(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            fault = Fault("-", "files", name, f"cannot be read ({exc.strerror}); name log files")
            raise InvalidSettings(name, [fault]) from exc


def _print_trace(trace: RequestTrace, request_id: str) -> None:
    if not trace.lines:
        print(
            f"no log line for {request_id}. Ordinary requests are sampled, and under load failed "
            "ones too: see left_out of REQUEST_ENDED, and the metrics thorntray_requests."
        )
        return
    for line in trace.lines:
        print(line.text())
    if trace.context:
        print("at that time:")
    for line in trace.context:
        print(f"  {line.text()}")
    for cause in trace.causes or ["request: it was served"]:
        print(f"cause: {cause}")
    if trace.holder is not None:
        print(f"held last by: {trace.holder.text()}")


def _as_json(trace: RequestTrace) -> dict[str, object]:
    return {
        "lines": [line.fields for line in trace.lines],
        "context": [line.fields for line in trace.context],
        "causes": trace.causes,
        "holder": trace.holder._asdict() if trace.holder is not None else None,
    }

"""Commands about the logs of nodes: explain."""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from thorntray import InvalidSettings
from thorntray.errors import Fault
from thorntrayctl.story import Story, tell_story

EXIT_NO = 1


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands to the parser."""
    command = commands.add_parser(
        "explain", help="Print what became of a request, and why, from the logs of all nodes."
    )
    command.add_argument("request_id", help="The request's id.")
    command.add_argument("files", nargs="*", help="Log files of nodes; standard input without.")
    command.add_argument("--json", action="store_true", help="Print JSON.")
    command.set_defaults(run=_explain)


async def _explain(args: argparse.Namespace) -> int:
    story = tell_story(_texts(args.files), args.request_id)
    if args.json:
        print(json.dumps(_as_json(story), indent=2))
    else:
        _print(story, args.request_id)
    return 0 if story.lines else EXIT_NO


def _texts(files: list[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as exc:
            fault = Fault("-", "files", name, f"cannot be read ({exc.strerror}); name log files")
            raise InvalidSettings(name, [fault]) from exc


def _print(story: Story, request_id: str) -> None:
    if not story.lines:
        print(
            f"no line tells of {request_id}. Ordinary requests are sampled, and under load failed "
            "ones too: see left_out of REQUEST_ENDED, and the metrics thorntray_requests."
        )
        return
    for line in story.lines:
        print(line.text())
    if story.context:
        print("at that time:")
    for line in story.context:
        print(f"  {line.text()}")
    for cause in story.causes or ["request: it was served"]:
        print(f"cause: {cause}")


def _as_json(story: Story) -> dict[str, object]:
    return {
        "lines": [line.fields for line in story.lines],
        "context": [line.fields for line in story.context],
        "causes": story.causes,
    }

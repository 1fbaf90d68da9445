"""Commands about nodes: status, dump, drain."""

import argparse
import asyncio
import json
import sys
from typing import Any

import aiohttp

from thorntray import PlatformUnavailable

NODE_TIMEOUT = 5.0  # seconds
DRAIN_POLL = 0.5  # seconds
EXIT_NO = 1


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Add the commands to the parser."""
    for name, run, text in (
        ("status", _status, "Print a summary of nodes; exit 1 unless all are ready."),
        ("dump", _dump, "Print the state dump of a node (JSON)."),
        ("drain", _drain, "Drain nodes and wait until nothing runs there."),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("nodes", nargs="+", help="HTTP addresses of nodes, IP:PORT.")
        command.add_argument("--json", action="store_true", help="Print JSON.")
        command.set_defaults(run=run)
        if name == "drain":
            command.add_argument("--wait", type=float, default=65.0, help="Seconds to wait.")


async def _ask(node: str, method: str, path: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=NODE_TIMEOUT)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(method, f"http://{node}/thorntray/{path}") as resp:
                return await resp.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise PlatformUnavailable(f"node {node} does not answer ({exc!r}); is it running?") from exc


async def _status(args: argparse.Namespace) -> int:
    rows = [await _ask(node, "GET", "status") for node in args.nodes]
    if args.json:
        print(json.dumps(rows, indent=2))
    else:
        for row in rows:
            ready = "ready" if row["ready"] else f"NOT ready (instance {row['instance']})"
            revisions = " ".join(f"{t}@{r}" for t, r in sorted(row["settings"].items()))
            print(f"{row['name']} {row['service']} {ready}, {row['members']} members, {revisions}")
            for team, fault in row["refused_documents"].items():
                print(f"    {team}: {fault}")
    return 0 if all(row["ready"] for row in rows) else EXIT_NO


async def _dump(args: argparse.Namespace) -> int:
    for node in args.nodes:
        print(json.dumps(await _ask(node, "GET", "dump"), indent=None if args.json else 2))
    return 0


async def _drain(args: argparse.Namespace) -> int:
    for node in args.nodes:
        await _ask(node, "POST", "drain")
    give_up_at = asyncio.get_running_loop().time() + args.wait
    left = list(args.nodes)
    while left and asyncio.get_running_loop().time() < give_up_at:
        active = {node: (await _ask(node, "GET", "dump"))["attempts"]["active"] for node in left}
        print(f"draining: {active}", file=sys.stderr)
        left = [node for node in left if active[node]]
        if left:
            await asyncio.sleep(DRAIN_POLL)
    if args.json:
        print(json.dumps({"undrained": left}))
    return EXIT_NO if left else 0

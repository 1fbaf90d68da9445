"""Commands that call nodes: status, dump, drain."""

import argparse
import asyncio
import json
import sys
from typing import Any

import aiohttp

from thorntray import PlatformUnavailable

NODE_TIMEOUT = 5.0  # seconds for one HTTP request to a node
DRAIN_POLL_INTERVAL = 0.5  # seconds between checks for running requests
EXIT_NEGATIVE = 1


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Register the commands with the parser."""
    for name, run, help_text in (
        ("status", _status, "Print a summary of each node; exit with 1 unless all are ready."),
        ("dump", _dump, "Print the state dump of a node (JSON)."),
        ("drain", _drain, "Drain nodes and wait until they have no running requests."),
    ):
        command = commands.add_parser(name, help=help_text)
        command.add_argument("nodes", nargs="+", help="HTTP addresses of the nodes, as IP:PORT.")
        command.add_argument("--json", action="store_true", help="Print JSON.")
        command.set_defaults(run=run)
        if name == "drain":
            command.add_argument("--wait", type=float, default=65.0, help="Seconds to wait.")


async def _call_node(node: str, method: str, path: str) -> dict[str, Any]:
    timeout = aiohttp.ClientTimeout(total=NODE_TIMEOUT)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.request(method, f"http://{node}/thorntray/{path}") as resp:
                return await resp.json()
    except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
        raise PlatformUnavailable(
            f"node {node} does not answer ({exc!r}); check that it runs"
        ) from exc


async def _status(args: argparse.Namespace) -> int:
    rows = [await _call_node(node, "GET", "status") for node in args.nodes]
    if args.json:
        print(json.dumps(rows, indent=2))
    else:
        for row in rows:
            ready = "ready" if row["ready"] else f"NOT ready (instance {row['instance']})"
            revisions = " ".join(f"{t}@{r}" for t, r in sorted(row["settings"].items()))
            print(f"{row['name']} {row['service']} {ready}, {row['members']} members, {revisions}")
            for team, fault in row["refused_documents"].items():
                print(f"    {team}: {fault}")
    return 0 if all(row["ready"] for row in rows) else EXIT_NEGATIVE


async def _dump(args: argparse.Namespace) -> int:
    for node in args.nodes:
        print(json.dumps(await _call_node(node, "GET", "dump"), indent=None if args.json else 2))
    return 0


async def _drain(args: argparse.Namespace) -> int:
    for node in args.nodes:
        await _call_node(node, "POST", "drain")
    deadline = asyncio.get_running_loop().time() + args.wait
    active_nodes = list(args.nodes)
    while active_nodes and asyncio.get_running_loop().time() < deadline:
        active = {
            node: (await _call_node(node, "GET", "dump"))["attempts"]["active"]
            for node in active_nodes
        }
        print(f"draining: {active}", file=sys.stderr)
        active_nodes = [node for node in active_nodes if active[node]]
        if active_nodes:
            await asyncio.sleep(DRAIN_POLL_INTERVAL)
    if args.json:
        print(json.dumps({"undrained": active_nodes}))
    return EXIT_NEGATIVE if active_nodes else 0

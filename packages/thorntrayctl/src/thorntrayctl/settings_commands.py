"""Commands for settings: keygen, check, plan, apply, get, set, history."""

import argparse
import getpass
import json
import time
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from datetime import UTC, datetime
from pathlib import Path
from random import SystemRandom

from nacl.signing import SigningKey

from thorntray import Fault, InvalidSettings
from thorntray.internal.process.clock import SystemClock
from thorntray.internal.store.platform import PlatformClient
from thorntray.internal.version.document import compute_delta
from thorntray.internal.version.ini import read_settings
from thorntray.internal.version.writer import SettingsWriter, StoredDocument

EXIT_NEGATIVE = 1


def add_commands(commands: argparse._SubParsersAction) -> None:
    """Register the commands with the parser."""
    keygen = commands.add_parser("keygen", help="Create a team's key and print the public key.")
    keygen.add_argument("file", type=Path, help="New file for the secret key.")
    keygen.set_defaults(run=_keygen)

    check = commands.add_parser("check", help="Check settings files without changing anything.")
    check.add_argument("path", type=Path, help="INI file or folder of INI files.")
    _add_json_option(check)
    check.set_defaults(run=_check)

    for name, run, help_text in (
        ("plan", _plan, "Show what apply would change."),
        ("apply", _apply, "Replace the stored settings with those of the files."),
    ):
        command = commands.add_parser(name, help=help_text)
        _add_store_arguments(command)
        command.add_argument("path", type=Path, help="INI file or folder of INI files.")
        command.set_defaults(run=run)
        if name == "apply":
            _add_author_options(command)
            command.add_argument("--base", type=int, help="Fail unless this revision is stored.")

    get = commands.add_parser("get", help="Print the value of a path, or of all paths below it.")
    _add_store_arguments(get)
    get.add_argument("path", nargs="?", default="", help="For example services/tariff/slots.")
    get.set_defaults(run=_get)

    set_command = commands.add_parser("set", help="Set one path.")
    _add_store_arguments(set_command)
    set_command.add_argument("path", help="For example services/tariff/slots.")
    set_command.add_argument("value", help="The new value.")
    _add_author_options(set_command)
    set_command.set_defaults(run=_set)

    history = commands.add_parser("history", help="Print the latest changes.")
    _add_store_arguments(history)
    history.add_argument("--write-id", help="Print whether this write was accepted.")
    history.set_defaults(run=_history)


def _add_json_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--json", action="store_true", help="Print JSON.")


def _add_store_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("team", help="Team that owns the settings.")
    parser.add_argument(
        "--platform", required=True, help="Comma-separated URLs of the platform's service."
    )
    parser.add_argument("--key", required=True, type=Path, help="The team's secret key file.")
    _add_json_option(parser)


def _add_author_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--author", default=getpass.getuser(), help="Author of the change.")
    parser.add_argument("--reason", required=True, help="Reason, kept in the history.")


@asynccontextmanager
async def _writer(args: argparse.Namespace) -> AsyncIterator[SettingsWriter]:
    clock, rng = SystemClock(), SystemRandom()
    platform = PlatformClient(args.platform.split(","), clock, rng)
    try:
        yield SettingsWriter(platform, args.team, _read_key(args.key), clock, rng)
    finally:
        await platform.close()


def _read_key(file: Path) -> SigningKey:
    try:
        return SigningKey(bytes.fromhex(file.read_text("ascii").strip()))
    except (OSError, ValueError) as exc:
        remedy = f"give a key file made by `thorntrayctl keygen` ({exc})"
        raise InvalidSettings("--key", [Fault("", "key", str(file), remedy)]) from exc


def _read_files(path: Path) -> dict[str, str]:
    files = sorted(path.glob("*.ini")) if path.is_dir() else [path]
    missing = [file for file in files if not file.is_file()]
    if not files or missing:
        fault = Fault("", "path", str(path), "give an INI file or a folder of INI files")
        raise InvalidSettings(str(path), [fault])
    return read_settings(files)


def _print_delta(delta: Mapping[str, str | None], old: Mapping[str, str], as_json: bool) -> None:
    if as_json:
        print(json.dumps({"changes": dict(delta)}, indent=2, sort_keys=True))
        return
    for path, value in sorted(delta.items()):
        if value is None:
            print(f"- {path} = {old[path]}")
        elif path in old:
            print(f"~ {path} = {old[path]} -> {value}")
        else:
            print(f"+ {path} = {value}")
    print(f"{len(delta)} change(s)")


async def _keygen(args: argparse.Namespace) -> int:
    key = SigningKey.generate()
    with args.file.open("x", encoding="ascii") as file:
        file.write(key.encode().hex() + "\n")
    args.file.chmod(0o600)
    print(key.verify_key.encode().hex())
    return 0


async def _check(args: argparse.Namespace) -> int:
    paths = _read_files(args.path)
    print(json.dumps({"paths": len(paths)}) if args.json else f"{len(paths)} path(s), all valid")
    return 0


async def _plan(args: argparse.Namespace) -> int:
    desired = _read_files(args.path)
    async with _writer(args) as writer:
        stored = await writer.read()
    old = stored.document.paths
    if not args.json:
        print(f"base revision {stored.document.revision}")
    _print_delta(compute_delta(old, desired), old, args.json)
    return 0


async def _apply(args: argparse.Namespace) -> int:
    desired = _read_files(args.path)
    async with _writer(args) as writer:
        stored = await writer.read()
        if args.base is not None and args.base != stored.document.revision:
            remedy = f"the store is at {stored.document.revision}; plan again, then apply"
            raise InvalidSettings("--base", [Fault("", "base", str(args.base), remedy)])
        return await _write_settings(args, writer, desired, stored)


async def _write_settings(
    args: argparse.Namespace,
    writer: SettingsWriter,
    desired: Mapping[str, str],
    stored: StoredDocument,
) -> int:
    old = stored.document.paths
    if dict(desired) == old:
        message = f"nothing to change, revision {stored.document.revision}"
        print(json.dumps({"revision": stored.document.revision}) if args.json else message)
        return 0
    accepted = await writer.write(desired, args.author, args.reason, stored)
    change = accepted.change
    if args.json:
        print(json.dumps({"revision": change.revision, "write_id": change.write_id}))
        return 0
    _print_delta(accepted.delta, old, as_json=False)
    print(f"accepted as revision {change.revision}, write {change.write_id}")
    return 0


async def _get(args: argparse.Namespace) -> int:
    async with _writer(args) as writer:
        stored = await writer.read()
    selected = {
        path: value
        for path, value in sorted(stored.document.paths.items())
        if not args.path or path == args.path or path.startswith(args.path.rstrip("/") + "/")
    }
    if args.json:
        print(json.dumps({"revision": stored.document.revision, "paths": selected}, indent=2))
    else:
        for path, value in selected.items():
            print(f"{path} = {value}")
    return 0 if selected else EXIT_NEGATIVE


async def _set(args: argparse.Namespace) -> int:
    async with _writer(args) as writer:
        stored = await writer.read()
        desired = {**stored.document.paths, args.path: args.value}
        return await _write_settings(args, writer, desired, stored)


async def _history(args: argparse.Namespace) -> int:
    async with _writer(args) as writer:
        stored = await writer.read()
    changes = stored.document.recent
    if args.write_id:
        changes = tuple(c for c in changes if c.write_id == args.write_id)
    if args.json:
        rows = [{name: getattr(c, name) for name in c.__struct_fields__} for c in changes]
        print(json.dumps(rows, indent=2))
    else:
        for change in changes:
            date = datetime.fromtimestamp(change.time, UTC).isoformat(timespec="seconds")
            print(f"{change.revision} {date} {change.author} {change.write_id}: {change.reason}")
            for path in change.paths:
                print(f"    {path}")
    if args.write_id:
        print("accepted" if changes else f"not accepted as of {time.strftime('%H:%M:%S')}")
        return 0 if changes else EXIT_NEGATIVE
    return 0

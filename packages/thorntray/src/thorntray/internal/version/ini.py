"""Reads and writes a team's settings as INI files, the form kept under version control."""

import configparser
from pathlib import Path

from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.version.schema import check_paths, split_path


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, strict=True, default_section="\0")
    # The default lower-cases keys, so a key in the wrong case would pass unnoticed.
    parser.optionxform = str
    return parser


def parse_ini(text: str, source: str) -> configparser.ConfigParser:
    """Return the parsed text; raises `InvalidSettings` if it is not valid INI.

    `source` is the file name used in error messages.
    """
    parser = _new_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        message = str(exc).replace("\n", " ")
        raise InvalidSettings(source, [Fault("", "", "", f"invalid INI: {message}")]) from exc
    return parser


def read_settings(files: list[Path]) -> dict[str, str]:
    """Return the settings of all files as `{path: value}`.

    Raises `InvalidSettings` with the faults of all files.
    """
    paths: dict[str, str] = {}
    faults: list[Fault] = []
    for file in files:
        parser = parse_ini(file.read_text("utf-8"), str(file))
        for section in parser.sections():
            for key, value in parser.items(section):
                path = f"{section}/{key}"
                if path in paths:
                    faults.append(Fault(section, key, value, "duplicate key; keep one entry"))
                paths[path] = value
    faults += check_paths(paths)
    if faults:
        raise InvalidSettings(", ".join(str(file) for file in files), faults)
    return paths


def write_settings(paths: dict[str, str]) -> str:
    """Return a team's settings, `{path: value}`, as INI text with sorted sections and keys."""
    lines: list[str] = []
    previous_section = None
    for path in sorted(paths):
        section, key = split_path(path)
        if section != previous_section:
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
            previous_section = section
        lines.append(f"{key} = {paths[path]}")
    return "\n".join(lines) + "\n"

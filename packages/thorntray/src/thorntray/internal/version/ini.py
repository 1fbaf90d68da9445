"""Reads and writes a team's settings in INI form, as kept under version control."""

import configparser
from pathlib import Path

from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.version.schema import check_paths, split_path


def _new_parser() -> configparser.ConfigParser:
    parser = configparser.ConfigParser(interpolation=None, strict=True, default_section="\0")
    parser.optionxform = str  # the default lowers keys, which would hide a misspelt one
    return parser


def parse_ini(text: str, source: str) -> configparser.ConfigParser:
    """Return the parsed file; raises `InvalidSettings` for a file that is no INI."""
    parser = _new_parser()
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        message = str(exc).replace("\n", " ")
        raise InvalidSettings(source, [Fault("", "", "", f"not INI: {message}")]) from exc
    return parser


def read_settings(files: list[Path]) -> dict[str, str]:
    """Return the paths of all files together; raises `InvalidSettings` with all faults."""
    paths: dict[str, str] = {}
    faults: list[Fault] = []
    for file in files:
        parser = parse_ini(file.read_text("utf-8"), str(file))
        for section in parser.sections():
            for key, value in parser.items(section):
                path = f"{section}/{key}"
                if path in paths:
                    faults.append(Fault(section, key, value, "stands twice; keep one"))
                paths[path] = value
    faults += check_paths(paths)
    if faults:
        raise InvalidSettings(", ".join(str(file) for file in files), faults)
    return paths


def write_settings(paths: dict[str, str]) -> str:
    """Return the INI form of a team's settings."""
    lines: list[str] = []
    last = None
    for path in sorted(paths):
        section, key = split_path(path)
        if section != last:
            lines += ["", f"[{section}]"] if lines else [f"[{section}]"]
            last = section
        lines.append(f"{key} = {paths[path]}")
    return "\n".join(lines) + "\n"

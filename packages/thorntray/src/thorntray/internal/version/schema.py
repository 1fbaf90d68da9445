"""What may stand in a team's settings: each path's type, unit, range and default.

Settings are a tree of paths below the team's own subtree. A path is `kind/name.../key`; the
INI form writes `kind/name...` as the section and `key` as the key, so that both forms map onto
each other one to one.
"""

import re
from typing import NamedTuple

from thorntray.errors import Fault

_NAME = r"[a-z0-9][a-z0-9-]*"
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


class Field(NamedTuple):
    """One key: its section pattern, type, unit, range, default and meaning."""

    section: str
    key: str
    kind: str  # int, float, bool, word, words, path, method
    unit: str
    low: float
    high: float
    default: str | None
    meaning: str


FIELDS: tuple[Field, ...] = (
    Field("classes/*", "priority", "int", "", 0, 9, None, "the lowest is shed first"),
    Field("classes/*", "retry_allowance", "int", "retries", 0, 16, "2", "for the whole call tree"),
    Field("classes/*", "deadline_ms", "int", "ms", 20, 60000, "2000", "when the caller gives none"),
    Field("services/*", "slots", "int", "requests", 1, 2000, "50", "in flight at one instance"),
    Field("services/*", "connections", "int", "connections", 1, 5000, "200", "to one instance"),
    Field("services/*", "queue", "int", "requests", 0, 1000, "25", "that may wait for a slot"),
    Field("services/*", "queue_wait_ms", "int", "ms", 1, 5000, "100", "longest wait for a slot"),
    Field("services/*", "retry_ratio", "float", "", 0, 0.5, "0.1", "retries per first attempt"),
    Field("services/*", "dependency_share", "float", "", 0.05, 1, "0.8", "slots on one dependency"),
    Field("services/*", "shed_header", "word", "", 0, 0, "", "header that marks a shed answer"),
    Field("routes/*/*", "method", "method", "", 0, 0, None, "HTTP method"),
    Field("routes/*/*", "path", "path", "", 0, 0, None, "path prefix"),
    Field("routes/*/*", "class", "word", "", 0, 0, None, "a class of this team"),
    Field("routes/*/*", "idempotent", "bool", "", 0, 0, None, "may run more than once"),
    Field("routes/*/*", "needs", "words", "", 0, 0, "", "services that it cannot do without"),
)

_RANGES = {"int": int, "float": float}


def _pattern(section: str) -> re.Pattern[str]:
    return re.compile(section.replace("*", _NAME) + r"\Z")


_PATTERNS = [(_pattern(field.section), field) for field in FIELDS]


def fields_of(section: str) -> list[Field]:
    """Return the fields that a section may hold; empty for an unknown section."""
    return [field for pattern, field in _PATTERNS if pattern.match(section)]


def split_path(path: str) -> tuple[str, str]:
    """Return the section and the key of a path."""
    section, _, key = path.rpartition("/")
    return section, key


def check_value(field: Field, text: str) -> str | None:
    """Return what to write instead, or None when the value is good."""
    match field.kind:
        case "int" | "float":
            return _check_number(field, text)
        case "bool":
            return None if text in ("yes", "no") else "write yes or no"
        case "method":
            return None if text in _METHODS else f"write one of {', '.join(_METHODS)}"
        case "path":
            return None if text.startswith("/") else "write a path that begins with /"
        case "word":
            return None if re.fullmatch(r"[A-Za-z0-9-]*", text) else "write letters, digits and -"
        case "words":
            words = [word.strip() for word in text.split(",") if word.strip()]
            good = all(re.fullmatch(_NAME, word) for word in words)
            return None if good else "write service names with commas between them"
    raise AssertionError(f"field {field.key} has the unknown kind {field.kind}")


def _check_number(field: Field, text: str) -> str | None:
    remedy = f"write a number from {field.low:g} to {field.high:g} {field.unit}".rstrip()
    try:
        value = _RANGES[field.kind](text)
    except ValueError:
        return remedy
    return None if field.low <= value <= field.high else remedy


def check_paths(paths: dict[str, str]) -> list[Fault]:
    """Return all faults of a team's settings, cross-checks included."""
    faults = [fault for path, text in sorted(paths.items()) for fault in _check_path(path, text)]
    sections = {split_path(path)[0] for path in paths}
    for section in sorted(sections):
        for field in fields_of(section):
            if field.default is None and f"{section}/{field.key}" not in paths:
                faults.append(Fault(section, field.key, "", f"is missing: {field.meaning}"))
    return faults + _check_references(paths, sections) + _check_connections(paths, sections)


def _check_path(path: str, text: str) -> list[Fault]:
    section, key = split_path(path)
    fields = fields_of(section)
    if not fields:
        known = ", ".join(sorted({field.section for field in FIELDS}))
        return [Fault(section, key, text, f"unknown section; known are {known}")]
    for field in fields:
        if field.key == key:
            remedy = check_value(field, text)
            return [Fault(section, key, text, remedy)] if remedy else []
    known = ", ".join(field.key for field in fields)
    return [Fault(section, key, text, f"unknown key; known are {known}")]


def _check_connections(paths: dict[str, str], sections: set[str]) -> list[Fault]:
    """Each request in flight needs a connection of its own."""
    faults = []
    for section in sorted(sections):
        if not section.startswith("services/"):
            continue
        defaults = {field.key: field.default or "" for field in fields_of(section)}
        slots = paths.get(f"{section}/slots", defaults.get("slots", ""))
        connections = paths.get(f"{section}/connections", defaults.get("connections", ""))
        if not (slots.isdigit() and connections.isdigit()) or int(connections) >= int(slots):
            continue
        faults.append(
            Fault(section, "connections", connections, f"write at least the slots {slots}")
        )
    return faults


def _check_references(paths: dict[str, str], sections: set[str]) -> list[Fault]:
    faults = []
    for path, text in sorted(paths.items()):
        section, key = split_path(path)
        parts = section.split("/")
        if parts[0] != "routes" or len(parts) != 3:
            continue
        if key == "class" and f"classes/{text}" not in sections:
            faults.append(Fault(section, key, text, f"add a section [classes/{text}] or rename"))
        if key == "class" and f"services/{parts[1]}" not in sections:
            faults.append(
                Fault(section, key, text, f"add a section [services/{parts[1]}] to own the service")
            )
    return faults

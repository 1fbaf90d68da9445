"""Schema of a team's settings: the type, unit, range and default of each path.

Settings are a tree of paths in the team's own subtree. A path has the form `kind/name.../key`.
In an INI file, `kind/name...` is the section and `key` the key, so the two forms map one to one.
"""

import re
from typing import NamedTuple

from thorntray.errors import Fault

_NAME = r"[a-z0-9][a-z0-9-]*"
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


class Field(NamedTuple):
    """Schema of one key: section pattern, type, unit, range, default and description.

    `default` is None for a required key. The range applies to numbers only.
    """

    section: str
    key: str
    value_type: str  # int, float, bool, word, words, path, method
    unit: str
    minimum: float
    maximum: float
    default: str | None
    description: str


FIELDS: tuple[Field, ...] = (
    Field("classes/*", "priority", "int", "", 0, 9, None, "the lowest priority is shed first"),
    Field("classes/*", "retry_allowance", "int", "retries", 0, 16, "2", "for the whole call tree"),
    Field("classes/*", "deadline_ms", "int", "ms", 20, 60000, "2000", "if the caller sets none"),
    Field("services/*", "slots", "int", "requests", 1, 2000, "50", "in flight at one instance"),
    Field("services/*", "connections", "int", "connections", 1, 5000, "200", "to one instance"),
    Field("services/*", "queue", "int", "requests", 0, 1000, "25", "waiting for a slot"),
    Field("services/*", "queue_wait_ms", "int", "ms", 1, 5000, "100", "longest wait for a slot"),
    Field("services/*", "retry_ratio", "float", "", 0, 0.5, "0.1", "retries per first attempt"),
    Field(
        "services/*",
        "dependency_share",
        "float",
        "",
        0.05,
        1,
        "0.8",
        "share of slots that may wait on one dependency",
    ),
    Field("services/*", "shed_header", "word", "", 0, 0, "", "header of shed responses"),
    Field("routes/*/*", "method", "method", "", 0, 0, None, "HTTP method"),
    Field("routes/*/*", "path", "path", "", 0, 0, None, "path prefix"),
    Field("routes/*/*", "class", "word", "", 0, 0, None, "a class of this team"),
    Field("routes/*/*", "idempotent", "bool", "", 0, 0, None, "may run more than once"),
    Field("routes/*/*", "needs", "words", "", 0, 0, "", "services it cannot work without"),
)

_NUMBER_TYPES = {"int": int, "float": float}


def _section_pattern(section: str) -> re.Pattern[str]:
    return re.compile(section.replace("*", _NAME) + r"\Z")


_FIELD_PATTERNS = [(_section_pattern(field.section), field) for field in FIELDS]


def fields_of(section: str) -> list[Field]:
    """Return the fields that a section may contain, an empty list for an unknown section."""
    return [field for pattern, field in _FIELD_PATTERNS if pattern.match(section)]


def split_path(path: str) -> tuple[str, str]:
    """Return the section and the key of a path."""
    section, _, key = path.rpartition("/")
    return section, key


def check_value(field: Field, text: str) -> str | None:
    """Return the remedy for an invalid value, None for a valid one."""
    match field.value_type:
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
            valid = all(re.fullmatch(_NAME, word) for word in words)
            return None if valid else "write service names with commas between them"
    raise AssertionError(f"field {field.key} has the unknown type {field.value_type}")


def _check_number(field: Field, text: str) -> str | None:
    remedy = f"write a number from {field.minimum:g} to {field.maximum:g} {field.unit}".rstrip()
    try:
        value = _NUMBER_TYPES[field.value_type](text)
    except ValueError:
        return remedy
    return None if field.minimum <= value <= field.maximum else remedy


def check_paths(paths: dict[str, str]) -> list[Fault]:
    """Return all faults of a team's settings, including those between sections."""
    faults = [fault for path, text in sorted(paths.items()) for fault in _check_path(path, text)]
    sections = {split_path(path)[0] for path in paths}
    for section in sorted(sections):
        for field in fields_of(section):
            if field.default is None and f"{section}/{field.key}" not in paths:
                faults.append(
                    Fault(section, field.key, "", f"required key is missing: {field.description}")
                )
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
    """Check that a service has a connection for each slot: each request in flight needs one."""
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

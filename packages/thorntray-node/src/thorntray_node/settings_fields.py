"""Reads the fields of a settings document (nested tables); collects all faults and used defaults.

A field that is missing or empty has its default if there is one. A file that is being written lacks
fields, too, so the caller decides whether defaults that change how a node decides are allowed yet.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial
from ipaddress import ip_address
from math import isfinite
from operator import lt
from typing import Any, NamedTuple

from thorntray.errors import Fault, InvalidSettings
from thorntray.internal.bounded import MAX_NAME_LENGTH, MAX_PORT
from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.mesh_config import Endpoint

_MISSING = (None, "")
_NO_ENDPOINT = Endpoint("", 0)


class UsedDefault(NamedTuple):
    """A field that is missing, empty or unusable, and the value that is used instead."""

    field: str
    value: object


def log_defaults(defaults: Iterable[UsedDefault]) -> None:
    """Log the defaults that are used."""
    for default in defaults:
        log_event(Event.SETTINGS_DEFAULT, **default._asdict())


class SettingsFields:
    """The fields of a document, named by their path (`Table.Key`).

    Methods return a placeholder for a field with a fault; `check` raises all faults afterwards.
    """

    def __init__(self, document: Mapping[str, Any], allow_defaults: bool) -> None:
        self._document = document
        self._allow_defaults = allow_defaults
        self._faults: list[Fault] = []
        self.defaults: list[UsedDefault] = []

    def get(self, path: str) -> Any:
        """Return the value of a field, None if it is missing."""
        value: Any = self._document
        for key in path.split("."):
            value = value.get(key) if isinstance(value, Mapping) else None
        return value

    def require_tables(self, *names: str) -> None:
        """Add a fault for each table that is missing; the file may be cut off before it."""
        for name in names:
            if not isinstance(self.get(name), Mapping):
                self._faults.append(Fault(name, "", "", f"the table {name!r} is missing"))

    def text(self, path: str) -> str:
        """Return a name, which is no longer than messages can carry."""
        value = self.get(path)
        if isinstance(value, str) and 0 < len(value) <= MAX_NAME_LENGTH:
            return value
        self._add_fault(path, f"give a text of 1 to {MAX_NAME_LENGTH} characters")
        return ""

    def optional_text(self, path: str) -> str:
        """Return a name on which no decision depends; empty by default."""
        if self.get(path) not in _MISSING:
            return self.text(path)
        self.defaults.append(UsedDefault(path, ""))
        return ""

    def ip(self, path: str) -> str:
        """Return an IP address."""
        try:
            return str(ip_address(str(self.get(path))))
        except ValueError:
            self._add_fault(path, "give an IP address; names of hosts are not looked up")
            return ""

    def endpoint(self, path: str, needs_host: bool = False) -> Endpoint:
        """Return an IP address and a port; a port to listen on `needs_host` not."""
        try:
            endpoint = Endpoint.parse(str(self.get(path) or ""))
            if 0 < endpoint.port <= MAX_PORT and (endpoint.host or not needs_host):
                return endpoint
        except ValueError:
            pass
        hint = f"give IP:PORT, [IPv6]:PORT for IPv6, with a port up to {MAX_PORT}; names of hosts"
        self._add_fault(path, f"{hint} are not looked up")
        return _NO_ENDPOINT

    def port_range(self, path: str) -> range:
        """Return the ports from one to another, which are given in any order, or a single one."""
        ports = self.get(path)
        if (
            isinstance(ports, list)
            and len(ports) in (1, 2)
            and all(type(port) is int and 0 < port <= MAX_PORT for port in ports)
        ):
            return range(min(ports), max(ports) + 1)
        self._add_fault(path, f"give the first and the last port, from 1 to {MAX_PORT}")
        return range(1, 2)

    def share(self, path: str, default: float) -> float:
        """Return a number of 0 or more."""
        return self._number(path, default, lambda number: number >= 0, "0 or more")

    def seconds(self, path: str, default: float) -> float:
        """Return a time above 0; a time of 0 sets none, so the default is used."""
        if self.get(path) == 0:
            return self._default(path, default)
        return self._number(path, default, lambda number: number > 0, "above 0")

    def limit(self, path: str, unit: int = 1) -> int | None:
        """Return a limit of the process, None if there is none."""
        if not self.get(path):
            return None
        return int(self._number(path, 0.0, lambda number: number > 0, "above 0, or none")) * unit

    def limit_beyond(self, path: str, reserved: int, default: int) -> int | None:
        """Return what a limit leaves beyond `reserved`, None if there is no limit.

        A limit that leaves nothing cannot be the one of a process that runs, so it has a default.
        """
        value = self.get(path)
        if not value:
            return None
        if type(value) in (int, float) and 0 < value <= reserved:
            hint = f"give a number above {reserved}, or none; the default is {reserved + default}"
            self.defaults.append(UsedDefault(path, reserved + default))
            if not self._allow_defaults:
                self._add_fault(path, hint)
            return default
        is_valid = partial(lt, reserved)
        return int(self._number(path, 0.0, is_valid, f"above {reserved}, or none")) - reserved

    def check(self, source: str) -> None:
        """Raise `InvalidSettings` if there are faults."""
        if self._faults:
            raise InvalidSettings(source, self._faults)

    def _number(
        self, path: str, default: float, is_valid: Callable[[float], bool], hint: str
    ) -> float:
        value = self.get(path)
        if value in _MISSING:
            return self._default(path, default)
        try:
            number = float(value)
        except (TypeError, ValueError, OverflowError):
            number = -1.0
        if isinstance(value, bool) or not isfinite(number) or not is_valid(number):
            self._add_fault(path, f"give a number {hint}")
            return default
        return number

    def _default(self, path: str, default: float) -> float:
        self.defaults.append(UsedDefault(path, default))
        if not self._allow_defaults:
            self._add_fault(path, f"missing, empty or 0; the default is {default:g}")
        return default

    def _add_fault(self, path: str, hint: str) -> None:
        table, _, key = path.rpartition(".")
        value = self.get(path)
        shown = "" if value is None else str(value)[:MAX_NAME_LENGTH]
        self._faults.append(Fault(table, key, shown, hint))

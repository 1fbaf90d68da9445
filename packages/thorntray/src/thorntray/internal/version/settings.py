"""The settings in force as one immutable object, built from the documents of all teams."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import NamedTuple

from thorntray.internal.version.schema import fields_of

SERVICE_DEFAULT_CLASS_PRIORITY = 0


class ClassSettings(NamedTuple):
    """A request class: its priority, retry allowance and default deadline (seconds)."""

    name: str
    priority: int
    retry_allowance: int
    deadline: float


class RouteSettings(NamedTuple):
    """A route of a service, matched by HTTP method and path prefix.

    `needs` names the services that the route cannot work without.
    """

    service: str
    name: str
    method: str
    path: str
    class_: ClassSettings
    idempotent: bool
    needs: tuple[str, ...]


class ServiceSettings(NamedTuple):
    """Admission limits and routes of a service.

    `slots` and `connections` apply to each instance. `queue_wait` is in seconds. `retry_ratio` is
    in retries per first attempt, `dependency_share` is the share of the slots that may wait on one
    dependency. A response with the header `shed_header` means that the instance did not run the
    request.
    """

    name: str
    team: str
    slots: int
    connections: int
    queue: int
    queue_wait: float
    retry_ratio: float
    dependency_share: float
    shed_header: str
    routes: tuple[RouteSettings, ...]

    def match_route(self, method: str, path: str) -> RouteSettings | None:
        """Return the route with this method and the longest matching prefix, or None."""
        matches = [r for r in self.routes if r.method == method and path.startswith(r.path)]
        return max(matches, key=lambda r: len(r.path), default=None)

    def get_route(self, name: str) -> RouteSettings | None:
        """Return the route with this name, None if there is none."""
        return next((route for route in self.routes if route.name == name), None)


class _TeamReader:
    def __init__(self, paths: Mapping[str, str]) -> None:
        self._paths = paths

    def names(self, kind: str) -> list[str]:
        depth = 3 if kind == "routes" else 2
        sections = {p.rpartition("/")[0] for p in self._paths if p.startswith(kind + "/")}
        return sorted(
            section.partition("/")[2] for section in sections if section.count("/") == depth - 1
        )

    def get(self, section: str, key: str) -> str:
        value = self._paths.get(f"{section}/{key}")
        if value is not None:
            return value
        default = next(field.default for field in fields_of(section) if field.key == key)
        return default or ""


def _read_class(reader: _TeamReader, name: str) -> ClassSettings:
    section = f"classes/{name}"
    return ClassSettings(
        name,
        int(reader.get(section, "priority")),
        int(reader.get(section, "retry_allowance")),
        int(reader.get(section, "deadline_ms")) / 1000,
    )


def _read_route(
    reader: _TeamReader, service: str, name: str, classes: dict[str, ClassSettings]
) -> RouteSettings:
    section = f"routes/{service}/{name}"
    needs = reader.get(section, "needs").split(",")
    return RouteSettings(
        service=service,
        name=name,
        method=reader.get(section, "method"),
        path=reader.get(section, "path"),
        class_=classes[reader.get(section, "class")],
        idempotent=reader.get(section, "idempotent") == "yes",
        needs=tuple(need.strip() for need in needs if need.strip()),
    )


def _read_service(
    reader: _TeamReader, team: str, name: str, routes: tuple[RouteSettings, ...]
) -> ServiceSettings:
    section = f"services/{name}"
    return ServiceSettings(
        name=name,
        team=team,
        slots=int(reader.get(section, "slots")),
        connections=int(reader.get(section, "connections")),
        queue=int(reader.get(section, "queue")),
        queue_wait=int(reader.get(section, "queue_wait_ms")) / 1000,
        retry_ratio=float(reader.get(section, "retry_ratio")),
        dependency_share=float(reader.get(section, "dependency_share")),
        shed_header=reader.get(section, "shed_header"),
        routes=routes,
    )


def _read_team(team: str, paths: Mapping[str, str]) -> list[ServiceSettings]:
    reader = _TeamReader(paths)
    classes = {name: _read_class(reader, name) for name in reader.names("classes")}
    routes: dict[str, list[RouteSettings]] = {}
    for full_name in reader.names("routes"):
        service, _, name = full_name.partition("/")
        routes.setdefault(service, []).append(_read_route(reader, service, name, classes))
    return [
        _read_service(reader, team, name, tuple(routes.get(name, ())))
        for name in reader.names("services")
    ]


@dataclass(frozen=True)
class Settings:
    """The settings of all teams: services by name and the document revision of each team."""

    services: Mapping[str, ServiceSettings]
    revisions: Mapping[str, int]

    @classmethod
    def empty(cls) -> "Settings":
        """Return settings without any service, used until the first document arrives."""
        return cls(MappingProxyType({}), MappingProxyType({}))

    @classmethod
    def from_documents(cls, documents: Mapping[str, tuple[int, Mapping[str, str]]]) -> "Settings":
        """Return the settings of `{team: (revision, paths)}`; the paths must be valid.

        If two teams declare the same service, the alphabetically first team owns it, so that all
        nodes make the same choice.
        """
        services: dict[str, ServiceSettings] = {}
        for team in sorted(documents):
            for service in _read_team(team, documents[team][1]):
                services.setdefault(service.name, service)
        revisions = {team: revision for team, (revision, _) in documents.items()}
        return cls(MappingProxyType(services), MappingProxyType(revisions))

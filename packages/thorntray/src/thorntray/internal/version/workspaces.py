"""The workspaces of one policy: who may call, with which keys, in which rank, and how much.

Only digests of API keys are kept, so that no dump or log of the policy shows a key. Looking one up
takes the same time for each key, known or not.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from hashlib import sha256
from typing import NamedTuple, Self


class Workspace(NamedTuple):
    """A workspace.

    `priority` is a rank, where 0 is the most important; None leaves the rank to the route. `rate`
    is in requests a second and `burst` in requests, over all nodes; rate 0 means no limit.
    `steps_above_usual` compares its priority with that of most workspaces of the policy.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
    steps_above_usual: int = 0

    @property
    def limited(self) -> bool:
        """Return whether the workspace has a quota."""
        return self.rate > 0


class Workspaces(NamedTuple):
    """The workspaces by name and by digest of their API keys."""

    by_name: Mapping[str, Workspace]
    names_by_digest: Mapping[bytes, str]
    any_limited: bool = False  # whether any workspace has a quota

    @classmethod
    def from_keys(cls, entries: Iterable[tuple[Workspace, Iterable[str]]]) -> Self:
        """Return the workspaces with their keys.

        Raises `ValueError` if a name or a key is missing or occurs twice.
        """
        by_name: dict[str, Workspace] = {}
        names_by_digest: dict[bytes, str] = {}
        entries = list(entries)
        usual = _usual_priority(workspace for workspace, _ in entries)
        for workspace, keys in entries:
            if workspace.priority is not None:
                workspace = workspace._replace(steps_above_usual=usual - workspace.priority)
            name = workspace.name
            if not name or name in by_name:
                raise ValueError(f"workspace {name!r}: give each workspace a name of its own")
            by_name[name] = workspace
            for key in keys:
                digest = _digest(key.encode())
                if not key or digest in names_by_digest:
                    raise ValueError(f"workspace {name}: an API key is empty or occurs twice")
                names_by_digest[digest] = name
        any_limited = any(workspace.limited for workspace in by_name.values())
        return cls(by_name, names_by_digest, any_limited)

    def of_key(self, key: bytes) -> Workspace | None:
        """Return the workspace that holds an API key, None if none does."""
        name = self.names_by_digest.get(_digest(key))
        return self.by_name[name] if name is not None else None

    def find(self, name: str) -> Workspace | None:
        """Return the workspace with a name, None if there is none."""
        return self.by_name.get(name)

    @property
    def names(self) -> Iterable[str]:
        """Return the names of all workspaces."""
        return self.by_name.keys()

    def __bool__(self) -> bool:
        return bool(self.by_name)


NO_WORKSPACES = Workspaces({}, {})


def _usual_priority(workspaces: Iterable[Workspace]) -> int:
    """Return the priority that most workspaces have, of several the most important; else 0."""
    counts = Counter(w.priority for w in workspaces if w.priority is not None)
    return min(counts, key=lambda priority: (-counts[priority], priority), default=0)


def _digest(key: bytes) -> bytes:
    return sha256(key).digest()

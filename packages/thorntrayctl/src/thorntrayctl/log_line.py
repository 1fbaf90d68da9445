"""One line of a node's log: JSON, possibly after a text prefix."""

import json
from typing import Any, NamedTuple

_HIDDEN_FIELDS = frozenset({"time", "event", "name", "level", "node", "text"})


class LogLine(NamedTuple):
    """An event logged by a node. `time` is a Unix timestamp in seconds."""

    time: float
    node: str
    event: int
    name: str
    fields: dict[str, Any]

    @classmethod
    def from_text(cls, text: str) -> "LogLine | None":
        """Parse a log line; return None if it holds no event."""
        start = text.find("{")
        if start < 0:
            return None
        try:
            data = json.loads(text[start:])
            return cls(
                float(data["time"]), str(data["node"]), int(data["event"]), data["name"], data
            )
        except (ValueError, KeyError, TypeError):
            return None

    def text(self) -> str:
        """Return the event as one line of text: time, node, event number, name and fields."""
        shown = (f"{k}={v}" for k, v in self.fields.items() if k not in _HIDDEN_FIELDS and v != "")
        return f"{self.time:.3f} {self.node} {self.event} {self.name} {' '.join(shown)}"

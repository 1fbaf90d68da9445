"""Bounds the slots of an instance that may wait on one dependency.

A parent holds its slot while it waits for a child. Without a bound one slow service pins every
slot of all its callers, and requests that do not need it wait as well.
"""


class DependencyWaits:
    """How many requests in flight wait on each service that they call."""

    def __init__(self) -> None:
        self._waiting: dict[str, int] = {}

    def full(self, service: str, share: float, limit: int) -> bool:
        """Return whether the share of the slots that may wait on a service is used up."""
        return self._waiting.get(service, 0) >= max(1, int(share * limit))

    def begin(self, service: str) -> None:
        """Note that one more request waits on a service."""
        self._waiting[service] = self._waiting.get(service, 0) + 1

    def end(self, service: str) -> None:
        """Note that a request no longer waits on a service."""
        self._waiting[service] -= 1
        if not self._waiting[service]:
            del self._waiting[service]

    def snapshot(self) -> dict[str, int]:
        """Return the waiting requests of each service."""
        return dict(self._waiting)

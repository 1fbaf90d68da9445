"""Limits how many slots of an instance may wait on one dependency.

A parent request holds its slot while it waits for a nested call. Without a limit, one slow
service occupies every slot of all its callers, and requests that do not need it wait as well.
"""


class DependencyWaits:
    """The number of requests in flight that wait on each called service."""

    def __init__(self) -> None:
        self._waiting: dict[str, int] = {}

    def share_used_up(self, service: str, share: float, limit: int) -> bool:
        """Return whether the `share` of `limit` slots that may wait on a service is used up.

        At least one slot may always wait.
        """
        return self._waiting.get(service, 0) >= max(1, int(share * limit))

    def begin(self, service: str) -> None:
        """Record that one more request waits on a service."""
        self._waiting[service] = self._waiting.get(service, 0) + 1

    def end(self, service: str) -> None:
        """Record that a request no longer waits on a service."""
        self._waiting[service] -= 1
        if not self._waiting[service]:
            del self._waiting[service]

    def snapshot(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return dict(self._waiting)

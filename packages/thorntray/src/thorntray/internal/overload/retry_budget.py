"""Limits how many retries this node may cause at each service.

Load pattern: a service fails or refuses requests, every node retries them, and the retries keep
the service overloaded. The bound holds over all nodes together without a shared counter: each node
earns a ratio of the requests that it originates, plus its share of the slack that all nodes
together may use in one window. Nodes that are cut off share it too, as they may go on with their
part (`Membership.count_possible`). A restarted node begins without slack, since the process before
it may have spent it.

Retrying a request also repeats the calls it makes, so a retry is charged at every service of its
call tree.
"""

from typing import NamedTuple

from thorntray.internal.request.result import Costs


class RetryBudgetSettings(NamedTuple):
    """The bound for all nodes together, for each service."""

    ratio: float  # retries per original request
    slack: float  # further retries per window
    window: float  # seconds


SAFE_SHARE = 0.6  # share of the bound to use, since the windows of the nodes are not aligned
MAX_BANKED_WINDOWS = 0.5  # windows of unused slack that may be saved up


class RetryBudget:
    """A token bucket for each service."""

    def __init__(self, settings: RetryBudgetSettings, now: float) -> None:
        self._settings = settings
        self._nodes = 1
        self._tokens: dict[str, float] = {}
        self._refilled_at = now

    def set_nodes(self, nodes: int) -> None:
        """Set the number of nodes that share the slack."""
        self._nodes = max(1, nodes)

    def set_bound(self, settings: RetryBudgetSettings) -> None:
        """Replace the bound; what was saved up beyond a lower one is lost."""
        self._settings = settings
        most = self._max_tokens()
        self._tokens = {name: min(most, tokens) for name, tokens in self._tokens.items()}

    def deposit(self, service: str) -> None:
        """Add the tokens earned by one original request to a service."""
        self._tokens[service] = min(
            self._max_tokens(), self._tokens.get(service, 0.0) + self._settings.ratio * SAFE_SHARE
        )

    def refill(self, services: list[str], now: float) -> None:
        """Add the slack for the time since the last call; call regularly.

        `now` is in monotonic seconds.
        """
        elapsed = now - self._refilled_at
        self._refilled_at = now
        gain = self._slack_share() * elapsed / self._settings.window
        for service in services:
            self._tokens[service] = min(self._max_tokens(), self._tokens.get(service, 0.0) + gain)

    def try_spend(self, service: str, costs: Costs) -> bool:
        """Take the tokens for retrying a request to `service` whose call tree costs `costs`.

        Returns False and takes nothing if any service is short of tokens.
        """
        due = {name: use[1] for name, use in costs.items()}
        due[service] = max(1.0, due.get(service, 1.0))
        if any(self._tokens.get(name, 0.0) < calls for name, calls in due.items()):
            return False
        for name, calls in due.items():
            self._tokens[name] -= calls
        return True

    def remaining(self) -> dict[str, float]:
        """Return the retries that may still be caused, by service."""
        return dict(self._tokens)

    def _slack_share(self) -> float:
        return self._settings.slack * SAFE_SHARE / self._nodes

    def _max_tokens(self) -> float:
        return max(1.0, self._slack_share() * MAX_BANKED_WINDOWS) + self._settings.ratio * 10

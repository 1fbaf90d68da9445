"""How many repeated arrivals this node may cause at each service.

Load pattern: a service fails or refuses, and every node repeats what it refused, so that the
repeats keep it down. The bound holds over all nodes together without a shared counter: each node
earns a ratio of the requests that it originates and has its share of the slack that all may use
in one window. A restarted node begins without slack, since its predecessor may have spent it.

A repeat of a request that calls others repeats those calls too, so it is paid at every service
of its call tree.
"""

from typing import NamedTuple

from thorntray.internal.request.result import Costs


class BudgetTerms(NamedTuple):
    """The bound for all nodes together."""

    ratio: float  # repeats for each request
    slack: float  # repeats for each window
    window: float  # seconds


SAFE_SHARE = 0.6  # of the bound that is used; windows of nodes do not begin together
MAX_BANKED_WINDOWS = 0.5  # of a window's slack that may be spent at once


class RetryBudget:
    """Tokens for each service."""

    def __init__(self, terms: BudgetTerms, now: float) -> None:
        self._terms = terms
        self._nodes = 1
        self._tokens: dict[str, float] = {}
        self._filled_at = now

    def set_nodes(self, nodes: int) -> None:
        """Take how many nodes share the slack."""
        self._nodes = max(1, nodes)

    def earn(self, service: str) -> None:
        """Count one request that a client sent to a service."""
        self._tokens[service] = min(
            self._most(), self._tokens.get(service, 0.0) + self._terms.ratio * SAFE_SHARE
        )

    def refill(self, services: list[str], now: float) -> None:
        """Add the slack of the time that has passed; call now and then."""
        elapsed = now - self._filled_at
        self._filled_at = now
        gain = self._slack_share() * elapsed / self._terms.window
        for service in services:
            self._tokens[service] = min(self._most(), self._tokens.get(service, 0.0) + gain)

    def spend(self, service: str, costs: Costs) -> bool:
        """Pay for repeating a request at `service` whose tree costs `costs`; False if short."""
        due = {name: use[1] for name, use in costs.items()}
        due[service] = max(1.0, due.get(service, 1.0))
        if any(self._tokens.get(name, 0.0) < calls for name, calls in due.items()):
            return False
        for name, calls in due.items():
            self._tokens[name] -= calls
        return True

    def left(self) -> dict[str, float]:
        """Return the repeats that may still be caused at each service."""
        return dict(self._tokens)

    def _slack_share(self) -> float:
        return self._terms.slack * SAFE_SHARE / self._nodes

    def _most(self) -> float:
        return max(1.0, self._slack_share() * MAX_BANKED_WINDOWS) + self._terms.ratio * 10

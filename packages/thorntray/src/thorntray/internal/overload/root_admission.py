"""Admission of root requests at their entry node, by the expected cost of the whole call tree.

Load pattern: a surge, or clients that retry at once, ask for more than the most constrained
service of the call tree can serve. A call refused there wastes all work done above it. The entry
node, which is the origin of the root request, therefore learns from completed requests how much
each route uses of each service (`RouteCosts`), receives the current price of a slot-second there
(`PriceTable`), and admits the share of a route's requests that their worth pays for. The share
changes gradually around the break-even point. A small share of every route is always admitted, so
that no route is refused completely for long and prices are still reported.

With workspaces, the share of a route is distributed among them (`fair_share`), so that one that
sends many times its usual load does not crowd out the others. Requests without a workspace, as
those of an anonymous route, are admitted the share itself.

A call tree that will fail is worth nothing, however valuable its request. When most requests of a
route fail, its worth is reduced, and scarce slots go to requests that still succeed.
"""

import math
from typing import NamedTuple

from thorntray.internal.overload.fair_share import FairShare
from thorntray.internal.overload.slot_price import MIN_PRICE
from thorntray.internal.request.result import Costs, SlotUse
from thorntray.internal.version.workspaces import Workspace

COST_WEIGHT = 0.08  # weight of the newest request in a route's costs
SUCCESS_WEIGHT = 0.1  # weight of the newest request in a route's share of successes
MIN_SUCCESS_SHARE = 0.1  # share of successes below which a route's worth is not reduced further
PRICE_WEIGHT = 0.3  # weight of the newest report in a service's price
PRICE_HALF_LIFE = 0.7  # seconds in which a price falls to half after its hold time
PRICE_HOLD_TIME = 0.3  # seconds for which a reported price stays unchanged
ADMISSION_BAND = math.log(2.5)  # half width of the gradual zone, in log(price / worth)
MIN_SHARE = 0.3  # least admitted share of a route's requests, up to `MIN_SHARE_RATIO`
FLOOR_SHARE = 0.03  # least admitted share of a route's requests at any price
MIN_SHARE_RATIO = 3.0  # price / worth above which the least admitted share shrinks too


class RouteCosts:
    """Moving averages of the slot use and the successes of each route's requests."""

    def __init__(self) -> None:
        self._costs: dict[str, Costs] = {}
        self._success_shares: dict[str, float] = {}

    def record_success(self, route: str, costs: Costs) -> None:
        """Record the costs of one successful request."""
        self._update_success(route, 1.0)
        known = self._costs.setdefault(route, {})
        for service in known.keys() | costs.keys():
            old = known.get(service)
            new = costs.get(service, SlotUse(0.0, 0.0))
            if old is None:
                known[service] = SlotUse(*new)
                continue
            known[service] = SlotUse(
                old.seconds + COST_WEIGHT * (new[0] - old.seconds),
                old.calls + COST_WEIGHT * (new[1] - old.calls),
            )

    def record_failure(self, route: str, costs: Costs) -> None:
        """Record the costs of one request up to its failure.

        Its call tree was cut short, so its costs are a lower bound and only raise the average.
        When all requests of a route fail, as after a restart under overload, there is no other
        source, and a route without known costs would always be admitted.
        """
        self._update_success(route, 0.0)
        known = self._costs.setdefault(route, {})
        for service, use in costs.items():
            old = known.get(service, SlotUse(0.0, 0.0))
            weight = COST_WEIGHT if old.calls else 1.0
            known[service] = SlotUse(
                old.seconds + weight * max(0.0, use[0] - old.seconds),
                old.calls + weight * max(0.0, use[1] - old.calls),
            )

    def success_share(self, route: str) -> float:
        """Return the recent share of successes among a route's admitted requests.

        It is at least `MIN_SUCCESS_SHARE`, and 1 for an unknown route.
        """
        return max(MIN_SUCCESS_SHARE, self._success_shares.get(route, 1.0))

    def _update_success(self, route: str, succeeded: float) -> None:
        known = self._success_shares.get(route, 1.0)
        self._success_shares[route] = known + SUCCESS_WEIGHT * (succeeded - known)

    def get(self, route: str) -> Costs:
        """Return the average costs of one request of a route, empty if unknown."""
        return self._costs.get(route, {})


CLOSED_PRICE = 1000.0  # worth per slot-second; means that a service accepts no requests
CLOSED_PRICE_LIFETIME = 0.25  # seconds after which that price expires


class _Price(NamedTuple):
    value: float
    received_at: float  # monotonic seconds


class PriceTable:
    """The prices of a slot-second at each service, as reported with results."""

    def __init__(self) -> None:
        self._prices: dict[str, _Price] = {}
        self._closed_until: dict[str, float] = {}

    def update(self, called_service: str, prices: dict[str, float], now: float) -> None:
        """Store the prices that came with a result of `called_service`.

        An idle service reports no price, so a missing one counts as `MIN_PRICE`.
        """
        if called_service not in prices and called_service in self._prices:
            prices = {**prices, called_service: MIN_PRICE}
        for service, value in prices.items():
            if value >= CLOSED_PRICE:
                # Kept out of the average, so that the service reopens at its previous price.
                self._closed_until[service] = now + CLOSED_PRICE_LIFETIME
                continue
            self._closed_until.pop(service, None)
            old = self.price(service, now)
            self._prices[service] = _Price(old + PRICE_WEIGHT * (value - old), now)

    def price(self, service: str, now: float) -> float:
        """Return the price at `now`; a price without recent reports decays."""
        if now < self._closed_until.get(service, 0.0):
            return CLOSED_PRICE
        known = self._prices.get(service)
        if known is None:
            return MIN_PRICE
        stale_time = now - known.received_at - PRICE_HOLD_TIME
        if stale_time <= 0:
            return known.value
        return max(MIN_PRICE, known.value * 0.5 ** (stale_time / PRICE_HALF_LIFE))


def admitted_share(price: float, worth: float) -> float:
    """Return the share to admit of requests with this worth whose call tree costs `price`."""
    ratio = price / worth
    if ratio <= 0:
        return 1.0
    share = min(1.0, max(0.0, 0.5 - math.log(ratio) / (2 * ADMISSION_BAND)))
    min_share = MIN_SHARE
    if ratio > MIN_SHARE_RATIO:
        min_share = max(FLOOR_SHARE, MIN_SHARE * MIN_SHARE_RATIO / ratio)
    return max(share, min_share)


class RootAdmission:
    """Decides at the entry node whether to start the call tree of a request."""

    def __init__(self) -> None:
        self.costs = RouteCosts()
        self.prices = PriceTable()
        self.fair_share = FairShare()
        self._credit: dict[str, float] = {}
        self.shares: dict[str, float] = {}  # last admitted share, by route

    def tree_price(self, route: str, now: float) -> float:
        """Return the total price of the slots that a request will hold; idle services cost 0."""
        price = 0.0
        for service, use in self.costs.get(route).items():
            price += use.seconds * (self.prices.price(service, now) - MIN_PRICE)
        return price

    def admit(
        self, route: str, worth: float, now: float, workspace: Workspace | None = None
    ) -> bool:
        """Return whether a request of this worth may start.

        The share is kept exactly by accumulating credit, not by random choice.
        """
        expected_worth = worth * self.costs.success_share(route)
        share = admitted_share(self.tree_price(route, now), expected_worth)
        self.shares[route] = share
        if workspace is not None:
            return self.fair_share.admits((route, worth), workspace, share, now)
        credit = self._credit.get(route, 0.5) + share
        if credit >= 1.0:
            self._credit[route] = credit - 1.0
            return True
        self._credit[route] = credit
        return False

"""Admission of requests at their entry, by what their whole call tree will cost.

Load pattern: a surge, or clients that repeat at once, ask for more than the tightest service
down the tree can carry. A call that is refused there wastes the whole tree above it. So the
entry learns from ended requests what each route takes from each service (`RouteCosts`), hears
the present price of a slot-second there (`PriceTable`), and admits the share of a route's
requests that its worth pays for. Shares change gradually around the break-even point, and a
small share of every route stays admitted, so that nobody is shut out for long and prices are
heard again.

A tree that will fail is worth nothing, however valuable its request: when a route's requests
mostly end in failure, its worth counts less, and scarce slots go to what still succeeds.
"""

import math
from typing import NamedTuple

from thorntray.internal.overload.slot_price import MIN_PRICE
from thorntray.internal.request.result import Costs, SlotUse

COST_WEIGHT = 0.08  # of the newest request in a route's costs
SUCCESS_WEIGHT = 0.1  # of the newest request in a route's success
LEAST_SUCCESS = 0.1  # share of successes below which a route's worth falls no further
PRICE_WEIGHT = 0.3  # of the newest report of a service's price
PRICE_HALF_LIFE = 0.7  # seconds after which an unheard price has fallen to its half
PRICE_LIFETIME = 0.3  # seconds in which a price is taken as heard
BAND = math.log(2.5)  # half width of the gradual zone, in the logarithm of price over worth
LEAST_SHARE = 0.3  # of a route's requests, up to `CLOSING_RATIO`
LAST_SHARE = 0.03  # of a route's requests, however high the price
CLOSING_RATIO = 3.0  # price over worth from which the least share shrinks too
# Of one request; lower ranks count as the last. The first rank stands far above the others, so
# that it is still admitted when all others are down to their least shares.
WORTH_BY_PRIORITY = (8.0, 2.0, 1.0)


def worth_of(priority: int) -> float:
    """Return the worth of a request of a rank, 0 being the most valued."""
    return WORTH_BY_PRIORITY[min(max(priority, 0), len(WORTH_BY_PRIORITY) - 1)]


class RouteCosts:
    """Moving average of what one request of each route takes from each service."""

    def __init__(self) -> None:
        self._costs: dict[str, Costs] = {}
        self._success: dict[str, float] = {}

    def note(self, route: str, costs: Costs) -> None:
        """Take what one served request took."""
        self._note_end(route, 1.0)
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

    def note_failed(self, route: str, costs: Costs) -> None:
        """Take what one failed request took before it failed.

        Its tree was cut short, so it shows no less than the costs of a whole one. When all
        requests of a route fail, as after a restart under overload, there is nothing else to
        learn from, and a route without known costs would be admitted for ever.
        """
        self._note_end(route, 0.0)
        known = self._costs.setdefault(route, {})
        for service, use in costs.items():
            old = known.get(service, SlotUse(0.0, 0.0))
            weight = COST_WEIGHT if old.calls else 1.0
            known[service] = SlotUse(
                old.seconds + weight * max(0.0, use[0] - old.seconds),
                old.calls + weight * max(0.0, use[1] - old.calls),
            )

    def success(self, route: str) -> float:
        """Return the share of a route's begun requests that lately succeeded."""
        return max(LEAST_SUCCESS, self._success.get(route, 1.0))

    def _note_end(self, route: str, succeeded: float) -> None:
        known = self._success.get(route, 1.0)
        self._success[route] = known + SUCCESS_WEIGHT * (succeeded - known)

    def of(self, route: str) -> Costs:
        """Return the costs of a route, empty when unknown."""
        return self._costs.get(route, {})


CLOSED_PRICE = 1000.0  # worth per slot-second, tells that a service takes nothing
CLOSED_FOR = 0.25  # seconds for which that word counts


class _Price(NamedTuple):
    value: float
    at: float  # monotonic seconds


class PriceTable:
    """The prices of slot-seconds as results have told them."""

    def __init__(self) -> None:
        self._prices: dict[str, _Price] = {}
        self._closed_until: dict[str, float] = {}

    def hear(self, asked: str, prices: dict[str, float], now: float) -> None:
        """Take the prices that came with a result of the service `asked`.

        An idle service does not tell its price.
        """
        if asked not in prices and asked in self._prices:
            prices = {**prices, asked: MIN_PRICE}
        for service, value in prices.items():
            if value >= CLOSED_PRICE:
                # No part of the average: the service opens again at its old price.
                self._closed_until[service] = now + CLOSED_FOR
                continue
            self._closed_until.pop(service, None)
            old = self.price(service, now)
            self._prices[service] = _Price(old + PRICE_WEIGHT * (value - old), now)

    def price(self, service: str, now: float) -> float:
        """Return the price now; what was not heard lately fades."""
        if now < self._closed_until.get(service, 0.0):
            return CLOSED_PRICE
        known = self._prices.get(service)
        if known is None:
            return MIN_PRICE
        unheard = now - known.at - PRICE_LIFETIME
        if unheard <= 0:
            return known.value
        return max(MIN_PRICE, known.value * 0.5 ** (unheard / PRICE_HALF_LIFE))


def admitted_share(price: float, worth: float) -> float:
    """Return the share of requests to admit whose tree costs `price` and brings `worth`."""
    ratio = price / worth
    if ratio <= 0:
        return 1.0
    share = min(1.0, max(0.0, 0.5 - math.log(ratio) / (2 * BAND)))
    least = LEAST_SHARE
    if ratio > CLOSING_RATIO:
        least = max(LAST_SHARE, LEAST_SHARE * CLOSING_RATIO / ratio)
    return max(share, least)


class RootAdmission:
    """Decides at a request's entry whether its call tree is begun."""

    def __init__(self) -> None:
        self.costs = RouteCosts()
        self.prices = PriceTable()
        self._credit: dict[str, float] = {}
        self.shares: dict[str, float] = {}  # as last used, by route

    def tree_price(self, route: str, now: float) -> float:
        """Return the summed price of all slots that a request will hold; idle ones cost nothing."""
        price = 0.0
        for service, use in self.costs.of(route).items():
            price += use.seconds * (self.prices.price(service, now) - MIN_PRICE)
        return price

    def admit(self, route: str, priority: int, now: float) -> bool:
        """Return whether a request may begin; shares are kept by counting, not by chance."""
        worth = worth_of(priority) * self.costs.success(route)
        share = admitted_share(self.tree_price(route, now), worth)
        self.shares[route] = share
        credit = self._credit.get(route, 0.5) + share
        if credit >= 1.0:
            self._credit[route] = credit - 1.0
            return True
        self._credit[route] = credit
        return False

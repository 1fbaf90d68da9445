"""The price of a slot-second: how much value a call tree must bring to be worth a slot here.

Load pattern: a service deep in the call graph is short of slots for as long as the surge lasts.
Refusing there wastes all that its callers have already spent, so the callers' entry must know
how short it is. One number says it: the price rises while more work is present than the slots
carry and falls while slots are free. An entry admits a request if its worth covers the prices
of all slots that its tree will hold, which is the dual form of filling scarce slots with the most
valuable work.

The price has two parts: one that remembers, so that a lasting shortage keeps its price, and one
that follows the load of this moment, so that a queue that has just formed or gone acts at once.
"""

import math

MIN_PRICE = 0.2  # worth per slot-second, of an idle instance
MAX_PRICE = 20.0
RISE_PER_SECOND = 2.5  # exponent, at twice the work that the slots carry
FALL_PER_SECOND = 2.0  # exponent, for an idle instance
CALM_LOAD = 0.92  # share of slots in use below which the price falls
MAX_OVERLOAD = 2.0  # load beyond the limit that still speeds up the rise


LOAD_GAIN = 0.8  # exponent of the immediate part, for each full limit of load
LOAD_GAIN_LIMIT = 1.5  # largest exponent of the immediate part, either way


class SlotPrice:
    """Price of one instance's slots, moved by its load."""

    def __init__(self, now: float) -> None:
        self.price = MIN_PRICE
        self._lasting = MIN_PRICE
        self._at = now

    def update(self, present: int, limit: int, now: float) -> float:
        """Take the requests that are present, running or waiting; returns the price."""
        elapsed = min(now - self._at, 0.5)
        self._at = now
        load = present / limit if limit else 1.0
        if load > 1.0:
            exponent = RISE_PER_SECOND * min(load - 1.0, MAX_OVERLOAD) * elapsed
        elif load < CALM_LOAD:
            exponent = -FALL_PER_SECOND * (CALM_LOAD - load) / CALM_LOAD * elapsed
        else:
            exponent = 0.0
        self._lasting = min(MAX_PRICE, max(MIN_PRICE, self._lasting * math.exp(exponent)))
        immediate = min(LOAD_GAIN_LIMIT, max(-LOAD_GAIN_LIMIT, LOAD_GAIN * (load - 1.0)))
        self.price = max(MIN_PRICE, self._lasting * math.exp(immediate))
        return self.price

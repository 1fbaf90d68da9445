"""Price of a slot-second: the value that a call tree must bring to justify holding a slot here.

Load pattern: a service deep in the call graph is short of slots for as long as a surge lasts.
Refusing requests there wastes all that its callers have already spent, so the entry node must
know how scarce the slots are. The price expresses this as one number: it rises while more
requests are present than the slots can serve, and falls while slots are free. The entry node
admits a request if its worth covers the prices of all slots that its call tree will hold. This is
the dual form of assigning scarce slots to the most valuable work.

The price has two parts: an integral part, so that the price persists as long as the shortage, and
a proportional part that follows the current load, so that a queue that has just formed or drained
takes effect at once.
"""

import math

MIN_PRICE = 0.2  # worth per slot-second, at an idle instance
MAX_PRICE = 20.0  # worth per slot-second, of the integral part
RISE_PER_SECOND = 2.5  # growth rate of the integral part, at a load of twice the limit
FALL_PER_SECOND = 2.0  # decay rate of the integral part, at an idle instance
USUAL_WAITING = 1  # waiting requests that are no sign of a shortage
PRICE_FALL_LOAD = 0.92  # load, as a share of the limit, below which the integral part falls
MAX_OVERLOAD = 2.0  # load above the limit beyond which the rise does not get faster
PROPORTIONAL_GAIN = 0.8  # exponent of the proportional part, per load above or below the limit
MAX_PROPORTIONAL_EXPONENT = 1.5  # bound on that exponent in either direction


class SlotPrice:
    """Price of one instance's slots, adjusted to its load."""

    def __init__(self, now: float) -> None:
        self.price = MIN_PRICE
        self._integral = MIN_PRICE
        self._updated_at = now

    def update(self, present: float, limit: float, now: float) -> float:
        """Adjust the price to the requests present, running or waiting, and return it."""
        elapsed = min(now - self._updated_at, 0.5)
        self._updated_at = now
        load = max(0, present - USUAL_WAITING) / limit if limit else 1.0
        if load > 1.0:
            exponent = RISE_PER_SECOND * min(load - 1.0, MAX_OVERLOAD) * elapsed
        elif load < PRICE_FALL_LOAD:
            exponent = -FALL_PER_SECOND * (PRICE_FALL_LOAD - load) / PRICE_FALL_LOAD * elapsed
        else:
            exponent = 0.0
        self._integral = min(MAX_PRICE, max(MIN_PRICE, self._integral * math.exp(exponent)))
        proportional = min(
            MAX_PROPORTIONAL_EXPONENT,
            max(-MAX_PROPORTIONAL_EXPONENT, PROPORTIONAL_GAIN * (load - 1.0)),
        )
        self.price = max(MIN_PRICE, self._integral * math.exp(proportional))
        return self.price

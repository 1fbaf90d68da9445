"""How long ago the platform's store has last answered a watcher, as far as this node knows.

Fault: a watch call whose answer is lost looks like one without changes, and all watches of a fleet
may be lost at once. A policy version alone does not show that: a node knows which one it has, and
not since when nobody could have contradicted it.

So each membership datagram tells the age of the newest answer that its sender knows of, and a node
takes the youngest. Ages count from when a datagram comes, as the clocks of nodes differ. An age
that is passed on grows by `HOP_TIME`: without it, each hop would take the time of the datagram off,
and an answer that many nodes pass on would seem to grow no older.
"""

from math import inf

from thorntray.internal.membership.gossip import Revisions
from thorntray.internal.process.clock import Clock

# Key of the age in `Revisions`, in milliseconds. A node that does not know the key ignores it.
AGE_KEY = "policy-age"
HOP_TIME = 0.05  # seconds; more than a datagram takes
MAX_TOLD_AGE = 30.0  # seconds; an older answer says nothing that a node could use
MS_PER_SECOND = 1000


class StoreContact:
    """The newest answer of the store to any watcher that this node has heard of."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.newest = -inf  # boot time in seconds
        self._is_own = False  # whether it was an answer to this node

    @property
    def age(self) -> float:
        """Return the seconds since that answer, infinity if there is none."""
        return self._clock.boottime() - self.newest

    def answered(self) -> None:
        """Record that the store has just answered a call of this node."""
        self.newest = self._clock.boottime()
        self._is_own = True

    def revisions(self) -> Revisions:
        """Return the age in the form in which datagrams carry it."""
        age = self.age if self._is_own else self.age + HOP_TIME
        return {AGE_KEY: int(age * MS_PER_SECOND)} if 0 <= age <= MAX_TOLD_AGE else {}

    def hear(self, revisions: Revisions) -> float | None:
        """Take the age that a datagram tells; return it in seconds if it is news, else None."""
        told = revisions.get(AGE_KEY)
        if told is None or not 0 <= told <= MAX_TOLD_AGE * MS_PER_SECOND:
            return None
        age = told / MS_PER_SECOND
        at = self._clock.boottime() - age
        if at <= self.newest:
            return None
        self.newest, self._is_own = at, False
        return age

"""Decides when a node on duty has to take its watch of the policy for lost.

Load pattern: the store is silent for a moment, all open watch calls are lost with it, and many
nodes are killed as it answers again. Nothing tells the others that their calls are lost, and if all
of them asked at short intervals to find out, the calls to the store would grow with the watchers.

So one watcher is checked: its calls wait for `CHECKED_WAIT` only, and it tells all watchers of each
answer (`store.store_contact`). A watcher that has heard of none for `PROBE_AGE` asks others by
datagram; at `MAX_AGE` it takes its own call for lost and reads the store. The first `FIRST_TURNS`
living watchers do so at once, one after the other, and the others later, so that a long silence
costs few calls. Whoever is answered first tells the others and is checked from then on, until one
that comes before it in the order of the duty is answered again. So the wait of every watcher ends
by its own clock, whoever was to check and whatever has become of it.

The first watchers that hear of an answer after such a silence renew their lost calls within
`RENEWAL_SPREAD`, so that the next death of a checked watcher finds other watches open.
"""

from collections import Counter
from math import inf
from random import Random

from thorntray.internal.membership.gossip import Revisions
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.store_contact import HOP_TIME, StoreContact
from thorntray.internal.store.watch_duty import WatchDuty

# All times are in seconds.
TELL_PERIOD = 0.7  # least time between two tellings of the same version
PROBE_AGE = 1.2  # soon after the answer of the checked watcher was due
MAX_AGE = 1.5  # leaves the rest of a bound of two seconds for the read and for the peers
TURN_STEP = 0.03  # between the turns of two watchers; more than the time of a read and a datagram
FIRST_TURNS = 4  # watchers that read at once; in as many domains, if there are
# The others wait until the first ones have been answered, or are suspected of being dead.
LATER_DELAY = 0.8
LATER_STEP = 0.5
RENEWAL_SPREAD = 1.0
FRESH_AGE = HOP_TIME / 2  # at most, of an answer that the sender of a datagram has just got itself
MIN_STEP, MAX_STEP = 0.02, 0.25  # between two looks at the state


class WatchCheck:
    """The state of one node; `contact` is what it knows of the store's answers."""

    def __init__(self, membership: Membership, duty: WatchDuty, clock: Clock, rng: Random) -> None:
        self.contact = StoreContact(clock)
        self._membership = membership
        self._duty = duty
        self._clock = clock
        self._rng = rng
        self._stands_in = False  # whether this node is checked in place of the first watcher
        self._told_at = -inf  # boot time
        self._told_version = 0
        self._probed_for = -inf  # the newest answer, boot time, when others were asked for newer
        self._turn_jitter = rng.random()
        self._started_at = clock.boottime()
        self._renew_at = inf  # boot time

    @property
    def is_checked(self) -> bool:
        """Return whether the store has to answer this node's watch soon also without changes."""
        return self._stands_in or self._duty.is_first

    def answered(self, version: int) -> None:
        """Record an answer of the store to this node, whose policy has `version` now."""
        if MAX_AGE < self.contact.age < inf and self._duty.on_duty():
            self._stands_in = True
        self.contact.answered()
        self._renew_at = inf
        if self.is_checked:
            self._tell(version)

    def hear(self, sender: Member, revisions: Revisions) -> None:
        """Take what a peer's datagram tells of the store's answers."""
        silence_began = self.contact.newest
        age = self.contact.hear(revisions)
        if age is None:
            return
        if age <= FRESH_AGE and self._duty.precedes(sender.name, self._membership.own.name):
            self._stands_in = False
        was_silent = self.contact.newest - silence_began > MAX_AGE
        if was_silent and self._renew_at == inf and self.is_among_first:
            self._renew_at = self._clock.boottime() + RENEWAL_SPREAD * self._rng.random()

    @property
    def is_overdue(self) -> bool:
        """Return whether this node has to take its open watch call for lost."""
        now = self._clock.boottime()
        if now >= self._renew_at:
            return True
        return self.contact.age > MAX_AGE and now >= self._own_turn()

    def ask_peers(self) -> None:
        """Probe other watchers once if no answer of the store was heard of when one was due."""
        if self.contact.age >= PROBE_AGE and self._probed_for != self.contact.newest:
            self._probed_for = self.contact.newest
            self._probe_watchers()

    @property
    def until_next_step(self) -> float:
        """Return the seconds until peers are to be asked or the watch may be overdue."""
        age, now = self.contact.age, self._clock.boottime()
        if age < PROBE_AGE:
            pause = PROBE_AGE - age
        elif age <= MAX_AGE:
            pause = MAX_AGE - age
        else:
            pause = self._own_turn() - now
        return max(MIN_STEP, min(pause, self._renew_at - now, MAX_STEP))

    @property
    def is_among_first(self) -> bool:
        """Return whether this node is one of the few that read the store at once in a silence."""
        return self._own_place() < FIRST_TURNS

    def _own_turn(self) -> float:
        """Return the boot time at which this node reads the store if nobody hears from it."""
        place = self._own_place()
        if place < FIRST_TURNS:
            delay = place * TURN_STEP
        else:
            delay = LATER_DELAY + (place - FIRST_TURNS + self._turn_jitter) * LATER_STEP
        return max(self.contact.newest, self._started_at) + MAX_AGE + delay

    def _own_place(self) -> int:
        """Return how many living watchers have their turn before this node.

        The first ones of all domains come before the second ones, as a domain may die as a whole.
        """
        ranks: Counter[str] = Counter()
        order: list[tuple[int, int, str]] = []
        for index, member in enumerate(self._duty.watchers()):
            if member.health is Health.ALIVE:
                order.append((ranks[member.domain], index, member.name))
                ranks[member.domain] += 1
        names = [name for _, _, name in sorted(order)]
        own = self._membership.own.name
        return names.index(own) if own in names else len(names)

    def _probe_watchers(self) -> None:
        """Ping the first watcher and a random one, whose answers tell what they know.

        The order is that of the list: that of a set of strings differs between processes, and with
        it the random draws of a run that is to repeat.
        """
        own = self._membership.own.name
        others = [member.name for member in self._duty.watchers() if member.name != own]
        for name in dict.fromkeys([*others[:1], *self._rng.sample(others, min(1, len(others)))]):
            self._membership.probe_now(name)

    def _tell(self, version: int) -> None:
        now = self._clock.boottime()
        if version == self._told_version and now - self._told_at < TELL_PERIOD:
            return
        self._told_at, self._told_version = now, version
        own = self._membership.own.name
        self._membership.tell_revisions([m for m in self._duty.watchers() if m.name != own])

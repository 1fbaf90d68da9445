"""Decides which nodes watch the policy in the platform's store themselves.

Load pattern: a change of the policy wakes every open watch, and each woken watch is one more call
to the store, so with a watch at every node the calls for one change grow with the fleet. Therefore
only a few nodes of each failure domain watch, chosen by rendezvous hashing: several, so that a
stalled watch, or a node that the store refuses, delays nobody. The others learn of a new version
from datagrams and fetch it from a peer, preferably one in their own domain.

A watch call whose answer is lost looks like one without changes: the connection is alive, and other
calls are answered again. So the first watcher of all alive members lets the store wait for
`CHECKED_WAIT` only, and tells the others that it was answered (`store.watch_check`). Each side of a
partition has such a watcher.

A node cannot rely on its peers while its probes of them are not answered. It then watches the store
itself, and continues to do so for `ISOLATION_HOLD` after the probes are answered again.
"""

from random import Random

from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.seeds import Seeds, role_holders, role_rank

WATCHERS_PER_DOMAIN = 4
EVIDENCE_WATCHERS = 2  # of these, watchers that renew evidence in calls with a short wait
# Seconds for which the store may hold the watch call of that watcher: the others have to notice
# that no answer came, and to read the store, within two seconds.
CHECKED_WAIT = 1.0
POLICY_WATCH_ROLE = "policy"
START_PATIENCE = 3.0  # seconds after its start for which a node waits for a complete view
ISOLATION_HOLD = 5.0  # seconds


class WatchDuty:
    """Whether this node watches the policy, and from which peer it fetches a new version."""

    def __init__(self, membership: Membership, seeds: Seeds, clock: Clock, rng: Random) -> None:
        self._membership = membership
        self._seeds = seeds
        self._clock = clock
        self._rng = rng
        self._started_at = clock.monotonic()
        self._isolated_until = float("-inf")

    def on_duty(self) -> bool:
        """Return whether this node has to watch the store now."""
        now = self._clock.monotonic()
        if not self._seeds.settled and now - self._started_at < START_PATIENCE:
            return False
        if not self._membership.connected:
            self._isolated_until = now + ISOLATION_HOLD
        if now < self._isolated_until:
            return True
        own = self._membership.own
        return own.name in self._watchers(own.domain)

    def renews_evidence(self) -> bool:
        """Return whether this node has to ask the store at short intervals for what is newest."""
        own = self._membership.own
        isolated = self.on_duty() and self._clock.monotonic() < self._isolated_until
        return isolated or own.name in self._watchers(own.domain, EVIDENCE_WATCHERS)

    def watch_wait(self) -> float | None:
        """Return after how many seconds a watch is to be answered; None: whenever it suits."""
        alone = self._clock.monotonic() < self._isolated_until
        return CHECKED_WAIT if alone or self.is_first else None

    @property
    def is_first(self) -> bool:
        """Return whether this node is the first watcher of all alive members."""
        firsts = role_holders(self._membership.alive(), None, POLICY_WATCH_ROLE, 1)
        return self._membership.own.name in firsts

    def watchers(self) -> list[Member]:
        """Return the watchers of all failure domains, this node included, the first one first."""
        alive = self._membership.alive()
        names: set[str] = set()
        for domain in {member.domain for member in alive}:
            names |= role_holders(alive, domain, POLICY_WATCH_ROLE, WATCHERS_PER_DOMAIN)
        watchers = [member for member in alive if member.name in names]
        return sorted(watchers, key=lambda m: role_rank(POLICY_WATCH_ROLE, m.name), reverse=True)

    def precedes(self, name: str, other: str) -> bool:
        """Return whether a watcher comes before another one in that order."""
        return role_rank(POLICY_WATCH_ROLE, name) > role_rank(POLICY_WATCH_ROLE, other)

    def source_for(self, sender: Member) -> Member:
        """Return the peer from which to fetch a version that `sender` has told of."""
        own = self._membership.own
        if sender.domain == own.domain:
            return sender
        watchers = self.watchers_of(own.domain)
        return self._rng.choice(watchers) if watchers else sender

    def watchers_of(self, domain: str) -> list[Member]:
        """Return the members of a failure domain that watch the policy, without this node."""
        return self._others(self._watchers(domain))

    def evidence_watchers_of(self, domain: str) -> list[Member]:
        """Return the members of a failure domain that renew evidence, without this node."""
        return self._others(self._watchers(domain, EVIDENCE_WATCHERS))

    def _others(self, names: set[str]) -> list[Member]:
        members = [self._membership.find(name) for name in sorted(names)]
        own = self._membership.own.name
        return [member for member in members if member is not None and member.name != own]

    def _watchers(self, domain: str, count: int = WATCHERS_PER_DOMAIN) -> set[str]:
        return role_holders(self._membership.alive(), domain, POLICY_WATCH_ROLE, count)


class EveryNode:
    """The duty of a node that always watches the store."""

    def on_duty(self) -> bool:
        """Return True."""
        return True

    def watch_wait(self) -> float | None:
        """Return None."""
        return None

    def source_for(self, sender: Member) -> Member:
        """Return `sender`."""
        return sender

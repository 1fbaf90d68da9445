"""Decides for how much of the fleet a coordinator may grant a quota: the part that it reaches now.

The fault: a coordinator is cut off and does not notice for seconds, as it learns only from its own
probes that the others are silent. They use their own shares of the quota and choose another
coordinator meanwhile, and both sides use all of it.

So a coordinator needs the continual assent of the others. It checks some members of each failure
domain every `CHECK_PERIOD`, and each answer lets it grant for that domain until `RIGHT_TIME` after
the check was *sent*, by its own boot time. Members do not answer one that they suspect. No answer
is needed for its own share.

Tokens granted at the end of that time are spent within `quota_tokens.TOKEN_LIFETIME`, and others
use their shares `quota_tokens.SHARE_DELAY` after their last sign of the coordinator. That is the
sum of the two times, so the right of one side ends before that of the other begins.

Nodes of the release before do not answer checks. A failure domain in which no process ever did
counts as reached while its members are taken for alive, as in that release.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from thorntray.internal.membership.member import Health, Member

CHECK_PERIOD = 0.2  # seconds
RIGHT_TIME = 0.6  # seconds after a check was sent; two of three may be lost
MAX_CHECKS = 6  # in each period, so that the load does not grow with the failure domains
DISCOVERY_SHARE = 0.2  # of the checks, to members that have not answered any yet
# Seconds between looks at all members. Their health in between is in the share of alive members.
UPDATE_PERIOD = 0.5
ACTIVE_TIME = 5.0  # seconds after the last query for which the checks go on
FIRST_ANSWER_TIME = 0.03  # seconds in which answers to the first checks may come


class _Process(NamedTuple):
    """One process of a member."""

    name: str
    session: bytes


class _Check(NamedTuple):
    """A check that was sent."""

    process: _Process
    domain: str
    sent_at: float


class QuotaReach:
    """The failure domains that this node reaches as a coordinator. Times are boot times."""

    def __init__(self, own_name: str, rng: Random) -> None:
        self._own = own_name
        self._rng = rng
        self._others: dict[str, list[Member]] = {}  # alive ones, by failure domain
        self._reached_until: dict[str, float] = {}  # by failure domain
        self._checks: dict[int, _Check] = {}
        self._sequence = rng.getrandbits(31)
        self._answering: set[_Process] = set()
        self._next_domain = 0
        self._used_at = float("-inf")
        self._began_at = float("-inf")  # when the checks began
        self._next_at = float("-inf")
        self._next_update = float("-inf")

    def update(self, members: Iterable[Member], now: float) -> None:
        """Take over the current members, not at each call."""
        if now < self._next_update:
            return
        self._next_update = now + UPDATE_PERIOD
        others: dict[str, list[Member]] = {}
        for member in members:
            if member.health is Health.ALIVE and member.name != self._own:
                others.setdefault(member.domain, []).append(member)
        self._others = others
        processes = {_process(member) for group in others.values() for member in group}
        self._answering &= processes

    def use(self, now: float) -> bool:
        """Record that this node answers a query now; return whether it knows what it reaches.

        If not, checks are due at once, and the query is better answered when it is repeated.
        """
        idle = now - self._used_at > ACTIVE_TIME
        self._used_at = now
        if idle:
            self._began_at = self._next_at = now
        return now - self._began_at > FIRST_ANSWER_TIME or self.reached(now) >= self._size

    def due_checks(self, now: float) -> list[tuple[int, Member]]:
        """Return the checks to send now, with their sequence numbers."""
        if now < self._next_at or now - self._used_at > ACTIVE_TIME:
            return []
        self._next_at = now + CHECK_PERIOD * self._rng.uniform(0.9, 1.1)
        self._forget_checks(now)
        checks = []
        for domain in self._domains_to_check():
            member = self._choose(self._others[domain])
            self._sequence += 1
            self._checks[self._sequence] = _Check(_process(member), domain, now)
            checks.append((self._sequence, member))
        return checks

    def record_answer(self, sequence: int) -> None:
        """Record that a check was answered."""
        check = self._checks.pop(sequence, None)
        if check is None:
            return
        self._answering.add(check.process)
        until = max(self._reached_until.get(check.domain, 0.0), check.sent_at + RIGHT_TIME)
        self._reached_until[check.domain] = until

    def reached(self, now: float) -> int:
        """Return the number of members for which this node may grant, itself included."""
        return 1 + sum(
            len(group) for domain, group in self._others.items() if self._reaches(domain, now)
        )

    @property
    def _size(self) -> int:
        return 1 + sum(len(group) for group in self._others.values())

    def _reaches(self, domain: str, now: float) -> bool:
        if now < self._reached_until.get(domain, 0.0):
            return True
        return not any(_process(member) in self._answering for member in self._others[domain])

    def _domains_to_check(self) -> list[str]:
        """Return the failure domains of this period, in turn if there are many."""
        domains = sorted(self._others)
        if len(domains) <= MAX_CHECKS:
            return domains
        first = self._next_domain % len(domains)
        self._next_domain = first + MAX_CHECKS
        return (domains + domains)[first : first + MAX_CHECKS]

    def _choose(self, group: list[Member]) -> Member:
        answering = [member for member in group if _process(member) in self._answering]
        if answering and self._rng.random() >= DISCOVERY_SHARE:
            return self._rng.choice(answering)
        return self._rng.choice(group)

    def _forget_checks(self, now: float) -> None:
        expired = [n for n, check in self._checks.items() if now - check.sent_at > RIGHT_TIME]
        for sequence in expired:
            del self._checks[sequence]


def _process(member: Member) -> _Process:
    return _Process(member.name, member.session)

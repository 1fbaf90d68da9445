"""Fetches a policy version that this node has heard of, from one peer after the other.

Fault: the peer that is asked may be dead, paused, cut off or behind itself, and the datagram that
told of the version may not come again. So each request that brings nothing is followed by one to
another peer, by this node's own clock, until the version is in force.

A document that this build cannot read is not asked for again for `REFUSED_TIME`: all peers have the
same one, and a fleet of older builds would ask for it without end.
"""

import asyncio
from collections.abc import Callable
from random import Random

from thorntray.internal.connection.frame import FetchPolicy
from thorntray.internal.connection.link import Links
from thorntray.internal.membership.member import Member
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.policy import PolicyHolder

# All times are in seconds.
RETRY_DELAY = 0.3  # until another peer is asked
MAX_RETRY_DELAY = 2.0
STORE_PATIENCE = 0.8  # until a version that has not arrived is read from the store
MAX_STORE_PATIENCE = 16.0  # the same after reads that did not bring it
REFUSED_TIME = 30.0
MAX_TELLERS = 8  # peers that are remembered as holders of the version


class PolicyFetch:
    """What one node knows of versions above the one in force, and whom it asks.

    `source_for` returns the peer to ask first, given the one that has told of a version.
    """

    def __init__(
        self,
        holder: PolicyHolder,
        links: Links,
        source_for: Callable[[Member], Member],
        rng: Random,
    ) -> None:
        self._holder = holder
        self._links = links
        self._source_for = source_for
        self._rng = rng
        self._wanted = 0  # highest version that any peer has told of since the node fell behind
        self._heard_at = 0.0  # event loop time at which the node fell behind
        self._tellers: dict[str, Member] = {}  # peers with a newer version, by name
        self._asked: set[str] = set()  # names of those asked since all had been asked
        self._delay = RETRY_DELAY
        self._timer: asyncio.TimerHandle | None = None
        self._refused: tuple[int, float] = (0, 0.0)  # version and event loop time of its end
        self._read_after = 0.0  # event loop time from which on the store is to be read
        self._patience = STORE_PATIENCE

    @property
    def is_behind(self) -> bool:
        """Return whether a readable version above the one in force is known."""
        return self._wanted > self._holder.version and not self._is_refused(self._wanted)

    @property
    def behind(self) -> float:
        """Return for how many seconds such a version has been known, 0 if there is none."""
        return _now() - self._heard_at if self.is_behind else 0.0

    @property
    def is_read_due(self) -> bool:
        """Return whether the version has not arrived in time and is to be read from the store."""
        return self.is_behind and _now() >= self._read_after

    def hear(self, sender: Member, version: int) -> None:
        """Take from a peer that it has a version, and fetch it if it is newer."""
        if version <= self._holder.version or self._is_refused(version):
            return
        if not self.is_behind:
            self._fall_behind(sender, version)
        self._wanted = max(self._wanted, version)
        # All that have any newer version: the highest one may be a mistake of a single peer.
        self._tellers.pop(sender.name, None)
        self._tellers[sender.name] = sender
        while len(self._tellers) > MAX_TELLERS:
            del self._tellers[next(iter(self._tellers))]
        if self._timer is None:
            self._ask(self._source_for(sender))

    def _fall_behind(self, sender: Member, version: int) -> None:
        self._heard_at = _now()
        self._wanted = version
        self._tellers.clear()
        self._asked.clear()
        self._delay, self._patience = RETRY_DELAY, STORE_PATIENCE
        self._read_after = self._heard_at + STORE_PATIENCE
        log_event(
            Event.POLICY_HEARD, version=version, known=self._holder.version, source=sender.name
        )

    def refuse(self, version: int) -> None:
        """Record that the document of a version cannot be read by this build."""
        self._refused = (version, _now() + REFUSED_TIME)

    def store_read(self) -> None:
        """Record that the store was asked; if that has not brought the version, wait longer."""
        self._patience = min(MAX_STORE_PATIENCE, 2 * self._patience)
        self._read_after = _now() + self._patience * (0.5 + self._rng.random())

    def _ask(self, member: Member) -> None:
        self._asked.add(member.name)
        self._links.link_to(member).send(FetchPolicy(self._holder.version))
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._delay, self._ask_another)
        self._delay = min(MAX_RETRY_DELAY, self._delay * 1.5)

    def _ask_another(self) -> None:
        self._timer = None
        if not self.is_behind:
            return
        fresh = [member for name, member in self._tellers.items() if name not in self._asked]
        if not fresh:
            self._asked.clear()
            fresh = list(self._tellers.values())
        self._ask(self._rng.choice(fresh))

    def _is_refused(self, version: int) -> bool:
        refused, until = self._refused
        return version <= refused and _now() < until


def _now() -> float:
    return asyncio.get_running_loop().time()

"""Renews the evidence that this node's policy is the newest one (`version.freshness`).

Load pattern: revocation within seconds needs evidence every fraction of a second at every node, and
a fleet whose nodes all ask the store has calls that grow with the fleet. So only two watchers of a
failure domain ask it (`store.watch_duty`), with watch calls that the store answers soon even
without changes. Every other node asks a watcher of its domain by datagram, and stays with one whose
evidence is first-hand. Evidence that grows old is sought ever further away: at watchers of other
domains and at random members, which may have it from others, and at last at the store itself, with
a back-off, so that a store that is down for all sees a bounded number of calls from each node. A
node whose own call was answered makes the next one soon, as others may rely on it.

The periods keep evidence at 0.2 x the revocation bound of 5 s or below at each node while no call
or datagram is lost: a watcher's is at most two watch waits old, since it counts from the sending of
the call, and another node's one query period more. So a node that loses the store serves keys for
0.6 x the bound afterwards.

Sequence numbers start at random, so that a reply to the process before a restart is not taken.
"""

import asyncio
from collections.abc import Awaitable, Callable
from math import inf
from random import Random
from typing import NamedTuple

from thorntray.internal.membership.gossip import (
    Address,
    Datagram,
    PolicyCheck,
    PolicyChecked,
)
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock
from thorntray.internal.store.watch_duty import WatchDuty
from thorntray.internal.telemetry.events import Event, log_event
from thorntray.internal.version.freshness import Evidence, Freshness
from thorntray.internal.version.policy import PolicyHolder

# All times are in seconds, for a revocation bound of `FULL_PERIODS_BOUND` or more.
WATCH_WAIT = 0.25  # within which the store answers a watch without changes
FIRST_WATCH_WAIT = 0.1  # the same while a node that has just started has no evidence
QUERY_PERIOD = 0.3  # between queries to a watcher of the own domain
FIRST_HAND_AGE = 0.75  # highest age of a watcher's evidence, with a margin for slow answers
LATE_WATCH_AGE = 1.0  # age of a watcher's evidence from which on it queries other watchers
FOREIGN_QUERY_AGE = 1.5  # age from which on nodes outside the domain are queried too
STORE_CHECK_AGE = 2.2  # age from which on the node asks the store itself
STORE_RECHECK_AGE = 1.0  # the same while the node's own calls renew the evidence, also for others
STORE_CHECK_SPREAD = 1.0  # over which the nodes of a fleet spread their first calls to the store
RELAY_QUERIES = 2  # members of the own domain that are queried in a period, beside the last relay
FIRST_STORE_BACKOFF = 0.5  # after an own call to the store, doubled for each further one
MAX_STORE_BACKOFF = 2.0
PERIOD_JITTER = 0.1  # share of a period by which it is shortened at random
SEQUENCE_BITS = 62

ReadPolicy = Callable[[], Awaitable[None]]


class _Query(NamedTuple):
    member: Member
    sent_at: float  # boot time


class FreshnessCheck:
    """The exchange of one node with the store and with peers; the `EvidenceSink` of its watch.

    `read_policy` tries to read the policy from the store, which may renew the evidence. `on_newer`
    is called with a peer and the version that it holds, if that is above the own one.
    """

    def __init__(
        self,
        freshness: Freshness,
        holder: PolicyHolder,
        membership: Membership,
        duty: WatchDuty,
        read_policy: ReadPolicy,
        on_newer: Callable[[Member, int], None],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._freshness = freshness
        self._holder = holder
        self._membership = membership
        self._duty = duty
        self._read_policy = read_policy
        self._on_newer = on_newer
        self._clock = clock
        self._rng = rng
        self._needed = asyncio.Event()
        self._needed_since = inf  # boot time
        self._sequence = rng.getrandbits(SEQUENCE_BITS)
        self._queries: dict[int, _Query] = {}  # unanswered ones by sequence number
        self._source = ""  # name of the watcher that has answered the newest query
        self._last_asked = ""  # name of the watcher of the own domain that was queried last
        self._relay = ""  # name of the member that has given newer evidence last
        # Boot time of the evidence that an own call has given last, None before the first.
        self._read_evidence_at: float | None = None
        self._ask_watcher = False  # whether the next foreign query goes to a watcher
        self._served: bool | None = None  # as last logged; None: nothing logged since the start
        membership.handlers[PolicyCheck] = self._on_check
        membership.handlers[PolicyChecked] = self._on_checked
        self.policy_changed()

    # The sink of the policy watch.

    def now(self) -> float:
        """Return the boot time in seconds."""
        return self._clock.boottime()

    def watch_wait(self) -> float | None:
        """Return after how many seconds a watch is to be answered; None: whenever it suits."""
        if not (self._needed.is_set() and self._duty.renews_evidence()):
            return None
        starting = self.evidence_age >= self._freshness.lifetime and not self._is_lacking
        return self._jittered(FIRST_WATCH_WAIT if starting else WATCH_WAIT)

    def store_answered(self, version: int, sent_at: float, epoch: int) -> None:
        """Record the newest version that the store held when a call was sent."""
        self._freshness.record_from_store(Evidence(version, sent_at), epoch)

    # State.

    def policy_changed(self) -> None:
        """Start or stop the exchange, depending on whether the policy in force has workspaces."""
        if not self._freshness.is_needed(self._holder.policy):
            self._needed.clear()
            self._needed_since = inf
            self._served = None
        elif not self._needed.is_set():
            self._needed.set()
            self._needed_since = self._clock.boottime()

    @property
    def evidence_age(self) -> float:
        """Return the age of the evidence for the policy in force in seconds, or infinity."""
        return self._freshness.age(self._holder.version)

    @property
    def _is_lacking(self) -> bool:
        """Return whether evidence has been needed and missing for so long that the store is asked.

        A node that has just started leaves the watchers time to take up their duty.
        """
        needed_for = self._clock.boottime() - self._needed_since
        return min(self.evidence_age, needed_for) > self._scaled(STORE_CHECK_AGE)

    @property
    def _is_read_due(self) -> bool:
        """Return whether the store is to be asked now.

        A node that reaches the store where the watchers do not is asked by others as a relay.
        """
        own = self._freshness.newest(self._holder.version) == self._read_evidence_at
        return self._is_lacking or (own and self.evidence_age > self._scaled(STORE_RECHECK_AGE))

    # Background tasks.

    async def query_peers(self) -> None:
        """Query peers while evidence is needed."""
        while True:
            await self._needed.wait()
            self._log_change()
            self._forget_expired()
            self._query_peers()
            await asyncio.sleep(self._jittered(QUERY_PERIOD))

    async def check_store(self) -> None:
        """Read the policy from the store while neither the watch nor peers renew the evidence."""
        while True:
            await self._needed.wait()
            if self._is_read_due:
                await asyncio.sleep(self._scaled(STORE_CHECK_SPREAD) * self._rng.random())
                await self._read_until_renewed()
            await asyncio.sleep(self._jittered(QUERY_PERIOD))

    async def _read_until_renewed(self) -> None:
        backoff = FIRST_STORE_BACKOFF
        while self._needed.is_set() and self._is_read_due:
            await self._read_policy()
            if not self._is_read_due:
                self._read_evidence_at = self._freshness.newest(self._holder.version)
                return
            await asyncio.sleep(self._jittered(backoff))
            backoff = min(MAX_STORE_BACKOFF, backoff * 2)

    def _query_peers(self) -> None:
        age, scaled = self.evidence_age, self._scaled
        if not self._duty.renews_evidence() or age > scaled(LATE_WATCH_AGE):
            self._query_own_domain()
        if age > scaled(FOREIGN_QUERY_AGE):
            self._query_outside()
            self._query_relays()

    def _query_own_domain(self) -> None:
        """Query the watcher that has answered last, else a random other one of the own domain."""
        watchers = self._duty.evidence_watchers_of(self._membership.own.domain)
        if not watchers:
            return
        member = next((m for m in watchers if m.name == self._source), None)
        if member is None:
            others = [m for m in watchers if m.name != self._last_asked]
            member = self._rng.choice(others or watchers)
        self._source = ""  # set again by a reply
        self._last_asked = member.name
        self._query(member)

    def _query_outside(self) -> None:
        """Query a watcher of another domain and a random member in turn."""
        self._ask_watcher = not self._ask_watcher
        own = self._membership.own
        others = [m for m in self._membership.alive() if m.name != own.name]
        foreign = sorted({m.domain for m in others} - {own.domain})
        if self._ask_watcher and foreign:
            others = self._duty.evidence_watchers_of(self._rng.choice(foreign))
        if others:
            self._query(self._rng.choice(others))

    def _query_relays(self) -> None:
        """Query members of the own domain: one may reach the store although no watcher does.

        Its evidence then spreads from node to node, within few periods to all.
        """
        own = self._membership.own
        local = [
            m for m in self._membership.alive() if m.domain == own.domain and m.name != own.name
        ]
        relays = [m for m in local if m.name == self._relay != self._last_asked]
        others = [m for m in local if m not in relays]
        for member in relays + self._rng.sample(others, min(RELAY_QUERIES, len(others))):
            self._query(member)

    def _query(self, member: Member) -> None:
        self._sequence += 1
        self._queries[self._sequence] = _Query(member, self._clock.boottime())
        address = Address(member.address, member.gossip_port)
        self._membership.send_datagram(PolicyCheck(self._sequence), address)

    def _forget_expired(self) -> None:
        oldest = self._clock.boottime() - self._freshness.lifetime
        for sequence in [s for s, query in self._queries.items() if query.sent_at <= oldest]:
            del self._queries[sequence]

    # Datagrams.

    def _on_check(self, datagram: Datagram, address: Address) -> None:
        age = self.evidence_age
        if isinstance(datagram, PolicyCheck) and age < self._freshness.lifetime:
            # Nothing above the version of the evidence was known, so nothing above the own one.
            reply = PolicyChecked(datagram.sequence, self._holder.version, age)
            self._membership.send_datagram(reply, address)

    def _on_checked(self, datagram: Datagram, address: Address) -> None:
        if not isinstance(datagram, PolicyChecked):
            return
        query = self._queries.pop(datagram.sequence, None)
        if query is None or not datagram.age >= 0:  # not a number is refused too
            return
        at = query.sent_at - datagram.age
        if at > self._freshness.newest(self._holder.version):
            self._relay = query.member.name
        self._freshness.record(Evidence(datagram.version, at))
        if datagram.version > self._holder.version:
            self._on_newer(query.member, datagram.version)
        own_domain = self._membership.own.domain
        if query.member.domain == own_domain and datagram.age <= self._scaled(FIRST_HAND_AGE):
            self._source = query.member.name

    # Log and timing.

    def _log_change(self) -> None:
        """Log that keys stop or start being served; a start of the node is no change."""
        policy = self._holder.policy
        if policy is None:
            return
        served, before = self._freshness.allows_keys(policy), self._served
        just_started = before is None and not self._is_lacking
        if served is before or (just_started and not served):
            return
        self._served = served
        if before is None and served:
            return
        age = self.evidence_age
        log_event(
            Event.KEYS_SERVED if served else Event.KEYS_REFUSED,
            version=policy.version,
            evidence_age=round(age, 3) if age < inf else None,
        )

    def _scaled(self, seconds: float) -> float:
        return seconds * self._freshness.period_scale

    def _jittered(self, seconds: float) -> float:
        return self._scaled(seconds) * (1.0 - PERIOD_JITTER * self._rng.random())

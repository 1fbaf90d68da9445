"""Quotas of the workspaces at one node: the exchange with coordinators, and the waiting requests.

The decisions are in `overload`: `quota_tokens` for the node where a request enters, `quota_ledger`
for the coordinator, `quota_members` for who that is. This module sends and receives the datagrams,
keeps the timers, and lets requests wait for a token in the order of their arrival.

A token at hand costs no datagram and no timer. If this node is the coordinator itself, its queries
are answered in place.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

import msgspec

from thorntray.internal.membership.gossip import (
    Address,
    QuotaAsk,
    QuotaGrant,
)
from thorntray.internal.membership.member import Health
from thorntray.internal.membership.membership import Membership
from thorntray.internal.overload.quota_ledger import (
    MAX_GAP,
    MIN_BACK_OFF,
    Grant,
    Query,
    QuotaLedger,
)
from thorntray.internal.overload.quota_members import QuotaMembers
from thorntray.internal.overload.quota_reach import QuotaReach
from thorntray.internal.overload.quota_tokens import (
    MAX_WAIT,
    RESEND_AFTER,
    SILENT_AFTER,
    Ask,
    TokenAccount,
)
from thorntray.internal.process.clock import Clock
from thorntray.internal.request.coordinator_checks import CoordinatorChecks
from thorntray.internal.request.quota_wait import (
    QuotaEntry,
    QuotaReason,
    QuotaRefusal,
    WaitingRequest,
)
from thorntray.internal.request.refusal_counts import RefusalCounts
from thorntray.internal.version.policy import Policy
from thorntray.internal.version.workspaces import Workspace

MIN_ASK_DELAY = 0.001  # seconds
UPDATE_PERIOD = 0.1  # seconds between looks at the members
RETURN_PERIOD = 0.05  # seconds between looks for expired tokens
FORGET_PERIOD = 1.0  # seconds between looks for idle workspaces
IDLE_TIME = 5.0  # seconds without a request after which a workspace is forgotten here
SEQUENCE_SHIFT = 2  # bits, so that sequence numbers stay in the range of 64-bit integers
# Seconds between extra probes of a silent coordinator; shorter than quota_tokens.SHARE_DELAY.
PROBE_INTERVAL = 0.15
UNKNOWN_RETRY_AFTER = 0.5  # seconds, before jitter; shortest retry time while a quota is unknown
START_TIME = 1.5  # seconds that a node usually needs to get tokens when a whole fleet starts


class Quotas:
    """Admits the requests of limited workspaces at this node, and coordinates some of their quotas.

    `joined` returns whether this node has asked for the members after its start.
    """

    def __init__(
        self,
        membership: Membership,
        policy: Callable[[], Policy | None],
        joined: Callable[[], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        now = clock.boottime()
        self._membership = membership
        self._policy = policy
        self._joined = joined
        self._started_at = now
        self._clock = clock
        self._reach = QuotaReach(membership.own.name, rng)
        self._members = QuotaMembers(membership.own.name, now, self._reach)
        self._ledger = QuotaLedger(self._members)
        self._entries: dict[str, QuotaEntry] = {}
        self._holding: dict[str, QuotaEntry] = {}  # entries whose tokens may expire
        # Starts at random, so that a reply to the process before a restart matches no query.
        self._sequence = int.from_bytes(membership.own.session) >> SEQUENCE_SHIFT
        self._observed_at = now
        self._refutations = membership.refutations
        self._probed_at: dict[str, float] = {}  # by coordinator
        self._refusals = RefusalCounts()
        self.asks_sent = 0
        self._checks = CoordinatorChecks(membership, self._reach, clock)
        membership.handlers[QuotaAsk] = self._on_ask
        membership.handlers[QuotaGrant] = self._on_grant

    # Requests.

    def take(self, workspace: Workspace) -> bool:
        """Take a token that is at hand; return False if the request has to wait for one."""
        entry = self._entries.get(workspace.name)
        now = self._clock.boottime()
        if entry is None:
            entry = self._entries[workspace.name] = QuotaEntry(TokenAccount(workspace, now))
        account = entry.account
        if account.workspace is not workspace:
            account.set_workspace(workspace)
        account.record_arrival(now)
        if account.needs_more(now):  # before the token is spent, which may come back
            self._ask(entry, now, entry.waiting_count + (not account.held))
        if entry.waiting_count:
            return False
        if account.spend(now):
            return True
        self._ask(entry, now, waiting=1)
        return account.spend(now) or self._spend_share(account, now)

    def wait(
        self,
        workspace: Workspace,
        decided: Callable[[QuotaRefusal | None], None],
        seconds: float = MAX_WAIT,
    ) -> WaitingRequest | QuotaRefusal:
        """Wait for a token after `take` has found none; `decided` is called later.

        Returns a refusal if there will be none in time. `seconds` is what the deadline leaves.
        """
        now = self._clock.boottime()
        entry = self._entries[workspace.name]
        if not self._members.known:
            return self._refuse(entry, now)
        seconds = min(seconds, MAX_WAIT)
        if seconds <= 0 or not entry.account.may_wait(entry.waiting_count, seconds, now):
            return self._refuse(entry, now)
        request = WaitingRequest(entry, decided, now + seconds)
        loop = asyncio.get_running_loop()
        request.timer = loop.call_later(seconds, self._end_wait, entry, request)
        if entry.timer is None:
            self._arm(entry, now)
        return request

    def give_back(self, workspace: Workspace) -> None:
        """Return the token that `take`, or the wait, has just given: the request goes nowhere."""
        entry = self._entries.get(workspace.name)
        if entry is not None:
            entry.account.give_back()
            self._holding[workspace.name] = entry

    def end_all(self, retry_after: float) -> int:
        """Refuse all waiting requests, as the node stops; return their number."""
        refusal = QuotaRefusal(QuotaReason.QUOTA_UNKNOWN, retry_after)
        waiting = [r for entry in self._entries.values() for r in entry.waiting if not r.over]
        for request in waiting:
            request.decide(refusal)
        return len(waiting)

    def _spend_share(self, account: TokenAccount, now: float) -> bool:
        if not self._members.known:
            return False
        name = account.coordinator
        heard_at = max(self._membership.heard_at(name), self._checks.received_at(name))
        return account.spend_share(self._members.count, heard_at, now)

    def _refuse(self, entry: QuotaEntry, now: float) -> QuotaRefusal:
        """Return the refusal that is true now, and count it."""
        account = entry.account
        self._refusals.record(account.workspace.name)
        if not self._members.known:
            retry_after = max(UNKNOWN_RETRY_AFTER, self._started_at + START_TIME - now)
            return QuotaRefusal(QuotaReason.QUOTA_UNKNOWN, retry_after)
        if now < account.back_off_until + MAX_WAIT:  # the next reply has not come in time
            retry_after = max(MIN_BACK_OFF, account.back_off_until - now)
            return QuotaRefusal(QuotaReason.OVER_QUOTA, retry_after)
        return QuotaRefusal(QuotaReason.QUOTA_UNKNOWN, UNKNOWN_RETRY_AFTER)

    def _end_wait(self, entry: QuotaEntry, request: WaitingRequest) -> None:
        now = self._clock.boottime()
        if self._spend_share(entry.account, now):
            request.decide(None)
        else:
            request.decide(self._refuse(entry, now))

    # Queries to coordinators.

    def _ask(self, entry: QuotaEntry, now: float, waiting: int, prefetch: bool = True) -> None:
        """Ask the coordinator if anything is needed and no query waits for its reply."""
        account = entry.account
        name = self._members.coordinator(account.workspace.name)
        if name != account.coordinator:
            account.set_coordinator(name, now)
        if not self._members.known:
            return
        ask = account.ask(self._sequence + 1, waiting, now, prefetch)
        if ask is None:
            return
        self._sequence += 1
        self._send(entry, ask, now)

    def _send(self, entry: QuotaEntry, ask: Ask, now: float) -> None:
        account = entry.account
        name, workspace = account.coordinator, account.workspace.name
        session = self._membership.own.session
        if name == self._membership.own.name:
            query = Query(session, ask.sequence, ask.wanted, ask.held, ask.returned)
            grant = self._grant(workspace, query, now)
            if grant is not None:
                self._record_grant(entry, ask.sequence, grant, now)
                return
        else:
            member = self._membership.find(name)
            if member is not None:
                self.asks_sent += 1
                sequence, _, wanted, held, returned = ask
                self._membership.send_datagram(
                    QuotaAsk(sequence, session, workspace, wanted, held, returned),
                    Address(member.address, member.gossip_port),
                )
        self._arm(entry, now)

    def _arm(self, entry: QuotaEntry, now: float) -> None:
        """Set the timer to repeat the query, with doubled pauses, or to ask after the back-off."""
        entry.stop_timer()
        asked = entry.account.asked
        if asked is not None:
            delay = max(RESEND_AFTER, now - asked.sent_at)
        elif entry.waiting_count:
            delay = max(MIN_ASK_DELAY, entry.account.back_off_until - now)
        else:
            return
        entry.timer = asyncio.get_running_loop().call_later(delay, self._on_timer, entry)

    def _on_timer(self, entry: QuotaEntry) -> None:
        entry.timer = None
        now = self._clock.boottime()
        self._query_again(entry, now)
        if entry.timer is None:  # timers may fire before the end of a back-off
            self._arm(entry, now)

    def _query_again(self, entry: QuotaEntry, now: float) -> None:
        """Repeat the unanswered query, or ask for the requests that wait."""
        entry.waiting = deque(request for request in entry.waiting if not request.over)
        account, asked = entry.account, entry.account.asked
        if asked is None:
            self._ask(entry, now, entry.waiting_count)
        elif self._members.coordinator(account.workspace.name) != account.coordinator:
            account.asked = None
            self._ask(entry, now, entry.waiting_count)
        elif account.record_silence(now):
            if now - asked.sent_at >= SILENT_AFTER:
                self._probe(account.coordinator, now)
            self._send(entry, asked, now)
        elif entry.waiting_count:
            self._ask(entry, now, entry.waiting_count)

    def _probe(self, name: str, now: float) -> None:
        """Have the membership find out soon whether a silent coordinator is dead."""
        if now - self._probed_at.get(name, float("-inf")) >= PROBE_INTERVAL:
            self._probed_at[name] = now
            self._membership.probe_now(name)

    def _on_grant(self, datagram: QuotaGrant, address: Address) -> None:
        entry = self._entries.get(datagram.workspace)
        if entry is not None:
            grant = Grant(datagram.tokens, datagram.retry_after)
            self._record_grant(entry, datagram.sequence, grant, self._clock.boottime())

    def _record_grant(self, entry: QuotaEntry, sequence: int, grant: Grant, now: float) -> None:
        account = entry.account
        if not account.record_grant(sequence, *grant, now):
            return
        entry.stop_timer()
        waiting = entry.waiting
        while waiting:  # a started request may be refused here and give its token back
            if waiting[0].over:
                waiting.popleft()
            elif account.spend(now):
                waiting.popleft().decide(None)
            else:
                break
        if account.held or account.returned:
            self._holding[account.workspace.name] = entry
        if waiting:
            self._review_waits(entry, now)

    def _review_waits(self, entry: QuotaEntry, now: float) -> None:
        """Refuse those for which there will be no token in time; the others wait for the next."""
        account, ahead = entry.account, 0
        for request in [r for r in entry.waiting if not r.over]:
            if account.may_wait(ahead, request.ends_at - now, now):
                ahead += 1
            else:
                request.decide(self._refuse(entry, now))
        entry.waiting = deque(r for r in entry.waiting if not r.over)
        self._arm(entry, now)

    # Queries from other nodes.

    def _on_ask(self, datagram: QuotaAsk, address: Address) -> None:
        """Reply to a query; without a reply the asker finds the right coordinator or its share."""
        _, session, _, wanted, held, returned = msgspec.structs.astuple(datagram)
        query = Query(session, datagram.sequence, wanted, held, returned)
        grant = self._grant(datagram.workspace, query, self._clock.boottime())
        if grant is not None:
            reply = QuotaGrant(datagram.sequence, datagram.workspace, *grant)
            self._membership.send_datagram(reply, address)

    def _grant(self, name: str, query: Query, now: float) -> Grant | None:
        self._observe(now)
        policy = self._policy()
        workspace = policy.workspaces.find(name) if policy is not None else None
        if workspace is None:
            return None
        grant = self._ledger.grant(workspace, query, now)
        self._checks.send_due(now)
        return grant

    def _observe(self, now: float) -> None:
        """Begin anew as coordinator if this process has not run for a while or was suspected."""
        refutations = self._membership.refutations
        if now - self._observed_at > MAX_GAP or refutations != self._refutations:
            self._refutations = refutations
            self._members.restart(now)
            self._ledger.restart()
        self._observed_at = now

    # Periodic tasks.

    async def run(self) -> None:
        """Follow the members, return expired tokens, and forget idle workspaces."""
        updated_at = forgotten_at = float("-inf")
        while True:
            await asyncio.sleep(RETURN_PERIOD)
            if not self._needed:
                continue
            now = self._clock.boottime()
            self._observe(now)
            self._checks.send_due(now)
            if now - updated_at >= UPDATE_PERIOD:
                updated_at = now
                self._update_members(now)
            self._return_expired(now)
            if now - forgotten_at >= FORGET_PERIOD:
                forgotten_at = now
                self._forget_idle(now)

    @property
    def _needed(self) -> bool:
        """Return whether any workspace has a quota, or had one and is not forgotten yet."""
        policy = self._policy()
        limited = policy is not None and policy.workspaces.any_limited
        return limited or bool(self._entries)

    def _update_members(self, now: float) -> None:
        was_known = self._members.known
        view = self._membership.view
        taking_part = self._joined() and view.own.health is Health.ALIVE
        changed = self._members.update(view.all(), taking_part, now)
        if self._members.known and not was_known:
            self._ledger.restart()
        elif changed:
            self._ledger.drop_others()

    def _return_expired(self, now: float) -> None:
        for name, entry in list(self._holding.items()):
            if entry.account.expire(now):
                self._ask(entry, now, entry.waiting_count, prefetch=False)
            if not entry.account.held and not entry.account.returned:
                del self._holding[name]

    def _forget_idle(self, now: float) -> None:
        self._ledger.forget_idle(now)
        for name, entry in list(self._entries.items()):
            if not entry.waiting_count and entry.account.idle(now, IDLE_TIME):
                entry.stop_timer()
                del self._entries[name]
        for name in [n for n, at in self._probed_at.items() if now - at > PROBE_INTERVAL]:
            del self._probed_at[name]
        self._checks.forget_before(now - IDLE_TIME)
        self._refusals.bound()

    # Metrics.

    @property
    def coordinated(self) -> int:
        """Return the number of workspaces whose quota this node counts now."""
        return len(self._ledger)

    def refusals(self) -> dict[str, float]:
        """Return the refusals of the workspaces with most of them, and of all others together."""
        return self._refusals.by_workspace()

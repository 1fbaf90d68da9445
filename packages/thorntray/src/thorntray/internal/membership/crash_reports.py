"""Dissemination of crash reports to all nodes, by gossip over the membership's datagrams.

The fault: the requests that crash instances come back at any node, within seconds, while instances
and their nodes restart. So each node must know each report within 3 s, and several nodes must keep
it. News is sent at once and then in short periods to a few random members, by each node that
learns it, as with the updates of members. Digests exchanged with random members repair what was
lost. A node that has just started asks for all reports.

As long as there is nothing to report, a node sends nothing but the queries at its start.
"""

import asyncio
from collections.abc import Iterator
from enum import Enum, auto
from math import isfinite
from random import Random
from typing import NamedTuple

from thorntray.internal.membership.gossip import (
    MAX_DATAGRAM_BYTES,
    Address,
    CrashQuery,
    CrashReport,
    Datagram,
)
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.member_view import RETRANSMIT_FACTOR
from thorntray.internal.membership.membership import Membership
from thorntray.internal.overload.crash_suspects import Crash, CrashSuspects
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.tasks import BackgroundTasks

MAX_DIRECT_REPORTS = 64  # members that are told of a crash at once
SPREAD_PERIOD = 0.2  # seconds
SPREAD_FANOUT = 3  # random members in each spread period
START_QUERIES = 12  # times that a node asks for all reports after its start
START_QUERY_PERIOD = 0.1  # seconds between them; until then, blocked requests may pass
START_QUERY_FANOUT = 2  # random members that are asked each time
SYNC_PERIOD = 3.0  # seconds between digest exchanges, while there are reports
TRANSFER_INTERVAL = 0.02  # seconds between the datagrams of a transfer of all reports
MAX_TRANSFERS = 4  # transfers at the same time
MAX_REPORTED_FINGERPRINTS = 110  # of one crash, so that it fits in one datagram
_ROOM = MAX_DATAGRAM_BYTES - 60  # bytes for the items of a datagram
_FINGERPRINT_BYTES, _ITEM_BYTES = 9, 28  # encoded sizes


class _Kind(Enum):
    """Kinds of items that are gossiped."""

    CRASH = auto()
    BLOCK = auto()
    CLEAR = auto()


class _Item(NamedTuple):
    """Names an item; `number` is a crash ID or a fingerprint."""

    kind: _Kind
    number: int


class CrashReports:
    """One node's part in the dissemination."""

    def __init__(
        self, suspects: CrashSuspects, membership: Membership, clock: Clock, rng: Random
    ) -> None:
        self._suspects = suspects
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._pending: dict[_Item, int] = {}  # number of transmissions
        self._queries_left = START_QUERIES
        self._next_sync = 0.0  # boot time
        self._tasks = BackgroundTasks()
        self._transfers: set[Address] = set()
        membership.handlers[CrashReport] = self._on_report
        membership.handlers[CrashQuery] = self._on_query

    def report_crash(self, crash: Crash) -> None:
        """Report a crash of the own instance."""
        if self._suspects.add_crash(crash):
            self._report_directly(crash)
            self._announce(_Item(_Kind.CRASH, crash.crash_id))

    def report_success(self, fingerprint: int) -> None:
        """Report a successful response to a request that may be suspected."""
        if self._suspects.record_success(fingerprint):
            self._announce(_Item(_Kind.CLEAR, fingerprint))

    async def run(self) -> None:
        """Exchange reports until cancelled."""
        try:
            while True:
                period = START_QUERY_PERIOD if self._queries_left > 0 else SPREAD_PERIOD
                await asyncio.sleep(period * (0.9 + 0.2 * self._rng.random()))
                self._decide()
                self._query()
                self._spread()
        finally:
            await self._tasks.stop()

    def _report_directly(self, crash: Crash) -> None:
        """Send a crash to many members at once, without waiting for the gossip.

        First to those that will run the requests of the crashed instance next.
        """
        own = self._membership.own
        peers = [member for member in self._membership.alive() if member.name != own.name]
        self._rng.shuffle(peers)
        peers.sort(key=lambda member: member.service != own.service)
        report, _ = self._pack(iter([_Item(_Kind.CRASH, crash.crash_id)]))
        for member in peers[:MAX_DIRECT_REPORTS]:
            self._send(report, member)

    def _announce(self, item: _Item) -> None:
        """Gossip an item, and send it to a few members at once."""
        self._pending[item] = 0
        self._decide()
        self._spread()

    def _decide(self) -> None:
        """Gossip what is blocked by the evidence known here."""
        for fingerprint in self._suspects.update():
            self._pending[_Item(_Kind.BLOCK, fingerprint)] = 0

    # Outgoing datagrams.

    def _spread(self) -> None:
        if not self._pending:
            return
        limit = RETRANSMIT_FACTOR * len(self._membership.view).bit_length()
        members = self._membership.view.sample(self._rng, SPREAD_FANOUT)
        if not members:
            self._pending.clear()  # members that join ask for all reports
        for member in members:
            if not self._pending:
                return
            items = sorted(self._pending, key=self._sending_order)
            report, sent = self._pack(iter(items))
            self._send(report, member)
            for item in sent:
                self._pending[item] += 1
                if self._pending[item] >= limit:
                    del self._pending[item]

    def _sending_order(self, item: _Item) -> tuple[int, bool]:
        """Order what was sent least often first; of these, the crashes last, which are largest."""
        return self._pending[item], item.kind is _Kind.CRASH

    def _query(self) -> None:
        """Ask members for reports after the start, and compare with one member periodically."""
        view = self._membership.view
        now = self._clock.boottime()
        members: list[Member] = []
        if self._queries_left > 0:
            members = view.sample(self._rng, START_QUERY_FANOUT)
            self._queries_left -= bool(members)
        elif self._has_reports and now >= self._next_sync:
            self._next_sync = now + SYNC_PERIOD * (0.5 + self._rng.random())
            members = view.sample(self._rng, 1)
        for member in members:
            self._send(CrashQuery(self._digest()), member)

    def _pack(self, items: Iterator[_Item]) -> tuple[CrashReport, list[_Item]]:
        """Return a report with as many of the items as fit, and the items that it covers."""
        suspects, now, room = self._suspects, self._clock.boottime(), _ROOM
        crashes, blocked, cleared, covered = [], [], [], []
        for kind, number in items:
            crash = suspects.crashes.get(number) if kind is _Kind.CRASH else None
            room -= _ITEM_BYTES + _FINGERPRINT_BYTES * (len(crash.fingerprints) if crash else 0)
            if room < 0:
                break
            covered.append(_Item(kind, number))
            match kind:
                case _Kind.CRASH if crash is not None:
                    fingerprints = tuple(crash.fingerprints)
                    crashes.append((number, now - crash.at, crash.running, fingerprints))
                case _Kind.BLOCK if number in suspects.blocked:
                    blocked.append((number, suspects.blocked[number] - now))
                case _Kind.CLEAR if number in suspects.cleared:
                    cleared.append((number, suspects.cleared[number] - now))
        return CrashReport(tuple(crashes), tuple(blocked), tuple(cleared)), covered

    def _send(self, datagram: Datagram, member: Member) -> None:
        self._membership.send_datagram(datagram, Address(member.address, member.gossip_port))

    async def _transfer(self, address: Address) -> None:
        """Send all reports to a node."""
        items = self._items()
        try:
            while items:
                report, covered = self._pack(iter(items))
                self._membership.send_datagram(report, address)
                items = items[len(covered) :]
                await asyncio.sleep(TRANSFER_INTERVAL)
        finally:
            self._transfers.discard(address)

    # Incoming datagrams.

    def _on_report(self, report: CrashReport, address: Address) -> None:
        now, suspects = self._clock.boottime(), self._suspects
        news: list[_Item] = []
        # Clears first: they prevail over crashes and blocks, which may come from another node.
        for fingerprint, seconds in report.cleared:
            if isfinite(seconds) and suspects.add_clear(fingerprint, now + seconds):
                news.append(_Item(_Kind.CLEAR, fingerprint))
        for crash_id, age, running, fingerprints in report.crashes:
            reported = frozenset(fingerprints[:MAX_REPORTED_FINGERPRINTS])
            crash = Crash(crash_id, now - age, running, reported)
            if isfinite(age) and suspects.add_crash(crash):
                news.append(_Item(_Kind.CRASH, crash_id))
        for fingerprint, seconds in report.blocked:
            if isfinite(seconds) and suspects.add_block(fingerprint, now + seconds):
                news.append(_Item(_Kind.BLOCK, fingerprint))
        self._pending.update(dict.fromkeys(news, 0))
        if news:
            self._decide()

    def _on_query(self, query: CrashQuery, address: Address) -> None:
        if query.digest == self._digest():
            return
        if not query.is_reply:
            self._membership.send_datagram(CrashQuery(self._digest(), is_reply=True), address)
        if address not in self._transfers and len(self._transfers) < MAX_TRANSFERS:
            self._transfers.add(address)
            self._tasks.spawn(self._transfer(address))

    # All items.

    @property
    def _has_reports(self) -> bool:
        suspects = self._suspects
        return bool(suspects.crashes or suspects.cleared or suspects.blocked)

    def _items(self) -> list[_Item]:
        """Return all items; first the blocks, which a node that starts needs most."""
        suspects = self._suspects
        return [
            *(_Item(_Kind.BLOCK, fingerprint) for fingerprint in suspects.blocked),
            *(_Item(_Kind.CLEAR, fingerprint) for fingerprint in suspects.cleared),
            *(_Item(_Kind.CRASH, crash_id) for crash_id in suspects.crashes),
        ]

    def _digest(self) -> int:
        """Return a hash of all items that does not depend on their order, 0 if there are none."""
        digest = 0
        for kind, number in self._items():
            digest ^= hash64(f"{kind.name} {number}")
        return digest

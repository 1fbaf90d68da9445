"""Keeps what the instance has been promised: that a boot which leaves gets no further work.

The fault: a node confirms that its instance leaves, is killed, and starts again. The instance goes
on serving, and an announcement from before its leaving arrives late. Taken for the state of the
instance, it brings new work to it, which is lost when the instance ends.

A confirmation is therefore given once others know of the leaving: the platform's store, which
outlives a kill of all nodes, and a few members, which are there while the store is down or cut off.
They are chosen by rendezvous hashing, most of them in the own failure domain, so that a cut between
domains leaves some, and a new process of the node finds them again.

A process that starts asks the same two before it uses any instance (`Registration.hold`). It needs
no members if the store answers and no member does so soon, nor the store if two members answer. If
nobody answers, an instance is used that goes on announcing itself, as one that has left does not.
"""

import asyncio
from collections.abc import Callable
from math import inf

import msgspec

from thorntray.internal.bounded import Count, Name
from thorntray.internal.membership.gossip import (
    Address,
    DepartureQuery,
    DepartureRecorded,
    DepartureReply,
    DepartureReport,
)
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.registration import Departure, Registration
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.store.kept_entries import KeptEntries
from thorntray.internal.telemetry.events import Event, log_event

KEY_PREFIX = "departures/"
LIFETIME = 600.0  # seconds for which a departure is kept, longer than announcements are late
MAX_KEPT = 8  # newest departures that are kept for each node
LOCAL_HOLDERS, REMOTE_HOLDERS = 3, 2  # members that are told
# Members that are asked after a start; more, as the members have changed since, or not all are
# known yet.
LOCAL_ASKED, REMOTE_ASKED = 6, 4
RESEND_PERIOD = 0.05  # seconds until datagrams are sent again
MIN_COPIES = 2  # members that must know a departure, or answer a query, without the store
STORE_PATIENCE = 0.15  # seconds for the members' answers once the store has answered
CONFIRM_TIME = 0.7  # seconds until a confirmation is refused; a late one is worth nothing
RECALL_PATIENCE = 0.5  # seconds after the start for answers of members that are not known yet
RECALL_TIME = 1.5  # seconds after the start without any answer

_Boots = tuple[tuple[Name, Count, bool], ...]
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(_Boots).decode


class Departures:
    """The departures of the own instance, at the store and at members, and those of other nodes."""

    def __init__(
        self,
        registration: Registration,
        membership: Membership,
        entries: KeptEntries,
        clock: Clock,
        tasks: BackgroundTasks,
    ) -> None:
        self._registration = registration
        self._membership = membership
        self._entries = entries
        self._key = f"{KEY_PREFIX}{membership.own.name}"
        self._clock = clock
        self._tasks = tasks
        self._own: list[Departure] = []
        self._held: dict[str, tuple[float, _Boots]] = {}  # boot time and departures, by node
        self._sequence = 0
        self._copies: set[Address] = set()  # members that have confirmed the newest report
        self._replies: set[Address] = set()  # members that have answered the query of this process
        self._recorded: asyncio.Task[bool] | None = None
        registration.on_left = self._on_left
        membership.handlers[DepartureReport] = self._on_report
        membership.handlers[DepartureRecorded] = self._on_recorded
        membership.handlers[DepartureQuery] = self._on_query
        membership.handlers[DepartureReply] = self._on_reply

    # The own instance.

    def when_recorded(self, decided: Callable[[bool], None]) -> None:
        """Call `decided` with whether all departures so far are known to others, soon or at once.

        If they are not, nothing may be confirmed now.
        """
        task = self._recorded
        if task is None:
            decided(True)
            return
        if task.done() and not _is_recorded(task):
            task = self._start_recording()  # the instance asks again
        task.add_done_callback(lambda done: self._decide(done, decided))

    def _decide(self, task: "asyncio.Task[bool]", decided: Callable[[bool], None]) -> None:
        newest = self._recorded
        if newest is not None and newest is not task and not newest.done():
            newest.add_done_callback(lambda done: self._decide(done, decided))
        else:
            decided(_is_recorded(task))

    def _on_left(self, departure: Departure) -> None:
        if departure in self._own:
            return
        self._own = [*self._own, departure][-MAX_KEPT:]
        self._start_recording()

    def _start_recording(self) -> "asyncio.Task[bool]":
        self._entries.keep(self._key, _encode(self._own), LIFETIME)
        self._sequence += 1
        self._copies.clear()
        replaced, self._recorded = self._recorded, self._tasks.spawn(self._record())
        if replaced is not None:
            replaced.cancel()
        return self._recorded

    async def _record(self) -> bool:
        """Tell the store and members of the departures; return whether enough of them know."""
        report = DepartureReport(self._sequence, self._membership.own.name, tuple(self._own))
        holders = self._holders(LOCAL_HOLDERS, REMOTE_HOLDERS)
        began, stored_at = self._clock.monotonic(), inf
        while True:
            for member in holders:
                if _address(member) not in self._copies:
                    self._membership.send_datagram(report, _address(member))
            await self._sleep_until_written(RESEND_PERIOD)
            now = self._clock.monotonic()
            if self._entries.is_written(self._key):
                stored_at = min(stored_at, now)
            enough = len(self._copies) >= min(MIN_COPIES, len(holders))
            if stored_at < inf and (enough or now - stored_at >= STORE_PATIENCE):
                return True
            if enough and holders and now - began >= STORE_PATIENCE:
                return True  # the store does not answer
            if now - began >= CONFIRM_TIME:
                log_event(Event.DEPARTURE_NOT_RECORDED, copies=len(self._copies))
                return False

    async def _sleep_until_written(self, seconds: float) -> None:
        if self._entries.is_written(self._key):
            await asyncio.sleep(seconds)
            return
        try:
            async with asyncio.timeout(seconds):
                await self._entries.wait_written(self._key)
                await asyncio.sleep(0.005)  # the members' answers are about as fast
        except TimeoutError:
            pass

    # After the start of this process.

    async def recall(self, joined: Callable[[], bool]) -> None:
        """Learn which boots had left before this process started, then let instances be used.

        `joined` returns whether this node has looked for members.
        """
        stored = self._tasks.supervise(self._recall_from_store)
        began = self._clock.monotonic()
        while True:
            asked = self._holders(LOCAL_ASKED, REMOTE_ASKED)
            for member in asked:
                if _address(member) not in self._replies:
                    query = DepartureQuery(self._membership.own.name)
                    self._membership.send_datagram(query, _address(member))
            await asyncio.sleep(RESEND_PERIOD)
            waited = self._clock.monotonic() - began
            replied = len(self._replies) >= min(MIN_COPIES, len(asked)) and bool(asked)
            if stored.done() and (replied or waited >= RECALL_PATIENCE):
                break
            if replied and joined() and waited >= RECALL_PATIENCE:
                break
            if waited >= RECALL_TIME:
                self._registration.require_proof()
                await self._wait_for_any_answer(stored)
                break
        self._registration.release()

    async def _wait_for_any_answer(self, stored: "asyncio.Task[None]") -> None:
        while not stored.done() and not self._replies:
            for member in self._holders(LOCAL_ASKED, REMOTE_ASKED):
                query = DepartureQuery(self._membership.own.name)
                self._membership.send_datagram(query, _address(member))
            await asyncio.sleep(RECALL_PATIENCE)

    async def _recall_from_store(self) -> None:
        for entry in await self._entries.recover():
            if entry.key == self._key:
                self._learn_stored(entry.value)

    def _learn_stored(self, value: bytes) -> None:
        try:
            boots = _decode(value)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            log_event(Event.BAD_MESSAGE, detail=f"malformed departures in the store: {exc}")
            return
        self._learn(boots)

    def _learn(self, boots: _Boots) -> None:
        for departure in (Departure(*boot) for boot in boots[-MAX_KEPT:]):
            self._registration.recall(departure)
            if departure not in self._own:  # or the next record would replace it
                self._own = [departure, *self._own][-MAX_KEPT:]

    # Other nodes.

    def tell_restarted(self, member: Member) -> None:
        """Tell a process that has just started what its predecessor had confirmed."""
        boots = self._held_of(member.name)
        if boots:
            self._membership.send_datagram(DepartureReply(boots), _address(member))

    def remove_expired(self) -> None:
        """Drop what is no longer needed of other nodes; to be called periodically."""
        cutoff = self._clock.boottime() - LIFETIME
        for name in [n for n, (at, _) in self._held.items() if at < cutoff]:
            del self._held[name]

    def _held_of(self, name: str) -> _Boots:
        return self._held[name][1] if name in self._held else ()

    def _on_report(self, report: DepartureReport, address: Address) -> None:
        known = [boot for boot in self._held_of(report.member) if boot not in report.boots]
        boots = (*known, *report.boots)[-MAX_KEPT:]
        self._held[report.member] = (self._clock.boottime(), boots)
        self._membership.send_datagram(DepartureRecorded(report.sequence), address)

    def _on_recorded(self, answer: DepartureRecorded, address: Address) -> None:
        if answer.sequence == self._sequence:
            self._copies.add(address)

    def _on_query(self, query: DepartureQuery, address: Address) -> None:
        self._membership.send_datagram(DepartureReply(self._held_of(query.member)), address)

    def _on_reply(self, reply: DepartureReply, address: Address) -> None:
        self._replies.add(address)
        self._learn(reply.boots)

    def _holders(self, local: int, remote: int) -> list[Member]:
        """Return the first members in this node's order, in the own failure domain and outside."""
        own = self._membership.own
        others = [member for member in self._membership.alive() if member.name != own.name]
        others.sort(key=lambda member: hash64(f"departures\0{own.name}\0{member.name}"))
        in_domain = [member for member in others if member.domain == own.domain]
        outside = [member for member in others if member.domain != own.domain]
        return in_domain[:local] + outside[:remote]


def _address(member: Member) -> Address:
    return Address(member.address, member.gossip_port)


def _is_recorded(task: "asyncio.Task[bool]") -> bool:
    """Return whether a task that is done has recorded the departures."""
    return not task.cancelled() and task.exception() is None and task.result()

"""Keeps what the instance has been promised: that a boot which leaves gets no further work.

The fault: a node confirms that its instance leaves, is killed, and starts again. The instance goes
on serving, and an announcement from before its leaving arrives late. Taken for the state of the
instance, it brings new work to it, which is lost when the instance ends.

A confirmation is therefore given once others know of the leaving: the platform's store, which
outlives a kill of all nodes, and a few members, which are there while the store is down or cut off.
They are chosen by rendezvous hashing, most of them in the own failure domain, so that a cut between
domains leaves some, and a new process of the node finds them again.

A process that starts asks the same two before it uses any instance (`Registration.hold`). It knows
all departures once two members have answered that are older than itself, and the store, if it does
so soon. Answers of others do not show that nothing was confirmed: after a kill of all nodes every
member is new, and the store may have been down at the confirmation, or its lease has ended.
`process.boot_trust` then decides which announcements may be late ones.
"""

import asyncio
from collections.abc import Callable
from math import inf

import msgspec

from thorntray.internal.membership.departure_copies import (
    LIFETIME,
    LOCAL_HOLDERS,
    MAX_KEPT,
    REMOTE_HOLDERS,
    Boots,
    address_of,
    choose_holders,
)
from thorntray.internal.membership.gossip import (
    Address,
    DepartureQuery,
    DepartureRecorded,
    DepartureReply,
    DepartureReport,
)
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.membership import Membership
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.registration import Departure, Registration
from thorntray.internal.process.tasks import BackgroundTasks
from thorntray.internal.store.kept_entries import KeptEntries
from thorntray.internal.telemetry.events import Event, log_event

KEY_PREFIX = "departures/"
# Members that are asked after a start; more, as the members have changed since, or not all are
# known yet.
LOCAL_ASKED, REMOTE_ASKED = 6, 4
RESEND_PERIOD = 0.05  # seconds until datagrams are sent again
MIN_COPIES = 2  # members that must know a departure, or answer a query, without the store
STORE_PATIENCE = 0.15  # seconds for the members' answers once the store has answered
CONFIRM_TIME = 0.7  # seconds until a confirmation is refused; a late one is worth nothing
# Seconds by which the process of a member that is asked must be older than the one that asks, so
# that the member has the copies of what was confirmed before.
MIN_LEAD = 5.0
MAX_RENEWALS = 10  # looks at the copies after a change, in which lost datagrams are sent again
RECALL_PATIENCE = 0.5  # seconds after the start for answers of members that are not known yet
RECALL_TIME = 1.5  # seconds after the start without any answer

_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Boots).decode


class Departures:
    """The departures of the own instance, at the store and at members."""

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
        self._sequence = 0
        self._copies: set[Address] = set()  # members that have confirmed the newest report
        self._renewals_left = 0  # looks at the copies that remain after the last change
        self._replies: set[Address] = set()  # members that have answered the query of this process
        self._informed: set[Address] = set()  # those that know what was confirmed before its start
        self._began_at = clock.boottime()
        self._recorded: asyncio.Task[bool] | None = None
        registration.on_left = self._on_left
        membership.handlers[DepartureRecorded] = self._on_recorded
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
        self._entries.keep(self._key, _encode(self._own), LIFETIME, is_watched=True)
        self._sequence += 1
        self._copies.clear()
        self._renewals_left = MAX_RENEWALS
        replaced, self._recorded = self._recorded, self._tasks.spawn(self._record())
        if replaced is not None:
            replaced.cancel()
        return self._recorded

    async def _record(self) -> bool:
        """Tell the store and members of the departures; return whether enough of them know."""
        holders = self._holders(LOCAL_HOLDERS, REMOTE_HOLDERS)
        began, stored_at = self._clock.monotonic(), inf
        while True:
            self._send_reports(holders)
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

    def _send_reports(self, holders: list[Member]) -> None:
        """Send the own departures to those of the holders that have not confirmed a copy."""
        report = DepartureReport(self._sequence, self._membership.own.name, tuple(self._own))
        for member in holders:
            if address_of(member) not in self._copies:
                self._membership.send_datagram(report, address_of(member))

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
            asked = self._ask_members()
            await asyncio.sleep(RESEND_PERIOD)
            waited = self._clock.monotonic() - began
            enough = min(MIN_COPIES, len(asked)) or inf
            has_looked = stored.done() or (joined() and waited >= RECALL_PATIENCE)
            if len(self._informed) >= enough and has_looked:
                self._registration.release()
                return
            answered = len(self._replies) >= enough and joined()
            if (stored.done() or answered) and waited >= RECALL_PATIENCE:
                break
            if waited >= RECALL_TIME:
                self._registration.require_proof()
                await self._wait_for_any_answer(stored)
                break
        self._registration.release_uncertain()

    def _ask_members(self) -> list[Member]:
        """Send the query to the members that have not answered it; return all that are asked."""
        asked = self._holders(LOCAL_ASKED, REMOTE_ASKED)
        query = DepartureQuery(self._membership.own.name)
        for member in asked:
            if address_of(member) not in self._replies:
                self._membership.send_datagram(query, address_of(member))
        return asked

    async def _wait_for_any_answer(self, stored: "asyncio.Task[None]") -> None:
        while not stored.done() and not self._replies:
            self._ask_members()
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

    def _learn(self, boots: Boots) -> None:
        recalled = [Departure(*boot) for boot in boots[-MAX_KEPT:]]
        for departure in recalled:
            self._registration.recall(departure)
        unknown = [departure for departure in recalled if departure not in self._own]
        known = [*unknown, *self._own][-MAX_KEPT:]
        if known != self._own:
            # Recorded anew: the store may have lost the entry, and members their copies.
            self._own = known
            self._start_recording()

    # The members.

    def member_changed(self, member: Member) -> None:
        """Renew the copies of the own departures after a member has ended or restarted."""
        self._copies.discard(address_of(member))
        self._renewals_left = MAX_RENEWALS

    def renew_copies(self) -> None:
        """Send the own departures to holders that have no copy; to be called periodically."""
        if self._renewals_left and self._own and self._recorded is not None:
            self._renewals_left -= 1
            self._send_reports(self._holders(LOCAL_HOLDERS, REMOTE_HOLDERS))

    def _on_recorded(self, answer: DepartureRecorded, address: Address) -> None:
        if answer.sequence == self._sequence:
            self._copies.add(address)

    def _on_reply(self, reply: DepartureReply, address: Address) -> None:
        self._replies.add(address)
        if reply.age >= self._age + MIN_LEAD:
            self._informed.add(address)
        self._learn(reply.boots)

    @property
    def _age(self) -> float:
        """Return the seconds since this process was created."""
        return self._clock.boottime() - self._began_at

    def _holders(self, local: int, remote: int) -> list[Member]:
        own = self._membership.own
        return choose_holders(own, self._membership.alive(), local, remote)


def _is_recorded(task: "asyncio.Task[bool]") -> bool:
    """Return whether a task that is done has recorded the departures."""
    return not task.cancelled() and task.exception() is None and task.result()

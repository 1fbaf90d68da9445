"""Probing: pings two members each period and reports those that answer on no path.

The successor on a hash ring is pinged so that every member is probed in each period, and a random
member so that a partition along the ring is detected too. If no `Ack` arrives in time, other
members are asked to ping the silent one, because the loss of one path is no failure of a member.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

from thorntray.internal.membership.gossip import PingRequest
from thorntray.internal.membership.member import Member
from thorntray.internal.membership.member_view import MemberView
from thorntray.internal.membership.sender import DatagramSender
from thorntray.internal.process.tasks import BackgroundTasks

PROBE_PERIOD = 1.0  # seconds
PROBE_TIMEOUT = 0.3  # seconds without an ack until other members are asked to ping
INDIRECT_TIMEOUT = 0.5  # seconds after that until the member counts as silent
PROBES_PER_PERIOD = 2
INDIRECT_PROBES = 3  # members that are asked to ping


class Prober:
    """Probes members; `on_silent` is called with each one that did not answer."""

    def __init__(
        self,
        view: MemberView,
        sender: DatagramSender,
        rng: Random,
        on_silent: Callable[[Member], None],
    ) -> None:
        self._view = view
        self._sender = sender
        self._rng = rng
        self._on_silent = on_silent
        self._sequence = 0
        self._pending_acks: dict[int, asyncio.Future[None]] = {}
        self._recent_probes: deque[bool] = deque(maxlen=PROBES_PER_PERIOD)  # whether acked in time
        self._tasks = BackgroundTasks()

    @property
    def answered(self) -> bool:
        """Return whether any of the probes of the last period was answered directly."""
        return any(self._recent_probes) or len(self._recent_probes) < PROBES_PER_PERIOD

    async def stop(self) -> None:
        """End all probes."""
        await self._tasks.stop()

    def probe_period(self) -> None:
        """Start the probes of one period."""
        successor = self._view.ring_successor()
        others = [m for m in self._view.sample(self._rng, 1) if m != successor]
        for member in [successor, *others] if successor else others:
            self._tasks.spawn(self._probe(member, self._recent_probes.append))

    def probe(self, member: Member) -> None:
        """Start one probe, out of turn."""
        self._tasks.spawn(self._probe(member, lambda answered: None))

    def on_ack(self, sequence: int) -> None:
        """Complete the probe with this sequence number."""
        pending = self._pending_acks.get(sequence)
        if pending is not None and not pending.done():
            pending.set_result(None)

    def ping_for(self, sequence: int, requester: Member, target: str) -> None:
        """Ping a member on behalf of another, which gets the ack if there is one."""
        member = self._view.get(target)
        if member is not None:
            self._tasks.spawn(self._ping_for(sequence, requester, member))

    async def _probe(self, member: Member, on_answer: Callable[[bool], None]) -> None:
        sequence, ack = self._expect_ack()
        try:
            self._sender.ping(member, sequence)
            answered = await _wait_for_ack(ack, PROBE_TIMEOUT)
            on_answer(answered)
            if answered:
                return
            for helper in self._view.sample(self._rng, INDIRECT_PROBES, exclude=member.name):
                self._sender.send(PingRequest(sequence, self._view.own, member.name), helper)
            if not await _wait_for_ack(ack, INDIRECT_TIMEOUT):
                self._on_silent(member)
        finally:
            del self._pending_acks[sequence]

    async def _ping_for(self, sequence: int, requester: Member, member: Member) -> None:
        own_sequence, ack = self._expect_ack()
        try:
            self._sender.ping(member, own_sequence)
            if await _wait_for_ack(ack, PROBE_TIMEOUT):
                self._sender.ack(requester, sequence)
        finally:
            del self._pending_acks[own_sequence]

    def _expect_ack(self) -> tuple[int, "asyncio.Future[None]"]:
        self._sequence += 1
        ack = asyncio.get_running_loop().create_future()
        self._pending_acks[self._sequence] = ack
        return self._sequence, ack


async def _wait_for_ack(ack: "asyncio.Future[None]", seconds: float) -> bool:
    await asyncio.wait({ack}, timeout=seconds)
    return ack.done()

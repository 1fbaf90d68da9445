"""Restarts of members, as their peers and the restarted node itself see them.

A restarted node knows nothing of the process before it. Its peers do: they see a new session under
the same name, and return the last record of the former one when the new process joins. A node that
was a seed may also find its entry in the store, until the lease ends.
"""

from enum import Enum
from typing import NamedTuple

from thorntray.internal.membership.member import Health, Member
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event

FORMER_RETENTION = 60.0  # seconds for which the last record of a former session is kept


class FormerEnd(Enum):
    """What is known of the end of a former session; the values appear in logs and metrics."""

    LEFT = "left"  # it announced its end
    LOST = "lost"  # it did not
    LISTED = "listed"  # its entry in the store has not yet expired


class FormerSession(NamedTuple):
    """The last record of a session, and the boot time at which it was replaced."""

    record: Member
    replaced_at: float


class Restarts:
    """The restarts that one node has seen."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._former: dict[str, FormerSession] = {}
        self._own_former: bytes | None = None
        self._is_listed = False
        # By the value of the former session's end, which labels the metric.
        self.counts = {FormerEnd.LEFT.value: 0, FormerEnd.LOST.value: 0}

    def member_restarted(self, former: Member, heard_at: float) -> None:
        """Record that a member has a new session; `heard_at` is the former one's last boot time.

        A planned restart is not logged, as the member has told that it left.
        """
        now = self._clock.boottime()
        self._former = {
            name: kept
            for name, kept in self._former.items()
            if now - kept.replaced_at < FORMER_RETENTION
        }
        self._former[former.name] = FormerSession(former, now)
        end = _end_of(former)
        self.counts[end.value] += 1
        if end is FormerEnd.LOST:
            seconds = round(now - heard_at, 1) if now - heard_at < float("inf") else None
            log_event(Event.RESTART_SEEN, member=former.name, former=end.value, silent=seconds)

    def former_of(self, member: Member) -> Member | None:
        """Return the last record of the session before that of `member`, None if it is unknown."""
        kept = self._former.get(member.name)
        if kept is None or kept.record.session == member.session:
            return None
        return kept.record if self._is_recent(kept) else None

    def own_former_seen(self, own: Member, former: Member) -> None:
        """Record that this node has had an earlier session; its record came from a peer."""
        if former.session == self._own_former:
            return
        self._own_former = former.session
        # A record's version is the start of its session in milliseconds, and a few changes.
        seconds = round((own.version - former.version) / 1000, 1)
        log_event(
            Event.RESTART_SEEN,
            member=own.name,
            former=_end_of(former).value,
            former_started=seconds,
        )

    def own_entry_found(self, own: Member) -> None:
        """Record that the store still lists an earlier session of this node as a seed."""
        if self._own_former is None and not self._is_listed:
            self._is_listed = True
            log_event(Event.RESTART_SEEN, member=own.name, former=FormerEnd.LISTED.value)

    def _is_recent(self, kept: FormerSession) -> bool:
        return self._clock.boottime() - kept.replaced_at < FORMER_RETENTION


def _end_of(former: Member) -> FormerEnd:
    return FormerEnd.LEFT if former.health is Health.LEFT else FormerEnd.LOST

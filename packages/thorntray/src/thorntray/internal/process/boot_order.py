"""Decides which boot of an instance is the newest one, by what is announced.

The fault: an instance keeps its address over restarts, and announcements may arrive late. If a late
one is taken for a new boot, requests go to a boot that has ended. If a new boot is taken for a late
one, the instance gets no work for as long as it runs, and nothing but its own rejections shows it.
So no judgement is final, except on a boot that says itself that it leaves.

Of two known start times the later one decides. A boot that names its start replaces one that does
not, and of two that do not, the one whose ID was not announced before is the newer. All others are
ignored as outdated: a boot that was replaced or crashed, an earlier start, a lower sequence number.

Such a boot is used all the same if it goes on announcing itself with rising sequence numbers for
`CLAIM_TIME` while the current boot is silent or doubted. Late announcements come to an end earlier,
and a living boot is heard in between.
"""

from typing import NamedTuple

from thorntray.internal.process.clock import Clock

MAX_ENDED_BOOTS = 64  # most recent ones, kept to recognize their late announcements
CLAIM_TIME = 2.0  # seconds; longer than the announcements that were held up on one connection take
SILENCE_TIME = 3.5  # seconds; two announcement periods of 1.5 s and some delay


class Boot(NamedTuple):
    """One run of an instance.

    `started_ms` is its start, in milliseconds since 1970; 0 if the instance does not name it.
    """

    instance_id: str
    started_ms: int


class _Claim(NamedTuple):
    """A boot that seems outdated and goes on announcing itself."""

    boot: Boot
    since: float  # monotonic seconds
    sequence: int


class BootOrder:
    """The current boot of one instance, and those that have ended."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: Boot | None = None
        self._sequence = 0
        self._announced_at = 0.0  # monotonic seconds
        self._crashed = False
        self._doubted = False
        self._ended: dict[Boot, None] = {}
        self._claim: _Claim | None = None

    def reset(self) -> None:
        """Forget all boots, as the address now belongs to another instance."""
        self._current = self._claim = None
        self._ended.clear()

    def record_crash(self, boot: Boot) -> None:
        """Record that the current boot crashed; its late announcements do not bring it back."""
        if boot == self._current:
            self._crashed = True

    def doubt(self, boot: Boot) -> None:
        """Record that another instance seems to run in place of the current boot."""
        if boot == self._current:
            self._doubted = True

    def accept(self, boot: Boot, sequence: int) -> bool:
        """Return whether an announcement is the newest one; its boot is then the current one."""
        if not self._is_newer(boot, sequence) and not self._has_proven_claim(boot, sequence):
            return False
        if self._current is not None and boot != self._current:
            self._record_ended(self._current)
        self._ended.pop(boot, None)
        self._current, self._sequence = boot, sequence
        self._announced_at = self._clock.monotonic()
        self._crashed = self._doubted = False
        self._claim = None
        return True

    def _is_newer(self, boot: Boot, sequence: int) -> bool:
        current = self._current
        if current is None:
            return True
        if boot == current:
            return sequence > self._sequence and not self._crashed
        if boot in self._ended:
            return False
        if boot.started_ms and current.started_ms:
            return boot.started_ms > current.started_ms
        if boot.started_ms:
            return True
        # A boot without a start time beside one that has it may come from another program.
        return not current.started_ms and boot.instance_id != current.instance_id

    def _has_proven_claim(self, boot: Boot, sequence: int) -> bool:
        """Return whether an outdated boot has gone on for long enough to be the living one."""
        now = self._clock.monotonic()
        claim = self._claim
        if claim is None or claim.boot != boot or sequence < claim.sequence:
            self._claim = _Claim(boot, now, sequence)
            return False
        self._claim = claim._replace(sequence=sequence)
        silent = now - self._announced_at > SILENCE_TIME
        return (
            sequence > claim.sequence
            and now - claim.since >= CLAIM_TIME
            and (silent or self._crashed or self._doubted)
        )

    def _record_ended(self, boot: Boot) -> None:
        self._ended[boot] = None
        while len(self._ended) > MAX_ENDED_BOOTS:
            del self._ended[next(iter(self._ended))]

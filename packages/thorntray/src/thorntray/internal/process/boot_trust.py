"""Which boots of the instance may get work after a start of this node's process.

The fault: a process knows nothing of what its predecessor has confirmed, and asks others
(`membership.departures`). If all nodes were killed at once, everybody it asks is as new as itself,
and the store may not have got the entry before. Nobody then knows that a boot had left, so the lack
of an entry says nothing, and an announcement from before the leaving may still arrive.

What such an announcement cannot do is go on. A boot that has left announces nothing more, and what
was held up on the way comes to an end, while a living boot continues with rising numbers. On the
other hand all instances of a fleet wait for work after such a kill, and one that waits for several
announcements first waits for seconds. So in that case

- a boot that is announced at once, as a living one is within its period, gets work provisionally,
  and loses it unless it goes on;
- one that is announced later has to go on for longer than a few announcements can be late;
- one that started after this process cannot have left before it.

The first rule leaves a gap: a late announcement that arrives right after the start brings work
until `RENEWAL_TIME` later. The process cannot tell it from the first one of a living boot.

A process that reaches nobody waits for a shorter proof from every boot: it may be alone for long.
"""

from enum import Enum
from typing import NamedTuple

from thorntray.internal.process.boot_order import Boot
from thorntray.internal.process.clock import Clock

PROMPT_TIME = 1.8  # seconds; a period of announcements, 1.5 s, and some delay
RENEWAL_TIME = 2.0  # seconds from an announcement until the next one has to come
MAX_GAP = 6.0  # seconds between two announcements of a proof
MS_PER_SECOND = 1000


class Knowledge(Enum):
    """What this process knows of the boots that left before its start."""

    COMPLETE = "all departures are known"
    UNCERTAIN = "those that others have told, and none of them need know all"
    NONE = "nobody has answered yet"


class Proof(NamedTuple):
    """Announcements with rising numbers that show a living boot, over at least some seconds."""

    announcements: int
    seconds: float


PROOF = Proof(5, 6.0)  # of a boot that is not announced at once
PROOF_ALONE = Proof(3, 3.0)  # if nobody answers


class _Series(NamedTuple):
    """The announcements of one boot since the start; times are monotonic seconds."""

    boot: Boot
    first_at: float
    last_at: float
    count: int
    is_prompt: bool  # whether it began at once and has had no gap since
    is_proven: bool = False

    def satisfies(self, proof: Proof) -> bool:
        """Return whether a living boot is shown."""
        lasted = self.last_at - self.first_at
        return self.count >= proof.announcements and lasted >= proof.seconds


class BootTrust:
    """Decides whether a boot that announces itself may get work."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.knowledge = Knowledge.COMPLETE
        self._requires_proof = False
        self._began_at = clock.monotonic()
        self._began_ms = 0.0  # since 1970
        self._series: _Series | None = None

    def hold(self) -> None:
        """Trust no boot, as nothing is known; announcements may arrive from now on."""
        self.knowledge = Knowledge.NONE
        self._requires_proof = False
        self._began_at = self._clock.monotonic()
        self._began_ms = self._clock.time() * MS_PER_SECOND
        self._series = None

    def set_uncertain(self, *, requires_proof: bool) -> None:
        """Trust boots that go on; without `requires_proof`, also one announced at once."""
        if self.knowledge is not Knowledge.COMPLETE:
            self.knowledge = Knowledge.UNCERTAIN
            self._requires_proof = requires_proof

    def set_complete(self) -> None:
        """Trust every boot."""
        self.knowledge = Knowledge.COMPLETE

    def record(self, boot: Boot) -> None:
        """Record an announcement that is the newest one of its boot."""
        if self.knowledge is Knowledge.COMPLETE:
            return
        now, series = self._clock.monotonic(), self._series
        if series is None or series.boot != boot:
            is_prompt = now - self._began_at <= PROMPT_TIME
            self._series = _Series(boot, now, now, 1, is_prompt)
        elif now - series.last_at > MAX_GAP and not series.is_proven:
            self._series = _Series(boot, now, now, 1, False)
        else:
            self._continue(series, now)

    def _continue(self, series: _Series, now: float) -> None:
        is_prompt = series.is_prompt and now - series.last_at <= RENEWAL_TIME
        series = series._replace(last_at=now, count=series.count + 1, is_prompt=is_prompt)
        proof = PROOF_ALONE if self._requires_proof else PROOF
        self._series = series._replace(is_proven=series.is_proven or series.satisfies(proof))

    def trusts(self, boot: Boot) -> bool:
        """Return whether a boot may get work now."""
        match self.knowledge:
            case Knowledge.COMPLETE:
                return True
            case Knowledge.NONE:
                return False
            case Knowledge.UNCERTAIN:
                return self._is_younger(boot) or self._goes_on(boot)
        raise AssertionError(self.knowledge)

    def _is_younger(self, boot: Boot) -> bool:
        """Return whether a boot started after this process; a clock may have been set back."""
        return self._began_ms <= boot.started_ms <= self._clock.time() * MS_PER_SECOND

    def _goes_on(self, boot: Boot) -> bool:
        series = self._series
        if series is None or series.boot != boot:
            return False
        if series.is_proven:
            return True
        if self._requires_proof or not series.is_prompt:
            return False
        return self._clock.monotonic() - series.last_at <= RENEWAL_TIME

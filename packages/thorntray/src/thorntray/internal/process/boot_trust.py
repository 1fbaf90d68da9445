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
- one that is announced later has to go on for `PROOF_TIME` first;
- one that started after this process cannot have left before it.

The first rule leaves a gap: a late announcement that arrives right after the start brings work
until `RENEWAL_TIME` later. The process cannot tell it from the first one of a living boot.
"""

from enum import Enum
from typing import NamedTuple

from thorntray.internal.process.boot_order import Boot
from thorntray.internal.process.clock import Clock

PROMPT_TIME = 1.8  # seconds; a period of announcements, 1.5 s, and some delay
RENEWAL_TIME = 2.0  # seconds from an announcement until the next one has to come
PROOF_TIME = 3.0  # seconds, from the first to the last announcement of a proof
PROOF_ANNOUNCEMENTS = 3  # at least, with rising numbers; one or two may have been held up
MAX_GAP = 6.0  # seconds between two announcements of a proof
MS_PER_SECOND = 1000


class Knowledge(Enum):
    """What this process knows of the boots that left before its start."""

    COMPLETE = "all departures are known"
    UNCERTAIN = "those that others have told, and none of them need know all"
    NONE = "nobody has answered yet"


class _Series(NamedTuple):
    """The announcements of one boot since the start; times are monotonic seconds."""

    boot: Boot
    first_at: float
    last_at: float
    count: int
    is_prompt: bool  # whether it began at once and has had no gap since


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
        elif now - series.last_at > MAX_GAP:
            self._series = _Series(boot, now, now, 1, False)
        else:
            is_prompt = series.is_prompt and now - series.last_at <= RENEWAL_TIME
            self._series = _Series(boot, series.first_at, now, series.count + 1, is_prompt)

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
        lasted = series.last_at - series.first_at
        if series.count >= PROOF_ANNOUNCEMENTS and lasted >= PROOF_TIME:
            return True
        if self._requires_proof or not series.is_prompt:
            return False
        return self._clock.monotonic() - series.last_at <= RENEWAL_TIME

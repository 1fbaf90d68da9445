"""Which requests run apart from each other, since one of them may have crashed an instance.

Load pattern: an instance crashes while it runs a hundred requests, one of which is the cause. Sent
to the next instances all at once, they crash those too within the time of a few retries, and each
crash makes more requests suspect. The service is down before any of them can be told from the
culprit. So of the requests of one crash, only a few run at an instance at the same time:

* Suspects of a crash are the requests that ran in the most crashes of all that ran in it. The
  others are explained by these and run as usual.
* Of n suspects, at most the square root of n, rounded down, run together at one instance. A second
  crash then leaves that many suspects, and the innocent ones are cleared by their success in a few
  rounds. Rounded up, two suspects would run together again, which cannot tell them apart.
* All nodes send the same suspect to the same instance. A culprit that comes often would otherwise
  reach several before its second crash is known.
* Suspects of two crashes or more run alone, and only after `SECOND_CRASH_PAUSE`. By then the
  crashed instances are back, so that one culprit takes no further instance while two are down. A
  third crash leaves a single suspect, which `crash_suspects` blocks.
* If three crashes or more leave several, as when a culprit comes to many nodes at one moment, these
  run alone for as long as a block would last. The next crash or success then decides.

One success anywhere ends the isolation of a request. So does `ISOLATION_TIME` without a further
crash while there are only two. Crashes of many instances at one moment have another cause and
isolate nothing.
"""

from collections import Counter
from math import isqrt

from thorntray.internal.membership.hashing import hash64
from thorntray.internal.membership.member import Member
from thorntray.internal.overload.crash_suspects import (
    BLOCK_TIME,
    CRASHES_TO_BLOCK,
    CrashSuspects,
)
from thorntray.internal.process.clock import Clock

ISOLATION_TIME = 10.0  # seconds after the newest of at most two crashes of a request
SECOND_CRASH_PAUSE = 5.0  # seconds; time for the restart and announcement of a crashed instance


class CrashIsolation:
    """Decides when suspects may run at the own instance, and counts those that do."""

    def __init__(self, suspects: CrashSuspects, clock: Clock) -> None:
        self._suspects = suspects
        self._clock = clock
        self._running: Counter[int] = Counter()  # suspects at the instance, by their group limit

    @property
    def active(self) -> bool:
        """Return whether any request may be refused or have to wait."""
        return self._suspects.active

    @property
    def running(self) -> int:
        """Return the number of suspects that run at the own instance."""
        return self._running.total()

    def refused_for(self, fingerprint: int) -> float:
        """Return the seconds for which a request is refused, 0 if it may run."""
        pause = 0.0
        if self.runs_alone(fingerprint):
            newest = max(crash.at for crash in self._suspects.crashes_of(fingerprint))
            pause = newest + SECOND_CRASH_PAUSE - self._clock.boottime()
        return max(0.0, pause, self._suspects.blocked_for(fingerprint))

    def runs_alone(self, fingerprint: int) -> bool:
        """Return whether a request ran in several recent crashes, and may only run alone."""
        return self._suspects.count_crashes(fingerprint) > 1 and bool(self.group_limit(fingerprint))

    def group_limit(self, fingerprint: int) -> int:
        """Return how many suspects may run together if this one is among them; 0: any number."""
        suspects = self._suspects
        own_count = suspects.count_crashes(fingerprint)
        if own_count == 0:
            return 0
        lasts = ISOLATION_TIME if own_count < CRASHES_TO_BLOCK else BLOCK_TIME
        earliest = self._clock.boottime() - lasts
        sizes = [
            len(crash.fingerprints)
            for crash in suspects.crashes_of(fingerprint)
            if crash.at > earliest
            and not suspects.is_correlated(crash, fingerprint)
            and own_count >= max(map(suspects.count_crashes, crash.fingerprints))
        ]
        if not sizes:
            return 0
        return 1 if own_count > 1 else isqrt(max(sizes))

    def may_start(self, fingerprint: int) -> bool:
        """Return whether a request may start now beside the suspects that run."""
        limit = self.group_limit(fingerprint)
        if limit == 0:
            return True
        return self.running < min([limit, *self._running])

    def begin(self, fingerprint: int) -> int:
        """Count a request that starts; return its group limit, 0 if it is no suspect."""
        limit = self.group_limit(fingerprint)
        if limit:
            self._running[limit] += 1
        return limit

    def end(self, limit: int) -> None:
        """Count the end of a suspect with this group limit."""
        self._running[limit] -= 1
        if not self._running[limit]:
            del self._running[limit]


def choose_instance(members: list[Member], fingerprint: int) -> Member | None:
    """Return the member that runs a suspect, the same at all nodes.

    It stays the same while the set of routable members does. Other requests may get other members.
    """
    routable = [member for member in members if member.routable]
    return max(routable, key=lambda m: hash64(f"{fingerprint} {m.name}"), default=None)

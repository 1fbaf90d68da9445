"""Which requests are refused because each instance that begins to run them crashes.

The fault: a request crashes its instance, its caller sends it again, and it takes one instance
after the other until the service is down. Refusing it needs evidence from the whole fleet, since a
node sees only the crashes of its own instance. All nodes hold the same reports of crashes, each
with the fingerprints of the requests that ran then, and each node decides alone.

A request is blocked from the third crash on that points at it. Most requests that run during a
crash are innocent, above all the frequent ones, which run during each. They are told apart thus:

* One successful response clears a fingerprint for `CLEAR_TIME`, whatever has been reported. A
  frequent request succeeds elsewhere within moments, also if operators kill one process after the
  other. A block therefore waits until the fingerprint has been known for `WATCH_TIME`, in which
  successes can be seen and reported.
* A crash points at a fingerprint only if few of those that ran then were in as many crashes: the
  others explain it better, or it cannot be told which one it was. A culprit that ran beside a
  hundred others each time is the only one that ran in all three crashes.
* A fingerprint is blocked only once it is told apart: in one of its crashes, no other ran in as
  many. A block of all that are left would refuse the innocent ones, and with them the successes
  that clear them. Those left run alone instead (`crash_isolation`), so the next crash or the next
  success tells which one it was.
* Crashes at one moment count at most twice, so that no single event leads to a block. If many
  instances crash at once, as when a failure domain loses power, they count only for a fingerprint
  that ran in many of them.

* A node decides on a block only after a crash since its own start. What happened before may have
  been cleared by successes that it does not know of (`store.crash_archive`). Blocks of others hold.

A block ends `BLOCK_TIME` after the newest crash. The reports are kept for longer, so that a single
further crash blocks the request again.

Memory is bounded, since a client may send a thousand different ones: the oldest crashes whose
fingerprints did not come back are dropped first. Times are those of `Clock.boottime`.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import pairwise
from typing import NamedTuple

from thorntray.internal.process.clock import Clock

CRASHES_TO_BLOCK = 3
BLOCK_TIME = 600.0  # seconds after the newest crash
CLEAR_TIME = 300.0  # seconds after a successful response
REPORT_LIFETIME = 1800.0  # seconds after a crash
# Seconds from the first report to a block: time for the gossip of successes, and early enough for
# the block to be known at all nodes 3 s after the third crash.
WATCH_TIME = 1.5
COINCIDENCE_WINDOW = 0.25  # seconds in which several crashes count as one event
MAX_COINCIDENT = 2
MAX_EQUAL_SUSPECTS = 4  # fingerprints of one crash that may be blocked on equal evidence
CORRELATED_CRASHES = 4  # crashes at one moment from which on they are taken for a common cause
MIN_CORRELATED_SHARE = (
    0.25  # of the correlated crashes in which a fingerprint ran, for them to count
)
MAX_CRASHES = 512
MAX_SUSPECTS = 8192  # fingerprints, over all crashes
MAX_BLOCKED = 1024
MAX_CLEARED = 4096
MAX_COUNTED = 16  # newest crashes of one fingerprint that are looked at
MIN_EXTENSION = 5.0  # seconds by which a known block must be extended to be reported again


class Crash(NamedTuple):
    """A crash of an instance. `running` is the number of requests that it ran."""

    crash_id: int  # of the instance's boot, the same whoever reports it
    at: float
    running: int
    fingerprints: frozenset[int]  # at most as many as fit in a report


class CrashSuspects:
    """The known crashes, and the fingerprints that are suspected, cleared and blocked.

    `on_block` is called with a fingerprint that this node blocks or learns to be blocked, the
    number of crashes known here, and the seconds for which it is blocked.
    """

    def __init__(self, clock: Clock, on_block: Callable[[int, int, float], None]) -> None:
        self._clock = clock
        self._on_block = on_block
        self._started_at = clock.boottime()
        self._crashes: dict[int, Crash] = {}
        self._crashes_of: dict[int, set[int]] = {}  # crash IDs by suspected fingerprint
        self._known_since: dict[int, float] = {}
        self._cleared: dict[int, float] = {}  # until
        self._blocked: dict[int, float] = {}  # until
        self._review_due = False  # whether the evidence has changed since the last decision
        self._moments: dict[int, int] = {}  # by fingerprint, during a review

    # Queries on the request path; without a suspect in the fleet only the first one is called.

    @property
    def active(self) -> bool:
        """Return whether any fingerprint is suspected or blocked."""
        return bool(self._crashes_of) or bool(self._blocked)

    def blocked_for(self, fingerprint: int) -> float:
        """Return the seconds for which a request is still refused, 0 if it is not."""
        return max(0.0, self._blocked.get(fingerprint, 0.0) - self._clock.boottime())

    def is_suspected(self, fingerprint: int) -> bool:
        """Return whether an instance crashed while it ran this request, which never succeeded."""
        return fingerprint in self._crashes_of or fingerprint in self._blocked

    def count_crashes(self, fingerprint: int) -> int:
        """Return the number of known crashes in which a request ran that never succeeded."""
        return len(self._crashes_of.get(fingerprint, ()))

    def crashes_of(self, fingerprint: int) -> Iterator[Crash]:
        """Return the crashes that `count_crashes` counts."""
        return (self._crashes[crash_id] for crash_id in self._crashes_of.get(fingerprint, ()))

    # Evidence; each method returns whether it is news that other nodes need.

    def add_crash(self, crash: Crash) -> bool:
        """Record a crash."""
        now = self._clock.boottime()
        if crash.crash_id in self._crashes or crash.at <= now - REPORT_LIFETIME:
            return False
        crash = crash._replace(
            at=min(crash.at, now),
            fingerprints=frozenset(f for f in crash.fingerprints if not self._is_cleared(f)),
        )
        self._crashes[crash.crash_id] = crash
        self._review_due = True
        for fingerprint in crash.fingerprints:
            self._crashes_of.setdefault(fingerprint, set()).add(crash.crash_id)
            self._known_since.setdefault(fingerprint, now)
        self._drop_excess()
        return crash.crash_id in self._crashes

    def record_success(self, fingerprint: int) -> bool:
        """Record a successful response, which ends the suspicion."""
        now = self._clock.boottime()
        if not self.is_suspected(fingerprint):
            # A frequent request stays cleared while it succeeds.
            until = self._cleared.get(fingerprint, 0.0)
            if not now < until < now + CLEAR_TIME / 2:
                return False
        return self.add_clear(fingerprint, now + CLEAR_TIME)

    def add_clear(self, fingerprint: int, until: float) -> bool:
        """Record that a request succeeded somewhere; prevails over crashes and blocks."""
        now = self._clock.boottime()
        until = min(until, now + CLEAR_TIME)
        if until <= max(now, self._cleared.get(fingerprint, 0.0) + MIN_EXTENSION):
            return False
        self._cleared[fingerprint] = until
        self._blocked.pop(fingerprint, None)
        for crash_id in self._crashes_of.get(fingerprint, set()).copy():
            self._withdraw(fingerprint, crash_id)
        _drop_earliest(self._cleared, MAX_CLEARED)
        return True

    def add_block(self, fingerprint: int, until: float) -> bool:
        """Record a block that this node or another one has decided."""
        now = self._clock.boottime()
        until = min(until, now + BLOCK_TIME)
        known = self._blocked.get(fingerprint, 0.0)
        if until <= max(now, known + MIN_EXTENSION) or self._is_cleared(fingerprint):
            return False
        self._blocked[fingerprint] = until
        _drop_earliest(self._blocked, MAX_BLOCKED)
        if not known:
            self._on_block(fingerprint, len(self._crashes_of.get(fingerprint, ())), until - now)
        return True

    def update(self) -> list[int]:
        """Forget what has expired; return the fingerprints newly blocked, or blocked for longer.

        To be called several times a second.
        """
        now = self._clock.boottime()
        self._remove_expired(now)
        if not self._review_due:
            return []
        self._moments.clear()
        candidates = [f for f, ids in self._crashes_of.items() if self._may_block(ids)]
        watched = [f for f in candidates if self._known_since[f] + WATCH_TIME <= now]
        self._review_due = len(watched) < len(candidates)
        return [f for f in watched if self.add_block(f, self._block_end(f))]

    def _may_block(self, crash_ids: set[int]) -> bool:
        if len(crash_ids) < CRASHES_TO_BLOCK:
            return False
        return any(self._crashes[crash_id].at >= self._started_at for crash_id in crash_ids)

    # What peers are told, and what operators see.

    @property
    def crashes(self) -> dict[int, Crash]:
        """Return the known crashes by ID."""
        return self._crashes

    @property
    def cleared(self) -> dict[int, float]:
        """Return the times until which fingerprints are cleared."""
        return self._cleared

    @property
    def blocked(self) -> dict[int, float]:
        """Return the times until which fingerprints are blocked."""
        return self._blocked

    @property
    def suspect_count(self) -> int:
        """Return the number of suspected fingerprints."""
        return len(self._crashes_of)

    # The decision.

    def _block_end(self, fingerprint: int) -> float:
        """Return the time until which the known crashes block a fingerprint, 0 if they do not."""
        crashes = sorted(self.crashes_of(fingerprint), key=lambda crash: crash.at)
        counted: list[float] = []
        told_apart = False
        for crash in crashes[-MAX_COUNTED:]:
            if not self._points_at(crash, fingerprint) or self.is_correlated(crash, fingerprint):
                continue
            told_apart = told_apart or self._ran_most_often(crash, fingerprint)
            if sum(crash.at - at < COINCIDENCE_WINDOW for at in counted) < MAX_COINCIDENT:
                counted.append(crash.at)
        if len(counted) < CRASHES_TO_BLOCK or not told_apart:
            return 0.0
        return counted[-1] + BLOCK_TIME

    def _points_at(self, crash: Crash, fingerprint: int) -> bool:
        """Return whether few other suspects explain a crash as well as this one."""
        own = self._count_moments(fingerprint)
        equal = sum(self._count_moments(other) >= own for other in crash.fingerprints)
        return equal <= MAX_EQUAL_SUSPECTS

    def _ran_most_often(self, crash: Crash, fingerprint: int) -> bool:
        """Return whether each other suspect of a crash ran in fewer crashes than this one."""
        own = self.count_crashes(fingerprint)
        others = crash.fingerprints - {fingerprint}
        return all(self.count_crashes(other) < own for other in others)

    def is_correlated(self, crash: Crash, fingerprint: int) -> bool:
        """Return whether a crash is one of many at one moment that have another cause."""
        if crash.running == 1:
            return False
        correlated = [
            c for c in self._crashes.values() if abs(c.at - crash.at) < COINCIDENCE_WINDOW
        ]
        ran_in = sum(fingerprint in c.fingerprints for c in correlated)
        return len(correlated) >= CORRELATED_CRASHES and ran_in < MIN_CORRELATED_SHARE * len(
            correlated
        )

    def _count_moments(self, fingerprint: int) -> int:
        """Return the number of crashes of a fingerprint; those at one moment count as one."""
        known = self._moments.get(fingerprint)
        if known is None:
            times = sorted(crash.at for crash in self.crashes_of(fingerprint))
            known = 1 + sum(
                later - earlier >= COINCIDENCE_WINDOW for earlier, later in pairwise(times)
            )
            self._moments[fingerprint] = known
        return known

    # Bounds.

    def _is_cleared(self, fingerprint: int) -> bool:
        return self._cleared.get(fingerprint, 0.0) > self._clock.boottime()

    def _withdraw(self, fingerprint: int, crash_id: int) -> None:
        """Remove a fingerprint from a crash."""
        crash = self._crashes[crash_id]
        self._crashes[crash_id] = crash._replace(fingerprints=crash.fingerprints - {fingerprint})
        self._forget_crash_of(fingerprint, crash_id)

    def _forget_crash_of(self, fingerprint: int, crash_id: int) -> None:
        self._review_due = True
        crash_ids = self._crashes_of[fingerprint]
        crash_ids.discard(crash_id)
        if not crash_ids:
            del self._crashes_of[fingerprint], self._known_since[fingerprint]

    def _remove(self, crash: Crash) -> None:
        for fingerprint in crash.fingerprints:
            self._forget_crash_of(fingerprint, crash.crash_id)
        del self._crashes[crash.crash_id]

    def _remove_expired(self, now: float) -> None:
        for crash in [c for c in self._crashes.values() if c.at <= now - REPORT_LIFETIME]:
            self._remove(crash)
        for expiring in (self._cleared, self._blocked):
            for fingerprint in [f for f, until in expiring.items() if until <= now]:
                del expiring[fingerprint]

    def _drop_excess(self) -> None:
        while len(self._crashes) > MAX_CRASHES or len(self._crashes_of) > MAX_SUSPECTS:
            self._remove(min(self._crashes.values(), key=self._retention_order))

    def _retention_order(self, crash: Crash) -> tuple[bool, float]:
        """Order the crashes whose fingerprints came back after the others, each by time."""
        return any(len(self._crashes_of[f]) > 1 for f in crash.fingerprints), crash.at


def _drop_earliest(until: dict[int, float], limit: int) -> None:
    """Remove the entries that would expire first, down to `limit`."""
    while len(until) > limit:
        del until[min(until, key=until.__getitem__)]


def choose_reported(
    fingerprints: Iterable[int], limit: int, suspects: CrashSuspects, order: Callable[[], float]
) -> frozenset[int]:
    """Return at most `limit` fingerprints of a crash: those already suspected, then any others.

    `order` returns a random number for each, so that a culprit is among them sooner or later.
    """
    ranked = sorted(set(fingerprints), key=lambda f: (not suspects.is_suspected(f), order()))
    return frozenset(ranked[:limit])

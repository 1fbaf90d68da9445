"""What the nodes of callers know of the instances of other nodes: their limits and their leaving.

A node that restarts has lost what its instance has named in answers, and the instance may name it
again only in its next answer. The nodes that have passed on such an answer still know it. They tell
it in the first frame of each link to the restarted node, before the first call on that link.

A notice is about one boot of an instance and says nothing of later ones. A boot that leaves never
returns, so its notice is kept for long; a limit may have ended meanwhile, so it is not.
"""

from typing import NamedTuple

from thorntray.internal.process.clock import Clock

LIMIT_LIFETIME = 30.0  # seconds after the last result that names the limit
LEAVING_LIFETIME = 600.0  # seconds
MAX_LEAVING_BOOTS = 8  # newest ones that are kept for each member


class InstanceNotice(NamedTuple):
    """What one boot of an instance has named: a rate limit, its leaving, or both."""

    instance_id: str
    started_ms: int  # start of the boot, in milliseconds since 1970
    rate_limit: float | None  # requests a second, None without a limit
    start_delay: float  # seconds until a further request may start, with those that wait before it
    leaving: bool


class _Heard(NamedTuple):
    notice: InstanceNotice
    heard_at: float  # monotonic seconds


class InstanceNotices:
    """The notices that came with results, by member."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limits: dict[str, _Heard] = {}
        self._leaving: dict[str, list[_Heard]] = {}

    def record(self, member: str, notice: InstanceNotice | None, now: float) -> None:
        """Record the notice that came with a member's result at `now`, None if there was none."""
        if notice is None or notice.rate_limit is None:
            self._limits.pop(member, None)
        else:
            self._limits[member] = _Heard(notice, now)
        if notice is not None and notice.leaving:
            known = self._leaving.setdefault(member, [])
            others = [heard for heard in known if heard.notice[:2] != notice[:2]]
            self._leaving[member] = [*others, _Heard(notice, now)][-MAX_LEAVING_BOOTS:]

    def of_member(self, member: str) -> tuple[InstanceNotice, ...]:
        """Return the notices about a member's instance that are still valid."""
        now = self._clock.monotonic()
        limit = self._limits.get(member)
        valid = [h for h in self._leaving.get(member, ()) if now - h.heard_at < LEAVING_LIFETIME]
        if limit is not None and now - limit.heard_at < LIMIT_LIFETIME:
            valid.append(limit)
        return tuple(heard.notice for heard in valid)

    def remove_expired(self) -> None:
        """Drop the notices that are no longer valid; to be called periodically."""
        now = self._clock.monotonic()
        self._limits = {
            m: heard for m, heard in self._limits.items() if now - heard.heard_at < LIMIT_LIFETIME
        }
        self._leaving = {
            member: kept
            for member, known in self._leaving.items()
            if (kept := [heard for heard in known if now - heard.heard_at < LEAVING_LIFETIME])
        }

"""Placement: which instance of a service gets a request, by expected time.

Load pattern: instances of one service differ in speed by more than two, and any of them may turn
slow or stall while its reports still look well. Choosing by requests in flight sends the slow one
as much as the fast one. So the choice goes by the time that a request is expected to take there:
the service time measured for that instance, and the wait for a slot when what is known to be
there exceeds its limit.

Bytes between failure domains are dear and add delay, so another domain must be clearly faster.
But an instance near its limit soon makes everybody wait, and a full one at home beside an idle one
away wastes slots while callers are refused; so the last slots count as slower the fewer are left.
A member whose node or instance did not take requests lately rests for a while. Where no member is
open, one whose node is about to stop is still asked: it serves until it ends, or refuses at once.
"""

from random import Random

from thorntray.internal.membership.member import Health, Member
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.request.result import LoadReport

AWAY_PENALTY = 0.06  # seconds added for another failure domain
FILLING_ABOVE = 0.65  # share of the limit in use from which an instance counts as slower
FULL_PENALTY = 0.15  # seconds added when the last slot is in use
UNKNOWN_SERVICE_TIME = 0.05  # seconds, before the first result
TIME_WEIGHT = 0.15  # of the newest service time of a member
REST_AFTER_REFUSAL = 0.25  # seconds without new requests after a refusal that was not about load
ASSUMED_LIMIT = 16  # slots of an instance that has not reported yet
ALL_BELOW = 6  # members up to which all are compared
HOME_SAMPLE = 4  # members of the own domain that are compared otherwise
AWAY_SAMPLE = 2  # members of other domains that are compared otherwise
REPORT_LIFETIME = 1.0  # seconds in which a report of load counts


class _Load:
    __slots__ = ("service_time", "report", "reported_at", "sent_since", "rests_until", "out")

    def __init__(self) -> None:
        self.service_time: dict[str, float] = {}  # seconds, by route
        self.report = LoadReport(0.0, 0.0, 0, 0)
        self.reported_at = float("-inf")
        self.sent_since = 0
        self.rests_until = float("-inf")
        self.out = 0  # requests of this node that are there now


class Placement:
    """What is known of each member's load, and the choice among members."""

    def __init__(self, domain: str, ejection: Ejection, rng: Random) -> None:
        self._domain = domain
        self._ejection = ejection
        self._rng = rng
        self._loads: dict[str, _Load] = {}
        self._rest_ends = float("-inf")  # when the last rest ends

    def sent(self, member: str) -> None:
        """Note that a request is on its way."""
        load = self._load(member)
        load.out += 1
        load.sent_since += 1

    def ended(self, member: str, route: str, report: LoadReport, now: float) -> None:
        """Note that a request is over, with what its node has told."""
        load = self._load(member)
        load.out = max(0, load.out - 1)
        if report.limit:
            load.report = report
            load.reported_at = now
            load.sent_since = 0
        if report.service_time > 0:
            known = load.service_time.get(route, report.service_time)
            load.service_time[route] = known + TIME_WEIGHT * (report.service_time - known)

    def rest(self, member: str, now: float, seconds: float = REST_AFTER_REFUSAL) -> None:
        """Leave a member out for a while."""
        self._load(member).rests_until = now + seconds
        self._rest_ends = max(self._rest_ends, now + seconds)

    def forget(self, member: str) -> None:
        """Drop what is known of a member that left."""
        self._loads.pop(member, None)

    def pick(self, members: list[Member], route: str, tried: set[str], now: float) -> Member | None:
        """Return the member with the least expected time, None if no one may be tried."""
        routable = [m for m in members if m.routable and m.name not in tried]
        if not routable:
            return self._last_resort(members, tried, now)
        pool = self._sample(self._in_rotation(routable, now))
        usual = self._usual_time(pool, route)
        best, least = pool[0], float("inf")
        for member in pool:
            expected = self._expected(member, route, usual, now)
            if expected < least:
                best, least = member, expected
        return best

    def _in_rotation(self, routable: list[Member], now: float) -> list[Member]:
        """Return the members that are neither ejected nor resting, or else all of them."""
        pool = routable
        if self._ejection.active:
            kept = self._ejection.keep([m.name for m in routable])
            pool = [m for m in routable if m.name in kept] or routable
        if now < self._rest_ends:
            pool = [m for m in pool if self._load(m.name).rests_until <= now] or pool
        return pool

    def _sample(self, pool: list[Member]) -> list[Member]:
        """Return the members at home and a few others: looking at all would cost with the fleet."""
        if len(pool) <= ALL_BELOW:
            return pool
        home = [m for m in pool if m.domain == self._domain]
        away = [m for m in pool if m.domain != self._domain]
        sampled = self._rng.sample(home, min(HOME_SAMPLE, len(home)))
        return sampled + self._rng.sample(away, min(AWAY_SAMPLE, len(away)))

    def _last_resort(self, members: list[Member], tried: set[str], now: float) -> Member | None:
        for member in members:
            alive = member.health is Health.ALIVE and member.name not in tried
            if alive and self._load(member.name).rests_until <= now:
                return member
        return None

    def _usual_time(self, pool: list[Member], route: str) -> float:
        times = [t for m in pool if (t := self._load(m.name).service_time.get(route))]
        return min(times) if times else UNKNOWN_SERVICE_TIME

    def _expected(self, member: Member, route: str, usual: float, now: float) -> float:
        load = self._load(member.name)
        seconds = load.service_time.get(route, usual)
        report = load.report
        fresh = now - load.reported_at < REPORT_LIFETIME
        present = report.in_flight + load.sent_since if fresh else load.out
        limit = report.limit or ASSUMED_LIMIT
        load_share = (present + 1) / limit
        wait = _congestion(load_share, seconds) if load_share > FILLING_ABOVE else 0.0
        if fresh:
            wait = max(wait, report.queue_wait)
        away = 0.0 if member.domain == self._domain else AWAY_PENALTY
        jitter = self._rng.random() * 0.002
        return seconds + wait + away + jitter

    def _load(self, member: str) -> _Load:
        load = self._loads.get(member)
        if load is None:
            load = self._loads[member] = _Load()
        return load


def _congestion(load: float, seconds: float) -> float:
    """Return the seconds to add for an instance at a share `load` of its limit."""
    filling = min(1.0, max(0.0, (load - FILLING_ABOVE) / (1.0 - FILLING_ABOVE)))
    queued = max(0.0, load - 1.0)
    return FULL_PENALTY * filling + seconds * queued

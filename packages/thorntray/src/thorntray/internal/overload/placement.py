"""Placement: chooses the instance of a service that gets a request, by expected time.

Load pattern: instances of one service differ in speed by more than a factor of two, and any of
them may become slow or stall while its reports still look healthy. Choosing by requests in flight
sends a slow instance as many requests as a fast one. The choice therefore uses the time that a
request is expected to take on each instance: the service time measured there, plus the wait for a
slot if the requests known to be there exceed its limit.

Traffic between failure domains is expensive and adds delay, so an instance in another domain must
be clearly faster. However, an instance near its limit soon makes all its callers wait, and a full
local instance next to an idle remote one wastes slots while callers are refused. The expected
time of an instance therefore rises as its last slots fill up.

A member whose node or instance has recently not accepted requests is paused for a while. If no
member is routable, one whose node is about to stop is still tried: it serves requests until it
stops, or refuses at once.

A member that was slow gets few requests, which would hide that it has recovered. It is tried again
now and then (`member_times`), by a first attempt whose request can wait for it.

An instance that names a rate limit has free slots and answers fast, and would attract all requests.
Its expected time therefore includes the wait until the limit allows a further one.
"""

from math import inf
from random import Random

from thorntray.internal.membership.instance_notices import InstanceNotice
from thorntray.internal.membership.member import Health, Member
from thorntray.internal.overload.ejection import Ejection
from thorntray.internal.overload.member_times import RETRY_INTERVAL, MemberTime
from thorntray.internal.overload.rate_limit import MIN_RATE
from thorntray.internal.request.result import LoadReport

CROSS_DOMAIN_PENALTY = 0.06  # seconds added for a member of another failure domain
CONGESTION_THRESHOLD = 0.65  # share of the limit in use above which a delay is added
FULL_LOAD_PENALTY = 0.15  # seconds added when the last slot is in use
UNKNOWN_SERVICE_TIME = 0.05  # seconds, until a first result is known
PAUSE_AFTER_REFUSAL = 0.25  # seconds without new requests after a refusal not caused by load
ASSUMED_LIMIT = 16  # slots of an instance that has not reported yet
MAX_FULL_COMPARISON = 6  # members; with more, only a random sample is compared
LOCAL_SAMPLE_SIZE = 4  # members of the own domain in the sample
REMOTE_SAMPLE_SIZE = 2  # members of other domains in the sample
REPORT_LIFETIME = 1.0  # seconds after which a load report expires


class _MemberState:
    __slots__ = (
        "service_times",
        "report",
        "reported_at",
        "sent_since_report",
        "paused_until",
        "own_in_flight",
        "rate_limit",
        "free_at",
    )

    def __init__(self) -> None:
        self.service_times: dict[str, MemberTime] = {}  # by route
        self.report = LoadReport(0.0, 0.0, 0, 0)
        self.reported_at = float("-inf")
        self.sent_since_report = 0
        self.paused_until = float("-inf")
        self.own_in_flight = 0  # requests of this node in flight at the member
        self.rate_limit: float | None = None  # requests a second that its instance takes
        self.free_at = float("-inf")  # monotonic seconds at which that limit allows another one


class Placement:
    """Tracks the load of each member and chooses among members."""

    def __init__(self, domain: str, ejection: Ejection, rng: Random) -> None:
        self._domain = domain
        self._ejection = ejection
        self._rng = rng
        self._states: dict[str, _MemberState] = {}
        self._last_pause_end = float("-inf")  # monotonic seconds at which all pauses are over
        self._picks_since_retry = 0  # choices since a slow member was tried again

    def record_dispatch(self, member: str) -> None:
        """Record that a request was sent to a member."""
        state = self._state(member)
        state.own_in_flight += 1
        state.sent_since_report += 1
        if state.rate_limit is not None:
            state.free_at += 1.0 / max(state.rate_limit, MIN_RATE)

    def record_result(self, member: str, route: str, report: LoadReport, now: float) -> None:
        """Record the end of a request, with the load report of its node."""
        state = self._state(member)
        state.own_in_flight = max(0, state.own_in_flight - 1)
        if report.limit:
            state.report = report
            state.reported_at = now
            state.sent_since_report = 0
        if report.service_time > 0:
            known = state.service_times.get(route)
            if known is None:
                state.service_times[route] = MemberTime(report.service_time, now)
            else:
                known.record(report.service_time, now)

    def record_notice(self, member: str, notice: InstanceNotice | None, now: float) -> None:
        """Record the rate limit of a member's instance that came with a result, None: no limit."""
        state = self._state(member)
        state.rate_limit = notice.rate_limit if notice is not None else None
        if notice is not None:
            state.free_at = now + notice.start_delay

    def pause(self, member: str, now: float, seconds: float = PAUSE_AFTER_REFUSAL) -> None:
        """Avoid a member for `seconds`; it is still chosen if all other members are paused too."""
        self._state(member).paused_until = now + seconds
        self._last_pause_end = max(self._last_pause_end, now + seconds)

    def forget(self, member: str) -> None:
        """Drop the state of a member that has left."""
        self._states.pop(member, None)

    def pick(
        self,
        members: list[Member],
        route: str,
        tried: set[str],
        now: float,
        time_left: float = inf,
    ) -> Member | None:
        """Return the untried member with the least expected time, None if there is none.

        A first attempt may go to a slow member instead, to find out whether it has recovered.
        `time_left` is in seconds for a request that must not be cut, infinite for others.
        """
        routable = [m for m in members if m.routable and m.name not in tried]
        if not routable:
            return self._last_resort(members, tried, now)
        pool = self._sample(self._in_rotation(routable, now))
        default_time = self._default_time(pool, route)
        self._picks_since_retry += 1
        if self._picks_since_retry >= RETRY_INTERVAL and not tried:
            slow = self._due_for_retry(pool, route, default_time, now, time_left)
            if slow is not None:
                return slow
        best, least_time = pool[0], float("inf")
        for member in pool:
            expected = self._expected_time(member, route, default_time, now)
            if expected < least_time:
                best, least_time = member, expected
        return best

    def _due_for_retry(
        self, pool: list[Member], route: str, least_time: float, now: float, time_left: float
    ) -> Member | None:
        """Return a slow member that is to be tried again, None if there is none.

        Members of other domains are not, beside those of the own one: fast ones get no requests.
        """
        local = [member for member in pool if member.domain == self._domain]
        for member in local or pool:
            known = self._state(member.name).service_times.get(route)
            if known is None or known.seconds >= time_left:
                continue
            if known.is_retry_due(least_time, now):
                known.begin_retry(now)
                self._picks_since_retry = 0
                return member
        return None

    def _in_rotation(self, routable: list[Member], now: float) -> list[Member]:
        """Return the members that are neither ejected nor paused.

        A filter that would leave no member is skipped.
        """
        pool = routable
        if self._ejection.active:
            in_rotation = self._ejection.in_rotation([m.name for m in routable])
            pool = [m for m in routable if m.name in in_rotation] or routable
        if now < self._last_pause_end:
            pool = [m for m in pool if self._state(m.name).paused_until <= now] or pool
        return pool

    def _sample(self, pool: list[Member]) -> list[Member]:
        """Return a random sample of the members, so that the cost does not grow with the fleet."""
        if len(pool) <= MAX_FULL_COMPARISON:
            return pool
        local = [m for m in pool if m.domain == self._domain]
        remote = [m for m in pool if m.domain != self._domain]
        sampled = self._rng.sample(local, min(LOCAL_SAMPLE_SIZE, len(local)))
        return sampled + self._rng.sample(remote, min(REMOTE_SAMPLE_SIZE, len(remote)))

    def _last_resort(self, members: list[Member], tried: set[str], now: float) -> Member | None:
        for member in members:
            alive = member.health is Health.ALIVE and member.name not in tried
            if alive and self._state(member.name).paused_until <= now:
                return member
        return None

    def _default_time(self, pool: list[Member], route: str) -> float:
        times = [t.seconds for m in pool if (t := self._state(m.name).service_times.get(route))]
        return min(times) if times else UNKNOWN_SERVICE_TIME

    def _expected_time(self, member: Member, route: str, default_time: float, now: float) -> float:
        state = self._state(member.name)
        known = state.service_times.get(route)
        seconds = default_time if known is None else known.seconds
        report = state.report
        fresh = now - state.reported_at < REPORT_LIFETIME
        present = report.in_flight + state.sent_since_report if fresh else state.own_in_flight
        limit = report.limit or ASSUMED_LIMIT
        load_share = (present + 1) / limit
        wait = _congestion_delay(load_share, seconds) if load_share > CONGESTION_THRESHOLD else 0.0
        if fresh:
            wait = max(wait, report.queue_wait)
        if state.rate_limit is not None:
            wait = max(wait, state.free_at - now)
        domain_penalty = 0.0 if member.domain == self._domain else CROSS_DOMAIN_PENALTY
        jitter = self._rng.random() * 0.002
        return seconds + wait + domain_penalty + jitter

    def _state(self, member: str) -> _MemberState:
        state = self._states.get(member)
        if state is None:
            state = self._states[member] = _MemberState()
        return state


def _congestion_delay(load: float, seconds: float) -> float:
    """Return the seconds to add for an instance at `load`, a share of its limit.

    `seconds` is the service time there.
    """
    filling = min(1.0, max(0.0, (load - CONGESTION_THRESHOLD) / (1.0 - CONGESTION_THRESHOLD)))
    queued = max(0.0, load - 1.0)
    return FULL_LOAD_PENALTY * filling + seconds * queued

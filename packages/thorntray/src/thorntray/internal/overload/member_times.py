"""How long requests take at one member, and when a member that was slow is tried again.

Load pattern: an instance is slow for some seconds, and its callers learn that from the requests
that they have there. They then choose others, so no request shows that the instance has recovered,
and it stays idle for as long as the others are not full.

So a member that is much slower than the best one gets a single request some time after its last
sample. If that is fast, what was learnt before no longer counts. If it is not, the next one follows
after twice the time. An instance that stays slow gets one request in `MAX_RETRY_PAUSE` of a caller.

In a large fleet most members have no recent sample, and the times of a few samples differ much by
chance. A share of all requests (`RETRY_INTERVAL`) therefore bounds these retries.
"""

SAMPLE_WEIGHT = 0.15  # weight of the newest sample
SLOW_RATIO = 2.0  # times the least time of all members, from which on a member is slow
RECOVERY_RATIO = 0.5  # of the time known before, up to which a retry shows that it is over
FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE = 2.0, 8.0  # seconds after the last sample
RETRY_INTERVAL = 50  # requests of a node for one retry of a slow member


class MemberTime:
    """The time that requests of one route take at one member."""

    __slots__ = ("seconds", "_retry_at", "_pause", "_retrying")

    def __init__(self, seconds: float, now: float) -> None:
        self.seconds = seconds
        self._pause = FIRST_RETRY_PAUSE
        self._retry_at = now + self._pause  # monotonic seconds
        self._retrying = False

    def record(self, seconds: float, now: float) -> None:
        """Record that a request took `seconds`."""
        if self._retrying and seconds <= RECOVERY_RATIO * self.seconds:
            self.seconds = seconds
            self._pause = FIRST_RETRY_PAUSE
        else:
            self.seconds += SAMPLE_WEIGHT * (seconds - self.seconds)
        self._retrying = False
        self._retry_at = now + self._pause

    def is_retry_due(self, least: float, now: float) -> bool:
        """Return whether the member is slow, compared with the `least` time, and to be retried."""
        return self.seconds > SLOW_RATIO * least and now >= self._retry_at

    def begin_retry(self, now: float) -> None:
        """Record that a request is sent to find out whether the member is still slow."""
        self._retrying = True
        self._pause = min(MAX_RETRY_PAUSE, 2 * self._pause)
        self._retry_at = now + self._pause

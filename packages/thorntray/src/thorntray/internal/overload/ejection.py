"""Outlier ejection: peers whose attempts fail are left out of routing for a while.

Health and load endpoints may be stale or wrong, so only the outcomes of real attempts count.
Repeated ejections of a peer double in length, and at most a bounded share of one service's
instances is ejected at once: if all of them fail, the fault lies elsewhere, and ejecting them all
would turn a degradation into an outage.
"""

from dataclasses import dataclass

from thorntray.internal.process.clock import Clock

FAILURE_WEIGHT = 0.2  # weight of the newest attempt in the moving average
EJECTION_THRESHOLD = 0.5  # share of failed attempts above which a peer is ejected
MIN_ATTEMPTS = 5  # attempts on a peer before it may be ejected
FIRST_EJECTION = 1.0  # seconds
MAX_EJECTION = 30.0  # seconds
MAX_EJECTED_SHARE = 0.34  # of the instances of one service


@dataclass(slots=True)
class _PeerRecord:
    failing_share: float = 0.0
    attempts: int = 0
    ejected_until: float = 0.0
    next_duration: float = FIRST_EJECTION


class Ejection:
    """The share of failed attempts and the ejection of each peer."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _PeerRecord] = {}
        self._last_ejection_end = float("-inf")  # monotonic seconds at which all ejections are over

    def record_attempt(self, node: str, failed: bool) -> None:
        """Record the result of one attempt and eject the peer if too many fail."""
        record = self._records.setdefault(node, _PeerRecord())
        record.attempts += 1
        record.failing_share += FAILURE_WEIGHT * (float(failed) - record.failing_share)
        now = self._clock.monotonic()
        if not failed:
            if record.failing_share < EJECTION_THRESHOLD / 2:
                record.next_duration = FIRST_EJECTION
            return
        if now < record.ejected_until or record.attempts < MIN_ATTEMPTS:
            return
        if record.failing_share > EJECTION_THRESHOLD:
            record.ejected_until = now + record.next_duration
            self._last_ejection_end = max(self._last_ejection_end, record.ejected_until)
            record.next_duration = min(MAX_EJECTION, record.next_duration * 2)
            # The first success after the ejection then resets the duration.
            record.failing_share = EJECTION_THRESHOLD / 2

    def forget(self, node: str) -> None:
        """Drop the record of a peer that has left."""
        self._records.pop(node, None)

    @property
    def active(self) -> bool:
        """Return whether any peer may be ejected now."""
        return self._clock.monotonic() < self._last_ejection_end

    def in_rotation(self, nodes: list[str]) -> set[str]:
        """Return the nodes that are not ejected; at most `MAX_EJECTED_SHARE` are left out."""
        now = self._clock.monotonic()
        ejected = [node for node in nodes if self._ejected_until(node) > now]
        max_ejected = int(len(nodes) * MAX_EJECTED_SHARE)
        ejected.sort(key=self._ejected_until, reverse=True)
        return set(nodes) - set(ejected[:max_ejected])

    def _ejected_until(self, node: str) -> float:
        record = self._records.get(node)
        return record.ejected_until if record else 0.0

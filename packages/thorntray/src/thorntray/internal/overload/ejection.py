"""Outlier ejection: a peer whose attempts fail is left out of routing for a while.

Health and load endpoints lag or mislead, so only the outcomes of real attempts count. Each
ejection of the same peer lasts longer, and at most a bounded share of one service's instances
is ejected at once: when all of them fail, the fault lies elsewhere, and leaving them all out
would turn trouble into an outage.
"""

from dataclasses import dataclass

from thorntray.internal.process.clock import Clock

FAILURE_WEIGHT = 0.2  # of the newest attempt in the moving average
EJECT_ABOVE = 0.5  # failing share
MIN_ATTEMPTS = 5
FIRST_EJECTION = 1.0  # seconds
MAX_EJECTION = 30.0  # seconds
MAX_EJECTED_SHARE = 0.34


@dataclass(slots=True)
class _Record:
    failing: float = 0.0
    attempts: int = 0
    until: float = 0.0
    length: float = FIRST_EJECTION


class Ejection:
    """The failing share of each peer, and who is ejected."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._last_until = float("-inf")  # when the last ejection ends

    def note(self, node: str, failed: bool) -> None:
        """Take the result of one attempt."""
        record = self._records.setdefault(node, _Record())
        record.attempts += 1
        record.failing += FAILURE_WEIGHT * (float(failed) - record.failing)
        now = self._clock.monotonic()
        if not failed:
            if record.failing < EJECT_ABOVE / 2:
                record.length = FIRST_EJECTION
            return
        if now < record.until or record.attempts < MIN_ATTEMPTS:
            return
        if record.failing > EJECT_ABOVE:
            record.until = now + record.length
            self._last_until = max(self._last_until, record.until)
            record.length = min(MAX_EJECTION, record.length * 2)
            record.failing = EJECT_ABOVE / 2  # one success after return clears it

    def forget(self, node: str) -> None:
        """Drop what is known of a peer that left."""
        self._records.pop(node, None)

    @property
    def active(self) -> bool:
        """Return whether any peer may be ejected now."""
        return self._clock.monotonic() < self._last_until

    def keep(self, nodes: list[str]) -> set[str]:
        """Return the nodes that stay in rotation, at least all but the bounded share."""
        now = self._clock.monotonic()
        ejected = [node for node in nodes if self._until(node) > now]
        allowed = int(len(nodes) * MAX_EJECTED_SHARE)
        ejected.sort(key=self._until, reverse=True)
        return set(nodes) - set(ejected[:allowed])

    def _until(self, node: str) -> float:
        record = self._records.get(node)
        return record.until if record else 0.0

"""What this node knows of the current boot of its instance, from answers and from peers.

An answer belongs to the boot that its request was sent to. It may be read after a new boot has been
announced, and says nothing of that one.
"""

from collections.abc import Callable

from thorntray.internal.membership.instance_notices import InstanceNotice
from thorntray.internal.overload.rate_limit import InstanceState, RateLimit
from thorntray.internal.process.registration import Boot, Registration
from thorntray.internal.telemetry.events import Event, log_event

MAX_MISMATCHES = 3  # in a row, from which on the instance gets no work until it announces itself
MAX_PEER_LIMITS = 16  # boots whose limits, known from peers, are kept until they are announced


class InstanceTracker:
    """Applies what is learnt of the instance to its registration and its rate limit."""

    def __init__(
        self, registration: Registration, rate_limit: RateLimit, on_mismatch: Callable[[], None]
    ) -> None:
        self._registration = registration
        self._rate_limit = rate_limit
        self._on_mismatch = on_mismatch
        self._mismatches = 0  # since the last answer of the expected instance
        self._boot: Boot | None = None
        self._peer_limits: dict[Boot, float] = {}

    @property
    def boot(self) -> Boot | None:
        """Return the boot of the instance that requests are sent to, None if it is unknown."""
        return self._boot

    def update_boot(self) -> None:
        """Begin anew if another boot of the instance has been announced."""
        current = self._registration.current
        boot = current.boot if current is not None else None
        if boot == self._boot:
            return
        self._boot = boot
        self._mismatches = 0
        self._rate_limit.reset()
        known = self._peer_limits.get(boot) if boot is not None else None
        if known is not None:
            self._adopt(known)

    def record_answer(self, boot: Boot | None, state: InstanceState, sent_at: float) -> None:
        """Learn from an answer to a request that was sent to `boot` at `sent_at`.

        `sent_at` is in monotonic seconds.
        """
        if state.leaving and boot is not None:
            self._registration.leave(boot)
        if boot != self._boot:
            return
        self._mismatches = 0
        before = self._rate_limit.rate
        if self._rate_limit.record_answer(state, sent_at):
            self._log_limit(before, "answer")

    def record_mismatch(self, boot: Boot | None) -> None:
        """Learn that a request sent to `boot` was rejected by another instance.

        A single one may be an error of the service; several in a row are another instance.
        """
        self._on_mismatch()
        if boot is None or boot != self._boot:
            return
        log_event(Event.INSTANCE_MISMATCH, instance=boot.instance_id)
        self._mismatches += 1
        if self._mismatches >= MAX_MISMATCHES:
            self._registration.suspend(boot)

    def learn_from_peer(self, notice: InstanceNotice) -> None:
        """Learn what a peer knows of a boot of the instance."""
        boot = Boot(notice.instance_id, notice.started_ms)
        if notice.leaving:
            self._registration.leave(boot)
        if notice.rate_limit is None:
            return
        self._peer_limits[boot] = notice.rate_limit
        while len(self._peer_limits) > MAX_PEER_LIMITS:
            del self._peer_limits[next(iter(self._peer_limits))]
        if boot == self._boot:
            self._adopt(notice.rate_limit)

    def notice(self, ahead: int) -> InstanceNotice | None:
        """Return what peers should know of the instance, None if there is nothing.

        `ahead` is the number of requests that wait.
        """
        boot, rate = self._boot, self._rate_limit.rate
        if boot is None:
            return None
        leaving = self._registration.has_left(boot)
        if rate is None and not leaving:
            return None
        return InstanceNotice(*boot, rate, round(self._rate_limit.delay(ahead), 4), leaving)

    def _adopt(self, rate: float) -> None:
        before = self._rate_limit.rate
        if self._rate_limit.adopt(rate):
            self._log_limit(before, "peer")

    def _log_limit(self, before: float | None, source: str) -> None:
        log_event(Event.INSTANCE_LIMIT, rate=self._rate_limit.rate, before=before, source=source)

"""State of the upstream instance of this node, from its registrations and renewals.

What an instance reports about its health and load may be late or misleading, so it is kept only as
hints for operators. Decisions depend on whether the instance renews its registration and on the
outcomes of its requests.
"""

from collections.abc import Callable
from enum import StrEnum

from thorntray.internal.process.clock import Clock
from thorntray.internal.request.outcome import Reason
from thorntray.internal.telemetry.events import Event, log_event

RENEWAL_TIMEOUT = 10.0  # seconds without a renewal after which an instance is absent


class InstanceState(StrEnum):
    """State of the instance, from its last announcement or the lack of one."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class Instance:
    """Tracks the announcements of the upstream instance and whether it accepts new work."""

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self.state = InstanceState.ABSENT
        self.hints: dict[str, object] = {}
        self.node_draining = False
        self._renewed_at = clock.monotonic()

    def register(self) -> bool:
        """Register the instance; return False if it was ready before and is only renewed."""
        is_new = self.state is not InstanceState.READY
        self._renewed_at = self._clock.monotonic()
        if is_new:
            self._set_state(InstanceState.READY, Event.INSTANCE_REGISTERED)
        return is_new

    def renew(self, hints: dict[str, object]) -> bool:
        """Renew the instance and store its hints; return False if it has to register again."""
        if self.state in (InstanceState.ABSENT, InstanceState.LEFT):
            return False
        self._renewed_at = self._clock.monotonic()
        self.hints = hints
        return True

    def drain(self) -> None:
        """Refuse new work; requests in flight continue."""
        self._set_state(InstanceState.DRAINING, Event.INSTANCE_LEFT)

    def leave(self) -> None:
        """Refuse new work, because the instance is leaving; it may say so in many answers."""
        if self.state is InstanceState.LEFT:
            return
        self._set_state(InstanceState.LEFT, Event.INSTANCE_LEFT)

    def drain_node(self) -> None:
        """Refuse new work, because this node is stopping."""
        self.node_draining = True
        self._on_change()

    def check_lapse(self) -> None:
        """Mark an instance that has stopped renewing as absent; to be called periodically."""
        expired = self._clock.monotonic() - self._renewed_at > RENEWAL_TIMEOUT
        if expired and self.state is InstanceState.READY:
            self._set_state(InstanceState.ABSENT, Event.INSTANCE_LAPSED)

    def refusal(self) -> Reason | None:
        """Return the reason for which new work is refused, None if it is accepted."""
        if self.node_draining or self.state in (InstanceState.DRAINING, InstanceState.LEFT):
            return Reason.DRAINING
        if self.state is InstanceState.ABSENT:
            return Reason.NOT_READY
        return None

    def _set_state(self, state: InstanceState, event: Event) -> None:
        self.state = state
        log_event(event, state=state.value)
        self._on_change()

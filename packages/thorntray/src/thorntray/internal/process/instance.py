"""The upstream instance beside this node: it announces itself, renews, drains and leaves.

Its own words about health and load are hints for operators and decide nothing: they lag or
mislead. What counts is whether it renews, and how its requests end.
"""

from collections.abc import Callable
from enum import StrEnum

from thorntray.internal.process.clock import Clock
from thorntray.internal.request.outcome import Reason
from thorntray.internal.telemetry.events import Event, log_event

RENEW_WITHIN = 10.0  # seconds after which a silent instance is taken for gone


class InstanceState(StrEnum):
    """What the instance has last said of itself."""

    ABSENT = "absent"
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"


class Instance:
    """The announcements of the upstream instance, and whether new work may go to it."""

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self.state = InstanceState.ABSENT
        self.hints: dict[str, object] = {}
        self.node_draining = False
        self._renewed_at = clock.monotonic()

    def register(self) -> bool:
        """Take the instance's announcement; True when it is newly there."""
        fresh = self.state is not InstanceState.READY
        self._renewed_at = self._clock.monotonic()
        if fresh:
            self._enter(InstanceState.READY, Event.INSTANCE_REGISTERED)
        return fresh

    def renew(self, hints: dict[str, object]) -> bool:
        """Take a renewal with its hints; False asks the instance to register again."""
        if self.state in (InstanceState.ABSENT, InstanceState.LEFT):
            return False
        self._renewed_at = self._clock.monotonic()
        self.hints = hints
        return True

    def drain(self) -> None:
        """Take no new work; what runs goes on."""
        self._enter(InstanceState.DRAINING, Event.INSTANCE_LEFT)

    def leave(self) -> None:
        """Take no new work: the instance is going."""
        self._enter(InstanceState.LEFT, Event.INSTANCE_LEFT)

    def drain_node(self) -> None:
        """Take no new work because this node stops."""
        self.node_draining = True
        self._on_change()

    def check_lapse(self) -> None:
        """Note an instance that has stopped renewing; call now and then."""
        silent = self._clock.monotonic() - self._renewed_at > RENEW_WITHIN
        if silent and self.state is InstanceState.READY:
            self._enter(InstanceState.ABSENT, Event.INSTANCE_LAPSED)

    def refusal(self) -> Reason | None:
        """Return why new work is refused, or None."""
        if self.node_draining or self.state in (InstanceState.DRAINING, InstanceState.LEFT):
            return Reason.DRAINING
        if self.state is InstanceState.ABSENT:
            return Reason.NOT_READY
        return None

    def _enter(self, state: InstanceState, event: Event) -> None:
        self.state = state
        log_event(event, state=state.value)
        self._on_change()

"""The upstream instance beside this node, as its announcements tell.

Announcements may be late, come twice, come from a boot that has ended, or from another writer.
A boot is known by its id and its start time: a later start replaces an earlier one, even under
the same id, and within one boot only a higher sequence number is news. A boot that has said that
it leaves stays gone, whatever arrives late.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event

MAX_GONE_BOOTS = 64  # boots that have left and are remembered
MS_PER_SECOND = 1000
SILENT_AFTER = 6.0  # seconds without an announcement after which an instance counts as gone


class Phase(Enum):
    """What an instance says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Announcement(NamedTuple):
    """One announcement. `born` is the boot's start in milliseconds since 1970."""

    instance_id: str
    born: int
    sequence: int
    service: str
    address: str
    slots: int
    phase: Phase
    cold_remaining: float  # seconds


class _Boot(NamedTuple):
    instance_id: str
    born: int


class Registration:
    """The newest boot of the instance, and whether new work may go to it."""

    def __init__(
        self, service: str, address: str, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._service = service
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._gone: dict[_Boot, None] = {}
        self._left_at: dict[str, float] = {}  # milliseconds since 1970, by id of unknown boot
        self.current: Announcement | None = None
        self.accepting = False
        self.node_draining = False
        self._heard_at = clock.monotonic()

    @property
    def open(self) -> bool:
        """Return whether new work may be sent to the instance."""
        return self.accepting and not self.node_draining

    def set_place(self, service: str, address: str) -> None:
        """Take the service and address of changed settings."""
        if (service, address) != (self._service, self._address):
            self._service, self._address = service, address
            self.current = None
            self._set_accepting(False)

    def take(self, said: Announcement) -> bool:
        """Take an announcement; False if it names no instance to use."""
        if said.service != self._service or said.address != self._address:
            return False
        boot = _Boot(said.instance_id, said.born)
        if self._is_gone(boot) or not self._is_news(said):
            return True
        changed = self.current is None or said[:2] != self.current[:2]
        changed = changed or said.phase is not self.current.phase
        self.current = said
        self._heard_at = self._clock.monotonic()
        if said.phase is Phase.DRAINING:
            self._remember_gone(boot)
        if changed:
            log_event(
                Event.INSTANCE_ANNOUNCED,
                instance=said.instance_id,
                phase=said.phase.value,
                sequence=said.sequence,
                slots=said.slots,
            )
        self._set_accepting(said.phase is Phase.READY, changed)
        return True

    def leave(self, instance_id: str, born: int | None) -> None:
        """Take the word of a boot that it leaves."""
        current = self.current
        if current is not None and current.instance_id == instance_id:
            if born is None or born >= current.born:
                self._remember_gone(_Boot(instance_id, current.born))
                log_event(Event.INSTANCE_LEFT, instance=instance_id)
                self._set_accepting(False)
        elif born is None:
            # This node has started again and knows no boot of the id: all until now are meant.
            self._left_at[instance_id] = self._clock.time() * MS_PER_SECOND
            log_event(Event.INSTANCE_LEFT, instance=instance_id)
        if born is not None:
            self._remember_gone(_Boot(instance_id, born))

    def check_silence(self) -> None:
        """Note an instance that has stopped announcing itself; call now and then."""
        if self.accepting and self._clock.monotonic() - self._heard_at > SILENT_AFTER:
            log_event(Event.INSTANCE_LAPSED, silent=SILENT_AFTER)
            self._set_accepting(False)

    def drain_node(self) -> None:
        """Take no new work because this node stops."""
        self.node_draining = True
        self._on_change()

    def _is_gone(self, boot: _Boot) -> bool:
        left_at = self._left_at.get(boot.instance_id)
        return boot in self._gone or (left_at is not None and boot.born <= left_at)

    def _is_news(self, said: Announcement) -> bool:
        current = self.current
        if current is None or said.born > current.born:
            return True
        if said.born < current.born or said.instance_id != current.instance_id:
            return False
        return said.sequence > current.sequence

    def _remember_gone(self, boot: _Boot) -> None:
        self._gone[boot] = None
        while len(self._gone) > MAX_GONE_BOOTS:
            del self._gone[next(iter(self._gone))]

    def _set_accepting(self, accepting: bool, tell: bool = False) -> None:
        changed = accepting != self.accepting
        self.accepting = accepting
        if changed or tell:
            self._on_change()

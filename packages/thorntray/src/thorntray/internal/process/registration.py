"""State of the upstream instance of this node, derived from its announcements.

Announcements may arrive late or twice, or come from an earlier boot or another instance;
`boot_order` decides which of them count. A boot that has left stays so, whatever announcement
arrives late. One that crashed, or in whose place another instance answers, gets no new work until
that decision is revised by further announcements.

A process that has just started does not know which boots have left (`membership.departures`). Until
it does, no instance gets work; if nobody can tell for certain, `boot_trust` decides.
"""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from thorntray.internal.process.boot_order import Boot, BootOrder
from thorntray.internal.process.boot_trust import BootTrust, Knowledge
from thorntray.internal.process.clock import Clock
from thorntray.internal.telemetry.events import Event, log_event

MAX_LEFT_BOOTS = 64  # most recent boots that have left, kept to reject their late announcements
MS_PER_SECOND = 1000
ANNOUNCEMENT_TIMEOUT = 6.0  # seconds without an announcement after which no new work is sent
RECENT_ANNOUNCEMENT = 2.0  # seconds; somewhat more than the period of announcements


class Phase(Enum):
    """Phase that an instance announces."""

    READY = "ready"
    DRAINING = "draining"


class Announcement(NamedTuple):
    """One announcement; the first two fields identify the boot."""

    instance_id: str
    started_ms: int
    sequence: int
    service: str
    address: str
    slots: int
    phase: Phase
    cold_remaining: float  # seconds of warm-up that remain

    @property
    def boot(self) -> Boot:
        """Return the boot that sent the announcement."""
        return Boot(self.instance_id, self.started_ms)

    @property
    def state(self) -> tuple[Boot, Phase, int]:
        """Return what other parts of the node depend on."""
        return self.boot, self.phase, self.slots


class Departure(NamedTuple):
    """A boot that leaves; if `earlier_too` is set, all boots of the ID that started before."""

    instance_id: str
    started_ms: int
    earlier_too: bool = False


class Registration:
    """The newest boot of the instance, and whether new work may be sent to it."""

    def __init__(
        self, service: str, address: str, clock: Clock, on_change: Callable[[], None]
    ) -> None:
        self._service = service
        self._address = address
        self._clock = clock
        self._on_change = on_change
        self._order = BootOrder(clock)
        self._left_boots: dict[Boot, None] = {}
        self._left_at: dict[str, float] = {}  # ms since 1970, by instance id, for unknown boots
        self.current: Announcement | None = None
        self.accepting = False
        self.node_draining = False
        self._announced_at = clock.monotonic()
        self._trust = BootTrust(clock)
        self.on_left: Callable[[Departure], None] = lambda departure: None

    @property
    def available(self) -> bool:
        """Return whether new work may be sent to the instance."""
        return self.accepting and not self.node_draining and self._is_trusted

    def set_target(self, service: str, address: str) -> None:
        """Set the service and address that announcements must have.

        If either changes, the current instance is discarded.
        """
        if (service, address) != (self._service, self._address):
            self._service, self._address = service, address
            self.current = None
            self._order.reset()
            self._set_accepting(False)

    def hold(self) -> None:
        """Let no instance get work before one of the next three methods is called."""
        self._trust.hold()

    def require_proof(self) -> None:
        """Let instances get work that go on announcing themselves, as nobody has answered."""
        self._trust.set_uncertain(requires_proof=True)
        self._review_trust()

    def release_uncertain(self) -> None:
        """Let instances get work, unless an announcement of theirs may be a late one."""
        self._trust.set_uncertain(requires_proof=False)
        self._review_trust()

    def release(self) -> None:
        """Let instances get work: all departures from before the start are known."""
        if self._trust.knowledge is Knowledge.COMPLETE:
            return
        self._trust.set_complete()
        self._review_trust()

    def _review_trust(self) -> None:
        current = self.current
        if current is not None and current.phase is Phase.READY:
            self._set_accepting(self._is_trusted and not self.has_left(current.boot))

    @property
    def _is_trusted(self) -> bool:
        return self.current is not None and self._trust.trusts(self.current.boot)

    def recall(self, departure: Departure) -> None:
        """Record a departure that this process or its predecessor has confirmed before."""
        if departure.earlier_too:
            known = self._left_at.get(departure.instance_id, 0)
            self._left_at[departure.instance_id] = max(known, departure.started_ms)
        else:
            self._left_boots[Boot(*departure[:2])] = None
            self._drop_oldest_left()
        if self.current is not None and self.has_left(self.current.boot):
            self._set_accepting(False)

    def apply(self, announcement: Announcement) -> bool:
        """Apply an announcement; return False if it is for another service or address."""
        if announcement.service != self._service or announcement.address != self._address:
            return False
        boot = announcement.boot
        if self.has_left(boot):
            return True
        if not self._order.accept(boot, announcement.sequence):
            self._log_outdated(announcement)
            return True
        changed = self.current is None or announcement.state != self.current.state
        self.current = announcement
        self._announced_at = self._clock.monotonic()
        if announcement.phase is Phase.DRAINING:
            self._record_left(boot)
        if changed:
            log_event(
                Event.INSTANCE_ANNOUNCED,
                instance=announcement.instance_id,
                phase=announcement.phase.value,
                sequence=announcement.sequence,
                slots=announcement.slots,
            )
        self._trust.record(boot)
        ready = announcement.phase is Phase.READY and self._trust.trusts(boot)
        self._set_accepting(ready, changed)
        return True

    def deregister(self, instance_id: str, started_ms: int | None) -> None:
        """Record that a boot leaves; without a start time, the current boot of the instance id."""
        current = self.current
        if current is not None and current.instance_id == instance_id:
            if started_ms is None or started_ms >= current.started_ms:
                self._record_left(Boot(instance_id, current.started_ms))
                log_event(Event.INSTANCE_LEFT, instance=instance_id)
                self._set_accepting(False)
        elif started_ms is None:
            # This node has restarted and knows no boot of the id: all started before now have left.
            now_ms = int(self._clock.time() * MS_PER_SECOND)
            self._left_at[instance_id] = now_ms
            log_event(Event.INSTANCE_LEFT, instance=instance_id)
            self.on_left(Departure(instance_id, now_ms, earlier_too=True))
        if started_ms is not None:
            self._record_left(Boot(instance_id, started_ms))

    def leave(self, boot: Boot) -> None:
        """Record that a boot leaves, because it or a peer says so."""
        if not self.has_left(boot):
            self.deregister(*boot)

    def record_crash(self, boot: Boot) -> None:
        """Stop new work to a boot that crashed."""
        self._order.record_crash(boot)
        self._close(boot)

    def suspend(self, boot: Boot) -> None:
        """Stop new work until the next announcement, as another instance answers in its place.

        A boot that was announced a moment ago lives, and has rejected requests for other reasons.
        """
        self._order.doubt(boot)
        if self._clock.monotonic() - self._announced_at > RECENT_ANNOUNCEMENT:
            self._close(boot)

    def has_left(self, boot: Boot) -> bool:
        """Return whether a boot is known to leave or to have left."""
        left_at = self._left_at.get(boot.instance_id)
        return boot in self._left_boots or (left_at is not None and boot.started_ms <= left_at)

    def check_timeout(self) -> None:
        """Stop new work to an instance without recent announcements; to be called periodically."""
        if self.accepting and not self._is_trusted:
            log_event(Event.INSTANCE_UNPROVEN, silent=self._silent_time)
            self._set_accepting(False)
        if self.accepting and self._silent_time > ANNOUNCEMENT_TIMEOUT:
            log_event(Event.INSTANCE_LAPSED, silent=ANNOUNCEMENT_TIMEOUT)
            self._set_accepting(False)

    @property
    def _silent_time(self) -> float:
        """Return the seconds since the last announcement of the current boot."""
        return round(self._clock.monotonic() - self._announced_at, 3)

    def drain_node(self) -> None:
        """Stop new work, because this node is stopping."""
        self.node_draining = True
        self._on_change()

    def _close(self, boot: Boot) -> None:
        if self.current is not None and self.current.boot == boot:
            self._set_accepting(False)

    def _log_outdated(self, announcement: Announcement) -> None:
        current = self.current
        if current is not None and announcement.boot != current.boot:
            log_event(
                Event.ANNOUNCEMENT_OUTDATED,
                ignored=(*announcement.boot, announcement.sequence),
                known=(*current.boot, current.sequence),
            )

    def _record_left(self, boot: Boot) -> None:
        if boot in self._left_boots:
            return
        self._left_boots[boot] = None
        self._drop_oldest_left()
        self.on_left(Departure(*boot))

    def _drop_oldest_left(self) -> None:
        while len(self._left_boots) > MAX_LEFT_BOOTS:
            del self._left_boots[next(iter(self._left_boots))]

    def _set_accepting(self, accepting: bool, notify: bool = False) -> None:
        changed = accepting != self.accepting
        self.accepting = accepting
        if changed or notify:
            self._on_change()

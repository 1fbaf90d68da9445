"""Judges whether the own instance crashed while it ran requests.

The fault: requests that crash instances are found by the crashes that they ran in, and a false
report may get an innocent request refused. So a lost connection is no crash by itself. It is one
if the instance then refuses connections or announces a later start or a new ID, and had not said
that it leaves. An instance that resets connections, is unresponsive or cut off does neither. If the
new boot was announced before the connections of the old one ended, the old one was replaced while
it ran, as when its address goes to another instance; that does not count either. If requests
sent after the loss are answered, the instance lives, unless the boot that is announced next had
started by then: a new boot may answer before its announcement is read.

The results of lost requests are held for some milliseconds, until all of them have ended and one
connection has been tried. A request that ran alone when its instance crashed is then reported as
`CRASHED`, so that its origin does not send it to the next instance.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from thorntray.internal.membership.crash_reports import MAX_REPORTED_FINGERPRINTS
from thorntray.internal.membership.hashing import hash64
from thorntray.internal.overload.crash_suspects import Crash, CrashSuspects, choose_reported
from thorntray.internal.process.clock import Clock
from thorntray.internal.process.registration import MS_PER_SECOND, Boot, Registration
from thorntray.internal.request.fingerprint import fingerprint_of_call
from thorntray.internal.request.result import Cause, Result, unknown
from thorntray.internal.telemetry.events import Event, log_event, log_handler_failure

if TYPE_CHECKING:
    from thorntray.internal.request.owner_request import OwnerRequest

GATHER_TIME = 0.005  # seconds in which the other requests of a crashed instance end, too
# Seconds after the first lost request at which a connection is tried; the first ends the holding.
PROBE_TIMES = (GATHER_TIME, 0.2, 0.5, 1.0, 2.0, 4.0)
EVIDENCE_TIME = 10.0  # seconds after the first lost request in which a crash can still be proven
# Seconds before the first lost request in which a request that the node gave up may still have run.
ABANDONED_TIME = 5.0
MAX_ABANDONED = 32  # newest ones that are kept
# IDs and fingerprints in the log line of a crash, first those that ran in earlier ones.
MAX_LOGGED_REQUESTS = 5


class LostRequest(NamedTuple):
    """A request that an instance may have run when it crashed."""

    request_id: bytes
    fingerprint: int


class CrashWatchDependencies(NamedTuple):
    """Components that a `CrashWatch` uses."""

    node: str
    registration: Registration
    refuses_connections: Callable[[], Awaitable[bool]]  # of the instance
    suspects: CrashSuspects
    on_crash: Callable[[Crash], None]
    spawn: Callable[[Coroutine[None, None, None]], object]
    clock: Clock
    rng: Random


@dataclass
class _Losses:
    """Requests of one boot that were lost shortly after each other."""

    boot: Boot
    began_at: float  # boot time
    first_at: float  # monotonic seconds
    last_at: float  # monotonic seconds
    lost: list[LostRequest] = field(default_factory=list)
    held: list["OwnerRequest"] | None = field(default_factory=list)  # None after the first probe
    settled: bool = False  # judged a crash, or found to be none
    crashed: bool = False
    answered_at: float | None = None  # seconds since 1970 of the first answer to a later request
    alone: bool = False  # whether the instance ran only one request when it crashed

    def is_over(self, started_at: float) -> bool:
        """Return whether a lost request that was sent at `started_at` has another cause."""
        answered = self.answered_at is not None and started_at > self.last_at
        return (self.settled or answered) and not self.crashed


class _Abandoned(NamedTuple):
    """A request whose connection this node closed at `at` (monotonic seconds)."""

    request_id: bytes
    fingerprint: int  # not the call, as bodies may be large
    boot: Boot | None
    at: float


class CrashWatch:
    """The lost requests of the own instance that may have crashed it."""

    def __init__(self, deps: CrashWatchDependencies) -> None:
        self._deps = deps
        self._losses: _Losses | None = None
        self._abandoned: deque[_Abandoned] = deque(maxlen=MAX_ABANDONED)

    def hold_lost(self, request: "OwnerRequest") -> bool:
        """Note a request that was lost; return whether it will be finished by this object."""
        deps, boot = self._deps, request.boot
        if boot is None or not self._may_have_crashed(boot):
            return False
        losses = self._losses
        now = deps.clock.monotonic()
        if losses is None or losses.boot != boot or losses.is_over(request.started_at):
            losses = self._losses = _Losses(boot, deps.clock.boottime(), now, now)
            deps.spawn(self._judge(losses))
        if losses.crashed or request.started_at > losses.first_at:
            return False  # sent after the crash, if it was one, so the instance did not run it
        call = request.call
        losses.lost.append(LostRequest(call.request_id, fingerprint_of_call(call)))
        losses.last_at = now
        if losses.held is None:
            return False
        losses.held.append(request)
        return True

    def record_abandoned(self, request: "OwnerRequest") -> None:
        """Note a request that this node gave up; the instance may go on to run it."""
        now = self._deps.clock.monotonic()
        call = request.call
        self._abandoned.append(
            _Abandoned(call.request_id, fingerprint_of_call(call), request.boot, now)
        )

    def record_success(self, started_at: float) -> None:
        """Note a response to a request sent at `started_at`; some boot has run it."""
        losses = self._losses
        if losses is not None and started_at > losses.last_at and losses.answered_at is None:
            losses.answered_at = self._deps.clock.time()

    def boot_changed(self) -> None:
        """Judge the lost requests by the boot that is now announced."""
        losses, current = self._losses, self._deps.registration.current
        if losses is None:
            return
        if current is None:  # this node now serves another service or address
            losses.settled = True
        elif current.boot != losses.boot:
            answered_at = losses.answered_at
            if answered_at is None or current.started_ms <= answered_at * MS_PER_SECOND:
                self._settle_as_crash(losses)
            losses.settled = True
        elif losses.crashed and self._deps.registration.accepting:
            self._losses = None  # the boot runs on, or its successor bears the same ID

    def _may_have_crashed(self, boot: Boot) -> bool:
        registration = self._deps.registration
        current = registration.current
        if registration.node_draining or registration.has_left(boot):
            return False
        return current is not None and current.boot == boot

    async def _judge(self, losses: _Losses) -> None:
        """Probe the instance until it is known whether it crashed; finish the held requests."""
        waited = 0.0
        for probe_time in PROBE_TIMES:
            await asyncio.sleep(probe_time - waited)
            waited = probe_time
            undecided = not losses.settled and losses.answered_at is None
            refused = undecided and await self._deps.refuses_connections()
            if refused and self._may_have_crashed(losses.boot):
                self._settle_as_crash(losses)
                self._deps.registration.record_crash(losses.boot)
            self._finish_held(losses)
            if losses.settled:
                losses.lost.clear()
                return
        await asyncio.sleep(EVIDENCE_TIME - waited)
        losses.settled = True
        losses.lost.clear()

    def _finish_held(self, losses: _Losses) -> None:
        held, losses.held = losses.held or [], None
        result: Result = unknown(Cause.CRASHED if losses.alone else Cause.LOST)
        for request in held:
            try:
                request.finish(result)
            except Exception:  # the other held requests are finished all the same
                log_handler_failure(id=request.call.request_id.decode("latin-1"))

    def _settle_as_crash(self, losses: _Losses) -> None:
        deps = self._deps
        if losses.settled:
            return
        losses.settled = True
        if deps.registration.node_draining or deps.registration.has_left(losses.boot):
            return
        losses.crashed = True
        since = losses.first_at - ABANDONED_TIME
        ran = list(losses.lost)
        ran += [
            LostRequest(a.request_id, a.fingerprint)
            for a in self._abandoned
            if a.boot == losses.boot and a.at > since
        ]
        losses.alone = len(ran) == 1
        losses.lost.clear()
        reported = choose_reported(
            [entry.fingerprint for entry in ran],
            MAX_REPORTED_FINGERPRINTS,
            deps.suspects,
            deps.rng.random,
        )
        by_suspicion = sorted(
            ran, key=lambda entry: -deps.suspects.count_crashes(entry.fingerprint)
        )
        shown = by_suspicion[:MAX_LOGGED_REQUESTS]
        log_event(
            Event.INSTANCE_CRASHED,
            instance=losses.boot.instance_id,
            running=len(ran),
            suspected=sum(deps.suspects.is_suspected(f) for f in reported),
            requests={request_id.decode("latin-1"): f"{f:016x}" for request_id, f in shown},
        )
        crash_id = hash64(f"{deps.node} {losses.boot} {losses.began_at}")
        deps.on_crash(Crash(crash_id, losses.began_at, len(ran), reported))

"""One request at its owner: its wait for a slot, its run at the instance, and its result.

It ends exactly once, whatever comes first: a response, a refusal, its deadline, a cancellation by
its origin, or the end of the node.
"""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from thorntray.internal.connection.frame import CallFrame
from thorntray.internal.connection.pending_send import PendingSend
from thorntray.internal.overload.call_parents import RunningRequest
from thorntray.internal.overload.slot_queue import Ticket
from thorntray.internal.process.registration import Boot
from thorntray.internal.request.fingerprint import fingerprint_of_call
from thorntray.internal.request.result import Cause, Result, not_run, unknown
from thorntray.internal.telemetry.events import log_handler_failure

if TYPE_CHECKING:
    from thorntray.internal.request.owner import Owner

DETACHED_TIMEOUT = 0.25  # seconds that a cancelled nested call may still run at the instance
MIN_BUDGET = 0.002  # seconds; a request with less time left is not sent to the instance
LOCAL_CALL_NUMBER = 0  # number of calls from the origin at this node; others count from 1
ISOLATED_WAIT_RATIO = 0.5  # longest wait of a suspect of a crash / its budget

ResultCallback = Callable[[Result], None]


class OwnerRequest:
    """One request at its owner, from its arrival to its result."""

    __slots__ = ("owner", "call", "on_result", "expiry", "ticket", "run", "instance_call", "timer")
    __slots__ += ("arrived_at", "started_at", "boot", "finished", "detached")
    __slots__ += ("group_limit", "_fingerprint", "held_bytes")

    def __init__(self, owner: "Owner", call: CallFrame, on_result: ResultCallback) -> None:
        self.owner = owner
        self.call = call
        self.on_result = on_result
        self.arrived_at = owner.deps.clock.monotonic()
        self.expiry = self.arrived_at + call.budget
        self.ticket = Ticket(
            call.worth,
            call.nested,
            self._on_slot_granted,
            self.expiry,
            call.idempotent,
            call.workspace,
            self._may_start,
        )
        self.run: RunningRequest | None = None
        self.instance_call: PendingSend | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.started_at = 0.0
        self.boot: Boot | None = None  # the boot of the instance that it was sent to
        self.finished = False
        self.detached = False  # whether it was cancelled while the instance ran it
        self.group_limit = 0  # if it runs as a suspect of a crash (`CrashIsolation`)
        self._fingerprint: int | None = None
        self.held_bytes = 0  # counted in `Owner.held_bytes`

    def hold_body(self) -> None:
        """Count the body, which no caller's connection at this node counts (any more)."""
        if not self.held_bytes:
            self.held_bytes = len(self.call.body)
            self.owner.held_bytes += self.held_bytes

    @property
    def fingerprint(self) -> int:
        """Return the fingerprint of the call."""
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of_call(self.call)
        return self._fingerprint

    def _may_start(self) -> bool:
        isolation = self.owner.deps.isolation
        return not isolation.active or isolation.may_start(self.fingerprint)

    def cancel(self) -> None:
        """Cancel the request; a non-idempotent one that the instance is running continues."""
        if self.finished:
            return
        if self.instance_call is None:
            self.finish(not_run(Cause.CANCELLED))
            return
        self.hold_body()
        if self.call.idempotent and not self.detached:
            self._detach()

    def _detach(self) -> None:
        """Give a cancelled nested call `DETACHED_TIMEOUT` to complete; abort any other request.

        When a request fails, dozens of its nested calls may be cancelled at once. Aborting them
        closes their connections, and opening new ones costs more than completing the calls.
        """
        self.detached = True
        if self.timer is not None:
            self.timer.cancel()
        left = DETACHED_TIMEOUT if self.call.nested else 0.0
        self.timer = asyncio.get_running_loop().call_later(left, self._abort)

    def _abort(self) -> None:
        if self.instance_call is not None:
            self.instance_call.cancel()
            self.owner.deps.crash_watch.record_abandoned(self)
        self.finish(unknown(Cause.CANCELLED))

    @property
    def waiting(self) -> bool:
        """Return whether it waits for a slot."""
        return not (self.finished or self.ticket.holds_slot)

    @property
    def longest_wait(self) -> float:
        """Return the seconds after its arrival for which it may wait to start."""
        wait = self.call.max_wait
        isolation = self.owner.deps.isolation
        if isolation.active and isolation.group_limit(self.fingerprint):
            # It waits for other suspects rather than for a slot, and would do so anywhere.
            wait = max(wait, self.call.budget * ISOLATED_WAIT_RATIO)
        return max(0.0, min(wait, self.call.budget - MIN_BUDGET))

    def start_queue_timer(self) -> None:
        """Limit the wait for a slot."""
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.longest_wait, self._on_queue_timeout)

    def finish(self, result: Result) -> None:
        """Deliver the result and release the slot; only the first call has an effect."""
        if self.finished:
            return
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()
        # A reference cycle would hold the call's body until the next collection of garbage.
        self.ticket.forget_request()
        self.owner.complete(self, result)

    def finish_failed(self) -> None:
        """Finish the request, after the exception that is being handled; it may have run."""
        log_handler_failure(id=self.call.request_id.decode("latin-1"))
        self.finish(unknown(Cause.GARBLED))

    def _on_queue_timeout(self) -> None:
        expired = self.owner.deps.clock.monotonic() >= self.expiry - 2 * MIN_BUDGET
        self.finish(not_run(Cause.EXPIRED) if expired else self.owner.waiting.full(self))

    def _on_slot_granted(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        try:
            self.owner.start(self)
        except Exception:  # the request whose slot became free still gets its result
            self.finish_failed()

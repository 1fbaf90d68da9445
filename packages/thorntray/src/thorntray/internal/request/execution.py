"""Requests that an upstream instance is running, and the nested calls that they make.

The instance receives an opaque token in the `Thorntray-Context` header and copies it to its nested
calls, which it sends to its own node. The token identifies the execution, so that a nested call
inherits the root's ID, priority, deadline and retry allowance. When the parent request ends, the
results of its nested calls are no longer needed: the token becomes invalid and the nested calls
still running are cancelled.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random

from thorntray.internal.process.clock import Clock
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow

TOKEN_BYTES = 12


@dataclass(slots=True, eq=False)
class Execution:
    """One running request.

    `nested_time` is the time with at least one nested call in progress, in seconds.
    """

    token: str
    root_id: bytes
    priority: int
    depth: int
    idempotent: bool
    deadline: Deadline
    escrow: Escrow
    route: str
    nested_calls: int = 0
    nested_time: float = 0.0
    _active_nested: int = 0
    _active_since: float = 0.0
    _tasks: set["asyncio.Task[object]"] = field(default_factory=set)

    def nested_begin(self, clock: Clock) -> None:
        """Record the start of a nested call, made by the current task.

        The time of parallel calls counts once in `nested_time`.
        """
        self.nested_calls += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        if self._active_nested == 0:
            self._active_since = clock.monotonic()
        self._active_nested += 1

    def nested_end(self, clock: Clock) -> None:
        """Record the end of a nested call, made by the current task."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.discard(task)
        self._active_nested -= 1
        if self._active_nested == 0:
            self.nested_time += clock.monotonic() - self._active_since

    def cancel_nested(self) -> None:
        """Cancel the nested calls in progress."""
        for task in list(self._tasks):
            task.cancel()


class ExecutionTable:
    """The running requests of one node, keyed by token."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._running: dict[str, Execution] = {}

    def __len__(self) -> int:
        return len(self._running)

    def open(
        self,
        root_id: bytes,
        priority: int,
        depth: int,
        idempotent: bool,
        deadline: Deadline,
        escrow: Escrow,
        route: str,
    ) -> Execution:
        """Register a request that is about to be dispatched, and create its token."""
        token = self._rng.randbytes(TOKEN_BYTES).hex()
        execution = Execution(token, root_id, priority, depth, idempotent, deadline, escrow, route)
        self._running[token] = execution
        return execution

    def close(self, execution: Execution) -> None:
        """Invalidate the token and cancel the nested calls in progress."""
        del self._running[execution.token]
        execution.cancel_nested()

    def find(self, token: str) -> Execution | None:
        """Return the running request with this token, None if the token is invalid."""
        return self._running.get(token)

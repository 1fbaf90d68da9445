"""A request while its upstream instance runs it, and the calls that it makes meanwhile.

The instance gets an opaque token in the `Thorntray-Context` header and copies it onto its
nested calls, which it sends to its own node. The token leads back to this record, so that a
nested call inherits the root's identity, priority, deadline and retry allowance. Once the
parent is over nobody waits for its children: the token is void and running ones are cancelled.
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
    """One running request. `nested_time` is in seconds."""

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
    _active: int = 0
    _active_since: float = 0.0
    _tasks: set["asyncio.Task[object]"] = field(default_factory=set)

    def nested_begin(self, clock: Clock) -> None:
        """Note that a nested call begins; parallel ones count once in `nested_time`."""
        self.nested_calls += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        if self._active == 0:
            self._active_since = clock.monotonic()
        self._active += 1

    def nested_end(self, clock: Clock) -> None:
        """Note that a nested call is over."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.discard(task)
        self._active -= 1
        if self._active == 0:
            self.nested_time += clock.monotonic() - self._active_since

    def cancel_nested(self) -> None:
        """Cancel the nested calls that still run."""
        for task in list(self._tasks):
            task.cancel()


class ExecutionTable:
    """The running requests of one node, by token."""

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
        """Register a request that is about to be dispatched."""
        token = self._rng.randbytes(TOKEN_BYTES).hex()
        execution = Execution(token, root_id, priority, depth, idempotent, deadline, escrow, route)
        self._running[token] = execution
        return execution

    def close(self, execution: Execution) -> None:
        """Void the token and cancel what still runs below."""
        del self._running[execution.token]
        execution.cancel_nested()

    def find(self, token: str) -> Execution | None:
        """Return the running request of a token."""
        return self._running.get(token)

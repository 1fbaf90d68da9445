"""Background tasks of one component: kept referenced, stopped together, and logged when they fail.

The event loop holds only weak references to tasks and reports the exception of a task that nobody
awaits when it is garbage-collected, if at all. Without a log line, a probe loop that has failed
looks like a network without traffic.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from absl import logging

from thorntray.internal.telemetry.events import Event, log_event

_T = TypeVar("_T")


class BackgroundTasks:
    """The running background tasks of one component."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[None, None, _T]) -> "asyncio.Task[_T]":
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: "asyncio.Task[Any]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        exc = task.exception()
        logging.error("background task failed", exc_info=exc)
        log_event(Event.TASK_FAILED, task=task.get_coro().__qualname__, detail=repr(exc))

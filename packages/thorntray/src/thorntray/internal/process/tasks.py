"""Background tasks of one owner: kept alive, ended together, never lost in silence.

The event loop holds tasks only weakly, and reports the exception of a forgotten one when it is
collected, if at all. A probing loop that has died unseen looks like a quiet network.
"""

import asyncio
from collections.abc import Coroutine

from absl import logging

from thorntray.internal.telemetry.events import Event, log_event


class BackgroundTasks:
    """A set of running tasks."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[None, None, None]) -> "asyncio.Task[None]":
        """Start a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ended(self, task: "asyncio.Task[None]") -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        exc = task.exception()
        logging.error("background task failed", exc_info=exc)
        log_event(Event.TASK_FAILED, task=task.get_coro().__qualname__, detail=repr(exc))

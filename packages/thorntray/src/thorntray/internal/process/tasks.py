"""Background tasks of one component: kept referenced, stopped together, and logged when they fail.

The event loop holds only weak references to tasks and reports the exception of a task that nobody
awaits when it is garbage-collected, if at all. Without a log line, a probe loop that has failed
looks like a network without traffic.

A periodic task on which requests depend is supervised: an unexpected exception costs one round.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from absl import logging

from thorntray.internal.telemetry.events import Event, log_event

RESTART_PAUSE = 0.5  # seconds until a supervised task that has failed runs again

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

    def supervise(self, work: Callable[[], Coroutine[None, None, None]]) -> "asyncio.Task[None]":
        """Start a task that is run again, after `RESTART_PAUSE`, whenever it has failed."""
        return self.spawn(_run_until_ended(work))

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
        _log_failure(task.get_coro().__qualname__, task.exception(), runs_again=False)


async def _run_until_ended(work: Callable[[], Coroutine[None, None, None]]) -> None:
    while True:
        try:
            return await work()
        except Exception as exc:
            _log_failure(getattr(work, "__qualname__", repr(work)), exc, runs_again=True)
        await asyncio.sleep(RESTART_PAUSE)


def _log_failure(name: str, exc: BaseException | None, runs_again: bool) -> None:
    logging.error("background task failed", exc_info=exc)
    log_event(Event.TASK_FAILED, task=name, detail=repr(exc), runs_again=runs_again)

"""A start that a stop signal ends while it waits, before anything has been accepted."""

import asyncio
from collections.abc import Coroutine


async def run_unless_stopped(start: Coroutine[None, None, None], stop: asyncio.Event) -> bool:
    """Run a start to its end; return False if `stop` was set before, which cancels the start.

    A start that has accepted a caller must not pause afterwards: it ends, and the stop follows.
    """
    starting = asyncio.ensure_future(start)
    stopping = asyncio.ensure_future(stop.wait())
    try:
        await asyncio.wait({starting, stopping}, return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            starting.cancel()
            await asyncio.wait({starting})
        if starting.cancelled():
            return False
        starting.result()  # raises the exception of the start
        return True
    finally:
        stopping.cancel()
        starting.cancel()

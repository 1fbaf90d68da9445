"""Epoch of the platform's store, which rises each time the store is restored from an older copy.

A restore loses the newest writes and leases, and their revisions and lease ids are given out
again. An equal revision may then be another write, and an equal lease id another node's lease, so
nothing known from an earlier epoch may be compared or combined with an answer of the current one.
"""

import asyncio
from contextlib import suppress

RESTORE_SPREAD = 0.5  # seconds over which the nodes of a fleet spread their calls after a restore


class StoreEpoch:
    """The highest epoch in any answer of the store, 0 if no answer has carried one."""

    def __init__(self) -> None:
        self.current = 0
        self._risen = asyncio.Event()

    def observe(self, epoch: int) -> bool:
        """Record the epoch of an answer; return False if the answer is from an earlier epoch."""
        if epoch > self.current:
            self.current = epoch
            risen, self._risen = self._risen, asyncio.Event()
            risen.set()
        return epoch == self.current

    async def wait_beyond(self, epoch: int) -> None:
        """Wait until the current epoch is higher than `epoch`."""
        while self.current <= epoch:
            await self._risen.wait()

    async def sleep_within(self, epoch: int, seconds: float) -> None:
        """Sleep for `seconds`, but only while the current epoch is not higher than `epoch`."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.wait_beyond(epoch)

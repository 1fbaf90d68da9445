"""Test program: prints a digest of all datagrams of a seeded fleet in virtual time."""

import asyncio
import hashlib
import logging

from tests.builders import run_virtual
from tests.lost_watch_fleet import LosingFleet

NODES, DOMAINS = 24, 3
LOSS = 0.1
SECONDS = 20.0  # virtual time


async def digest_of_run() -> str:
    """Return the digest of the order, the addresses and the contents of all datagrams."""
    digest = hashlib.sha256()
    fleet = LosingFleet(NODES, DOMAINS)

    def record(sender: str, target: str, data: bytes) -> bool:
        digest.update(f"{sender} {target} ".encode() + data)
        return False

    fleet.network.drops = record
    await fleet.start()
    fleet.network.loss = LOSS
    await asyncio.sleep(SECONDS)
    return digest.hexdigest()


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    print(run_virtual(digest_of_run()))

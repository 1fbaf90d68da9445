"""Shed order: which request goes first when not all can be served.

A request's shed key is one number, `priority + rank`, and the lowest key is shed first.
`priority` is the integer that the calling team's settings give to the request's class.
`rank` is in [0, 1) and comes from a hash of the ROOT request's identity, so every service on
a call chain sheds the same roots. Independent choices would not do: with a share p admitted
at each of k hops only p**k of the roots complete, and the rest is wasted work.

Depth is deliberately no part of the key: a key that grows with depth could not be compared
with the level that a deep service reports to a shallow one.
"""

from thorntray.internal.process.hashing import HASH_RANGE, hash64

LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9


def rank_of(root_id: bytes) -> float:
    """Return the rank in [0, 1) of the root request `root_id`."""
    return min(hash64(root_id) / HASH_RANGE, 1 - 2**-53)


def shed_key(priority: int, root_id: bytes) -> float:
    """Return the shed key; the lowest key is shed first."""
    return priority + rank_of(root_id)

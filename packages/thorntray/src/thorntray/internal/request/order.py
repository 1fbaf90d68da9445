"""Shed order: which request goes first when not all can be served.

A request's shed key is one number, `priority + place`, and the lowest key is shed first.
`priority` is the integer that the calling team's settings give to the request's class.
`place` is in [0, 1). It rests on a rank that comes from a hash of the ROOT request's identity,
so every service on a call chain sheds the same roots. Independent choices would not do: with a
share p admitted at each of k hops only p**k of the roots complete, and the rest is wasted work.

Work already invested counts upward, by one fixed step between a root and all calls below it.
A root is thereby refused at a level at which the calls of a running root still pass, so the
level that a deep service reports sheds new roots before it cuts running ones. A step for each
further hop would not do: the key of a root could no longer be compared with a deep level.
"""

from thorntray.internal.membership.hashing import HASH_RANGE, hash64

INVESTED_STEP = 0.1  # of the width of a class, for calls below the root
LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9


def rank_of(root_id: bytes) -> float:
    """Return the rank in [0, 1) of the root request `root_id`."""
    return min(hash64(root_id) / HASH_RANGE, 1 - 2**-53)


def shed_key(priority: int, root_id: bytes, depth: int) -> float:
    """Return the shed key of a call at a depth (0: the root); the lowest is shed first."""
    step = INVESTED_STEP if depth else 0.0
    return priority + (rank_of(root_id) + step) / (1 + INVESTED_STEP)

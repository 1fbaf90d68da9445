"""Shed order: which requests are shed first when not all of them can be served.

The shed key of a request is one number, `priority + position`; the lowest key is shed first.
`priority` is the integer that the calling team's settings assign to the request's class.
`position` is in [0, 1). It is derived from the rank, a hash of the ROOT request's ID, so all
services on a call chain shed the same root requests. With independent choices, a share p admitted
at each of k hops would let only p**k of the root requests complete; the work for the others would
be wasted.

A fixed step is added to the rank of calls below the root, since work has already been spent on
them. A shed level therefore refuses a new root request while it still admits the calls of a running
one with the same rank, and a level reported by a service deep in the call graph sheds new roots
before it interrupts running ones. The step does not grow with depth: otherwise the key of a root
could not be compared with a level reported from deeper in the graph.
"""

from thorntray.internal.membership.hashing import HASH_RANGE, hash64

NESTED_CALL_STEP = 0.1  # added to the rank of calls below the root; ranks span [0, 1)
LOWEST_PRIORITY = 0
HIGHEST_PRIORITY = 9


def root_rank(root_id: bytes) -> float:
    """Return a rank in [0, 1), derived from the hash of the root request's ID."""
    return min(hash64(root_id) / HASH_RANGE, 1 - 2**-53)


def shed_key(priority: int, root_id: bytes, depth: int) -> float:
    """Return the shed key of a call at `depth` (0 is the root); the lowest is shed first."""
    step = NESTED_CALL_STEP if depth else 0.0
    return priority + (root_rank(root_id) + step) / (1 + NESTED_CALL_STEP)

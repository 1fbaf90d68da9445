"""Garbage collection of a node process.

Full collections that traversed the objects of all imported libraries paused every call for tens of
milliseconds. Reference cycles created later are still collected; the collector counts objects, not
bytes, so nothing that holds a body may be in a cycle.
"""

import gc

YOUNG_THRESHOLD = 20_000  # net allocations between collections of the youngest generation


def freeze_startup_objects() -> None:
    """Exclude the objects that exist after start-up from garbage collection."""
    gc.collect()
    gc.freeze()


def collect_rarely() -> None:
    """Exclude the objects that exist after start-up, and collect the others less often."""
    freeze_startup_objects()
    gc.set_threshold(YOUNG_THRESHOLD)

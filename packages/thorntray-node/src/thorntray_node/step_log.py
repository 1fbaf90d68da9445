"""Logs why a step of a node's life failed."""

from collections.abc import Iterator
from contextlib import contextmanager

from thorntray.internal.telemetry.events import Event, log_event
from thorntray_node.process_end import process_end


@contextmanager
def log_failure(step: str) -> Iterator[None]:
    """Log an exception of a step of the node's life, and pass it on."""
    process_end.step = step
    try:
        yield
    except Exception as exc:
        process_end.detail = repr(exc)
        log_event(Event.NODE_FAILED, step=step, detail=repr(exc))
        raise

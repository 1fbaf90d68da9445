"""Whether a request can still end before its origin's node has stopped.

Callers' requests are accepted early in a stop and have the rest of it. A call of the own instance
may come late, and is not to be broken off, so it is accepted only if it will most likely end.
"""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from thorntray.internal.request.origin_request import OriginRequest


def is_admitted_in_stop(req: "OriginRequest") -> bool:
    """Return whether the node does not stop, or the request can end before it has stopped."""
    drain = req.context.deps.drain
    return not drain.begun or drain.admits(req.parent is not None, _expected_time(req))


def has_time_to_retry(req: "OriginRequest") -> bool:
    """Return whether the node does not stop, or a further attempt can end before it has."""
    drain = req.context.deps.drain
    return not drain.begun or drain.can_finish(_expected_time(req))


def _expected_time(req: "OriginRequest") -> float:
    """Return the seconds that an attempt which begins now is expected to take at most."""
    if req.parent is None:
        return req.route.target_latency
    return req.context.likely_longest(req)

"""Decides, where a request enters, which workspace calls and whether it may.

The decision is made once. Later steps know only the workspace: the key itself is neither kept nor
passed on. A known key decides also on an anonymous route, and an unknown one is refused there too,
since a request with a withdrawn key must not run anywhere.

Calls that the own instance makes for a request that it is running carry no key. Its address alone
does not identify them, since callers may run on the same machine, so each must belong to a running
request. A node that has just started does not know what its instance is running: it refuses them
as not run instead of rejecting a proper call for good.
"""

from collections.abc import Callable
from enum import Enum

from thorntray.internal.process.clock import Clock
from thorntray.internal.version.freshness import Freshness
from thorntray.internal.version.policy import Policy, Route
from thorntray.internal.version.workspaces import Workspace

# Seconds after a route's timeout in which the instance may still run its requests.
RUN_MARGIN = 0.5
_SCHEME = b"bearer"


class IdentityRefusal(Enum):
    """Why a request is refused; the names appear in logs and metrics."""

    MISSING_KEY = "no API key on a route that needs one"
    UNKNOWN_KEY = "the API key belongs to no workspace"
    UNMATCHED_CALL = "no API key, and this node does not know yet what its instance is running"
    STALE_POLICY = "this node cannot know whether the API key has been withdrawn"


class CallerIdentity:
    """Finds the workspace of a request."""

    def __init__(self, freshness: Freshness, clock: Clock) -> None:
        self._freshness = freshness
        self._clock = clock
        self._started_at = clock.monotonic()

    def identify(
        self,
        policy: Policy,
        route: Route,
        authorization: bytes,
        is_nested_call: Callable[[], bool],
    ) -> Workspace | None | IdentityRefusal:
        """Return the workspace, None for a request without one, or why it is refused.

        `authorization` is the value of the Authorization field, empty if there is none.
        `is_nested_call` is called only if the route needs a key and there is none.
        """
        workspaces = policy.workspaces
        if not workspaces:
            return None
        if not authorization:
            if route.anonymous or is_nested_call():
                return None
            return self._refusal_without_key(policy)
        # Freshness first: a key that is not known yet may be in a version that has not arrived.
        if not self._freshness.allows_keys(policy):
            return IdentityRefusal.STALE_POLICY
        workspace = workspaces.of_key(_key(authorization))
        return workspace if workspace is not None else IdentityRefusal.UNKNOWN_KEY

    def _refusal_without_key(self, policy: Policy) -> IdentityRefusal:
        longest_run = max(route.timeout for route in policy.routes.values()) + RUN_MARGIN
        if self._clock.monotonic() - self._started_at < longest_run:
            return IdentityRefusal.UNMATCHED_CALL
        return IdentityRefusal.MISSING_KEY


def _key(authorization: bytes) -> bytes:
    """Return the key of an Authorization field, empty if it has another scheme."""
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == _SCHEME else b""

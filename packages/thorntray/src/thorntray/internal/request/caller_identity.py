"""Decides, where a request enters, which workspace calls and whether it may.

The decision is made once. Later steps know only the workspace: the key itself is neither kept nor
passed on. A known key decides also on an anonymous route, and an unknown one is refused there too,
since a request with a withdrawn key must not run anywhere.

Calls of the node's own instance carry no key. They are told by the address that they come from, as
a caller can copy any header field.
"""

from enum import Enum

from thorntray.internal.version.freshness import Freshness
from thorntray.internal.version.policy import Policy, Route
from thorntray.internal.version.workspaces import Workspace

_SCHEME = b"bearer"


class IdentityRefusal(Enum):
    """Why a request is refused; the names appear in logs and metrics."""

    MISSING_KEY = "no API key on a route that needs one"
    UNKNOWN_KEY = "the API key belongs to no workspace"
    STALE_POLICY = "this node cannot know whether the API key has been withdrawn"


class CallerIdentity:
    """Finds the workspace of a request."""

    def __init__(self, freshness: Freshness) -> None:
        self._freshness = freshness

    def identify(
        self, policy: Policy, route: Route, authorization: bytes, from_own_instance: bool
    ) -> Workspace | None | IdentityRefusal:
        """Return the workspace, None for a request without one, or why it is refused.

        `authorization` is the value of the Authorization field, empty if there is none.
        """
        workspaces = policy.workspaces
        if not workspaces or from_own_instance:
            return None
        if not authorization:
            return None if route.anonymous else IdentityRefusal.MISSING_KEY
        # Freshness first: a key that is not known yet may be in a version that has not arrived.
        if not self._freshness.allows_keys(policy):
            return IdentityRefusal.STALE_POLICY
        workspace = workspaces.of_key(_key(authorization))
        return workspace if workspace is not None else IdentityRefusal.UNKNOWN_KEY


def _key(authorization: bytes) -> bytes:
    """Return the key of an Authorization field, empty if it has another scheme."""
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == _SCHEME else b""

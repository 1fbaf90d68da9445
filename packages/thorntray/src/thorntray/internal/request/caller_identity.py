"""Decides, where a request enters, which workspace calls and whether it may.

The decision is made once. Later steps know only the workspace: the key itself is neither kept nor
passed on. A known key decides also on an anonymous route, and an unknown one is refused there too,
since a request with a withdrawn key must not run anywhere.

Calls that the own instance makes for a request that it is running carry no key. Its address alone
does not identify them, since callers may run on the same machine, so each must belong to a running
request. A node that has just started does not know what its instance is running, and one that runs
late cannot tell which request a call expires with: they refuse what they cannot match as not run
instead of rejecting a proper call for good.
"""

from collections.abc import Callable
from enum import Enum

from thorntray.internal.overload.call_parents import CallSender
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
    UNMATCHED_CALL = "no API key, and this node cannot tell now whether its instance has sent it"
    STALE_POLICY = "this node cannot know whether the API key has been withdrawn"


class CallerIdentity:
    """Finds the workspace of a request."""

    def __init__(self, freshness: Freshness, clock: Clock) -> None:
        self._freshness = freshness
        self._clock = clock
        self._started_at = clock.monotonic()
        self._policy: Policy | None = None  # to which the next one belongs
        self._longest_run = 0.0  # seconds for which the instance may run a request

    @property
    def is_starting(self) -> bool:
        """Return whether the instance may run requests that a previous process has sent to it."""
        return self._clock.monotonic() - self._started_at < self._longest_run

    def identify(
        self,
        policy: Policy,
        route: Route,
        authorization: bytes,
        sender_of_call: Callable[[], CallSender],
    ) -> Workspace | None | IdentityRefusal:
        """Return the workspace, None for a request without one, or why it is refused.

        `authorization` is the value of the Authorization field, empty if there is none.
        `sender_of_call` is called only if the route needs a key and there is none.
        """
        workspaces = policy.workspaces
        if not workspaces:
            return None
        if not authorization:
            self._set_longest_run(policy)
            return None if route.anonymous else self._refusal_without_key(sender_of_call())
        # Freshness first: a key that is not known yet may be in a version that has not arrived.
        if not self._freshness.allows_keys(policy):
            return IdentityRefusal.STALE_POLICY
        workspace = workspaces.of_key(_key(authorization))
        return workspace if workspace is not None else IdentityRefusal.UNKNOWN_KEY

    def _refusal_without_key(self, sender: CallSender) -> IdentityRefusal | None:
        match sender:
            case CallSender.INSTANCE:
                return None
            case CallSender.UNCERTAIN:
                return IdentityRefusal.UNMATCHED_CALL
            case CallSender.OTHER:
                starting = self.is_starting
                return IdentityRefusal.UNMATCHED_CALL if starting else IdentityRefusal.MISSING_KEY

    def _set_longest_run(self, policy: Policy) -> None:
        if policy is self._policy:
            return
        self._policy = policy
        self._longest_run = max(route.timeout for route in policy.routes.values()) + RUN_MARGIN


def _key(authorization: bytes) -> bytes:
    """Return the key of an Authorization field, empty if it has another scheme."""
    scheme, _, key = authorization.strip().partition(b" ")
    return key.strip() if scheme.lower() == _SCHEME else b""

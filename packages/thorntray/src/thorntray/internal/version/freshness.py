"""Decides for how long a node may serve requests with API keys on the policy that it holds."""

from thorntray.internal.version.policy import Policy


class Freshness:
    """Whether the policy in force is recent enough for its API keys to be served."""

    def allows_keys(self, policy: Policy) -> bool:
        """Return whether requests with a key of this policy may be served now."""
        return True

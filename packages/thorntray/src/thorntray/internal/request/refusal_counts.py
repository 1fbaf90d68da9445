"""Counts refused requests by workspace, in bounded memory."""

from collections import Counter

NAMED_WORKSPACES = 20  # workspaces with a metric of their own
OTHER = "other"
MAX_COUNTED = 20_000  # workspaces whose refusals are counted; above that only the named ones stay


class RefusalCounts:
    """Refused requests since the start, by workspace."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._dropped = 0  # refusals of workspaces that are no longer counted

    def record(self, workspace: str) -> None:
        """Count a refusal."""
        self._counts[workspace] += 1

    def bound(self) -> None:
        """Keep only the workspaces with most refusals if there are more than `MAX_COUNTED`."""
        if len(self._counts) <= MAX_COUNTED:
            return
        kept = Counter(dict(self._counts.most_common(NAMED_WORKSPACES)))
        self._dropped += self._counts.total() - kept.total()
        self._counts = kept

    def by_workspace(self) -> dict[str, float]:
        """Return the refusals of the workspaces with most of them, and of all others together."""
        named = dict(self._counts.most_common(NAMED_WORKSPACES))
        rest = self._dropped + self._counts.total() - sum(named.values())
        return {**named, OTHER: rest} if rest else named

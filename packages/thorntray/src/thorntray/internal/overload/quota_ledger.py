"""Decides how many requests of a workspace the nodes may admit; one node, its coordinator, asks.

Load pattern: a workspace sends up to several times its quota, at one node, at all in turn, or at
some that change. Nodes ask for tokens before they need them, and tokens that they hold are neither
spent nor free. If they were forgotten, the bucket would fill up meanwhile, and in one window both
would be spent.

A bucket therefore counts the tokens of the last `GRANT_WINDOW` as well, until the node says that it
has spent them. It gains no more than its rate, and what it holds together with those is at most its
capacity: the burst, the rate of `SPARE_TIME`, and `SPARE_TOKENS`. Tokens that a node returns move
from the one to the other, if they are still counted. As nodes spend no token after `GRANT_WINDOW`,
at most rate x T + capacity requests are admitted in any time T. The rest of the bound in
docs/design/workspaces.md is for the times in which nodes disagree on the coordinator.

Datagrams are lost and repeated. Each asker numbers its queries; a repeated one gets the reply that
it got before, and an older one gets none, so that nothing is granted or returned twice.
"""

from collections import deque
from typing import NamedTuple

from thorntray.internal.overload.quota_members import QuotaMembers
from thorntray.internal.version.workspaces import Workspace

# Seconds after the grant in which tokens are counted and may be returned. Nodes spend them for
# `quota_tokens.TOKEN_LIFETIME` only; the difference is for the way back.
GRANT_WINDOW = 0.3
# Seconds of the rate that a bucket may hold in addition to the burst, mostly for what nodes have
# fetched and not spent. It has to be more than twice `quota_tokens.PREFETCH_TIME`, since nodes that
# the traffic has left hold tokens beside those that it has moved to.
SPARE_TIME = 0.3
SPARE_TOKENS = 3.0  # so that a small quota is served when requests come a little early
# Seconds without grants after this node has become the coordinator, in which the others learn of it
# and the tokens of the previous coordinator are spent. A shorter time may exceed the quota in a
# takeover, a longer one refuses what it allows.
QUIET_TIME = 0.5
MAX_GAP = 1.0  # seconds without a sign of life after which this process may have been replaced
MIN_BACK_OFF = 0.02  # seconds until a node may ask again if there are no tokens
MAX_BACK_OFF = 1.0  # seconds; a later token is told as such
QUERY_INTERVAL = 0.001  # seconds between the queries of all nodes for one workspace without tokens
ASKER_MEMORY = 1.0  # seconds for which the last query of a node is kept
_ROUNDING = 1e-9  # of a token


class Query(NamedTuple):
    """A node's query: `session` is its process.

    `held` are its unspent tokens that may be spent, `returned` those that will not be.
    """

    session: bytes
    sequence: int
    wanted: int
    held: int
    returned: int


class Grant(NamedTuple):
    """Granted tokens; if they are fewer than wanted, the seconds until there is another one."""

    tokens: int
    retry_after: float


class _Issue:
    """Tokens granted to one node that still count."""

    __slots__ = ("tokens", "expires_at")

    def __init__(self, tokens: int, expires_at: float) -> None:
        self.tokens = tokens
        self.expires_at = expires_at


class _Asker:
    """The last query of one node, the reply to it, and what was granted to the node."""

    __slots__ = ("sequence", "reply", "seen_at", "issues")

    def __init__(self) -> None:
        self.sequence = -1
        self.reply = Grant(0, 0.0)
        self.seen_at = 0.0
        self.issues: deque[_Issue] = deque()


class _Bucket:
    """The tokens of one workspace."""

    __slots__ = ("rate", "burst", "tokens", "accrued_at", "issued", "_issues", "askers")

    def __init__(self, rate: float, burst: float, starts_at: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = 0.0
        self.accrued_at = starts_at  # in the future: nothing is granted until then
        self.issued = 0  # tokens granted in the last GRANT_WINDOW, neither spent nor returned
        self._issues: deque[_Issue] = deque()
        self.askers: dict[bytes, _Asker] = {}

    @property
    def capacity(self) -> float:
        """Return the most tokens that may be free or issued at one time."""
        return self.burst + self.rate * SPARE_TIME + SPARE_TOKENS

    @property
    def full(self) -> bool:
        """Return whether the bucket is as it would be if nobody had ever asked."""
        return not self.issued and self.tokens >= self.capacity - _ROUNDING

    def set_limits(self, rate: float, burst: float, now: float) -> None:
        """Change the limits. The time until now gains no more than either rate allows."""
        if rate == self.rate and burst == self.burst:
            return
        self.rate = min(self.rate, rate)
        self.refill(now)
        self.rate, self.burst = rate, burst
        self._cap()

    def refill(self, now: float) -> None:
        """Add the tokens of the time until now, and forget the issued ones that have expired."""
        while self._issues and self._issues[0].expires_at <= now:
            issue = self._issues.popleft()
            self._accrue(issue.expires_at)
            self.issued -= issue.tokens
            issue.tokens = 0
        self._accrue(now)

    def _accrue(self, until: float) -> None:
        if until > self.accrued_at:
            self.tokens += self.rate * (until - self.accrued_at)
            self.accrued_at = until
        self._cap()

    def _cap(self) -> None:
        self.tokens = max(0.0, min(self.tokens, self.capacity - self.issued))

    def settle(self, asker: _Asker, held: int, returned: int) -> None:
        """Make a node's unspent tokens free again, and count no more what it has spent.

        Both only as far as they are still counted.
        """
        counted = sum(issue.tokens for issue in asker.issues)
        freed = min(max(0, returned), counted)
        spent = max(0, counted - freed - max(0, held))
        self.tokens += freed
        self.issued -= freed + spent
        settled = freed + spent
        for issue in asker.issues:
            tokens = min(settled, issue.tokens)
            issue.tokens -= tokens
            settled -= tokens
        self._cap()

    def issue(self, asker: _Asker, wanted: int, now: float) -> int:
        """Grant up to `wanted` tokens to a node; return their number."""
        tokens = min(max(0, wanted), int(self.tokens + _ROUNDING))
        while asker.issues and not asker.issues[0].tokens:
            asker.issues.popleft()
        if tokens:
            issue = _Issue(tokens, now + GRANT_WINDOW)
            self._issues.append(issue)
            asker.issues.append(issue)
            self.tokens -= tokens
            self.issued += tokens
        return tokens

    def next_token_in(self, now: float) -> float:
        """Return the seconds until there is a token, if none is returned before."""
        at, tokens, issued = self.accrued_at, self.tokens, self.issued
        for issue in self._issues:
            room = self.capacity - issued
            if room >= 1.0:
                break
            tokens = min(room, tokens + self.rate * max(0.0, issue.expires_at - at))
            at = max(at, issue.expires_at)
            issued -= issue.tokens
        return max(0.0, at - now) + max(0.0, 1.0 - tokens) / self.rate

    def forget_askers(self, before: float) -> None:
        """Forget the nodes that have not asked since `before`."""
        for session in [s for s, asker in self.askers.items() if asker.seen_at < before]:
            del self.askers[session]


class QuotaLedger:
    """The buckets of the workspaces that this node coordinates. Times are boot times."""

    def __init__(self, members: QuotaMembers) -> None:
        self._members = members
        self._buckets: dict[str, _Bucket] = {}

    def __len__(self) -> int:
        return len(self._buckets)

    def grant(self, workspace: Workspace, query: Query, now: float) -> Grant | None:
        """Answer a query; None if this node may not now, or if the query is outdated."""
        members, name = self._members, workspace.name
        if not members.known or not workspace.limited or not members.coordinates(name):
            return None
        if not members.may_answer(now):
            return None
        share = members.granted_share(now)
        rate, burst = workspace.rate * share, workspace.burst * share
        bucket = self._buckets.get(name)
        if bucket is None:
            bucket = _Bucket(rate, burst, members.own_since(name) + QUIET_TIME)
            self._buckets[name] = bucket
        bucket.set_limits(rate, burst, now)
        return self._answer(bucket, query, now)

    def _answer(self, bucket: _Bucket, query: Query, now: float) -> Grant | None:
        asker = bucket.askers.get(query.session)
        if asker is None:
            asker = bucket.askers[query.session] = _Asker()
        asker.seen_at = now
        if query.sequence <= asker.sequence:
            return asker.reply if query.sequence == asker.sequence else None
        bucket.refill(now)
        bucket.settle(asker, query.held, query.returned)
        tokens = bucket.issue(asker, query.wanted, now)
        retry_after = 0.0
        if tokens < query.wanted:
            spread = min(MAX_BACK_OFF, len(bucket.askers) * QUERY_INTERVAL)
            retry_after = max(bucket.next_token_in(now), MIN_BACK_OFF, spread)
        asker.sequence, asker.reply = query.sequence, Grant(tokens, retry_after)
        return asker.reply

    def restart(self) -> None:
        """Forget all buckets, since another node may have coordinated their workspaces."""
        self._buckets.clear()

    def drop_others(self) -> None:
        """Forget the workspaces that another node coordinates now."""
        for name in [n for n in self._buckets if not self._members.coordinates(n)]:
            del self._buckets[name]

    def forget_idle(self, now: float) -> None:
        """Forget nodes that ask no more, and buckets that are as full as new ones would be."""
        for name, bucket in list(self._buckets.items()):
            bucket.forget_askers(now - ASKER_MEMORY)
            if not bucket.askers:
                bucket.refill(now)
                if bucket.full:
                    del self._buckets[name]

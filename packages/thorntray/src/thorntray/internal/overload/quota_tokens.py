"""Decides, where requests enter, whether a token is at hand, and when to ask for how many.

Load pattern: a node gets between one request in a minute and some thousands a second of one
workspace. A query for each would load the coordinator and delay every request by a round trip. A
node therefore asks for what it needs for `PREFETCH_TIME` by its recent demand, before it has run
out. With less than one request in that time it asks for the requests that wait and holds nothing,
so a small quota that is used at sixty nodes in turn is not held up at those that do not need it.

Tokens expire `TOKEN_LIFETIME` after the query was sent, in boot time, so a late reply or a
suspended machine does not extend them. Unspent ones are returned.

The coordinator may be unreachable. After `SHARE_DELAY` the node admits its own small share of the
rate. Before that it refuses, since the coordinator may still be granting the whole rate to others.
The delay starts anew with each sign of life: a coordinator that only gets no queries, or whose
replies are lost, goes on granting.
"""

from collections import deque
from typing import NamedTuple

from thorntray.internal.version.workspaces import Workspace

TOKEN_LIFETIME = 0.2  # seconds after the query was sent; see quota_ledger.GRANT_WINDOW
# Seconds of demand to hold tokens for. With more, nodes that the traffic has left hold tokens that
# others need.
PREFETCH_TIME = 0.12
LOW_TIME = 0.06  # seconds of demand below which more are asked for
DEMAND_WINDOW = 0.5  # seconds over which demand is measured
MAX_WAIT = 0.06  # seconds for which a request waits for a token
REPLY_TIME = 0.005  # seconds that a reply usually takes at most
# Seconds without a reply until a query is sent again. A request waits for two more tries, since
# otherwise each lost datagram would refuse one.
RESEND_AFTER = 0.02
SILENT_AFTER = 0.06  # seconds without a reply after which the coordinator counts as silent
MAX_BACK_OFF = 3600.0  # seconds, also for a workspace with a request a day
# Seconds of silence after which the own share grows: by then the coordinator may no longer grant
# for this node (`quota_reach.RIGHT_TIME`), and what it had granted is spent (`TOKEN_LIFETIME`).
SHARE_DELAY = 0.8
SILENCE_MEMORY = 2.0  # seconds without a query after which the coordinator may have come back


class Ask(NamedTuple):
    """A query that waits for its reply."""

    sequence: int
    sent_at: float
    wanted: int
    held: int
    returned: int


class _Lot:
    """Tokens of one grant; `returnable` is whether its coordinator is still the present one."""

    __slots__ = ("tokens", "expires_at", "returnable")

    def __init__(self, tokens: int, expires_at: float, returnable: bool = True) -> None:
        self.tokens = tokens
        self.expires_at = expires_at
        self.returnable = returnable


class Demand:
    """Requests a second over a sliding window of about `DEMAND_WINDOW`."""

    __slots__ = ("_count", "_began_at", "rate")

    def __init__(self, now: float) -> None:
        self._count = 0
        self._began_at = now
        self.rate = 0.0

    def count(self, now: float) -> None:
        """Count a request."""
        if now - self._began_at >= DEMAND_WINDOW / 2:
            self._close_window(now)
        self._count += 1

    def _close_window(self, now: float) -> None:
        elapsed = now - self._began_at
        measured = self._count / elapsed
        self.rate = measured if elapsed >= DEMAND_WINDOW else (self.rate + measured) / 2
        self._count, self._began_at = 0, now


class TokenAccount:
    """The tokens of one workspace at this node. Times are boot times in seconds."""

    def __init__(self, workspace: Workspace, now: float) -> None:
        self.workspace = workspace
        self.held = 0
        self.returned = 0  # unspent tokens to give back with the next query
        self.asked: Ask | None = None
        self.back_off_until = float("-inf")  # until then the coordinator has no tokens
        self.coordinator = ""
        self.used_at = now
        self._lots: deque[_Lot] = deque()
        self._last_spent = _Lot(0, now)  # the lot of the last token that was spent
        self._last_from_share = False
        self._demand = Demand(now)
        self._silent_since: float | None = None
        self._unanswered_at = now
        self._share = 0.0
        self._share_at = now

    # Requests.

    def record_arrival(self, now: float) -> None:
        """Count a request, for the demand."""
        self._demand.count(now)
        self.used_at = now

    def spend(self, now: float) -> bool:
        """Spend a token on a request; return whether there was one."""
        lots = self._lots
        while lots:
            lot = lots[0]
            if lot.expires_at <= now:
                self._expire(now)
                continue
            lot.tokens -= 1
            self.held -= 1
            self._last_spent, self._last_from_share = lot, False
            if not lot.tokens:
                lots.popleft()
            return True
        return False

    def spend_share(self, members: int, heard_at: float, now: float) -> bool:
        """Spend a token of the own share, which grows while the coordinator is silent.

        `heard_at` is when the coordinator last gave a sign of life, in boot time.
        """
        if not self.silent(now):
            return False
        assert self._silent_since is not None
        silent_since = max(self._silent_since, heard_at)
        grows_from = max(self._share_at, silent_since + SHARE_DELAY)
        if now > grows_from:
            depth = max(1.0, self.workspace.burst / members)
            gain = self.workspace.rate / members * (now - grows_from)
            self._share = min(depth, self._share + gain)
            self._share_at = now
        if self._share < 1.0:
            return False
        self._share -= 1.0
        self._last_from_share = True
        return True

    def give_back(self) -> None:
        """Take back the token that was spent last, for a request that goes nowhere."""
        if self._last_from_share:
            self._share += 1.0
            return
        spent = self._last_spent
        self._lots.appendleft(_Lot(1, spent.expires_at, spent.returnable))
        self.held += 1

    def may_wait(self, ahead: int, seconds: float, now: float) -> bool:
        """Return whether a request behind `ahead` others may get a token within `seconds`."""
        back_off = self.back_off_until - now
        if back_off <= 0:
            return not self.silent(now) or now - self._unanswered_at > SILENT_AFTER
        if back_off + REPLY_TIME > seconds:
            return False
        return ahead < max(1.0, self.workspace.rate * MAX_WAIT)

    # Limits and coordinator.

    def set_workspace(self, workspace: Workspace) -> None:
        """Take over the workspace of a new policy. Tokens under a higher limit end now."""
        before, self.workspace = self.workspace, workspace
        if workspace.rate > before.rate or workspace.burst > before.burst:
            self.back_off_until = float("-inf")
        if workspace.rate < before.rate or workspace.burst < before.burst:
            self.returned += self.held
            self.held = 0
            self._lots.clear()
            self.asked = None

    def set_coordinator(self, name: str, now: float) -> None:
        """Take over a new coordinator, which knows nothing of the tokens of the one before."""
        self.coordinator = name
        self.asked = None
        self.returned = 0
        for lot in self._lots:
            lot.returnable = False
        self._last_spent.returnable = False
        self.back_off_until = float("-inf")
        self._end_silence(now)

    def silent(self, now: float) -> bool:
        """Return whether the coordinator does not reply."""
        if self._silent_since is not None and now - self._unanswered_at > SILENCE_MEMORY:
            self._end_silence(now)
        return self._silent_since is not None

    def _end_silence(self, now: float) -> None:
        self._silent_since = None
        self._share = 0.0
        self._share_at = now

    # Queries.

    def needs_more(self, now: float) -> bool:
        """Return whether to ask before the tokens run out."""
        low = self._demand.rate * LOW_TIME
        return self.held < low and self.asked is None and now >= self.back_off_until

    def ask(self, sequence: int, waiting: int, now: float, prefetch: bool = True) -> Ask | None:
        """Return the query to send now, None if there is nothing to ask.

        Without `prefetch` it is for what waits only: no request has come that shows any demand.
        """
        self._expire(now)
        if self.asked is not None:
            return None
        wanted = 0
        if now >= self.back_off_until:
            ahead = int(self._demand.rate * PREFETCH_TIME) if prefetch else 0
            wanted = max(0, waiting + ahead - self.held)
        if not wanted and not self.returned:
            return None
        self.asked = Ask(sequence, now, wanted, self.held, self.returned)
        self.returned = 0
        return self.asked

    def record_silence(self, now: float) -> bool:
        """Record that the query is unanswered; return whether to send the same one again."""
        asked = self.asked
        if asked is None:
            return False
        if now - asked.sent_at >= SILENT_AFTER:
            self._unanswered_at = now
            if self._silent_since is None:
                self._silent_since = asked.sent_at
                self._share_at = now
        if now - asked.sent_at < TOKEN_LIFETIME:
            return True
        self.asked = None  # what it returned may have arrived and is not returned again
        return False

    def record_grant(self, sequence: int, tokens: int, retry_after: float, now: float) -> bool:
        """Record a reply; return whether it answers the query that waits."""
        asked = self.asked
        if asked is None or asked.sequence != sequence:
            return False
        self.asked = None
        self._end_silence(now)
        if tokens > 0:
            self._lots.append(_Lot(tokens, asked.sent_at + TOKEN_LIFETIME))
            self.held += tokens
        if retry_after > 0:
            self.back_off_until = now + min(MAX_BACK_OFF, retry_after)
        self._expire(now)
        return True

    def idle(self, now: float, after: float) -> bool:
        """Return whether the account may be forgotten."""
        active = self.held or self.returned or self.asked or now < self.back_off_until
        return not active and now - self.used_at > after

    def expire(self, now: float) -> int:
        """Drop expired tokens; return how many wait to be returned."""
        self._expire(now)
        return self.returned

    def _expire(self, now: float) -> None:
        lots = self._lots
        while lots and lots[0].expires_at <= now:
            lot = lots.popleft()
            self.held -= lot.tokens
            if lot.returnable:
                self.returned += lot.tokens

"""Tokens of a quota that change hands, are given back, or arrive for another process."""

from thorntray.internal.overload.quota_tokens import (
    SHARE_DELAY,
    SILENT_AFTER,
    TOKEN_LIFETIME,
    TokenAccount,
)
from thorntray.internal.version.workspaces import Workspace

NEVER = float("-inf")  # when the coordinator gave a sign of life
WORKSPACE = Workspace("depots", rate=100.0, burst=10.0)


def account_with_tokens(tokens, now):
    account = TokenAccount(WORKSPACE, now)
    account.set_coordinator("n1", now)
    asked = account.ask(1, waiting=tokens, now=now)
    account.record_grant(asked.sequence, tokens, 0.0, now)
    return account


def test_tokens_of_one_coordinator_are_not_returned_to_the_next():
    # It would free as many of its own, which this node has spent: the quota is exceeded.
    account = account_with_tokens(5, 100.0)
    account.set_coordinator("n2", 100.01)
    assert account.spend(100.02), "they may still be spent"
    assert account.expire(100.0 + TOKEN_LIFETIME) == 0
    assert account.held == 0


def test_a_token_of_the_own_share_is_given_back_to_the_share():
    # As a coordinator's token it would be returned there, and free one that was spent.
    account = TokenAccount(WORKSPACE, 100.0)
    account.set_coordinator("n1", 100.0)
    account.ask(1, waiting=1, now=100.0)
    account.record_silence(100.0 + SILENT_AFTER)
    now = 100.0 + SHARE_DELAY + 2.0
    account.record_silence(now - 0.01)
    assert account.spend_share(members=10, heard_at=NEVER, now=now)
    account.give_back()
    assert account.held == 0 and account.expire(now + TOKEN_LIFETIME) == 0
    assert account.spend_share(members=10, heard_at=NEVER, now=now), "the share has it again"


def test_a_given_back_token_is_spent_again():
    account = account_with_tokens(1, 100.0)
    assert account.spend(100.01)
    account.give_back()
    assert account.spend(100.02) and not account.spend(100.02)

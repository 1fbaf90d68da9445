"""Retry allowance of one request, shared by all calls of its call tree.

The root request sets the number of retries for the whole tree. A node that makes a child call
lends it a part of its own balance: the part is deducted before the call is sent, and only the
unspent part reported in the reply is added back. If the reply is lost, the part is lost too. At
any time the sum of all balances and of all lent amounts is at most the root's allowance, so the
number of retries in the tree cannot exceed it, regardless of lost replies and of the fan-out. A
retry limit per hop gives no such bound: 3 attempts at each of 8 hops are 6,561 attempts.
"""


class Escrow:
    """The retry balance of one request at one node."""

    __slots__ = ("_balance",)

    def __init__(self, allowance: int) -> None:
        if allowance < 0:
            raise ValueError(f"retry allowance {allowance} is negative; it must be 0 or more")
        self._balance = allowance

    @property
    def balance(self) -> int:
        """Number of retries that this node may still spend or lend."""
        return self._balance

    def spend(self) -> bool:
        """Deduct one retry; returns False if the balance is 0."""
        if self._balance == 0:
            return False
        self._balance -= 1
        return True

    def lend(self) -> int:
        """Deduct and return the part for one child call: half of the balance, rounded up.

        The rest stays for parallel child calls and for retries of this child call.
        """
        share = (self._balance + 1) // 2
        self._balance -= share
        return share

    def restore(self, lent: int, unspent: int) -> None:
        """Add back what a child call did not spend, at most the amount that was lent to it."""
        self._balance += max(0, min(lent, unspent))

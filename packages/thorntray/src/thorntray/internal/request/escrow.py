"""Retry allowance of one request, lent down the call tree.

The root fixes how many retries its whole tree may make. A node that passes a call on lends a
part of what it holds; the part is deducted here first and only what the answer brings back is
added again. A lost answer brings nothing back. At every moment the sum of all balances and of
all amounts under way is at most the root's allowance, so the number of retries in the tree can
never pass it, whatever is lost and however wide the fan-out is. A counter for each hop would
not do: 3 tries at each of 8 hops are 6,561 attempts.
"""


class Escrow:
    """The allowance that one node holds for one request."""

    __slots__ = ("_balance",)

    def __init__(self, allowance: int) -> None:
        if allowance < 0:
            raise ValueError(f"allowance {allowance} is negative; give 0 or more")
        self._balance = allowance

    @property
    def balance(self) -> int:
        """Retries that may still be spent or lent here."""
        return self._balance

    def spend(self) -> bool:
        """Take one retry; False when none is left."""
        if self._balance == 0:
            return False
        self._balance -= 1
        return True

    def lend(self) -> int:
        """Deduct and return the share for one child call: half, rounded up.

        Lending all would leave parallel children and the retry of this very call with nothing.
        """
        share = (self._balance + 1) // 2
        self._balance -= share
        return share

    def restore(self, lent: int, unspent: int) -> None:
        """Take back what a child did not spend; never more than was lent to it."""
        self._balance += max(0, min(lent, unspent))

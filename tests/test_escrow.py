"""Spending and lending never exceed the retry allowance, whichever replies are lost."""

from hypothesis import given
from hypothesis import strategies as st

from thorntray.internal.request.escrow import Escrow


@given(st.integers(0, 16), st.lists(st.sampled_from(["spend", "lend", "restore"]), max_size=40))
def test_spent_and_lent_never_exceed_the_allowance(allowance, steps):
    escrow, spent, lent = Escrow(allowance), 0, []
    for step in steps:
        if step == "spend":
            spent += escrow.spend()
        elif step == "lend":
            lent.append(escrow.lend())
        elif lent:
            share = lent.pop()
            escrow.restore(share, share + 1)
        assert escrow.balance + spent + sum(lent) == allowance
        assert escrow.balance >= 0

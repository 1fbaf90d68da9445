"""The longest times from the confirmation of a change to its force agree with the design page.

Failure of issue 53: each wait was sensible alone, and their sum was above the users' bound.
"""

import re
from pathlib import Path

import pytest

from thorntray.internal.membership.membership import SPREAD_PERIOD
from thorntray.internal.membership.prober import PROBE_PERIOD, PROBE_TIMEOUT
from thorntray.internal.store.policy_fetch import RETRY_DELAY, STORE_PATIENCE
from thorntray.internal.store.policy_watch import DUTY_CHECK_PERIOD, MIN_PAUSE
from thorntray.internal.store.store_calls import CALL_TIMEOUT
from thorntray.internal.store.store_epoch import RESTORE_SPREAD
from thorntray.internal.store.watch_check import (
    FIRST_TURNS,
    MAX_AGE,
    RENEWAL_SPREAD,
    TURN_STEP,
)
from thorntray.internal.store.watch_duty import START_PATIENCE

PAGE = Path(__file__).resolve().parent.parent / "docs/design/policy-in-time.md"
READ = 0.02  # seconds, of a store that answers as usual
FETCH = 0.05  # seconds, from a peer that answers
# Rounds of gossip until 60 nodes have heard, each node telling three others, and the last fetch.
SPREAD = 3 * 1.1 * SPREAD_PERIOD + FETCH
LONGEST_READ = CALL_TIMEOUT + MIN_PAUSE + READ
LAST_TURN = (FIRST_TURNS - 1) * TURN_STEP
DUTY_CHECK = 1.5 * DUTY_CHECK_PERIOD

LONGEST = {
    "an open watch": SPREAD,
    "the checked watcher dies, other watches are open": SPREAD,
    "all watches lost in a silence, any nodes die as it ends": LONGEST_READ + SPREAD,
    "a silence shorter than the age at which watchers ask": MAX_AGE + LAST_TURN + READ + SPREAD,
    "the checked watcher dies before lost watches are renewed, 12 nodes": MAX_AGE
    + LAST_TURN
    + READ,
    "the checked watcher dies before lost watches are renewed, 60 nodes": MAX_AGE
    + LAST_TURN
    + READ
    + SPREAD,
    "the peer that is asked first does not reply": RETRY_DELAY + FETCH + SPREAD,
    "no peer replies": SPREAD + STORE_PATIENCE + DUTY_CHECK + READ,
    "a node is cut off from its peers": PROBE_PERIOD + PROBE_TIMEOUT + DUTY_CHECK + READ,
    "the store is restored from a copy": RESTORE_SPREAD + READ + SPREAD,
    "all nodes start, and their views do not settle": START_PATIENCE + DUTY_CHECK + READ + SPREAD,
}


def documented():
    rows = re.findall(
        r"^\| ([^|]+?) \| ([\d.]+) s \| ([\d.]+) s \| (yes|no)", PAGE.read_text(), re.M
    )
    return {way: (float(longest), float(bound), kept) for way, longest, bound, kept in rows}


@pytest.mark.parametrize("way", LONGEST)
def test_the_longest_time_of_each_way_is_the_documented_one_and_is_held_to_its_bound(way):
    longest, bound, kept = documented()[way]
    assert longest == pytest.approx(LONGEST[way], abs=0.011)
    assert kept == ("yes" if LONGEST[way] <= bound else "no")


def test_the_page_has_no_further_ways():
    assert documented().keys() == LONGEST.keys()


def test_the_watches_lost_in_a_silence_are_renewed_while_nodes_still_count_as_disturbed():
    assert RENEWAL_SPREAD + DUTY_CHECK_PERIOD <= 3.0

"""Checks that nodes keep the rate limits and the leaving that workers name in their answers.

Both count from the first answer that a caller got. The rate limit holds over all nodes, and no
fault excuses what goes beyond it. After a worker's leaving, requests are excused whose node was
killed, stopped or frozen since.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from soak.clients import AttemptEnd
from soak.observation import Observation
from standins.worker import CALL_ID_SUFFIX, Arrival, NamedState

LIMIT_WINDOW = 4.0  # seconds
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5  # of the rate limit in a window
NOTICE_TIME = 0.5  # seconds after the answer
LEAVING_GRACE = 2.0  # seconds after the answer in which requests may still be sent


class _Boot(NamedTuple):
    node: str
    boot: int


def beyond_named_limits(observation: Observation) -> Iterator[str]:
    """Find windows in which a worker got more requests than the limit that it names."""
    limits = [named for named in observation.record.named if named.rate_limit is not None]
    for boot, since in _first_told(observation, limits).items():
        rate = max(n.rate_limit or 0.0 for n in limits if _Boot(n.node, n.boot) == boot)
        until = max(_answered_at(observation, boot, limits))
        times = sorted(
            arrival.received_at
            for arrival in observation.record.arrivals
            if _Boot(arrival.node, arrival.boot) == boot
            and since + NOTICE_TIME <= arrival.received_at <= until
        )
        allowed = EXCESS_FACTOR * rate * LIMIT_WINDOW + EXCESS_REQUESTS
        most = max((sum(at <= t < at + LIMIT_WINDOW for t in times) for at in times), default=0)
        if most > allowed:
            yield (
                f"LIMIT: {boot.node} names {rate} requests a second and got {most} in "
                f"{LIMIT_WINDOW:.0f} s, allowed {allowed:.0f}"
            )


def runs_after_named_leaving(observation: Observation) -> Iterator[str]:
    """Find requests that were sent after a worker had named its leaving, and that it ran."""
    leaving = [named for named in observation.record.named if named.leaving]
    told = _first_told(observation, leaving)
    sent = {attempt.request_id: attempt for attempt in observation.attempts}
    for arrival in observation.record.arrivals:
        told_at = told.get(_Boot(arrival.node, arrival.boot))
        if told_at is None or not arrival.executed:
            continue
        attempt = sent.get(arrival.request_id.removesuffix(CALL_ID_SUFFIX))
        if attempt is None or attempt.sent_at <= told_at + LEAVING_GRACE:
            continue
        origin = _origin_of(observation, arrival, attempt.node)
        if observation.node_stable(origin, told_at, arrival.received_at):
            delay = attempt.sent_at - told_at
            yield (
                f"DRAIN: {arrival.request_id} reached {arrival.node} from {origin}, sent "
                f"{delay:.1f} s after an answer had named the leaving"
            )


def _first_told(observation: Observation, states: list[NamedState]) -> dict[_Boot, float]:
    """Return when a caller first got an answer with one of the states, by boot of the worker."""
    answered = {
        attempt.request_id: attempt.answered_at
        for attempt in observation.attempts
        if attempt.end is AttemptEnd.ANSWERED and attempt.matches_request
    }
    told: dict[_Boot, float] = defaultdict(lambda: float("inf"))
    for named in states:
        if named.request_id in answered:
            boot = _Boot(named.node, named.boot)
            told[boot] = min(told[boot], answered[named.request_id])
    return told


def _answered_at(
    observation: Observation, boot: _Boot, states: list[NamedState]
) -> Iterator[float]:
    """Return when callers got the answers of a boot with one of the states."""
    ids = {named.request_id for named in states if _Boot(named.node, named.boot) == boot}
    return (a.answered_at for a in observation.attempts if a.request_id in ids)


def _origin_of(observation: Observation, arrival: Arrival, caller_node: str) -> str:
    """Return the node where a request began; a nested call begins where its parent runs."""
    if not arrival.request_id.endswith(CALL_ID_SUFFIX):
        return caller_node
    parent_id = arrival.request_id.removesuffix(CALL_ID_SUFFIX)
    parents = [a.node for a in observation.record.arrivals if a.request_id == parent_id]
    return parents[-1] if parents else caller_node

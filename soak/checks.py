"""The promises of the platform's pages, checked against what callers and workers saw.

Each check returns the violations in words, with the ids that show them.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from soak.clients import Attempt
from soak.plan import OF_STORE, ON_NODE, Fault, Kind
from standins.worker import CALL_ID_SUFFIX, Arrival, FleetRecord

DRAIN = 2.0  # seconds from the confirmation of a leaving worker in which requests may still come
CONFIG_APPLY = 2.0  # seconds from the confirmation of a change
ROLLBACK_SLACK = 0.25  # seconds
STABLE = 3.0  # seconds without a fault after which a node counts as sound
RECOVERY = 15.0  # seconds after the last fault
SERVED_AFTER_RECOVERY = 0.9
WINDOW = 10.0  # seconds of the bound on repeats
RATIO, SLACK = 0.2, 48
ANSWER_SLACK = 0.5  # seconds past a route's time-out
REFUSALS = (429, 503)


class Change(NamedTuple):
    """The operators moved the route `moving` to a service; confirmed at monotonic seconds."""

    confirmed_at: float
    service: str


class Observation(NamedTuple):
    """Everything that a run has shown; `began` is the monotonic time of the first request."""

    began: float
    attempts: list[Attempt]
    record: FleetRecord
    faults: list[Fault]
    changes: list[Change]

    def sound(self, node: str, since: float, until: float) -> bool:
        """Return whether a node was free of faults in a span, and `STABLE` before it."""
        return not any(
            fault.node == node
            and fault.kind in ON_NODE
            and self.began + fault.at < until
            and self.began + fault.end > since - STABLE
            for fault in self.faults
        )

    def store_sound(self, since: float, until: float) -> bool:
        """Return whether the store was free of faults in a span, and `STABLE` before it."""
        return not any(
            fault.kind in OF_STORE
            and self.began + fault.at < until
            and self.began + fault.end > since - STABLE
            for fault in self.faults
        )


def violations(seen: Observation) -> list[str]:
    """Return all violations of a run that has ended."""
    return [*strict_violations(seen), *_bounded_violations(seen)]


def strict_violations(seen: Observation) -> list[str]:
    """Return violations of what holds at every moment, whatever the faults."""
    return [*_run_once(seen), *_true_refusals(seen), *_whole(seen)]


def _bounded_violations(seen: Observation) -> Iterator[str]:
    yield from _asked_for(seen)
    yield from _drained(seen)
    yield from _answered_in_time(seen)
    yield from _repeats(seen)
    yield from _settings(seen)
    yield from _recovered(seen)


def _runs(seen: Observation) -> Counter[str]:
    return Counter(a.request_id for a in seen.record.arrivals if a.executed)


def _run_once(seen: Observation) -> Iterator[str]:
    runs = _runs(seen)
    for attempt in seen.attempts:
        if attempt.route.kind != "idempotent" and runs[attempt.request_id] > 1:
            yield f"TWICE: {attempt.request_id} ran {runs[attempt.request_id]} times"


def _true_refusals(seen: Observation) -> Iterator[str]:
    runs = _runs(seen)
    for attempt in seen.attempts:
        once = attempt.route.kind != "idempotent"
        if once and attempt.status in REFUSALS and runs[attempt.request_id]:
            yield f"REFUSED: {attempt.request_id} got {attempt.status} and has run"


def _whole(seen: Observation) -> Iterator[str]:
    for attempt in seen.attempts:
        if attempt.status == 200 and not attempt.whole:
            yield f"MIXED: {attempt.request_id} got a success that is not its own"


def _asked_for(seen: Observation) -> Iterator[str]:
    """Find runs that no caller and no worker has asked for, once all attempts have ended."""
    known = {attempt.request_id for attempt in seen.attempts}
    for arrival in seen.record.arrivals:
        if arrival.request_id.removesuffix(CALL_ID_SUFFIX) not in known:
            yield f"UNASKED: {arrival.request_id} came to {arrival.node}, nobody sent it"


def _drained(seen: Observation) -> Iterator[str]:
    for arrival in seen.record.arrivals:
        told = seen.record.draining_acknowledged.get((arrival.node, arrival.boot))
        if told is None or arrival.received_at <= told + DRAIN or not arrival.executed:
            continue
        if seen.sound(arrival.node, told, arrival.received_at):
            late = arrival.received_at - told
            yield f"DRAIN: {arrival.request_id} came to {arrival.node} {late:.1f} s after its word"


def _answered_in_time(seen: Observation) -> Iterator[str]:
    for attempt in seen.attempts:
        taken = attempt.ended_at - attempt.sent_at
        if taken <= attempt.route.timeout + ANSWER_SLACK or attempt.unread:
            continue
        if seen.sound(attempt.node, attempt.sent_at, attempt.ended_at):
            yield f"HELD: {attempt.request_id} at {attempt.node} ended after {taken:.2f} s"


def _repeats(seen: Observation) -> Iterator[str]:
    """Count arrivals beyond the first of each request, in windows of each service."""
    first: set[str] = set()
    repeated: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(seen.record.arrivals, key=lambda a: a.received_at):
        if arrival.request_id in first:
            repeated[arrival.service].append(arrival.received_at)
        first.add(arrival.request_id)
    for service, times in repeated.items():
        asked = [a.sent_at for a in seen.attempts if a.route.service == service]
        for start in times:
            count = sum(start <= at < start + WINDOW for at in times)
            earned = max(
                sum(start - shift <= at < start - shift + WINDOW for at in asked)
                for shift in (0.0, WINDOW / 2, WINDOW)
            )
            if count > RATIO * earned + SLACK:
                yield f"BUDGET: {count} repeats at {service} in {WINDOW:.0f} s, {earned} requests"
                break


def _settings(seen: Observation) -> Iterator[str]:
    """Compare where the moving route's requests ran with the service of each version."""
    sent = {a.request_id: a for a in seen.attempts if a.route.name == "moving"}
    newest: dict[tuple[str, int], tuple[int, float]] = {}
    arrivals = [a for a in seen.record.arrivals if a.request_id in sent and a.executed]
    for arrival in sorted(arrivals, key=lambda a: a.received_at):
        attempt = sent[arrival.request_id]
        version = _version_of(seen.changes, arrival)
        key = (attempt.node, attempt.boot)
        known, effect_at = newest.get(key, (0, 0.0))
        if version < known and attempt.sent_at > effect_at + ROLLBACK_SLACK:
            yield f"CONFIG: {attempt.node} went back from change {known} ({arrival.request_id})"
        if version > known:
            newest[key] = (version, arrival.received_at)
        due = _due(seen, attempt)
        if version < due:
            yield f"CONFIG: {attempt.node} held change {due} not yet ({arrival.request_id})"


def _version_of(changes: list[Change], arrival: Arrival) -> int:
    """Return the latest change that leads to where a request ran, as far as was sent by then."""
    versions = [
        index
        for index, change in enumerate(changes)
        if change.service == arrival.service and change.confirmed_at <= arrival.received_at
    ]
    return versions[-1] if versions else 0


def _due(seen: Observation, attempt: Attempt) -> int:
    """Return the change that must be in force for a request."""
    due = 0
    for index, change in enumerate(seen.changes):
        late = attempt.sent_at > change.confirmed_at + CONFIG_APPLY
        since = change.confirmed_at
        calm = seen.sound(attempt.node, since, attempt.sent_at)
        if late and calm and seen.store_sound(since, attempt.sent_at):
            due = index
    return due


def _recovered(seen: Observation) -> Iterator[str]:
    if not seen.faults:
        return
    from_then = seen.began + max(fault.end for fault in seen.faults) + RECOVERY
    late = [a for a in seen.attempts if a.sent_at > from_then]
    served = sum(a.status == 200 for a in late)
    if late and served < SERVED_AFTER_RECOVERY * len(late):
        yield f"RECOVER: {served} of {len(late)} served {RECOVERY:.0f} s after the last fault"


def summary(seen: Observation) -> str:
    """Return one line of figures."""
    statuses = Counter(attempt.status for attempt in seen.attempts)
    kinds = Counter(fault.kind for fault in seen.faults)
    shown = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    return f"{len(seen.attempts)} requests ({shown}), {sum(kinds.values())} faults"


__all__ = ["Change", "Kind", "Observation", "strict_violations", "summary", "violations"]

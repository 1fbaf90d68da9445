"""Checks of the guarantees in the platform's documentation against the observations of a run.

The observations are the callers' attempts and the workers' arrivals. Each check returns a message
for each violation, with the ids of the requests that show it.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from soak.clients import Attempt, AttemptEnd
from soak.deadly_requests import sends_after_third_crash
from soak.idle_workers import idle_workers
from soak.lost_answers import lost_answers
from soak.named_states import beyond_named_limits, runs_after_named_leaving
from soak.observation import Observation, RouteChange
from soak.process_watch import MemoryKill, OwnEnd
from standins.worker import CALL_ID_SUFFIX, Arrival

DRAIN_GRACE = 2.0  # seconds after a node acknowledges draining in which requests may arrive
CONFIG_APPLY_LIMIT = 2.0  # seconds from the confirmation of a change until it must be in force
# A request sent within this many seconds after the first run under a new change may still be
# routed by the previous one.
ROLLBACK_TOLERANCE = 0.25
RECOVERY_TIME = 15.0  # seconds after the last fault until requests must be served again
MIN_SERVED_SHARE = 0.9  # of the requests after recovery
# In a window of this many seconds a service may get RETRY_RATIO retries per request of the callers
# plus RETRY_SLACK.
RETRY_WINDOW = 10.0
RETRY_RATIO, RETRY_SLACK = 0.2, 48
TIMEOUT_TOLERANCE = 0.5  # seconds after a route's timeout
KILL_END_TIME = 1.0  # seconds around a noticed end in which callers see their connections end
REFUSAL_STATUSES = (429, 503)


def violations(observation: Observation) -> list[str]:
    """Return all violations of a completed run."""
    return [*safety_violations(observation), *_completed_run_violations(observation)]


def safety_violations(observation: Observation) -> list[str]:
    """Return violations of the guarantees that hold at all times, during faults too."""
    return [
        *_duplicate_runs(observation),
        *_refused_after_run(observation),
        *_mismatched_responses(observation),
    ]


def _completed_run_violations(observation: Observation) -> Iterator[str]:
    yield from _process_ends(observation)  # first, since they may cause the others
    yield from _unsolicited_arrivals(observation)
    yield from _runs_after_drain(observation)
    yield from _late_responses(observation)
    yield from _excess_retries(observation)
    yield from _settings_violations(observation)
    yield from _failed_recovery(observation)
    yield from lost_answers(observation)
    yield from idle_workers(observation)
    yield from beyond_named_limits(observation)
    yield from runs_after_named_leaving(observation)
    yield from sends_after_third_crash(observation)
    yield from (f"ENDED: the process of {name} is not running" for name in observation.ended_nodes)


def _process_ends(observation: Observation) -> Iterator[str]:
    """Find processes that were killed for their memory, and those that ended by themselves."""
    for kill in observation.memory_kills:
        after = kill.at - observation.load_started_at
        yield (
            f"MEMORY: {kill.node} (boot {kill.boot}) was killed at {after:.1f} s, with a peak of "
            f"{kill.peak_mb} MB of {kill.limit_mb} MB; {_ended_with(observation, kill)} requests "
            f"of callers ended with it"
        )
    for end in observation.own_ends:
        after = end.at - observation.load_started_at
        last = " | ".join(end.last_lines)
        how = f"ended by itself at {after:.1f} s with exit code {end.returncode}"
        if end.overdue:
            how = f"was killed at {after:.1f} s, at the limit of its stop"
        yield (
            f"ENDED: {end.node} (boot {end.boot}) {how}; {_ended_with(observation, end)} requests "
            f"of callers ended with it; last lines: {last}"
        )


def _ended_with(observation: Observation, end: MemoryKill | OwnEnd) -> int:
    """Return how many requests of callers ended without an answer as a process ended.

    If another socket held the callers' port, those are included that it has reset.
    """
    return sum(
        attempt.end is AttemptEnd.CLOSED
        and (attempt.node, attempt.boot) == (end.node, end.boot)
        and abs(attempt.ended_at - end.at) < KILL_END_TIME
        for attempt in observation.attempts
    )


def _run_counts(observation: Observation) -> Counter[str]:
    return Counter(a.request_id for a in observation.record.arrivals if a.executed)


def _duplicate_runs(observation: Observation) -> Iterator[str]:
    run_counts = _run_counts(observation)
    for attempt in observation.attempts:
        if attempt.route.kind != "idempotent" and run_counts[attempt.request_id] > 1:
            yield f"TWICE: {attempt.request_id} ran {run_counts[attempt.request_id]} times"


def _refused_after_run(observation: Observation) -> Iterator[str]:
    run_counts = _run_counts(observation)
    for attempt in observation.attempts:
        at_most_once = attempt.route.kind != "idempotent"
        if at_most_once and attempt.status in REFUSAL_STATUSES and run_counts[attempt.request_id]:
            yield f"REFUSED: {attempt.request_id} got {attempt.status} but ran"


def _mismatched_responses(observation: Observation) -> Iterator[str]:
    for attempt in observation.attempts:
        if attempt.status == 200 and not attempt.matches_request:
            yield f"MIXED: {attempt.request_id} got a response that does not match the request"


def _unsolicited_arrivals(observation: Observation) -> Iterator[str]:
    """Find arrivals of requests that no caller or worker sent; all attempts must have ended."""
    known = {attempt.request_id for attempt in observation.attempts}
    for arrival in observation.record.arrivals:
        if arrival.request_id.removesuffix(CALL_ID_SUFFIX) not in known:
            yield f"UNASKED: {arrival.request_id} reached {arrival.node}, no caller sent it"
        if not arrival.body_matches:
            yield f"UNASKED: {arrival.request_id} reached {arrival.node} with another body"


def _runs_after_drain(observation: Observation) -> Iterator[str]:
    for arrival in observation.record.arrivals:
        acknowledged_at = observation.record.draining_acknowledged.get((arrival.node, arrival.boot))
        if (
            acknowledged_at is None
            or arrival.received_at <= acknowledged_at + DRAIN_GRACE
            or not arrival.executed
        ):
            continue
        if observation.node_stable(arrival.node, acknowledged_at, arrival.received_at):
            delay = arrival.received_at - acknowledged_at
            yield (
                f"DRAIN: {arrival.request_id} reached {arrival.node} {delay:.1f} s after draining "
                "was acknowledged"
            )


def _late_responses(observation: Observation) -> Iterator[str]:
    for attempt in observation.attempts:
        duration = attempt.answered_at - attempt.sent_at
        unconnected = attempt.end is AttemptEnd.NO_CONNECTION
        if duration <= attempt.time_limit + TIMEOUT_TOLERANCE or unconnected:
            continue
        if observation.node_stable(attempt.node, attempt.sent_at, attempt.ended_at):
            yield f"HELD: {attempt.request_id} at {attempt.node} ended after {duration:.2f} s"


def _excess_retries(observation: Observation) -> Iterator[str]:
    """Compare the retries to each service with the retry budget, in sliding windows.

    A retry is an arrival of a request after its first one. Since a retry can follow its request by
    some time, the budget of a window is that of the busiest of three windows of requests: the same
    one, half a window earlier and a whole window earlier.
    """
    seen_ids: set[str] = set()
    retry_times: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(observation.record.arrivals, key=lambda a: a.received_at):
        if arrival.request_id in seen_ids:
            retry_times[arrival.service].append(arrival.received_at)
        seen_ids.add(arrival.request_id)
    for service, retries in retry_times.items():
        request_times = [a.sent_at for a in observation.attempts if a.route.service == service]
        for window_start in retries:
            count = sum(window_start <= at < window_start + RETRY_WINDOW for at in retries)
            max_requests = max(
                sum(
                    window_start - shift <= at < window_start - shift + RETRY_WINDOW
                    for at in request_times
                )
                for shift in (0.0, RETRY_WINDOW / 2, RETRY_WINDOW)
            )
            if count > RETRY_RATIO * max_requests + RETRY_SLACK:
                yield (
                    f"BUDGET: {count} retries to {service} in {RETRY_WINDOW:.0f} s, "
                    f"{max_requests} requests"
                )
                break


def _settings_violations(observation: Observation) -> Iterator[str]:
    """Check the changes that the requests of the route `moving` were routed by.

    A node process must not return to an older change, and must apply each change in time.
    """
    sent = {a.request_id: a for a in observation.attempts if a.route.name == "moving"}
    latest_by_boot: dict[tuple[str, int], tuple[int, float]] = {}
    arrivals = [a for a in observation.record.arrivals if a.request_id in sent and a.executed]
    for arrival in sorted(arrivals, key=lambda a: a.received_at):
        attempt = sent[arrival.request_id]
        change_index = _observed_change(observation.changes, arrival)
        key = (attempt.node, attempt.boot)
        known, effective_at = latest_by_boot.get(key, (0, 0.0))
        if change_index < known and attempt.sent_at > effective_at + ROLLBACK_TOLERANCE:
            yield f"CONFIG: {attempt.node} rolled back from change {known} ({arrival.request_id})"
        if change_index > known:
            latest_by_boot[key] = (change_index, arrival.received_at)
        required = _required_change(observation, attempt)
        if change_index < required:
            yield f"CONFIG: {attempt.node} had not applied change {required} ({arrival.request_id})"


def _observed_change(changes: list[RouteChange], arrival: Arrival) -> int:
    """Return the index of the latest change, confirmed by then, to the service that ran it."""
    matching = [
        index
        for index, change in enumerate(changes)
        if change.service == arrival.service and change.confirmed_at <= arrival.received_at
    ]
    return matching[-1] if matching else 0


def _required_change(observation: Observation, attempt: Attempt) -> int:
    """Return the index of the latest change that must be in force when a request is sent."""
    required = 0
    for index, change in enumerate(observation.changes):
        overdue = attempt.sent_at > change.confirmed_at + CONFIG_APPLY_LIMIT
        since = change.confirmed_at
        stable = observation.node_stable(attempt.node, since, attempt.sent_at)
        if overdue and stable and observation.store_stable(since, attempt.sent_at):
            required = index
    return required


def _failed_recovery(observation: Observation) -> Iterator[str]:
    if not observation.faults:
        return
    judged_from = (
        observation.load_started_at + max(fault.end for fault in observation.faults) + RECOVERY_TIME
    )
    after_recovery = [
        attempt
        for attempt in observation.attempts
        if attempt.sent_at > judged_from and attempt.key not in observation.refusable_keys
    ]
    served = sum(a.status == 200 for a in after_recovery)
    if after_recovery and served < MIN_SERVED_SHARE * len(after_recovery):
        yield (
            f"RECOVER: {served} of {len(after_recovery)} served {RECOVERY_TIME:.0f} s "
            "after the last fault"
        )


def summary(observation: Observation) -> str:
    """Return one line with the numbers of requests, statuses, ends without answer and faults."""
    attempts = observation.attempts
    statuses = Counter(a.status for a in attempts if a.end is AttemptEnd.ANSWERED)
    ends = Counter(a.end.name for a in attempts if a.end is not AttemptEnd.ANSWERED)
    counts = " ".join(f"{key}:{count}" for key, count in [*sorted(statuses.items()), *ends.items()])
    return (
        f"{len(attempts)} requests ({counts}), {len(observation.faults)} faults, "
        f"{len(observation.stops)} stops, {len(observation.record.deaths)} crashes by a request"
    )

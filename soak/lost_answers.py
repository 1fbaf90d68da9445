"""Check that no request which was taken in ends without a complete answer to its caller.

The windows are those of the rule LOST: a SIGTERM of the node that took the request, its SIGHUP, and
a change of the desired state. An unplanned fault of that node, of a node whose worker received the
request, or of one of their workers excuses; a fault of the store does not, nor does a process that
ended by itself or was killed for its memory.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from soak.clients import DEADLINE_MS, Attempt, AttemptEnd
from soak.observation import Observation
from standins.mesh_fleet import STOP_TIMEOUT
from standins.worker import Arrival, FleetRecord, RunEnd

LOSS_SLACK = 0.2  # seconds after its last byte in which an unread request may be cut off
APPLY_TIME = 2.0  # seconds until a change, or the settings file after SIGHUP, is in force
CHANGE_TAIL = 1.0  # seconds after `APPLY_TIME` that belong to a change
CHANGE_CUT_FACTOR = 3.0  # times as many cut requests as at other times count beside a change
CHANGE_TIME_SHARE = 0.7  # of its time that a request has used, from which on it does not count
MIN_SERVER_ERROR = 500
KILLED_SO = "in a process that was killed for its memory"
# A stop may break off what was sent within this many seconds after its SIGTERM and is still
# running in the last sixth of its time, if the caller gets an answer.
CUT_SENT_WITHIN, CUT_FROM = 3.0, STOP_TIMEOUT * 5 / 6


class WorkerRun(NamedTuple):
    """A request at a worker; `end` is None if the worker was still running it."""

    arrival: Arrival
    end: RunEnd | None

    def at_work(self, at: float) -> bool:
        """Return whether the worker was running the request at a time."""
        begun = self.arrival.executed and self.arrival.received_at < at
        return begun and (self.end is None or self.end.ended_at > at)


class Cut(NamedTuple):
    """A request that ended without a complete answer, and its runs."""

    attempt: Attempt
    runs: list[WorkerRun]


def lost_answers(observation: Observation) -> Iterator[str]:
    """Find requests whose connection ended without a complete answer, or that a stop broke off.

    Counted are requests that reached a worker, around planned work or on a reused connection, and
    requests on a reused connection that reached none, if they were cut around planned work and
    later than `LOSS_SLACK` after they were sent. A node that stops has to answer what its limit
    cuts, too. Requests that were sent behind others on their connection come last.
    """
    runs_by_request = _runs_by_request(observation.record)
    cuts: list[Cut] = []
    for attempt in sorted(observation.attempts, key=lambda a: a.position):
        cut = Cut(attempt, runs_by_request.get(attempt.request_id, []))
        if _broke_off(cut.runs) or not _undisturbed(observation, cut):
            continue
        if attempt.end is AttemptEnd.CLOSED and not _read_beyond_its_time(attempt):
            cuts.append(cut)
        elif _broken_off_in_stop(observation, cut):
            yield _violation(observation, cut, f"got {attempt.status} of the node's own")
    beside_changes = _cut_beside_changes(observation, cuts)
    for cut in cuts:
        planned = _planned_work(observation, cut.attempt)
        if not cut.runs:
            if planned and _taken_unread(cut.attempt):
                yield _violation(observation, cut, "got no complete answer")
        elif planned or cut.attempt.reused or cut in beside_changes:
            yield _violation(observation, cut, "got no complete answer")


def _runs_by_request(record: FleetRecord) -> dict[str, list[WorkerRun]]:
    runs: dict[str, list[WorkerRun]] = defaultdict(list)
    for index, arrival in enumerate(record.arrivals):
        runs[arrival.request_id].append(WorkerRun(arrival, record.run_ends.get(index)))
    return runs


def _broke_off(runs: list[WorkerRun]) -> bool:
    """Return whether the worker that received the request last broke it off."""
    last_end = runs[-1].end if runs else None
    return last_end is not None and last_end.broke_off


def _undisturbed(observation: Observation, cut: Cut) -> bool:
    attempt = cut.attempt
    nodes = {attempt.node, *(run.arrival.node for run in cut.runs)}
    return all(observation.undisturbed(node, attempt.sent_at, attempt.ended_at) for node in nodes)


def _planned_work(observation: Observation, attempt: Attempt) -> bool:
    """Return whether a stop or a SIGHUP of the process that took a request was around its end."""
    return observation.stop_during(attempt) is not None or any(
        (hangup.node, hangup.boot) == (attempt.node, attempt.boot)
        and hangup.sent_at <= attempt.ended_at
        and attempt.sent_at <= hangup.sent_at + APPLY_TIME
        for hangup in observation.hangups
    )


def _taken_unread(attempt: Attempt) -> bool:
    """Return whether a process has read a whole request that reached no worker.

    Only a reused connection is known to have been accepted, and only a small request to have been
    read whole. What was sent behind another request does not count.
    """
    duration = attempt.ended_at - attempt.sent_at
    known_read = attempt.reused and attempt.position == 0 and not attempt.body_bytes
    return known_read and LOSS_SLACK < duration and not _time_used_up(attempt, attempt.ended_at)


def _time_used_up(attempt: Attempt, at: float) -> bool:
    return at - attempt.sent_at >= min(attempt.time_limit, DEADLINE_MS / 1000)


def _read_beyond_its_time(attempt: Attempt) -> bool:
    """Return whether a caller with a bounded rate was still reading after the request's time."""
    return attempt.read_time > 0 and _time_used_up(attempt, attempt.ended_at)


def _broken_off_in_stop(observation: Observation, cut: Cut) -> bool:
    """Return whether a stopping node answered for a worker that was at work on the request."""
    attempt, stop = cut.attempt, observation.stop_during(cut.attempt)
    own = attempt.end is AttemptEnd.ANSWERED and not attempt.matches_request
    if stop is None or not own or attempt.status < MIN_SERVER_ERROR:
        return False
    if attempt.answered_at < stop.sigterm_at or _time_used_up(attempt, attempt.answered_at):
        return False
    sent_early = attempt.sent_at <= stop.sigterm_at + CUT_SENT_WITHIN
    cut_from = stop.sigterm_at + CUT_FROM
    return any(
        run.at_work(attempt.answered_at) and not (sent_early and run.at_work(cut_from))
        for run in cut.runs
    )


def broken_off(observation: Observation) -> list[str]:
    """Return the requests that got an error of a node while a worker was at work on them.

    Stops and unplanned faults excuse, and the end of the request's time does. Outside of stops no
    rule forbids it, but it has a price, and shows that something on the way was given up.
    """
    runs_by_request = _runs_by_request(observation.record)
    stopped = {stop.node for stop in observation.stops}
    found = []
    for attempt in observation.attempts:
        cut = Cut(attempt, runs_by_request.get(attempt.request_id, []))
        nodes = {attempt.node, *(run.arrival.node for run in cut.runs)}
        own = attempt.end is AttemptEnd.ANSWERED and not attempt.matches_request
        if not own or attempt.status < MIN_SERVER_ERROR or nodes & stopped:
            continue
        if _time_used_up(attempt, attempt.answered_at) or _broke_off(cut.runs):
            continue
        at_work = any(run.at_work(attempt.answered_at) for run in cut.runs)
        if at_work and _undisturbed(observation, cut):
            found.append(attempt.request_id)
    return found


def _cut_beside_changes(observation: Observation, cuts: list[Cut]) -> list[Cut]:
    """Return the cuts beside changes, of nodes that cut over three times as often then."""
    requests: dict[tuple[str, bool], int] = defaultdict(int)
    for attempt in observation.attempts:
        requests[(attempt.node, _beside_change(observation, attempt))] += 1
    counts: dict[tuple[str, bool], int] = defaultdict(int)
    passed_on = [cut for cut in cuts if cut.runs]
    for cut in passed_on:
        counts[(cut.attempt.node, _beside_change(observation, cut.attempt))] += 1
    found = []
    for cut in passed_on:
        attempt = cut.attempt
        beside, apart = (attempt.node, True), (attempt.node, False)
        rate = counts[beside] / max(1, requests[beside])
        other_rate = counts[apart] / max(1, requests[apart])
        used = (attempt.ended_at - attempt.sent_at) / attempt.time_limit
        if _beside_change(observation, attempt) and used < CHANGE_TIME_SHARE:
            if rate > CHANGE_CUT_FACTOR * other_rate:
                found.append(cut)
    return found


def _beside_change(observation: Observation, attempt: Attempt) -> bool:
    return any(
        (change.confirmed_at if change.sent_at is None else change.sent_at) <= attempt.ended_at
        and attempt.sent_at <= change.confirmed_at + APPLY_TIME + CHANGE_TAIL
        for change in observation.changes[1:]  # the first one is in force before the load
    )


def _violation(observation: Observation, cut: Cut, outcome: str) -> str:
    attempt, runs = cut
    ran = "it reached no worker"
    if runs:
        arrival, end = runs[-1]
        took = (
            "is still running"
            if end is None
            else f"took {end.ended_at - arrival.received_at:.2f} s"
        )
        ran = f"worker {arrival.node} {took}"
    context = "outside a stop"
    stop = observation.stop_during(attempt)
    if stop is None and _planned_work(observation, attempt):
        context = "after SIGHUP"
    elif stop is None and _beside_change(observation, attempt):
        context = "outside a stop, beside a change"
    if stop is not None:
        context = (
            f"sent {attempt.sent_at - stop.sigterm_at:+.2f} s, "
            f"ended {attempt.ended_at - stop.sigterm_at:+.2f} s from SIGTERM"
        )
    process = (attempt.node, attempt.boot)
    if process in {(kill.node, kill.boot) for kill in observation.memory_kills}:
        context += f", {KILLED_SO}"
    return (
        f"LOST: {attempt.request_id} ({attempt.route.name}, position {attempt.position}) at "
        f"{attempt.node} {outcome}, {ran}, {context}"
    )

"""Check that no request which a worker has received ends without an answer to its caller."""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from soak.clients import Attempt, AttemptEnd
from soak.observation import NodeStop, Observation
from standins.worker import Arrival, FleetRecord, RunEnd


class WorkerRun(NamedTuple):
    """A request at a worker; `end` is None if the worker was still running it."""

    arrival: Arrival
    end: RunEnd | None


def lost_answers(observation: Observation) -> Iterator[str]:
    """Find requests that reached a worker and whose connection ended without a complete answer.

    Around a planned stop of the node that took the request, all connections are judged; at other
    times only reused ones. A node that stops has to answer what its limit cuts, too. An unplanned
    fault of that node, of a node whose worker received the request, or of one of their workers
    excuses; a fault of the store does not. Requests that were sent behind others on their
    connection come last.
    """
    runs_by_request = _runs_by_request(observation.record)
    for attempt in sorted(observation.attempts, key=lambda a: a.position):
        runs = runs_by_request.get(attempt.request_id)
        if attempt.end is not AttemptEnd.CLOSED or not runs:
            continue
        stop = observation.stop_during(attempt)
        if stop is None and not attempt.reused:
            continue
        if _broke_off(runs) or not _undisturbed(observation, attempt, runs):
            continue
        yield _violation(attempt, runs, stop)


def _runs_by_request(record: FleetRecord) -> dict[str, list[WorkerRun]]:
    runs: dict[str, list[WorkerRun]] = defaultdict(list)
    for index, arrival in enumerate(record.arrivals):
        runs[arrival.request_id].append(WorkerRun(arrival, record.run_ends.get(index)))
    return runs


def _broke_off(runs: list[WorkerRun]) -> bool:
    """Return whether the worker that received the request last broke it off."""
    last_end = runs[-1].end
    return last_end is not None and last_end.broke_off


def _undisturbed(observation: Observation, attempt: Attempt, runs: list[WorkerRun]) -> bool:
    nodes = {attempt.node, *(run.arrival.node for run in runs)}
    return all(observation.undisturbed(node, attempt.sent_at, attempt.ended_at) for node in nodes)


def _violation(attempt: Attempt, runs: list[WorkerRun], stop: NodeStop | None) -> str:
    arrival, end = runs[-1]
    ran = "is still running" if end is None else f"took {end.ended_at - arrival.received_at:.2f} s"
    context = "outside a stop"
    if stop is not None:
        context = (
            f"sent {attempt.sent_at - stop.sigterm_at:+.2f} s, "
            f"ended {attempt.ended_at - stop.sigterm_at:+.2f} s from SIGTERM"
        )
    return (
        f"LOST: {attempt.request_id} ({attempt.route.name}, position {attempt.position}) at "
        f"{attempt.node} got no complete answer, worker {arrival.node} {ran}, {context}"
    )

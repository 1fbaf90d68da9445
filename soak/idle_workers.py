"""Check that each worker which runs at the end of a run got requests after the last fault.

A worker that its node holds for ended breaks no promise on a single request: callers are served by
the others, or refused with a true status.
"""

from collections.abc import Iterator

from soak.observation import Observation

RETURN_TIME = 8.0  # seconds after the last fault until each worker that runs gets requests again
MIN_REQUESTS = 60  # of a service in the judged time, so that each of its workers gets some


def idle_workers(observation: Observation) -> Iterator[str]:
    """Find workers that got no request although their service got many."""
    ends = [fault.end for fault in observation.faults]
    judged_from = observation.load_started_at + max(ends, default=0.0) + RETURN_TIME
    runs = [a for a in observation.record.arrivals if a.executed and a.received_at > judged_from]
    for name, service in observation.running_workers.items():
        requests = sum(run.service == service for run in runs)
        if requests >= MIN_REQUESTS and not any(run.node == name for run in runs):
            yield f"IDLE: the worker {name} got none of {requests} requests for {service}"

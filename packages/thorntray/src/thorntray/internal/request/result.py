"""Result of a request or attempt, with the costs, prices and load report that come with it.

`NOT_RUN` is a guarantee: no instance has started the request, and none will. A node that cannot
prove this reports `UNKNOWN`. Every complete response of an instance is `ANSWERED`, whatever its
HTTP status.
"""

from enum import IntEnum
from typing import NamedTuple

from thorntray.internal.membership.instance_notices import InstanceNotice


class ResultKind(IntEnum):
    """Whether an instance ran the request; the member names appear in logs and metrics."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Cause(IntEnum):
    """Why there is no response from an instance; the member names appear in logs and metrics."""

    NONE = 0
    FULL = 1  # no free slot within the allowed wait
    DRAINING = 2  # the instance or its node is shutting down
    NO_INSTANCE = 3  # no instance is known or reachable
    REJECTED = 4  # the instance reported that it did not run the request
    EXPIRED = 5  # the deadline has passed or is too near
    LOST = 6  # the connection closed after the request was sent
    GARBLED = 7  # the instance's response is malformed or incomplete
    CANCELLED = 8  # the caller disconnected
    NO_POLICY = 9  # no policy has been received yet
    PRICED_OUT = 10  # refused at admission: a service down the call tree is short of slots
    NO_ROUTE = 11
    TOO_LARGE = 12
    CRASHED = 13  # the instance crashed while it ran this request alone
    BLOCKED = 14  # refused: instances that run the request crash
    UNRECOGNIZED = 15  # never sent: the node that gave the result is newer and knows more causes


class SlotUse(NamedTuple):
    """What one call tree uses of one service."""

    seconds: float  # slot-seconds
    calls: float  # number of calls; fractional in averages


Costs = dict[str, SlotUse]


class LoadReport(NamedTuple):
    """Load of an instance, reported by its node with each result."""

    queue_wait: float  # seconds, moving average
    service_time: float  # seconds that the instance took for the request; 0 unless it succeeded
    in_flight: int  # requests that hold or wait for a slot
    limit: int  # most slots that may be in use at once; 0 if unknown
    failure_rate: float = 0.0  # share of requests that the instance itself fails, 0 to 1


NO_REPORT = LoadReport(0.0, 0.0, 0, 0)


class Result(NamedTuple):
    """Result of one attempt or of a whole request.

    `retry_after` is in seconds. `costs` and `prices` are keyed by service; prices are in worth per
    slot-second. `header_lines` are complete HTTP header lines, each with its CRLF.
    """

    kind: ResultKind
    cause: Cause = Cause.NONE
    retry_after: float = 0.0
    status: int = 0
    header_lines: bytes = b""
    body: bytes = b""
    costs: Costs = {}
    prices: dict[str, float] = {}
    report: LoadReport = NO_REPORT
    notice: InstanceNotice | None = None  # what the instance has named, if anything


def not_run(cause: Cause, retry_after: float = 0.0) -> Result:
    """Return a refusal; only valid if certainly no instance ran or will run the request."""
    return Result(ResultKind.NOT_RUN, cause, retry_after)


def unknown(cause: Cause) -> Result:
    """Return the result of a request that may have run."""
    return Result(ResultKind.UNKNOWN, cause)

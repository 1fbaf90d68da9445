"""How a request on the lean path ended, and what it told about the way there.

`NOT_RUN` is a promise: no instance has begun to work on the request, and none will. Whoever
cannot prove it says `UNKNOWN`. What an instance answered is `ANSWERED`, whatever its status.
"""

from enum import IntEnum
from typing import NamedTuple


class End(IntEnum):
    """The kind of end."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


class Cause(IntEnum):
    """Why a request has no answer of an instance."""

    NONE = 0
    FULL = 1  # no slot in time
    DRAINING = 2  # the instance or its node leaves
    NO_INSTANCE = 3  # none is known, or none is reachable
    REJECTED = 4  # the instance itself said that it has not run the request
    EXPIRED = 5  # no time left
    LOST = 6  # a connection ended after the request was sent
    GARBLED = 7  # the instance's answer cannot be understood or is not whole
    CANCELLED = 8  # the caller has gone
    NO_POLICY = 9  # no desired state is known yet
    PRICED_OUT = 10  # a service down the call tree is short of slots
    NO_ROUTE = 11
    TOO_LARGE = 12


class SlotUse(NamedTuple):
    """What one call tree takes from one service."""

    seconds: float  # of slots held
    calls: float


Costs = dict[str, SlotUse]


class LoadReport(NamedTuple):
    """What an instance's node tells of it with each result; times in seconds."""

    queue_wait: float
    service_time: float
    in_flight: int
    limit: int
    failing: float = 0.0  # share of the requests that the instance itself fails


NO_REPORT = LoadReport(0.0, 0.0, 0, 0)


class Result(NamedTuple):
    """The end of one attempt or of one request."""

    end: End
    cause: Cause = Cause.NONE
    retry_after: float = 0.0
    status: int = 0
    header_lines: bytes = b""
    body: bytes = b""
    costs: Costs = {}
    prices: dict[str, float] = {}
    report: LoadReport = NO_REPORT


def not_run(cause: Cause, retry_after: float = 0.0) -> Result:
    """Return a refusal; only where the proof stands."""
    return Result(End.NOT_RUN, cause, retry_after)


def unknown(cause: Cause) -> Result:
    """Return the end of a request that may have run."""
    return Result(End.UNKNOWN, cause)

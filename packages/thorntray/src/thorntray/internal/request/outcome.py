"""Outcomes of a request.

Every request ends with exactly one of four outcomes:

* `Done`: an upstream instance ran the request and returned a complete answer.
* `NotRun`: no upstream instance ran the request, by any attempt on any path.
* `Failed`: an upstream instance ran the request and its answer reports a failure.
* `Unknown`: the request may have run; this node can prove neither that it did nor that it did not.

`NotRun` requires proof. It may be created only by an owner that refused the request before
dispatch or whose instance marked its response as shed, for an attempt whose revocation the owner
acknowledged as not dispatched, or by a node that sent nothing to the owner. A timeout, a connection
reset after sending and a lost peer are `Unknown`. The four classes form a closed union, so that a
`match` with `assert_never` turns a missing case into a type error and a test failure.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import assert_never


class Reason(StrEnum):
    """Reason why a request did not run; the value is the reason code on the wire."""

    SHED = "shed"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    DEADLINE_PASSED = "deadline-passed"
    DRAINING = "draining"
    NO_INSTANCE = "no-instance"
    DEPENDENCY_CLOSED = "dependency-closed"
    DEPENDENCY_SHARE = "dependency-share-used-up"
    UPSTREAM_SHED = "upstream-shed"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    REVOKED = "revoked"
    GRANT_NEEDED = "grant-needed"
    GRANT_REJECTED = "grant-rejected"
    GRANTS_FULL = "grants-full"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ROUTE = "unknown-route"
    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    NOT_READY = "not-ready"
    CALLER_FINISHED = "caller-gone"
    IDEMPOTENT_PARENT = "idempotent-parent-calls-non-idempotent-route"
    WRONG_INCARNATION = "wrong-incarnation"


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP answer of an upstream instance."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and returned a complete answer."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run at any instance. `retry_after` is in seconds."""

    reason: Reason
    retry_after: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed. `answer` is None if no complete answer is available."""

    cause: str
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run. `retry_after` is in seconds."""

    cause: str
    retry_after: float = 1.0


Outcome = Done | NotRun | Failed | Unknown


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome on the wire, in HTTP headers and in metrics."""
    match outcome:
        case Done():
            return "done"
        case NotRun():
            return "not-run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"
    assert_never(outcome)


@dataclass(slots=True)
class AttemptResult:
    """The outcome of one attempt and the load report of the node that answered it.

    `level` is the admission level of the route at that node (see `overload.admission`), `load`
    the used share of its slots, `unspent` the part of the lent retry allowance that is returned,
    and `service_time` the expected service time of the route in seconds.
    """

    outcome: Outcome
    unspent: int = 0
    level: float = 0.0
    load: float = 0.0
    service_time: float = field(default=0.0)

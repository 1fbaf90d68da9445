"""The outcome of a request: the vocabulary that every promise rests on.

Exactly one of four outcomes ends a request:

* `Done`: an upstream instance ran the request and gave a whole answer.
* `NotRun`: no byte of the request reached any upstream instance, by any attempt on any path.
* `Failed`: an upstream instance ran the request and its answer reports a failure.
* `Unknown`: the request may have run, and nobody here can prove either.

`NotRun` is a proof, not a guess. It may be built only where the proof stands: by the owner
that refused before dispatch, by the owner that acknowledged a revocation of an undispatched
attempt, or by a node whose connection to the owner was never open. A timeout, a reset after
sending or a lost peer is `Unknown`. The four classes form a closed union, so that a `match`
with `assert_never` makes a forgotten case a failing type check and a failing test.
"""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import assert_never


class Reason(StrEnum):
    """Why a request did not run."""

    SHED = "shed"
    QUEUE_TIMEOUT = "queue-timeout"
    HOPELESS = "deadline-too-near"
    DEADLINE = "deadline-passed"
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
    CALLER_GONE = "caller-gone"
    IDEMPOTENT_PARENT = "idempotent-parent-calls-non-idempotent-route"
    WRONG_INCARNATION = "wrong-incarnation"


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an upstream instance."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and this is its whole answer."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request ran nowhere. `retry_after` is in seconds."""

    reason: Reason
    retry_after: float = 0.0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran and failed. `answer` is None where no whole answer exists."""

    cause: str
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Unknown:
    """Whether the request ran is not known. `retry_after` is in seconds."""

    cause: str
    retry_after: float = 1.0


Outcome = Done | NotRun | Failed | Unknown


def outcome_word(outcome: Outcome) -> str:
    """Return the word for an outcome on the wire, in HTTP headers and in metrics."""
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
class Attempt:
    """One outcome together with what the answering node said beside it.

    `level` is the admission level of the route at the answering node (see
    `process.admission`), `load` its share of used slots, and `unspent` the part of the lent
    retry allowance that comes back.
    """

    outcome: Outcome
    unspent: int = 0
    level: float = 0.0
    load: float = 0.0
    service_time: float = field(default=0.0)  # seconds

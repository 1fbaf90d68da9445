"""Conversion between `AttemptResult` and the `Reply` message."""

from typing import assert_never

from thorntray.errors import BadMessage
from thorntray.internal.connection.message import Reply, body_digest
from thorntray.internal.request.outcome import (
    Answer,
    AttemptResult,
    Done,
    Failed,
    NotRun,
    Reason,
    Unknown,
    outcome_name,
)

_NO_STATUS = 0


def reply_from_attempt(attempt_id: bytes, attempt: AttemptResult) -> Reply:
    """Return the message that carries the result of an attempt."""
    cause, detail, retry_after = "", "", 0.0
    answer: Answer | None = None
    match attempt.outcome:
        case Done(answer):
            pass
        case NotRun(reason, retry_after, detail):
            cause = reason.value
        case Failed(cause, answer):
            pass
        case Unknown(cause, retry_after):
            pass
        case _:
            assert_never(attempt.outcome)
    body = answer.body if answer else b""
    return Reply(
        attempt_id=attempt_id,
        kind=outcome_name(attempt.outcome),
        cause=cause,
        retry_after=retry_after,
        detail=detail,
        status=answer.status if answer else _NO_STATUS,
        headers=answer.headers if answer else (),
        body=body,
        digest=body_digest(body),
        unspent=attempt.unspent,
        level=attempt.level,
        load=attempt.load,
        service_time=attempt.service_time,
    )


def attempt_from_reply(reply: Reply) -> AttemptResult:
    """Return the attempt's result from a reply; raises `BadMessage` if it is inconsistent."""
    answer = None
    if reply.status != _NO_STATUS:
        answer = Answer(reply.status, reply.headers, reply.body)
    match reply.kind, answer:
        case "done", Answer():
            outcome = Done(answer)
        case "not-run", None:
            outcome = NotRun(_reason(reply.cause), reply.retry_after, reply.detail)
        case "failed", _:
            outcome = Failed(reply.cause, answer)
        case "unknown", None:
            outcome = Unknown(reply.cause, reply.retry_after)
        case _:
            raise BadMessage(f"reply of kind {reply.kind!r} makes no sense; upgrade the older node")
    return AttemptResult(outcome, reply.unspent, reply.level, reply.load, reply.service_time)


def _reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError as exc:
        raise BadMessage(f"unknown reason {text!r}; upgrade the older node") from exc

"""Maps the outcome of a request to an HTTP answer: status, headers and retry delay."""

import base64
import hashlib
import math
from random import Random
from typing import NamedTuple, assert_never

from thorntray.internal.request.outcome import (
    Done,
    Failed,
    NotRun,
    Outcome,
    Reason,
    Unknown,
    outcome_name,
)

OUTCOME_HEADER = "thorntray-outcome"
REASON_HEADER = "thorntray-reason"
DETAIL_HEADER = "thorntray-detail"
REQUEST_ID_HEADER = "thorntray-request-id"
RETRY_AFTER_MS_HEADER = "thorntray-retry-after-ms"
GRANT_HEADER = "thorntray-grant"
DEADLINE_HEADER = "thorntray-deadline-ms"
CONTEXT_HEADER = "thorntray-context"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
DIGEST_HEADER = "content-digest"

RETRY_AFTER_JITTER = 0.5  # largest random addition, as a share of the retry delay
MAX_DETAIL_LENGTH = 300  # characters
DEFAULT_RETRY_AFTER = 0.2  # seconds, for outcomes without a retry delay

_STATUS_BY_REASON = {
    Reason.GRANT_NEEDED: 428,
    Reason.GRANT_REJECTED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.IDEMPOTENT_PARENT: 409,
}
_DEFAULT_NOT_RUN_STATUS = 503
UNPROVEN_OUTCOME = "unknown"
_FAILED_STATUS = 502
_UNKNOWN_STATUS = 504
# No retry delay is sent with these, since a later retry would be refused as well.
_NOT_RETRYABLE_STATUSES = frozenset({400, 403, 404, 409, 413})

Headers = list[tuple[str, str]]


class HttpAnswer(NamedTuple):
    """An HTTP response to the caller."""

    status: int
    headers: Headers
    body: bytes


def content_digest(body: bytes) -> str:
    """Return the `Content-Digest` value of a body (RFC 9530), to detect truncated bodies."""
    sha = base64.b64encode(hashlib.sha256(body).digest()).decode("ascii")
    return f"sha-256=:{sha}:"


def http_answer(outcome: Outcome, request_id: str, rng: Random, not_run_proven: bool) -> HttpAnswer:
    """Return the HTTP answer for an outcome.

    `not_run_proven` is true if the request has no grant or the owner of its grant determined the
    outcome. Otherwise a `NotRun` outcome covers only this copy and is reported as `unknown`.
    """
    match outcome:
        case Done(answer):
            status, body = answer.status, answer.body
            headers = list(answer.headers)
        case NotRun(reason, retry_after, detail):
            status, body = _STATUS_BY_REASON.get(reason, _DEFAULT_NOT_RUN_STATUS), b""
            headers = [(REASON_HEADER, reason.value)]
            headers += _detail_headers(detail) + _retry_after_headers(status, retry_after, rng)
        case Failed(cause, answer):
            status = answer.status if answer else _FAILED_STATUS
            body = answer.body if answer else b""
            headers = [*(answer.headers if answer else ())]
            headers += _detail_headers(cause)
        case Unknown(cause, retry_after):
            status, body = _UNKNOWN_STATUS, b""
            headers = _detail_headers(cause)
            headers += _retry_after_headers(status, retry_after, rng)
        case _:
            assert_never(outcome)
    # If this node refused the request itself, another copy may still run under the same grant.
    outcome_proven = not_run_proven or not isinstance(outcome, NotRun)
    outcome_value = outcome_name(outcome) if outcome_proven else UNPROVEN_OUTCOME
    headers.insert(0, (OUTCOME_HEADER, outcome_value))
    headers += [(REQUEST_ID_HEADER, request_id), (DIGEST_HEADER, content_digest(body))]
    return HttpAnswer(status, headers, body)


def _detail_headers(text: str) -> Headers:
    plain = text.encode("ascii", "replace").decode("ascii").replace("\n", " ")
    return [(DETAIL_HEADER, plain[:MAX_DETAIL_LENGTH])] if plain else []


def _retry_after_headers(status: int, retry_after: float, rng: Random) -> Headers:
    if status in _NOT_RETRYABLE_STATUSES:
        return []
    # Jitter, so that clients that are refused at the same time do not retry at the same time.
    wait = (retry_after or DEFAULT_RETRY_AFTER) * (1 + rng.random() * RETRY_AFTER_JITTER)
    return [
        ("retry-after", str(max(1, math.ceil(wait)))),
        (RETRY_AFTER_MS_HEADER, str(max(1, round(wait * 1000)))),
    ]

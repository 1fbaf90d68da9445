"""The HTTP form of an outcome: status, headers and when to come back."""

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
    outcome_word,
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

JITTER_SHARE = 0.5  # of the time to come back, added at random
MAX_DETAIL_LENGTH = 300  # characters
DEFAULT_RETRY_AFTER = 0.2  # seconds

_STATUS_BY_REASON = {
    Reason.GRANT_NEEDED: 428,
    Reason.GRANT_REJECTED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.IDEMPOTENT_PARENT: 409,
}
_SHED_STATUS = 503
UNPROVED_WORD = "unknown"
_FAILED_STATUS = 502
_UNKNOWN_STATUS = 504
_NEVER_BY_WAITING = frozenset({400, 403, 404, 409, 413})

Headers = list[tuple[str, str]]


class HttpAnswer(NamedTuple):
    """What goes back to the caller."""

    status: int
    headers: Headers
    body: bytes


def content_digest(body: bytes) -> str:
    """Return the `Content-Digest` of a body (RFC 9530), for the caller to check wholeness."""
    sha = base64.b64encode(hashlib.sha256(body).digest()).decode("ascii")
    return f"sha-256=:{sha}:"


def http_answer(outcome: Outcome, request_id: str, rng: Random, granted: bool) -> HttpAnswer:
    """Return the answer for an outcome.

    `granted` tells that the outcome was settled by the owner of the request's grant, or that
    the request has none.
    """
    match outcome:
        case Done(answer):
            status, body = answer.status, answer.body
            headers = list(answer.headers)
        case NotRun(reason, retry_after, detail):
            status, body = _STATUS_BY_REASON.get(reason, _SHED_STATUS), b""
            headers = [(REASON_HEADER, reason.value)]
            headers += _detail(detail) + _come_back(status, retry_after, rng)
        case Failed(cause, answer):
            status = answer.status if answer else _FAILED_STATUS
            body = answer.body if answer else b""
            headers = [*(answer.headers if answer else ())]
            headers += _detail(cause)
        case Unknown(cause, retry_after):
            status, body = _UNKNOWN_STATUS, b""
            headers = _detail(cause)
            headers += _come_back(status, retry_after, rng)
        case _:
            assert_never(outcome)
    # Another copy may run under the grant, whatever this node refuses on its own account.
    proved = granted or not isinstance(outcome, NotRun)
    word = outcome_word(outcome) if proved else UNPROVED_WORD
    headers.insert(0, (OUTCOME_HEADER, word))
    headers += [(REQUEST_ID_HEADER, request_id), (DIGEST_HEADER, content_digest(body))]
    return HttpAnswer(status, headers, body)


def _detail(text: str) -> Headers:
    plain = text.encode("ascii", "replace").decode("ascii").replace("\n", " ")
    return [(DETAIL_HEADER, plain[:MAX_DETAIL_LENGTH])] if plain else []


def _come_back(status: int, retry_after: float, rng: Random) -> Headers:
    if status in _NEVER_BY_WAITING:
        return []
    # Spread, so that clients refused together do not return together.
    wait = (retry_after or DEFAULT_RETRY_AFTER) * (1 + rng.random() * JITTER_SHARE)
    return [
        ("retry-after", str(max(1, math.ceil(wait)))),
        (RETRY_AFTER_MS_HEADER, str(max(1, round(wait * 1000)))),
    ]

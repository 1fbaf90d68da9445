"""Interprets the answers of the instance: the result for the caller, and what they say of it.

An instance may mark an answer as "not run", and it may name a rate limit or its leaving in any
answer, also in one that is not passed on.
"""

from typing import NamedTuple

from thorntray.internal.connection.header_names import FieldClassifier, FieldKind, HeaderNames
from thorntray.internal.connection.instance_response import InstanceResponse
from thorntray.internal.overload.rate_limit import InstanceState
from thorntray.internal.request.result import Cause, Result, ResultKind, not_run
from thorntray.internal.telemetry.events import Event, log_event

MISDIRECTED = 421  # HTTP status; the request names another instance ID than the instance's own
MAX_LOGGED_VALUE = 40  # bytes of an unreadable limit in the log


class InstanceAnswer(NamedTuple):
    """A complete answer; `state` is None if another instance than the expected one sent it."""

    result: Result
    state: InstanceState | None


class AnswerReader:
    """Reads the answers of one instance."""

    def __init__(self, names: HeaderNames) -> None:
        self._fields = FieldClassifier(
            {
                names.not_run: FieldKind.NOT_RUN,
                names.rate_limit: FieldKind.RATE_LIMIT,
                names.leaving: FieldKind.LEAVING,
            }
        )

    def read(self, response: InstanceResponse) -> InstanceAnswer:
        """Return the result and the state that a complete response stands for."""
        lines: list[bytes] = []
        ran = True
        limits: list[bytes] = []
        leaving: list[bytes] = []
        for name, value in response.headers:
            match self._fields.classify(name):
                case FieldKind.DROPPED:
                    continue
                case FieldKind.NOT_RUN:
                    ran = False
                    continue
                case FieldKind.RATE_LIMIT:
                    limits.append(value)
                case FieldKind.LEAVING:
                    leaving.append(value)
            lines.append(b"%b: %b\r\n" % (name, value))
        if response.status == MISDIRECTED:
            return InstanceAnswer(not_run(Cause.NO_INSTANCE if ran else Cause.REJECTED), None)
        state = _state_from(limits, leaving)
        if not ran:
            return InstanceAnswer(not_run(Cause.REJECTED), state)
        result = Result(
            ResultKind.ANSWERED,
            status=response.status,
            header_lines=b"".join(lines),
            body=response.body,
        )
        return InstanceAnswer(result, state)


def _state_from(limits: list[bytes], leaving: list[bytes]) -> InstanceState:
    state = InstanceState.from_fields(limits, leaving)
    if not state.rate_limit_readable:
        log_event(Event.INSTANCE_LIMIT, value=limits[0][:MAX_LOGGED_VALUE].decode("latin-1"))
    return state

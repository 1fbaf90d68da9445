"""Tests of what a node does with messages of a newer version."""

import msgspec
import pytest

from thorntray.errors import BadMessage
from thorntray.internal.connection.frame import (
    LENGTH_BYTES,
    FrameReader,
    PingFrame,
    encode_frame,
)
from thorntray.internal.request.result import Cause, ResultKind, not_run
from thorntray.internal.request.result_frames import frame_from_result, result_from_frame

NEWER = 99  # a cause, kind or type of frame that this version does not know


def frame_with(**changes):
    return msgspec.structs.replace(frame_from_result(1, not_run(Cause.FULL, 0.5)), **changes)


def encoded(payload):
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def test_an_unknown_cause_keeps_the_guarantee_of_its_kind():
    # Failure: the result cannot be read, and the caller of a ready answer gets 502.
    result = result_from_frame(frame_with(reason=NEWER))
    assert (result.kind, result.cause) == (ResultKind.NOT_RUN, Cause.UNRECOGNIZED)
    assert result.retry_after == 0.5


def test_a_result_of_an_unknown_kind_may_have_run():
    # Failure: "not run" is said of a request that ran, and a payout is sent again.
    assert result_from_frame(frame_with(end=NEWER)).kind is ResultKind.UNKNOWN


def test_a_frame_of_an_unknown_type_is_skipped_and_the_next_one_is_read():
    # Failure: the link is closed, and all requests in flight on it are lost.
    newer = encoded(msgspec.msgpack.encode([NEWER, {"a": [1, None]}]))
    assert FrameReader().feed(newer + encode_frame(PingFrame())) == [PingFrame()]


@pytest.mark.parametrize(
    "payload", [b"", b"\xc1", b"\x90", msgspec.msgpack.encode(["a"]), msgspec.msgpack.encode([1])]
)
def test_a_malformed_frame_still_closes_its_connection(payload):
    # Failure: a stream that is out of step is read on.
    with pytest.raises(BadMessage):
        FrameReader().feed(encoded(payload))

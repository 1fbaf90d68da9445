"""Malformed messages and messages of other protocol versions are refused with `BadMessage`."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from tests.builders import make_member
from thorntray.errors import BadMessage
from thorntray.internal.connection.message import Reply, body_digest, decode, encode
from thorntray.internal.connection.reply import attempt_from_reply, reply_from_attempt
from thorntray.internal.membership.gossip import Ping, decode_datagram, encode_datagram
from thorntray.internal.request.http_answer import http_answer
from thorntray.internal.request.outcome import (
    Answer,
    AttemptResult,
    Done,
    Failed,
    NotRun,
    Reason,
    Unknown,
)

answers = st.builds(
    Answer,
    st.integers(100, 599),
    st.just((("content-type", "x"),)),
    st.binary(max_size=200),
)
outcomes = st.one_of(
    st.builds(Done, answers),
    st.builds(NotRun, st.sampled_from(Reason), st.floats(0, 5), st.text(max_size=20)),
    st.builds(Failed, st.text(max_size=20), st.none() | answers),
    st.builds(Unknown, st.text(max_size=20), st.floats(0, 5)),
)


@given(outcomes)
def test_every_outcome_survives_encoding_and_decoding(outcome):
    reply = decode(encode(reply_from_attempt(b"id", AttemptResult(outcome, 1, 2.0, 0.5, 0.1))))
    assert attempt_from_reply(reply) == AttemptResult(outcome, 1, 2.0, 0.5, 0.1)


@given(st.binary(max_size=300))
@example(b"")
@example(b"\x01")
@example(b"\x01" + b"\x91" * 5000)
def test_garbage_raises_bad_message(data):
    for decoder in (decode, decode_datagram):
        try:
            decoder(data)
        except BadMessage:
            pass


@given(st.data())
def test_a_corrupted_body_fails_the_digest_check(data):
    body = data.draw(st.binary(min_size=20, max_size=100))
    encoded = encode(reply_from_attempt(b"id", AttemptResult(Done(Answer(200, (), body)))))
    position = encoded.index(body) + data.draw(st.integers(0, len(body) - 1))
    damaged = encoded[:position] + bytes([encoded[position] ^ 0xFF]) + encoded[position + 1 :]
    with pytest.raises(BadMessage, match="digest"):
        decode(damaged)


def test_another_protocol_version_is_refused_with_the_remedy():
    with pytest.raises(BadMessage, match="upgrade"):
        decode(b"\x07" + encode(reply_from_attempt(b"id", AttemptResult(Unknown("x"))))[1:])


@given(st.integers(0, 2**31), st.integers(0, 200))
def test_a_truncated_datagram_is_refused(sequence, cut):
    encoded = encode_datagram(Ping(sequence, make_member("a"), {"team": 1}))
    if cut < len(encoded):
        with pytest.raises(BadMessage):
            decode_datagram(encoded[:cut])


def test_a_reply_with_an_unknown_outcome_is_refused():
    reply = Reply(b"", "maybe", "", 0, "", 0, (), b"", body_digest(b""), 0, 0, 0, 0)
    with pytest.raises(BadMessage):
        attempt_from_reply(reply)


@given(outcomes, st.booleans())
def test_every_outcome_has_an_http_answer_with_digest_and_retry_delay(outcome, granted):
    from random import Random

    answer = http_answer(outcome, "id", Random(1), granted)
    headers = dict(answer.headers)
    outcome_names = {"done", "not-run", "failed", "unknown"}
    assert headers["thorntray-outcome"] in outcome_names and "content-digest" in headers
    final = {400, 403, 404, 409, 413}
    if isinstance(outcome, NotRun | Unknown) and answer.status not in final:
        assert int(headers["thorntray-retry-after-ms"]) >= 1

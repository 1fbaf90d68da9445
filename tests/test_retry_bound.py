"""Retries of a whole call tree stay within the root's allowance, whichever messages are lost."""

import asyncio
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.builders import (
    ManualClock,
    MemoryNetwork,
    header,
    make_settings,
    run_virtual,
)
from thorntray.errors import PeerLost
from thorntray.internal.connection.message import Call, decode
from thorntray.internal.request.deadline import Deadline
from thorntray.internal.request.escrow import Escrow
from thorntray.internal.request.ingress import IncomingRequest
from thorntray.internal.request.outcome import (
    Answer,
    Done,
    Failed,
    NotRun,
    Reason,
    Unknown,
)
from thorntray.internal.request.retry import (
    MAX_RETRY_TOKENS,
    RetryContext,
    RetryTokenBucket,
    is_retryable,
    take_retry,
)

ALLOWANCE = 5


def _call_children_from(network, service, children):
    """Make a service's instances call `children` concurrently through their own node."""
    for node in network.nodes.values():
        if node.member.service != service:
            continue

        async def work(call, token, node=node):
            headers = {"thorntray-context": token, "x-request": "r"}
            answers = await asyncio.gather(
                *(
                    node.ingress.handle(IncomingRequest(child, "GET", "/", headers, b""))
                    for child in children
                )
            )
            all_done = all(header(answer, "thorntray-outcome") == "done" for answer in answers)
            return Done(Answer(200, (), b"")) if all_done else Failed("child", Answer(502, (), b""))

        node.upstream.handler = work


async def _count_tree_retries(seed, depth, fan_out, loss, refusal_rate, repeats):
    services = {f"s{i}": {} for i in range(depth)}
    network = MemoryNetwork(Random(seed), make_settings(services, ALLOWANCE))
    for i in range(depth):
        for copy in "ab":
            network.add(f"s{i}{copy}", f"s{i}")
    for i in range(depth - 1):
        _call_children_from(network, f"s{i}", [f"s{i + 1}"] * fan_out)
    rng = Random(seed)
    network.request_loss = network.reply_loss = loss
    for node in network.nodes.values():
        node.upstream.make_refusal = lambda: (
            NotRun(Reason.UPSTREAM_SHED) if rng.random() < refusal_rate else None
        )
    ingress = network.nodes["s0a"]
    for _ in range(repeats):
        headers = {"x_request": "r", "idempotency_key": "k", "thorntray_deadline_ms": "2000"}
        await ingress.call("s0", **headers)
    await asyncio.sleep(10)
    return sum(node.outbound.retries_sent for node in network.nodes.values())


@settings(max_examples=60)
@given(
    st.integers(0, 2**32),
    st.integers(1, 8),
    st.integers(1, 2),
    st.sampled_from([0.0, 0.1, 0.5]),
    st.sampled_from([0.0, 0.3, 0.9]),
    st.integers(1, 3),
)
def test_retries_in_the_call_tree_never_exceed_the_allowance(
    seed, depth, fan_out, loss, refusal_rate, repeats
):
    fan_out = 1 if depth > 5 else fan_out
    retries = run_virtual(_count_tree_retries(seed, depth, fan_out, loss, refusal_rate, repeats))
    assert retries <= ALLOWANCE * repeats


def test_allowance_lent_to_a_lost_call_is_never_spent_again():
    async def scenario():
        network = MemoryNetwork(Random(1), make_settings({"s": {}}, ALLOWANCE))
        for name in "abcdef":
            network.add(name, "s")
        ingress = network.add("z", "other")
        lent_allowances = []

        async def exchange(sender, target, data):
            message = decode(data)
            if isinstance(message, Call):
                lent_allowances.append(message.allowance)  # the child spends all that it was lent
            raise PeerLost("the reply is lost")

        network.exchange = exchange
        await ingress.call("s", thorntray_deadline_ms="60000")
        return sum(lent_allowances) + ingress.outbound.retries_sent

    assert run_virtual(scenario()) == ALLOWANCE


def test_a_call_with_an_unknown_context_is_refused_as_caller_gone():
    async def scenario():
        network = MemoryNetwork(Random(1), make_settings({"s": {}}))
        node = network.add("a", "s")
        return await node.call("s", thorntray_context="00ff")

    answer = run_virtual(scenario())
    assert header(answer, "thorntray-reason") == "caller-gone"


def test_a_refused_non_idempotent_call_of_an_idempotent_parent_names_the_setting():
    async def scenario():
        network = MemoryNetwork(Random(1), make_settings({"s": {}}))
        node = network.add("a", "s")
        found = []

        async def work(call, token):
            headers = {"thorntray-context": token}
            found.append(await node.ingress.handle(IncomingRequest("s", "POST", "/", headers, b"")))
            return Done(Answer(200, (), b""))

        node.upstream.handler = work
        await node.call("s")
        return found[0]

    answer = run_virtual(scenario())
    assert answer.status == 409
    assert "routes/s/look/idempotent = no" in header(answer, "thorntray-detail")


@given(st.floats(0, 0.5), st.integers(0, 500))
def test_retries_to_one_service_stay_within_the_ratio(ratio, first_attempts):
    bucket, retries = RetryTokenBucket(ratio), 0
    for _ in range(first_attempts):
        bucket.record_first_attempt()
        retries += bucket.spend(9) + bucket.spend(0)
    assert retries <= ratio * first_attempts + MAX_RETRY_TOKENS


def test_low_priority_retries_leave_tokens_for_high_priority_ones():
    bucket = RetryTokenBucket(0.1)
    while bucket.spend(3):
        pass
    assert bucket.spend(8) and bucket.spend(8)


def test_only_idempotent_or_provably_not_run_requests_are_retried():
    assert is_retryable(NotRun(Reason.SHED), idempotent=False)
    assert is_retryable(Unknown("lost"), idempotent=True)
    assert not is_retryable(Unknown("lost"), idempotent=False)
    assert not is_retryable(Failed("500"), idempotent=True)
    assert not is_retryable(Done(Answer(200, (), b"")), idempotent=True)
    assert not is_retryable(NotRun(Reason.GRANT_REJECTED), idempotent=True)


def test_no_retry_is_made_that_would_exceed_the_deadline():
    clock = ManualClock()
    ctx = RetryContext(True, 5, Deadline.after(0.1, clock), expected_time=0.2)
    escrow = Escrow(3)
    assert not take_retry(NotRun(Reason.SHED), ctx, escrow, RetryTokenBucket(0.5), clock)
    assert escrow.balance == 3


def test_an_unknown_outcome_stays_unknown_after_a_refused_retry():
    async def scenario():
        network = MemoryNetwork(Random(2), make_settings({"s": {}}))
        first, second = network.add("a", "s"), network.add("b", "s")
        ingress = network.add("c", "other")

        async def hang(call, token):
            await asyncio.sleep(100)

        for node in (first, second):
            node.upstream.handler = hang
        answer = asyncio.ensure_future(ingress.call("s", thorntray_deadline_ms="1000"))
        await asyncio.sleep(0.3)
        for node in (first, second):
            node.instance.drain()
        return await answer

    assert header(run_virtual(scenario()), "thorntray-outcome") == "unknown"


def test_a_caller_disconnect_cancels_the_call_tree_below():
    async def scenario():
        network = MemoryNetwork(Random(3), make_settings({"s0": {}, "s1": {}}))
        parent, child = network.add("a", "s0"), network.add("b", "s1")
        ingress = network.add("c", "other")
        _call_children_from(network, "s0", ["s1"])
        child.upstream.service_time = 100
        task = asyncio.ensure_future(ingress.call("s0", thorntray_deadline_ms="60000"))
        await asyncio.sleep(0.1)
        running = (parent.admission.in_flight, child.admission.in_flight)
        task.cancel()
        await asyncio.sleep(0.5)
        return running, (parent.admission.in_flight, child.admission.in_flight)

    assert run_virtual(scenario()) == ((1, 1), (0, 0))

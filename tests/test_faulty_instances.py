"""Faults of instances that other operators have reported, over real sockets.

Neither could be shown here; the tests keep it so. Each instance below does just what was reported.
"""

import asyncio

import pytest

from tests.instance_replies import answer_bytes
from tests.mesh_builders import HEADER_NAMES, run_scenario

NOT_RUN_LINE = HEADER_NAMES.not_run + b": 1\r\n"
PROMISES_NOT_RUN = {408, 421, 429, 503}
REQUESTS = 8
PAUSE = 0.02  # seconds between requests; less than a connection stays fresh
SERVICE_TIME = 0.02  # seconds
REFUSING_CONNECTIONS = 3  # of each instance


class RepeatsRefusal:
    """Refuses the first request of some connections, and writes that refusal once more later.

    `when` tells where: while the connection is idle, before or after the answer to the next
    request, or in the same bytes. `named` is whether the refusal names its request.
    """

    def __init__(self, when, named=True):
        self.when = when
        self.named = named
        self.ran = []
        self.refused = {}  # by writer

    async def __call__(self, request_id, writer):
        refusal = self.refused.get(writer)
        if refusal is None and len(self.refused) == REFUSING_CONNECTIONS:
            self.ran.append(request_id)
            await asyncio.sleep(SERVICE_TIME)
            writer.write(answer_bytes(request_id))
            return
        if refusal is None:
            refusal = self.refused[writer] = self.refusal_of(request_id)
            writer.write(refusal)
            if self.when == "at once":
                writer.write(refusal)
            elif self.when == "while idle":
                asyncio.get_running_loop().call_later(PAUSE / 2, writer.write, refusal)
            return
        if self.when == "before":
            writer.write(refusal)
        self.ran.append(request_id)
        await asyncio.sleep(SERVICE_TIME)
        match self.when:
            case "together, first":
                writer.write(refusal + answer_bytes(request_id))
            case "together, last":
                writer.write(answer_bytes(request_id) + refusal)
            case "after":
                writer.write(answer_bytes(request_id))
                await asyncio.sleep(PAUSE / 4)
                writer.write(refusal)
            case "with the next request":
                writer.write(answer_bytes(request_id))
                asyncio.get_running_loop().call_later(PAUSE, writer.write, refusal)
            case _:
                writer.write(answer_bytes(request_id))

    def refusal_of(self, request_id):
        refusal = answer_bytes(request_id, b"", 503, NOT_RUN_LINE)
        if not self.named:
            refusal = refusal.replace(HEADER_NAMES.request_id + b": " + request_id + b"\r\n", b"")
        return refusal


async def post_all(fleet, entry):
    """Send payouts one after the other, and some at once; return their statuses by ID."""
    statuses = {}

    async def post(request_id):
        answer = await fleet.send(entry, b"POST", "/payouts/1", request_id)
        statuses[request_id] = int(answer.split(b" ")[1]) if answer else 0

    for number in range(REQUESTS):
        await post(f"one-{number}")
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*(post(f"many-{number}") for number in range(REQUESTS)))
    return statuses


@pytest.mark.parametrize("named", [True, False])
@pytest.mark.parametrize(
    "when",
    [
        "at once",
        "while idle",
        "before",
        "together, first",
        "together, last",
        "after",
        "with the next request",
    ],
)
@pytest.mark.parametrize("entry", ["t1", "h1"])
def test_a_refusal_that_is_repeated_is_taken_for_no_other_request(entry, when, named):
    """Guards against "not run" for a request that an instance runs, and against a second run."""
    replies = [RepeatsRefusal(when, named) for _ in range(2)]

    async def scenario(fleet):
        await fleet.add("t1", "tariff", replies[0])
        await fleet.add("t2", "tariff", replies[1])
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        return await post_all(fleet, entry)

    statuses = run_scenario(scenario)
    ran = [request_id.decode() for reply in replies for request_id in reply.ran]
    assert len(ran) > REQUESTS / 2
    assert len(ran) == len(set(ran))
    assert [i for i in ran if statuses[i] in PROMISES_NOT_RUN] == []
    assert {i for i, status in statuses.items() if status == 200} <= set(ran)


ANSWERS = {
    "with a length": answer_bytes(b"ID", b"0123456789" * 3),
    "in chunks": (
        b"HTTP/1.1 200 X\r\nThorntray-Request-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"a\r\n0123456789\r\n5\r\nabcde\r\n0\r\n\r\n"
    ),
}


class CutsAnswers:
    """Writes the beginning of an answer and ends the connection, a byte further each time.

    The first answer is whole: nodes send few requests to an instance that has answered none yet.
    """

    def __init__(self, answer, reset):
        self.answer = answer
        self.reset = reset
        self.length = -1

    async def __call__(self, request_id, writer):
        answer = self.answer.replace(b"ID\r\n", request_id + b"\r\n")
        writer.write(answer if self.length < 0 else answer[: self.length])
        self.length += 1
        if not self.length:
            return
        await writer.drain()
        if self.reset:
            await asyncio.sleep(0.001)  # the bytes are read first
            writer.transport.abort()
        else:
            writer.close()


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("kind", ANSWERS)
@pytest.mark.parametrize("method, path", [(b"GET", "/prices/1"), (b"POST", "/payouts/1")])
def test_an_answer_that_is_cut_at_any_byte_is_no_success(method, path, kind, reset):
    """Guards against an empty or short body that looks whole."""
    reply = CutsAnswers(ANSWERS[kind], reset)

    async def scenario(fleet):
        await fleet.add("t1", "tariff", reply)
        await fleet.add("h1", "haul")
        await fleet.share_membership()
        statuses = {}
        while reply.length < len(ANSWERS[kind]):
            request_id = f"r{len(statuses):04}"
            answer = await fleet.send("t1" if reply.length % 2 else "h1", method, path, request_id)
            statuses[request_id] = int(answer.split(b" ")[1]) if answer else 0
        return statuses, {i.decode() for i in fleet.instances["t1"].run_ids}

    statuses, ran = run_scenario(scenario)
    assert statuses.pop("r0000") == 200
    assert {statuses[i] for i in ran & set(statuses)} <= {502, 504}
    assert {statuses[i] for i in set(statuses) - ran} <= {503}  # refused, as so many failed


def test_a_kept_connection_that_is_cut_in_the_head_of_its_second_answer_is_no_success():
    """Guards against what the first answer has left in the parser."""
    cuts = iter(range(1, len(ANSWERS["with a length"])))

    async def reply(request_id, writer):
        answer = ANSWERS["with a length"].replace(b"ID\r\n", request_id + b"\r\n")
        if request_id.endswith(b"-first"):
            writer.write(answer)
            return
        writer.write(answer[: next(cuts)])
        await writer.drain()
        writer.close()

    async def scenario(fleet):
        await fleet.add("t1", "tariff", reply)
        statuses = []
        for number in range(len(ANSWERS["with a length"]) - 1):
            first = await fleet.send("t1", b"POST", "/payouts/1", f"{number}-first")
            second = await fleet.send("t1", b"POST", "/payouts/1", f"{number}-second")
            statuses.append((int(first.split(b" ")[1]), int(second.split(b" ")[1])))
        return statuses

    assert set(run_scenario(scenario)) == {(200, 502)}
